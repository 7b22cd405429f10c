#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/host/host_metrics.hpp"

namespace cassiastile::host {

// Writes one JSON object a line to standard output: what was decided, about
// what, from which inputs. Lines are gathered in memory and written without
// ever waiting for the reader; when it falls behind, lines are dropped and
// their number is logged once there is room again.
class EventLog {
 public:
  // Writes bytes without blocking; returns how many were taken.
  using Sink = std::function<std::size_t(std::string_view)>;

  // `metrics` must outlive the log.
  EventLog(const base::Clock& clock,
           std::string host,
           HostMetrics& metrics,
           Sink sink);

  void Write(std::string_view event, nlohmann::json fields);
  // Hands what was gathered to the sink; called a few times a second.
  void Flush();
  HostMetrics& Metrics() { return m_metrics; }
  std::uint64_t Dropped() const { return m_dropped; }

 private:
  const base::Clock& m_clock;
  std::string m_host;
  HostMetrics& m_metrics;
  Sink m_sink;
  std::string m_buffer;
  std::uint64_t m_dropped = 0;
  std::uint64_t m_reported = 0;
};

// The sink for standard output. Makes the descriptor non-blocking.
EventLog::Sink StandardOutputSink();

}  // namespace cassiastile::host
