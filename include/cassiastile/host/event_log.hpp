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

// Writes one JSON object per line: the event, its subject and the inputs of the
// decision. Lines are buffered in memory and written without blocking. When the
// reader falls behind, lines are dropped, and their number is logged once the
// buffer has room again. Not thread-safe.
class EventLog {
 public:
  // Writes bytes without blocking and returns how many were accepted.
  using Sink = std::function<std::size_t(std::string_view)>;

  // `clock` and `metrics` must outlive the log.
  EventLog(const base::Clock& clock,
           std::string_view host,
           HostMetrics& metrics,
           Sink sink);

  // Buffers a line with `fields`, the time, the host and the event's name, and
  // counts it in the metrics. `fields` must be an object.
  void Write(std::string_view event, const nlohmann::json& fields);
  // The same for lines that are written for each run of a large fleet.
  // `members` are the fields as JSON text without braces, see QuoteJson.
  void WriteMembers(std::string_view event,
                    std::string_view outcome,
                    std::string_view members);
  // Passes the buffered lines to the sink; call it a few times a second.
  void Flush();
  HostMetrics& Metrics() { return m_metrics; }
  // Number of lines dropped since the start.
  std::uint64_t Dropped() const { return m_dropped; }

 private:
  // Whether a line has room; counts it as dropped otherwise.
  bool HasRoom();
  // Begins a line with the time, the host and the event's name.
  void BeginLine(std::string_view event);

  const base::Clock& m_clock;
  std::string m_quoted_host;
  HostMetrics& m_metrics;
  Sink m_sink;
  std::string m_buffer;
  std::uint64_t m_dropped = 0;
  std::uint64_t m_dropped_logged = 0;
};

// A JSON string with this text; bytes that are not UTF-8 are replaced.
std::string QuoteJson(std::string_view text);

// Returns a sink for standard output and makes that descriptor non-blocking.
EventLog::Sink StandardOutputSink();

}  // namespace cassiastile::host
