#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "cassiastile/fleet/budget.hpp"
#include "cassiastile/fleet/reconciler.hpp"
#include "reconciler_round.hpp"

namespace cassiastile::fleet {

namespace {

// The weight of the latest host in the learnt service time, as a divisor.
constexpr int kServiceSmoothing = 4;

constexpr std::uint32_t kRebootsToLearn = 3;
constexpr int kRebootPatience = 2;  // Times the longest reboot seen.
constexpr std::chrono::seconds kShortestRebootTimeout(120);

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

std::optional<Stored<WaveRecord>> Reconciler::WaveInHand(
    const HostRecord& host) const {
  const auto found = m_state.waves.find(host.wave);
  if (host.wave.empty() || found == m_state.waves.end() ||
      found->second.record.run != host.wave_run) {
    return std::nullopt;
  }
  return found->second;
}

std::optional<Stored<WaveRecord>> Reconciler::WaveToBlame(
    const HostRecord& host,
    base::Duration in_state) const {
  if (auto wave = WaveInHand(host)) {
    return wave;
  }
  const auto found = m_state.waves.find(host.done_wave);
  if (found == m_state.waves.end() ||
      found->second.record.state != WaveState::kRunning ||
      !IsDone(found->second.record, host) ||
      in_state > m_options.correlation_time) {
    return std::nullopt;
  }
  return found->second;
}

std::vector<platform::Precondition> Reconciler::Neighbours(
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
                  round.Unseen(m_state));
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

bool Reconciler::TakeForWaves(Round& round) {
  for (const config::Wave& wave : m_document->fleet.waves) {
    const auto found = m_state.waves.find(wave.name);
    if (!Covers(wave, round.pool) || found == m_state.waves.end() ||
        found->second.record.state != WaveState::kRunning) {
      continue;
    }
    if (!TakeForWave(round, wave) || !FinishWaveIfDone(round, wave)) {
      return false;
    }
  }
  return true;
}

bool Reconciler::TakeForWave(Round& round, const config::Wave& wave) {
  const WaveInput input = MakeWaveInput(round, wave);
  NoteDrainTimes(round, input);
  if (!round.may_take) {
    return true;
  }
  const WaveStep step = PlanWaveStep(input);
  m_limits[wave.name][round.pool] = step.why;
  for (const std::string& host : step.take) {
    DrainRequest order;
    order.wave = m_state.waves.at(wave.name);
    order.canary = step.canary;
    order.rack_rows = Neighbours(host);
    order.detail = fmt::format("next of the wave {}; {}", wave.name, step.why);
    base::Result<Change> change = PlanTake(round, host, order);
    if (!change) {
      continue;
    }
    for (const SkippedHost& skipped : step.skipped) {
      change->decision.reasons.push_back({"not " + skipped.host, "waves",
                                          round.context.document_version,
                                          skipped.why});
    }
    if (!CommitIn(round, std::move(*change))) {
      return false;
    }
  }
  return true;
}

bool Reconciler::FinishWaveIfDone(Round& round, const config::Wave& wave) {
  if (wave.pools.front() != round.pool || !round.may_take) {
    return true;
  }
  const WaveForecast forecast = Forecast(wave);
  if (forecast.total == 0 ||
      forecast.done + forecast.left_out < forecast.total) {
    return true;
  }
  return CommitIn(
      round,
      FinishWave(round.context, m_state.waves.at(wave.name),
                 fmt::format("{} of {} hosts done, {} left out", forecast.done,
                             forecast.total, forecast.left_out)));
}

std::map<std::string, PoolWaveProgress> Reconciler::Remainders(
    const config::Wave& wave) const {
  std::map<std::string, PoolWaveProgress> remainders;
  for (const std::string& pool : wave.pools) {
    const BudgetCount count = CountBudget(
        FindPool(m_index, pool), FindPoolRecord(m_state, pool).record, {});
    remainders[pool].max_out = count.max_out;
    remainders[pool].failed = count.failed;
  }
  const WaveRecord record = FindWaveRecord(m_state, wave.name).record;
  for (const auto& [host, stored] : m_state.hosts) {
    const auto found = remainders.find(stored.record.pool);
    if (found == remainders.end()) {
      continue;
    }
    ++found->second.total;
    if (IsDone(record, stored.record)) {
      ++found->second.done;
    } else if (IsLeftOut(stored.record)) {
      ++found->second.left_out;
    }
  }
  return remainders;
}

WaveForecast Reconciler::Forecast(const config::Wave& wave) const {
  std::vector<PoolWaveProgress> pools;
  for (const auto& [pool, remainder] : Remainders(wave)) {
    pools.push_back(remainder);
  }
  return ForecastWave(wave, pools, ServiceTime(wave.name),
                      m_service.contains(wave.name), m_ports.clock.WallNow());
}

void Reconciler::NoteDrainTimes(const Round& round, const WaveInput& input) {
  for (const std::string& host : round.Members(m_state)) {
    m_drain_times.erase(host);
  }
  const std::size_t concurrent_hosts = std::max<std::size_t>(
      std::min(input.wave->parallel, input.budget.max_out), 1);
  std::size_t position = 0;
  for (const WaveHost* host : OrderHosts(input)) {
    m_drain_times[host->host.name] =
        m_ports.clock.Now() +
        ServiceTime(input.wave->name) * (position / concurrent_hosts);
    ++position;
  }
}

void Reconciler::NoteService(const HostRecord& host) {
  if (host.wave.empty() || !host.boots) {
    return;
  }
  const auto took = std::chrono::duration_cast<std::chrono::seconds>(
      m_observer.TimeOutOfService(host.host));
  const auto [found, added] = m_service.try_emplace(host.wave, took);
  if (!added) {
    found->second += (took - found->second) / kServiceSmoothing;
  }
}

void Reconciler::NoteReboot(const HostRecord& host, base::Duration took) {
  if (host.state != HostState::kRebooting || host.wave.empty()) {
    return;
  }
  RebootTimes& times = m_reboots[host.wave];
  ++times.count;
  times.longest =
      std::max(times.longest, std::chrono::ceil<std::chrono::seconds>(took));
}

// Once a wave has had a few reboots, one that takes much longer than the
// longest of them is given up before the general timeout.
ProgressOptions Reconciler::ProgressFor(const HostRecord& host) const {
  ProgressOptions options = m_options.progress;
  const auto found = m_reboots.find(host.wave);
  if (found != m_reboots.end() && found->second.count >= kRebootsToLearn) {
    options.reboot_timeout =
        std::min(options.reboot_timeout,
                 std::max(kRebootPatience * found->second.longest,
                          kShortestRebootTimeout));
  }
  return options;
}

std::chrono::seconds Reconciler::ServiceTime(const std::string& wave) const {
  const auto found = m_service.find(wave);
  return found == m_service.end() ? m_options.assumed_maintenance_time
                                  : found->second;
}

}  // namespace cassiastile::fleet
