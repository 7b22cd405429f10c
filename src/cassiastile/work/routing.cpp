#include "cassiastile/work/routing.hpp"

#include <algorithm>
#include <random>

namespace cassiastile::work {

namespace {

// The weight of each answer in the moving average of a runner's latency.
constexpr double kLatencyGain = 0.1;
// Keeps the shift that doubles an ejection within its type.
constexpr std::uint32_t kMaxDoublings = 8;
// With fewer measured runners, none is ejected for slowness.
constexpr std::size_t kMinRunnersForMedian = 3;

base::Duration UsualLatency(const Runner& runner,
                            const RoutingOptions& options) {
  return runner.latency > base::Duration::zero()
             ? runner.latency
             : base::Duration(options.assumed_latency);
}

bool HasFreeSlot(const Runner& runner) {
  return IsUsable(runner) && runner.in_use < runner.granted;
}

// The expected time until the runner answers one more request, in ticks of
// base::Duration, with the zone penalty added.
double ScoreOf(const Runner& runner, const RoutingOptions& options) {
  const double load = (runner.in_use + 1.0) / runner.granted;
  const auto latency =
      static_cast<double>(UsualLatency(runner, options).count());
  const bool near = runner.zone == options.zone;
  const auto zone_cost =
      near ? 0.0
           : static_cast<double>(base::Duration(options.zone_penalty).count());
  return latency * load + zone_cost;
}

std::size_t DrawOne(const std::vector<std::size_t>& from,
                    base::Random& random) {
  std::uniform_int_distribution<std::size_t> draw(0, from.size() - 1);
  return from[draw(random)];
}

std::size_t EjectedCount(const Runners& runners) {
  return static_cast<std::size_t>(
      std::count_if(runners.begin(), runners.end(), [](const Runner& runner) {
        return !runner.leaving && runner.health != RunnerHealth::kHealthy;
      }));
}

std::size_t PresentCount(const Runners& runners) {
  return static_cast<std::size_t>(
      std::count_if(runners.begin(), runners.end(),
                    [](const Runner& runner) { return !runner.leaving; }));
}

void StartEjection(Runner& runner,
                   const RoutingOptions& options,
                   base::TimePoint now) {
  const std::uint32_t doublings = std::min(runner.ejections, kMaxDoublings);
  const base::Duration length = std::min<base::Duration>(
      options.ejection * (1U << doublings), options.max_ejection);
  runner.health = RunnerHealth::kEjected;
  runner.ejected_until = now + length;
  ++runner.ejections;
}

}  // namespace

bool IsUsable(const Runner& runner) {
  return !runner.leaving && runner.health == RunnerHealth::kHealthy;
}

std::optional<std::size_t> PickRunner(const Runners& runners,
                                      const std::vector<std::string>& excluded,
                                      const RoutingOptions& options,
                                      base::Random& random) {
  std::vector<std::size_t> near;
  std::vector<std::size_t> far;
  for (std::size_t i = 0; i < runners.size(); ++i) {
    const bool is_excluded = std::find(excluded.begin(), excluded.end(),
                                       runners[i].name) != excluded.end();
    if (!is_excluded && HasFreeSlot(runners[i])) {
      (runners[i].zone == options.zone ? near : far).push_back(i);
    }
  }
  std::vector<std::size_t> drawn;
  if (!near.empty()) {
    drawn.push_back(DrawOne(near, random));
    drawn.push_back(DrawOne(near, random));
  }
  if (!far.empty()) {
    drawn.push_back(DrawOne(far, random));
    drawn.push_back(DrawOne(far, random));
  }
  const auto best = std::min_element(drawn.begin(), drawn.end(),
                                     [&](std::size_t left, std::size_t right) {
                                       return ScoreOf(runners[left], options) <
                                              ScoreOf(runners[right], options);
                                     });
  return best == drawn.end() ? std::nullopt : std::optional(*best);
}

void RecordAnswer(Runner& runner, base::Duration latency, base::TimePoint now) {
  if (runner.latency == base::Duration::zero()) {
    runner.latency = latency;
  } else {
    const auto step =
        static_cast<double>((latency - runner.latency).count()) * kLatencyGain;
    runner.latency += base::Duration(static_cast<std::int64_t>(step));
  }
  runner.failures = 0;
  runner.last_answer = now;
  if (runner.health == RunnerHealth::kHealthy) {
    runner.ejections = 0;
  }
}

void RecordFailure(Runners& runners,
                   std::size_t index,
                   const RoutingOptions& options,
                   base::TimePoint now) {
  Runner& runner = runners[index];
  ++runner.failures;
  if (runner.failures >= options.eject_after_failures) {
    Eject(runners, index, options, now);
  }
}

bool Eject(Runners& runners,
           std::size_t index,
           const RoutingOptions& options,
           base::TimePoint now) {
  Runner& runner = runners[index];
  if (runner.health != RunnerHealth::kHealthy) {
    return false;
  }
  const auto allowed =
      static_cast<std::size_t>(options.max_ejected_fraction *
                               static_cast<double>(PresentCount(runners)));
  if (EjectedCount(runners) >= allowed) {
    return false;
  }
  StartEjection(runner, options, now);
  return true;
}

base::Duration SilenceLimit(const Runner& runner,
                            const RoutingOptions& options) {
  const auto usual =
      static_cast<double>(UsualLatency(runner, options).count()) *
      options.silence_factor;
  return std::max<base::Duration>(
      options.min_silence, base::Duration(static_cast<std::int64_t>(usual)));
}

void EjectSlow(Runners& runners,
               const RoutingOptions& options,
               base::TimePoint now) {
  std::vector<base::Duration> latencies;
  for (const Runner& runner : runners) {
    if (IsUsable(runner) && runner.latency > base::Duration::zero()) {
      latencies.push_back(runner.latency);
    }
  }
  if (latencies.size() < kMinRunnersForMedian) {
    return;
  }
  const auto middle =
      latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  const auto bound = base::Duration(static_cast<std::int64_t>(
      static_cast<double>(middle->count()) * options.slow_factor));
  for (std::size_t i = 0; i < runners.size(); ++i) {
    if (IsUsable(runners[i]) && runners[i].latency > bound &&
        Eject(runners, i, options, now)) {
      runners[i].latency = base::Duration::zero();
    }
  }
}

std::vector<std::size_t> TakeDueProbes(Runners& runners, base::TimePoint now) {
  std::vector<std::size_t> due;
  for (std::size_t i = 0; i < runners.size(); ++i) {
    if (runners[i].health == RunnerHealth::kEjected && !runners[i].leaving &&
        now >= runners[i].ejected_until) {
      runners[i].health = RunnerHealth::kProbing;
      due.push_back(i);
    }
  }
  return due;
}

void RecordProbe(Runner& runner,
                 bool healthy,
                 const RoutingOptions& options,
                 base::TimePoint now) {
  if (runner.health != RunnerHealth::kProbing) {
    return;
  }
  if (!healthy) {
    StartEjection(runner, options, now);
    return;
  }
  runner.health = RunnerHealth::kHealthy;
  runner.failures = 0;
  runner.last_answer = now;
}

}  // namespace cassiastile::work
