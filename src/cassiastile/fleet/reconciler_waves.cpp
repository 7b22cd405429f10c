#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "cassiastile/fleet/budget.hpp"
#include "cassiastile/fleet/reconciler.hpp"
#include "reconciler_round.hpp"

namespace cassiastile::fleet {

namespace {

// The smoothed maintenance time moves by 1/kMaintenanceTimeSmoothing of the
// difference with each host.
constexpr int kMaintenanceTimeSmoothing = 4;

constexpr std::uint32_t kMinRebootsToLearn = 3;
constexpr int kRebootTimeoutFactor = 2;  // Times the longest reboot.
constexpr std::chrono::seconds kMinRebootTimeout(120);

bool IsLeftOut(const HostRecord& host) {
  return host.state == HostState::kFailed ||
         host.reason == OutReason::kOperator ||
         host.reason == OutReason::kFailed;
}

bool Covers(const config::Wave& wave, const std::string& pool) {
  return std::find(wave.pools.begin(), wave.pools.end(), pool) !=
         wave.pools.end();
}

}  // namespace

std::optional<Stored<WaveRecord>> Reconciler::CurrentWaveOf(
    const HostRecord& host) const {
  const auto found = m_state.waves.find(host.wave);
  if (host.wave.empty() || found == m_state.waves.end() ||
      found->second.record.run != host.wave_run) {
    return std::nullopt;
  }
  return found->second;
}

std::optional<Stored<WaveRecord>> Reconciler::WaveForFailure(
    const HostRecord& host,
    base::Duration time_in_state) const {
  if (auto wave = CurrentWaveOf(host)) {
    return wave;
  }
  const auto found = m_state.waves.find(host.done_wave);
  if (found == m_state.waves.end() ||
      found->second.record.state != WaveState::kRunning ||
      !HasMaintained(found->second.record, host) ||
      time_in_state > m_options.correlation_time) {
    return std::nullopt;
  }
  return found->second;
}

std::vector<platform::Precondition> Reconciler::RackRows(
    const std::string& host) const {
  std::vector<platform::Precondition> rows;
  const DeclaredHost* declared = FindHost(m_index, host);
  if (declared == nullptr) {
    return rows;
  }
  for (const std::string& other : m_index.racks.at(RackKey(*declared->host))) {
    const auto found = m_state.hosts.find(other);
    if (other != host && found != m_state.hosts.end()) {
      rows.push_back({HostKey(other), found->second.version});
    }
  }
  return rows;
}

WaveInput Reconciler::MakeWaveInput(const Round& round,
                                    const config::Wave& wave) const {
  WaveInput input;
  input.wave = &wave;
  input.record = &m_state.waves.at(wave.name).record;
  input.budget =
      CountBudget(round.declared, FindPoolRecord(m_state, round.pool).record,
                  round.UnresponsiveHosts(m_state));
  input.wall = round.context.wall;
  for (const auto& [host, stored] : m_state.hosts) {
    if (stored.record.state == HostState::kInService) {
      continue;
    }
    if (const DeclaredHost* declared = FindHost(m_index, host)) {
      ++input.rack_out[RackKey(*declared->host)];
    }
  }
  for (const std::string& host : round.Members(m_state)) {
    const auto seen = round.seen.find(host);
    const DeclaredHost* declared = FindHost(m_index, host);
    if (declared == nullptr || seen == round.seen.end()) {
      continue;
    }
    input.hosts.push_back({*declared->host, m_state.hosts.at(host).record,
                           seen->second.work, IsKnownUp(seen->second)});
  }
  std::stable_sort(input.hosts.begin(), input.hosts.end(),
                   [this](const WaveHost& left, const WaveHost& right) {
                     return m_index.hosts.at(left.host.name).position <
                            m_index.hosts.at(right.host.name).position;
                   });
  return input;
}

bool Reconciler::DrainForWaves(Round& round) {
  for (const config::Wave& wave : m_document->fleet.waves) {
    const auto found = m_state.waves.find(wave.name);
    if (!Covers(wave, round.pool) || found == m_state.waves.end() ||
        found->second.record.state != WaveState::kRunning) {
      continue;
    }
    if (!DrainForWave(round, wave) || !FinishWaveIfDone(round, wave)) {
      return false;
    }
  }
  return true;
}

bool Reconciler::DrainForWave(Round& round, const config::Wave& wave) {
  const WaveInput input = MakeWaveInput(round, wave);
  UpdateExpectedDrainTimes(round, input);
  if (!round.has_latest_document) {
    return true;
  }
  const WaveStep step = PlanWaveStep(input);
  m_limiting_rules[wave.name][round.pool] = step.why;
  for (const std::string& host : step.drain) {
    DrainRequest request;
    request.wave = m_state.waves.at(wave.name);
    request.canary = step.canary;
    request.rack_rows = RackRows(host);
    request.detail =
        fmt::format("next of the wave {}; {}", wave.name, step.why);
    base::Result<Change> change = PlanDrain(round, host, request);
    if (!change) {
      continue;
    }
    for (const SkippedHost& skipped : step.skipped) {
      change->decision.reasons.push_back({"not " + skipped.host, "waves",
                                          round.context.document_version,
                                          skipped.why});
    }
    if (!CommitInRound(round, std::move(*change))) {
      return false;
    }
  }
  return true;
}

bool Reconciler::FinishWaveIfDone(Round& round, const config::Wave& wave) {
  if (wave.pools.front() != round.pool || !round.has_latest_document) {
    return true;
  }
  const WaveForecast forecast = Forecast(wave);
  if (forecast.total == 0 ||
      forecast.done + forecast.left_out < forecast.total) {
    return true;
  }
  return CommitInRound(
      round,
      FinishWave(round.context, m_state.waves.at(wave.name),
                 fmt::format("{} of {} hosts done, {} left out", forecast.done,
                             forecast.total, forecast.left_out)));
}

std::map<std::string, PoolWaveProgress> Reconciler::ProgressByPool(
    const config::Wave& wave) const {
  std::map<std::string, PoolWaveProgress> progress_by_pool;
  for (const std::string& pool : wave.pools) {
    const BudgetCount count = CountBudget(
        FindPool(m_index, pool), FindPoolRecord(m_state, pool).record, {});
    progress_by_pool[pool].max_out = count.max_out;
    progress_by_pool[pool].failed = count.failed;
  }
  const WaveRecord record = FindWaveRecord(m_state, wave.name).record;
  for (const auto& [host, stored] : m_state.hosts) {
    const auto found = progress_by_pool.find(stored.record.pool);
    if (found == progress_by_pool.end()) {
      continue;
    }
    ++found->second.total;
    if (HasMaintained(record, stored.record)) {
      ++found->second.done;
    } else if (IsLeftOut(stored.record)) {
      ++found->second.left_out;
    }
  }
  return progress_by_pool;
}

WaveForecast Reconciler::Forecast(const config::Wave& wave) const {
  std::vector<PoolWaveProgress> pools;
  for (const auto& [pool, pool_progress] : ProgressByPool(wave)) {
    pools.push_back(pool_progress);
  }
  return ForecastWave(wave, pools, MaintenanceTime(wave.name),
                      m_maintenance_times.contains(wave.name),
                      m_dependencies.clock.WallNow());
}

void Reconciler::UpdateExpectedDrainTimes(const Round& round,
                                          const WaveInput& input) {
  for (const std::string& host : round.Members(m_state)) {
    m_expected_drain_times.erase(host);
  }
  const std::size_t concurrent_hosts = std::max<std::size_t>(
      std::min(input.wave->parallel, input.budget.max_out), 1);
  std::size_t position = 0;
  for (const WaveHost* host : OrderHosts(input)) {
    m_expected_drain_times[host->host.name] =
        m_dependencies.clock.Now() +
        MaintenanceTime(input.wave->name) * (position / concurrent_hosts);
    ++position;
  }
}

void Reconciler::RecordMaintenanceTime(const HostRecord& host) {
  if (host.wave.empty() || !host.boots) {
    return;
  }
  const auto took = std::chrono::duration_cast<std::chrono::seconds>(
      m_observer.TimeOutOfService(host.host));
  const auto [found, added] = m_maintenance_times.try_emplace(host.wave, took);
  if (!added) {
    found->second += (took - found->second) / kMaintenanceTimeSmoothing;
  }
}

void Reconciler::RecordRebootTime(const HostRecord& host, base::Duration took) {
  if (host.state != HostState::kRebooting || host.wave.empty()) {
    return;
  }
  RebootTimes& times = m_reboot_times[host.wave];
  ++times.count;
  times.longest =
      std::max(times.longest, std::chrono::ceil<std::chrono::seconds>(took));
}

// Time limits under which, after a few reboots of a wave, a reboot that takes
// much longer than the longest of them is given up before the configured
// timeout. Not in use: AdvanceHost applies the configured limits.
ProgressOptions Reconciler::ProgressOptionsFor(const HostRecord& host) const {
  ProgressOptions options = m_options.progress;
  const auto found = m_reboot_times.find(host.wave);
  if (found != m_reboot_times.end() &&
      found->second.count >= kMinRebootsToLearn) {
    options.reboot_timeout =
        std::min(options.reboot_timeout,
                 std::max(kRebootTimeoutFactor * found->second.longest,
                          kMinRebootTimeout));
  }
  return options;
}

std::chrono::seconds Reconciler::MaintenanceTime(
    const std::string& wave) const {
  const auto found = m_maintenance_times.find(wave);
  return found == m_maintenance_times.end() ? m_options.assumed_maintenance_time
                                            : found->second;
}

}  // namespace cassiastile::fleet
