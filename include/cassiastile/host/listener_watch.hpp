#pragma once

#include <array>
#include <utility>
#include <vector>

#include "cassiastile/host/event_log.hpp"
#include "cassiastile/host/listener_limits.hpp"
#include "cassiastile/wire/connection_table.hpp"

namespace cassiastile::host {

// Shows what the clients of a host's ports cost: gauges and counters, and one
// log line for all connections that were closed since the last one.
class ListenerWatch {
 public:
  using Usages = std::vector<std::pair<Listener, wire::ConnectionUsage>>;

  // `log` must outlive it.
  explicit ListenerWatch(EventLog& log) : m_log(log) {}

  // Call it once a second with the usage of each port.
  void Report(const Usages& usages);

 private:
  EventLog& m_log;
  // As of the last call.
  std::array<wire::ConnectionUsage, kListenerNames.size()> m_last;
};

}  // namespace cassiastile::host
