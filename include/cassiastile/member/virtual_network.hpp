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

// What goes wrong between the members of a virtual network.
struct NetworkFaults {
  double loss = 0;
  double duplication = 0;
  base::Duration min_delay = std::chrono::milliseconds(1);
  base::Duration max_delay = std::chrono::milliseconds(4);
};

// The table's configuration as the members of a virtual network read it.
struct VirtualStore {
  ConfigHead head;
  std::set<std::string> cut_off;  // Those that can't reach the store.
  bool down = false;
};

// Members in virtual time on a network that loses, repeats, delays and cuts,
// for tests and measurements. Runs the pure core alone.
class VirtualNetwork {
 public:
  VirtualNetwork(std::uint64_t seed, NetworkFaults faults);

  void Add(MembershipOptions options);
  // Ends a member and starts it anew with nothing but its settings.
  void Restart(const std::string& name);
  void Stop(const std::string& name);
  // A stopped process that goes on where it was.
  void Resume(const std::string& name);
  // Members in different groups don't hear each other; those not named are in
  // group zero.
  void Partition(std::map<std::string, int> groups);
  void Run(base::Duration time);
  void RunUntil(base::Duration limit, const std::function<bool()>& done);

  Membership& At(const std::string& name);
  std::vector<std::string> Names() const;
  std::vector<MemberRecord> Records() const;
  base::TimePoint Now() const { return m_now; }
  VirtualStore& Store() { return m_store; }
  // Bytes sent by a member, with the headers of IP and UDP.
  std::uint64_t BytesSent(const std::string& name) const;
  std::uint64_t MessagesSent() const { return m_messages; }
  // Gives a member a datagram as if it came from the network.
  void Inject(const std::string& name, const std::string& datagram);
  // A datagram sent lately, for replays.
  const std::vector<Datagram>& Captured() const { return m_captured; }

 private:
  struct Node {
    MembershipOptions options;
    std::unique_ptr<Membership> membership;
    bool running = true;
    std::uint64_t bytes_sent = 0;
    base::TimePoint next_tick;
  };
  struct Flight {
    std::string from;
    Datagram datagram;
  };

  void Step();
  void TickNode(const std::string& name, Node& node);
  void DoReads(const std::string& name,
               Node& node,
               const MemberActions& actions);
  void Pull(const std::string& name, Node& node, const BodyPull& pull);
  void Send(const std::string& from, Node& node, const Datagram& datagram);
  void Deliver(const Flight& flight);
  bool InjectFault(double probability);
  bool AreCut(const std::string& left, const std::string& right) const;
  bool ReachesStore(const std::string& name) const;

  base::TimePoint m_now{std::chrono::hours(1)};
  base::Random m_random;
  NetworkFaults m_faults;
  VirtualStore m_store;
  std::map<std::string, Node> m_nodes;
  std::map<std::string, std::string> m_names_by_address;
  std::map<std::string, int> m_groups;
  std::multimap<base::TimePoint, Flight> m_flights;
  std::vector<Datagram> m_captured;
  std::uint64_t m_messages = 0;
};

}  // namespace cassiastile::member
