#include "cassiastile/host/host_metrics.hpp"

#include <sys/resource.h>

#include "cassiastile/host/leader_load.hpp"

namespace cassiastile::host {

namespace {

struct HistogramRow {
  Latency latency;
  const char* name;
  const char* help;
};

constexpr std::array<HistogramRow, 5> kHistograms{{
    {Latency::kCommit, "cassia_commit_seconds",
     "Time of a commit to the platform's table, from its last send."},
    {Latency::kStart, "cassia_start_order_seconds",
     "Time of an order to start a run until the worker answered."},
    {Latency::kFirstStart, "cassia_job_first_start_seconds",
     "Time from a job's arrival to the first start of one of its tasks."},
    {Latency::kJob, "cassia_job_seconds",
     "Time from a job's arrival to its end."},
    {Latency::kRequest, "cassia_request_seconds",
     "Time of a caller's request at the host that took it."},
}};

// In seconds: from one round trip within a zone to the longest time that a
// caller waits.
const std::vector<double>& Buckets() {
  static const std::vector<double> buckets{
      0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30};
  return buckets;
}

}  // namespace

HostMetrics::HostMetrics() {
  for (const HistogramRow& row : kHistograms) {
    m_histograms[static_cast<std::size_t>(row.latency)] =
        &m_metrics.Histogram(row.name, row.help, Buckets());
  }
  m_processor = &m_metrics.Gauge("cassia_processor_seconds",
                                 "Processor time used since the start.");
  m_memory = &m_metrics.Gauge("cassia_peak_memory_bytes",
                              "The most resident memory since the start.");
}

void HostMetrics::Count(std::string_view event, std::string_view outcome) {
  auto of_event = m_counters.find(event);
  if (of_event == m_counters.end()) {
    of_event = m_counters.emplace(event, decltype(of_event->second){}).first;
  }
  auto found = of_event->second.find(outcome);
  if (found == of_event->second.end()) {
    prometheus::Counter& counter = m_metrics.Counter(
        "cassia_events_total", "Lines of the event log by event and outcome.",
        {{"event", std::string(event)}, {"outcome", std::string(outcome)}});
    found = of_event->second.emplace(outcome, &counter).first;
  }
  found->second->Increment();
}

void HostMetrics::Observe(Latency latency, base::Duration duration) {
  m_histograms[static_cast<std::size_t>(latency)]->Observe(
      std::chrono::duration<double>(duration).count());
}

void HostMetrics::SetUsage(Listener listener,
                           const wire::ConnectionUsage& last,
                           const wire::ConnectionUsage& usage) {
  const std::string name(base::FindName(kListenerNames, listener));
  m_metrics
      .Gauge("cassia_connections", "Open connections of clients by port.",
             {{"listener", name}})
      .Set(static_cast<double>(usage.connections));
  m_metrics
      .Gauge("cassia_held_bytes",
             "Bytes of requests that are incomplete or not answered, and of "
             "responses that are not sent, by port.",
             {{"listener", name}})
      .Set(static_cast<double>(usage.held_bytes));
  for (const auto& [reason, reason_name] : wire::kCloseReasonNames) {
    const auto index = static_cast<std::size_t>(reason);
    m_metrics
        .Counter("cassia_closed_connections_total",
                 "Connections closed to keep a port's limits.",
                 {{"listener", name}, {"reason", std::string(reason_name)}})
        .Increment(
            static_cast<double>(usage.closed[index] - last.closed[index]));
  }
}

std::string HostMetrics::Expose() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  constexpr double kKilobyte = 1024;
  m_processor->Set(std::chrono::duration<double>(ProcessorTime()).count());
  m_memory->Set(kKilobyte * static_cast<double>(usage.ru_maxrss));
  return m_metrics.Expose();
}

}  // namespace cassiastile::host
