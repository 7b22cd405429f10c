#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/host/listener_limits.hpp"
#include "cassiastile/wire/connection_table.hpp"
#include "cassiastile/wire/metrics.hpp"

namespace cassiastile::host {

// Latencies that a host records in histograms.
enum class Latency : std::uint8_t {
  kCommit,      // Commit to the table, from its last attempt.
  kStart,       // Order to start a run, until it is answered.
  kFirstStart,  // From a job's arrival to the first start of a task.
  kJob,         // From a job's arrival to its end.
  kRequest,     // Caller's request at the host that received it.
};

// Counts log events by outcome and records latency histograms, for Prometheus.
// Use it on the host's loop only.
class HostMetrics {
 public:
  HostMetrics();

  // Counts a line of the event log, including lines that are dropped.
  void Count(std::string_view event, std::string_view outcome);
  // Adds one duration to a latency's histogram.
  void Observe(Latency latency, base::Duration duration);
  // Shows what the clients of a port cost now; `last` is what was shown before.
  void SetUsage(Listener listener,
                const wire::ConnectionUsage& last,
                const wire::ConnectionUsage& usage);
  // Returns all metrics in Prometheus' text format, with the process's current
  // processor time and peak memory.
  std::string Expose();

 private:
  wire::Metrics m_metrics;
  // By event and outcome.
  std::map<std::string,
           std::map<std::string, prometheus::Counter*, std::less<>>,
           std::less<>>
      m_counters;
  std::array<prometheus::Histogram*, 5> m_histograms{};
  prometheus::Gauge* m_processor = nullptr;
  prometheus::Gauge* m_memory = nullptr;
};

}  // namespace cassiastile::host
