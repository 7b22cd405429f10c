#include "cassiastile/member/virtual_network.hpp"

#include <algorithm>
#include <utility>

namespace cassiastile::member {

namespace {

constexpr base::Duration kStep = std::chrono::milliseconds(1);
constexpr base::Duration kTickPeriod = std::chrono::milliseconds(20);
constexpr std::uint64_t kHeaderBytes = 28;  // IPv4 and UDP headers.
constexpr std::size_t kMaxCaptured = 64;

}  // namespace

VirtualNetwork::VirtualNetwork(std::uint64_t seed, NetworkFaults faults)
    : m_random(seed), m_faults(faults) {}

void VirtualNetwork::Add(MembershipOptions options) {
  const std::string name = options.self.name;
  m_names_by_address[options.self.address] = name;
  Node& node = m_nodes[name];
  node.options = std::move(options);
  node.membership = std::make_unique<Membership>(node.options, m_now);
  node.next_tick =
      m_now + std::chrono::milliseconds(
                  m_random() %
                  static_cast<std::uint64_t>(base::Milliseconds(kTickPeriod)));
}

void VirtualNetwork::Restart(const std::string& name) {
  Node& node = m_nodes.at(name);
  ++node.options.self.incarnation;
  node.membership = std::make_unique<Membership>(node.options, m_now);
  node.running = true;
}

void VirtualNetwork::Pause(const std::string& name) {
  m_nodes.at(name).running = false;
}

void VirtualNetwork::Resume(const std::string& name) {
  m_nodes.at(name).running = true;
}

void VirtualNetwork::Partition(std::map<std::string, int> groups) {
  m_groups = std::move(groups);
}

void VirtualNetwork::Run(base::Duration time) {
  RunUntil(time, [] { return false; });
}

void VirtualNetwork::RunUntil(base::Duration limit,
                              const std::function<bool()>& done) {
  const base::TimePoint end = m_now + limit;
  while (m_now < end && !done()) {
    Step();
  }
}

Membership& VirtualNetwork::At(const std::string& name) {
  return *m_nodes.at(name).membership;
}

std::vector<std::string> VirtualNetwork::Names() const {
  std::vector<std::string> names;
  for (const auto& [name, node] : m_nodes) {
    names.push_back(name);
  }
  return names;
}

std::vector<MemberRecord> VirtualNetwork::Records() const {
  std::vector<MemberRecord> records;
  for (const auto& [name, node] : m_nodes) {
    records.push_back(node.options.self);
  }
  return records;
}

std::uint64_t VirtualNetwork::BytesSent(const std::string& name) const {
  return m_nodes.at(name).bytes_sent;
}

void VirtualNetwork::Inject(const std::string& name,
                            const std::string& datagram) {
  Deliver({"", {m_nodes.at(name).options.self.address, datagram}});
}

void VirtualNetwork::Step() {
  m_now += kStep;
  while (!m_in_flight_datagrams.empty() &&
         m_in_flight_datagrams.begin()->first <= m_now) {
    const InFlightDatagram in_flight = m_in_flight_datagrams.begin()->second;
    m_in_flight_datagrams.erase(m_in_flight_datagrams.begin());
    Deliver(in_flight);
  }
  for (auto& [name, node] : m_nodes) {
    if (node.running && node.next_tick <= m_now) {
      node.next_tick = m_now + kTickPeriod;
      TickNode(name, node);
    }
  }
}

void VirtualNetwork::TickNode(const std::string& name, Node& node) {
  const MemberActions actions = node.membership->Tick(m_now, m_random);
  for (const Datagram& datagram : actions.datagrams) {
    Send(name, node, datagram);
  }
  PerformReads(name, node, actions);
  if (actions.pull) {
    Pull(name, node, *actions.pull);
  }
}

void VirtualNetwork::PerformReads(const std::string& name,
                                  Node& node,
                                  const MemberActions& actions) {
  if (actions.read_head && !ReachesStore(name)) {
    node.membership->ObserveStoreFailure();
  }
  if (actions.read_head && ReachesStore(name)) {
    node.membership->ObserveHead(m_store.head, m_now);
  }
  if (actions.read_list && ReachesStore(name)) {
    node.membership->ObserveList(Records(), m_now);
  }
}

void VirtualNetwork::Pull(const std::string& name,
                          Node& node,
                          const BodyPull& pull) {
  if (ReachesStore(name) && m_store.head.version >= pull.head.version) {
    node.membership->SetInForce(pull.head.version);
    return;
  }
  for (const std::string& address : pull.peers) {
    const std::string& peer = m_names_by_address.at(address);
    if (m_nodes.at(peer).running && !ArePartitioned(name, peer)) {
      Membership& peer_membership = *m_nodes.at(peer).membership;
      node.membership->LearnList(peer_membership.List(), m_now);
      if (peer_membership.InForce() == pull.head.version) {
        node.membership->SetInForce(pull.head.version);
      }
      return;
    }
  }
}

void VirtualNetwork::Send(const std::string& from,
                          Node& node,
                          const Datagram& datagram) {
  ++m_messages;
  node.bytes_sent += datagram.bytes.size() + kHeaderBytes;
  if (m_captured.size() < kMaxCaptured) {
    m_captured.push_back(datagram);
  }
  const int copies = ShouldInjectFault(m_faults.duplication) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (ShouldInjectFault(m_faults.loss)) {
      continue;
    }
    const auto range = static_cast<std::uint64_t>(
        (m_faults.max_delay - m_faults.min_delay).count());
    const base::Duration delay =
        m_faults.min_delay +
        base::Duration(static_cast<std::int64_t>(m_random() % (range + 1)));
    m_in_flight_datagrams.emplace(m_now + delay,
                                  InFlightDatagram{from, datagram});
  }
}

void VirtualNetwork::Deliver(const InFlightDatagram& in_flight) {
  const auto found = m_names_by_address.find(in_flight.datagram.to);
  if (found == m_names_by_address.end()) {
    return;
  }
  Node& node = m_nodes.at(found->second);
  const bool partitioned =
      !in_flight.from.empty() && ArePartitioned(in_flight.from, found->second);
  if (!node.running || partitioned) {
    return;
  }
  const std::string from =
      in_flight.from.empty() ? ""
                             : m_nodes.at(in_flight.from).options.self.address;
  const auto answers =
      node.membership->Receive(in_flight.datagram.bytes, from, m_now, m_random);
  for (const Datagram& answer : answers) {
    Send(found->second, node, answer);
  }
}

bool VirtualNetwork::ShouldInjectFault(double probability) {
  return probability > 0 && std::bernoulli_distribution(probability)(m_random);
}

bool VirtualNetwork::ArePartitioned(const std::string& left,
                                    const std::string& right) const {
  const auto group_of = [this](const std::string& name) {
    const auto found = m_groups.find(name);
    return found == m_groups.end() ? 0 : found->second;
  };
  return group_of(left) != group_of(right);
}

bool VirtualNetwork::ReachesStore(const std::string& name) const {
  return !m_store.down && !m_store.cut_off.contains(name);
}

}  // namespace cassiastile::member
