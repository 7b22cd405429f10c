#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/wire/metrics.hpp"

namespace cassiastile::host {

// The latencies that a host keeps histograms of.
enum class Latency : std::uint8_t {
  kCommit,      // Of a commit to the table, from its last send.
  kStart,       // Of an order to start a run, until it is answered.
  kFirstStart,  // From a job's arrival to the first start of a task.
  kJob,         // From a job's arrival to its end.
  kRequest,     // Of a caller's request at the host that took it.
};

// Counters by event and outcome, and histograms of latencies, in Prometheus'
// text format. Belongs to the host's loop.
class HostMetrics {
 public:
  HostMetrics();

  // Every line of the event log counts, also those dropped.
  void Count(std::string_view event, std::string_view outcome);
  void Observe(Latency latency, base::Duration duration);
  // With processor time and memory of the process as of now.
  std::string Expose();

 private:
  wire::Metrics m_metrics;
  std::map<std::pair<std::string, std::string>, prometheus::Counter*>
      m_counters;
  std::array<prometheus::Histogram*, 5> m_histograms{};
  prometheus::Gauge* m_processor = nullptr;
  prometheus::Gauge* m_memory = nullptr;
};

}  // namespace cassiastile::host
