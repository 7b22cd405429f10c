#include "cassiastile/host/event_log.hpp"

#include <algorithm>
#include <climits>
#include <utility>

#include <fcntl.h>
#include <unistd.h>
#include <nlohmann/json.hpp>

namespace cassiastile::host {

namespace {

// Holds about one second of lines at the highest rate seen in tests.
constexpr std::size_t kMaxBufferedBytes = 512U << 10U;
constexpr std::size_t kAtomicWriteBytes = PIPE_BUF;

// Returns the field of a line that names its outcome; empty if there is none.
std::string OutcomeOf(const nlohmann::json& fields) {
  for (const char* name : {"result", "reason", "how", "phase"}) {
    const auto found = fields.find(name);
    if (found != fields.end()) {
      return found->is_string() ? found->get<std::string>() : found->dump();
    }
  }
  return "";
}

}  // namespace

EventLog::EventLog(const base::Clock& clock,
                   std::string_view host,
                   HostMetrics& metrics,
                   Sink sink)
    : m_clock(clock),
      m_quoted_host(QuoteJson(host)),
      m_metrics(metrics),
      m_sink(std::move(sink)) {}

bool EventLog::HasRoom() {
  if (m_buffer.size() > kMaxBufferedBytes) {
    ++m_dropped;
    return false;
  }
  if (m_dropped_logged != m_dropped) {
    const std::uint64_t lost = m_dropped - m_dropped_logged;
    m_dropped_logged = m_dropped;
    Write("log.dropped", {{"lines", lost}});
  }
  return true;
}

void EventLog::BeginLine(std::string_view event) {
  m_buffer += R"({"at":")";
  m_buffer += base::FormatWallTime(m_clock.WallNow());
  m_buffer += R"(","host":)";
  m_buffer += m_quoted_host;
  m_buffer += R"(,"event":)";
  m_buffer += QuoteJson(event);
}

void EventLog::Write(std::string_view event, const nlohmann::json& fields) {
  m_metrics.Count(event, OutcomeOf(fields));
  if (!HasRoom()) {
    return;
  }
  BeginLine(event);
  if (fields.empty()) {
    m_buffer += "}\n";
    return;
  }
  const std::string text =
      fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  m_buffer += ',';
  m_buffer.append(text, 1);
  m_buffer += '\n';
}

void EventLog::WriteMembers(std::string_view event,
                            std::string_view outcome,
                            std::string_view members) {
  m_metrics.Count(event, outcome);
  if (!HasRoom()) {
    return;
  }
  BeginLine(event);
  m_buffer += ',';
  m_buffer += members;
  m_buffer += "}\n";
}

void EventLog::Flush() {
  if (m_buffer.empty()) {
    return;
  }
  m_buffer.erase(0, m_sink(m_buffer));
}

std::string QuoteJson(std::string_view text) {
  const bool is_plain = std::ranges::all_of(text, [](char each) {
    return (each >= 'a' && each <= 'z') || (each >= 'A' && each <= 'Z') ||
           (each >= '0' && each <= '9') || each == '-' || each == '.' ||
           each == '_' || each == ':' || each == ' ';
  });
  if (is_plain) {
    std::string quoted = "\"";
    quoted += text;
    quoted += '"';
    return quoted;
  }
  return nlohmann::json(text).dump(-1, ' ', false,
                                   nlohmann::json::error_handler_t::replace);
}

EventLog::Sink StandardOutputSink() {
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) {
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
  return [](std::string_view bytes) -> std::size_t {
    std::size_t taken = 0;
    while (taken < bytes.size()) {
      // Writes whole lines of at most PIPE_BUF bytes in total, which a pipe
      // accepts completely or not at all.
      std::string_view chunk = bytes.substr(taken, kAtomicWriteBytes);
      if (const std::size_t end = chunk.rfind('\n');
          end != std::string_view::npos) {
        chunk = chunk.substr(0, end + 1);
      }
      const ssize_t written = write(STDOUT_FILENO, chunk.data(), chunk.size());
      if (written <= 0) {
        break;
      }
      taken += static_cast<std::size_t>(written);
    }
    return taken;
  };
}

}  // namespace cassiastile::host
