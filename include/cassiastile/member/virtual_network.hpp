#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/random.hpp"
#include "cassiastile/member/membership.hpp"

namespace cassiastile::member {

// The faults of a virtual network: probabilities per datagram, and the range of
// the delay.
struct NetworkFaults {
  double loss = 0;
  double duplication = 0;
  base::Duration min_delay = std::chrono::milliseconds(1);
  base::Duration max_delay = std::chrono::milliseconds(4);
};

// The simulated table that the members of a virtual network read the head from.
struct VirtualStore {
  ConfigHead head;
  std::set<std::string> cut_off;  // Members that can't reach the table.
  bool down = false;              // No member can reach the table.
};

// Simulates members in virtual time on a network that loses, duplicates and
// delays datagrams and can be partitioned, for tests and measurements. Runs
// only Membership, without sockets and threads.
class VirtualNetwork {
 public:
  VirtualNetwork(std::uint64_t seed, NetworkFaults faults);

  // Adds a running member.
  void Add(MembershipOptions options);
  // Restarts a member with the next incarnation and no state but its options.
  void Restart(const std::string& name);
  // Pauses a member: it neither ticks nor receives, and keeps its state.
  void Pause(const std::string& name);
  // Resumes a paused member with the state that it had.
  void Resume(const std::string& name);
  // Partitions the network: members in different groups can't reach each other.
  // Members not named are in group zero.
  void Partition(std::map<std::string, int> groups);
  // Runs for a period of virtual time.
  void Run(base::Duration time);
  // Runs until `done` returns true, at most for `limit` of virtual time.
  void RunUntil(base::Duration limit, const std::function<bool()>& done);

  Membership& At(const std::string& name);
  std::vector<std::string> Names() const;
  std::vector<MemberRecord> Records() const;
  base::TimePoint Now() const { return m_now; }
  VirtualStore& Store() { return m_store; }
  // Bytes sent by a member, including the IP and UDP headers.
  std::uint64_t BytesSent(const std::string& name) const;
  std::uint64_t MessagesSent() const { return m_messages; }
  // Delivers a datagram to a member as if it came from the network.
  void Inject(const std::string& name, const std::string& datagram);
  // The first datagrams sent, for replay tests.
  const std::vector<Datagram>& Captured() const { return m_captured; }

 private:
  struct Node {
    MembershipOptions options;
    std::unique_ptr<Membership> membership;
    bool running = true;
    std::uint64_t bytes_sent = 0;
    base::TimePoint next_tick;
  };
  struct InFlightDatagram {
    std::string from;
    Datagram datagram;
  };

  void Step();
  void TickNode(const std::string& name, Node& node);
  void PerformReads(const std::string& name,
                    Node& node,
                    const MemberActions& actions);
  void Pull(const std::string& name, Node& node, const BodyPull& pull);
  void Send(const std::string& from, Node& node, const Datagram& datagram);
  void Deliver(const InFlightDatagram& in_flight);
  bool ShouldInjectFault(double probability);
  bool ArePartitioned(const std::string& left, const std::string& right) const;
  bool ReachesStore(const std::string& name) const;

  base::TimePoint m_now{std::chrono::hours(1)};
  base::Random m_random;
  NetworkFaults m_faults;
  VirtualStore m_store;
  std::map<std::string, Node> m_nodes;
  std::map<std::string, std::string> m_names_by_address;
  std::map<std::string, int> m_groups;
  std::multimap<base::TimePoint, InFlightDatagram> m_in_flight_datagrams;
  std::vector<Datagram> m_captured;
  std::uint64_t m_messages = 0;
};

}  // namespace cassiastile::member
