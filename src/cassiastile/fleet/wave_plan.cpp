#include "cassiastile/fleet/wave_plan.hpp"

#include <algorithm>
#include <tuple>

#include <fmt/format.h>

#include "cassiastile/fleet/window.hpp"

namespace cassiastile::fleet {

namespace {

bool IsOutForWave(const WaveInput& input, const WaveHost& host) {
  return host.record.wave == input.wave->name &&
         host.record.state != HostState::kInService &&
         host.record.state != HostState::kFailed;
}

bool IsCanaryPhase(const WaveInput& input) {
  return input.record->canaries_done < input.wave->canaries;
}

std::uint32_t CountOutForWave(const WaveInput& input) {
  return static_cast<std::uint32_t>(std::count_if(
      input.hosts.begin(), input.hosts.end(),
      [&](const auto& host) { return IsOutForWave(input, host); }));
}

std::uint32_t CountRackOut(const WaveInput& input, const WaveHost& host) {
  const auto found = input.rack_out.find(RackKey(host.host));
  return found == input.rack_out.end() ? 0 : found->second;
}

std::map<std::string, std::uint32_t> CountZonesOut(const WaveInput& input) {
  std::map<std::string, std::uint32_t> out;
  for (const WaveHost& host : input.hosts) {
    out[host.host.zone] += host.record.state == HostState::kInService ? 0 : 1;
  }
  return out;
}

// How many hosts may be drained now, and the rule that limits the number.
std::pair<std::uint32_t, std::string> CountAllowed(const WaveInput& input) {
  if (input.record->state != WaveState::kRunning) {
    return {0, "the wave is " + std::string(NameOf(input.record->state))};
  }
  if (!IsOpen(input.wave->window, input.wall)) {
    return {0, "its window is " + Describe(input.wave->window)};
  }
  if (IsCanaryPhase(input) && !input.record->canary.empty()) {
    return {0, "the canary " + input.record->canary + " is out"};
  }
  const std::uint32_t out = CountOutForWave(input);
  const std::uint32_t concurrent_hosts =
      input.wave->parallel > out ? input.wave->parallel - out : 0;
  const std::uint32_t free = input.budget.Free();
  if (concurrent_hosts == 0) {
    return {0,
            fmt::format("{} of {} at once are out", out, input.wave->parallel)};
  }
  if (IsCanaryPhase(input)) {
    return {std::min(free, 1U), "canaries go one at a time"};
  }
  return {std::min(concurrent_hosts, free),
          "the budget: " + Describe(input.budget)};
}

}  // namespace

std::string RackKey(const config::Host& host) {
  return host.zone + "/" + (host.rack.empty() ? host.name : host.rack);
}

bool HasMaintained(const WaveRecord& wave, const HostRecord& host) {
  return host.done_wave == wave.wave && host.done_run == wave.run;
}

std::vector<const WaveHost*> OrderHosts(const WaveInput& input) {
  std::vector<const WaveHost*> hosts;
  for (const WaveHost& host : input.hosts) {
    if (host.record.state == HostState::kInService && host.known_up &&
        !HasMaintained(*input.record, host.record)) {
      hosts.push_back(&host);
    }
  }
  if (input.wave->order == config::WaveOrder::kAsListed) {
    return hosts;
  }
  const auto zones = CountZonesOut(input);
  const auto rank = [&](const WaveHost* host) {
    return std::tuple(host->work.without_checkpoint, host->work.running,
                      host->work.longest_remaining, zones.at(host->host.zone),
                      CountRackOut(input, *host));
  };
  std::stable_sort(hosts.begin(), hosts.end(),
                   [&](const WaveHost* left, const WaveHost* right) {
                     return rank(left) < rank(right);
                   });
  return hosts;
}

WaveStep PlanWaveStep(const WaveInput& input) {
  WaveStep step;
  const auto [allowed, why] = CountAllowed(input);
  step.why = why;
  step.canary = IsCanaryPhase(input);
  std::map<std::string, std::uint32_t> rack_out = input.rack_out;
  const std::string held_back =
      allowed == 0 ? why : fmt::format("{} go before it; {}", allowed, why);
  for (const WaveHost* host : OrderHosts(input)) {
    std::uint32_t& rack = rack_out[RackKey(host->host)];
    if (step.drain.size() >= allowed) {
      step.skipped.push_back({host->host.name, held_back});
    } else if (rack >= input.wave->per_rack) {
      step.skipped.push_back(
          {host->host.name, fmt::format("its rack has {} of {} out", rack,
                                        input.wave->per_rack)});
    } else {
      ++rack;
      step.drain.push_back(host->host.name);
    }
  }
  return step;
}

bool HaltsOnFailure(const config::Wave& wave,
                    const WaveRecord& record,
                    const std::string& host) {
  if (record.state != WaveState::kRunning) {
    return false;
  }
  const std::size_t unaccepted =
      record.failures.size() + 1 - record.accepted_failures;
  return unaccepted >= wave.halt_after || record.canary == host;
}

WaveForecast ForecastWave(const config::Wave& wave,
                          const std::vector<PoolWaveProgress>& pools,
                          std::chrono::seconds maintenance_time,
                          bool measured,
                          base::WallTime now) {
  WaveForecast forecast;
  forecast.finish = now;
  std::string shortage;
  for (const PoolWaveProgress& pool : pools) {
    forecast.total += pool.total;
    forecast.done += pool.done;
    forecast.left_out += pool.left_out;
    const std::uint32_t left = pool.total - pool.done - pool.left_out;
    const std::uint32_t allowed_out =
        pool.max_out > pool.failed ? pool.max_out - pool.failed : 0;
    const std::uint32_t concurrent_hosts = std::min(wave.parallel, allowed_out);
    if (left > 0 && concurrent_hosts == 0) {
      forecast.finish.reset();
      shortage = "; failed hosts use up a pool's budget";
    }
    if (left > 0 && forecast.finish && concurrent_hosts > 0) {
      const std::uint64_t batches =
          (left + concurrent_hosts - 1) / concurrent_hosts;
      forecast.finish = std::max(
          *forecast.finish,
          FinishOfBatches(wave.window, now, batches, maintenance_time));
    }
  }
  forecast.basis =
      fmt::format("{} s a host, {}; window {}{}", maintenance_time.count(),
                  measured ? "measured in this run" : "assumed",
                  Describe(wave.window), shortage);
  return forecast;
}

}  // namespace cassiastile::fleet
