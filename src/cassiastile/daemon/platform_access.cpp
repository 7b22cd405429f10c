#include "cassiastile/daemon/platform_access.hpp"

#include <thread>

#include "cassiastile/base/random.hpp"

namespace cassiastile::daemon {

namespace {

constexpr std::int64_t kMaxCallsPerSecond = 10000;

platform::HttpPlatformOptions MakeHttpOptions(
    wire::HttpClient& client,
    const PlatformAccessOptions& options) {
  return {&client, options.address, options.timeout};
}

platform::DecisionLogOptions MakeLogOptions(
    const PlatformAccessOptions& options) {
  platform::DecisionLogOptions log;
  log.process = options.process;
  return log;
}

void Sleep(base::Duration time) {
  std::this_thread::sleep_for(time);
}

}  // namespace

PlatformAccessOptions ReadPlatformOptions(config::Settings& settings) {
  PlatformAccessOptions options;
  options.address = config::FormatAddress(settings.Address("platform"));
  options.timeout =
      settings.Milliseconds("platform_timeout_ms", options.timeout);
  options.guard.writes_per_second = static_cast<double>(
      settings.Number("store_writes_per_second", 25, 1, kMaxCallsPerSecond));
  options.guard.reads_per_second = static_cast<double>(
      settings.Number("store_reads_per_second", 100, 1, kMaxCallsPerSecond));
  return options;
}

PlatformAccess::PlatformAccess(const base::Clock& clock,
                               const PlatformAccessOptions& options)
    : m_client(wire::HttpClient::Create()),
      m_table(MakeHttpOptions(*m_client, options)),
      m_guard(m_table, clock, Sleep, base::MakeRandom()(), options.guard),
      m_objects(MakeHttpOptions(*m_client, options)),
      m_hosts(MakeHttpOptions(*m_client, options)),
      m_machines(MakeHttpOptions(*m_client, options)),
      m_decisions(
          platform::DecisionLog::Create(m_objects, MakeLogOptions(options))) {}

void PlatformAccess::UpdateMetrics(wire::Metrics& metrics) const {
  const auto set = [&metrics](const std::string& name, const std::string& help,
                              std::uint64_t value) {
    metrics.Gauge(name, help).Set(static_cast<double>(value));
  };
  const platform::StoreGuardCounts store = m_guard.Counts();
  set("cassiastile_store_calls", "Calls to the table.", store.calls);
  set("cassiastile_store_attempts", "Attempts of these calls.", store.attempts);
  set("cassiastile_store_resolved", "Lost answers that were found out.",
      store.resolved);
  set("cassiastile_store_unknown", "Lost answers that stayed unknown.",
      store.unknown);
  set("cassiastile_store_kept_away",
      "Calls that the guard did not let through.", store.failed_fast);
  const platform::DecisionLogCounts decisions = m_decisions->Counts();
  set("cassiastile_decisions_recorded", "Decisions made.", decisions.recorded);
  set("cassiastile_decisions_stored", "Decisions in the object store.",
      decisions.stored);
  set("cassiastile_decisions_dropped", "Decisions lost for lack of room.",
      decisions.dropped);
}

}  // namespace cassiastile::daemon
