#pragma once

#include <algorithm>
#include <array>
#include <set>

#include "measure_tasks_run.hpp"

namespace measure {

inline double Percentile(std::vector<double> values, double quantile) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::ceil(quantile * last))];
}

constexpr seconds kUrgentRun{600};
constexpr seconds kUrgentWarmUp{60};
constexpr milliseconds kFineStep{50};
constexpr std::size_t kSweeps = 6000;

// A long batch task. A checkpointable one takes 600 seconds and may be
// preempted.
inline work::TaskSpec MakeSweep(std::size_t number, bool checkpointable) {
  work::TaskSpec spec;
  spec.id = "s" + std::to_string(number);
  spec.queue = "sweeps";
  spec.team = "team" + std::to_string(number % 5);
  spec.kind = "sweep";
  spec.idempotent = checkpointable;
  spec.checkpointable = checkpointable;
  spec.declared = {1.0 + static_cast<double>(number % 3), 2, 0};
  spec.seconds = checkpointable ? 600 : 20 + static_cast<double>(number % 40);
  return spec;
}

// A short task of the "push" queue.
inline work::TaskSpec MakePush(std::size_t number, bool urgent) {
  work::TaskSpec spec;
  spec.id = "p" + std::to_string(number);
  spec.queue = "push";
  spec.team = "push";
  spec.kind = "push" + std::to_string(number % 4);
  spec.urgent = urgent;
  spec.declared = {1.0 + static_cast<double>(number % 4), 2, 0};
  spec.seconds = 3;
  return spec;
}

// How long pushes wait for their start, in seconds.
struct UrgentTimes {
  double p50 = 0;
  double p99 = 0;
  double idle = 0;  // Idle cores in percent.
};

// Sweeps fill ten workers while pushes arrive at random, three seconds apart on
// average. If pushes aren't urgent, they wait like any other task.
inline UrgentTimes RunUrgentShard(bool checkpointable, bool urgent) {
  Scenario scenario;
  config::AcceptedFleet accepted = MakeFleet(scenario);
  accepted.fleet.queues = {{"push", "p", "push", urgent}};
  std::map<std::string, TimePoint> submitted;
  std::map<std::string, std::pair<TimePoint, double>> running;
  std::vector<double> waits;
  double busy = 0;
  TimePoint from{};
  const auto log = [&](const standin::WorkerLogEntry& line) {
    if (line.event == standin::WorkerEvent::kStarted) {
      running[line.key] = {line.at, line.usage.cores};
      const auto push = submitted.find(line.key);
      if (push != submitted.end()) {
        waits.push_back(
            std::chrono::duration<double>(line.at - push->second).count());
        submitted.erase(push);
      }
      return;
    }
    const auto& [start, cores] = running[line.key];
    const base::Duration counted = line.at - std::max(start, from);
    busy +=
        cores * std::max(0.0, std::chrono::duration<double>(counted).count());
    running.erase(line.key);
  };
  ShardRun run(accepted, {}, log);
  from = run.clock.Now() + kUrgentWarmUp;
  std::vector<work::TaskEvent> events;
  for (std::size_t number = 0; number < kSweeps; ++number) {
    events.emplace_back(work::SubmitEvent{MakeSweep(number, checkpointable)});
  }
  Random random(kSeed);
  std::exponential_distribution<double> gap(1.0 / 3);
  double next = static_cast<double>(kUrgentWarmUp.count());
  std::size_t pushes = 0;
  for (base::Duration passed{}; passed < kUrgentRun; passed += kFineStep) {
    if (std::chrono::duration<double>(passed).count() >= next) {
      next += gap(random);
      const work::TaskSpec push = MakePush(pushes++, urgent);
      submitted[work::KeyOf(push)] = run.clock.Now() + kFineStep;
      events.emplace_back(work::SubmitEvent{push});
    }
    run.Step(kFineStep, std::move(events));
    events.clear();
  }
  for (const auto& [key, at] : submitted) {
    waits.push_back(
        std::chrono::duration<double>(run.clock.Now() - at).count());
  }
  for (std::size_t index = 0; index < run.workers.Count(); ++index) {
    run.workers.At(index).Restart(run.clock.Now());
  }
  const auto time = static_cast<double>((kUrgentRun - kUrgentWarmUp).count());
  const double cores = CapacityOf(scenario).cores;
  return {Percentile(waits, 0.5), Percentile(waits, 0.99),
          100 * (1 - busy / (time * cores))};
}

// The baseline: seconds that a push waits behind all sweeps if tasks start in
// the order of submission, at most the measured length of the run.
inline double FirstComeWait(bool checkpointable) {
  double work = 0;
  for (std::size_t number = 0; number < kSweeps; ++number) {
    const work::TaskSpec sweep = MakeSweep(number, checkpointable);
    work += sweep.declared.cores * sweep.seconds;
  }
  const double cores = CapacityOf(Scenario{}).cores;
  const auto most = static_cast<double>((kUrgentRun - kUrgentWarmUp).count());
  return std::min(most, work / cores);
}

// How a team's limit on running tasks is kept. The `_if_forgotten` and
// `_static` fields are the baselines.
struct LimitResult {
  double overruns = 0;  // Runs beyond the limit.
  double overruns_if_forgotten = 0;
  double stranded = 0;  // Unused part of the limit in percent.
  double stranded_static = 0;
};

constexpr std::uint32_t kTaskLimit = 100;

// Workers pause past their leases, restart and lose messages while a team is at
// its limit. The baseline is a scheduler that forgets the runs it gave up: it
// would exceed the limit by the runs that are not confirmed as stopped.
inline void RunOverruns(LimitResult& result) {
  Scenario scenario;
  config::AcceptedFleet accepted = MakeFleet(scenario);
  accepted.fleet.limits = {{"a", 0, kTaskLimit}};
  std::int64_t running = 0;
  std::int64_t most = 0;
  const auto log = [&](const standin::WorkerLogEntry& line) {
    const bool starts = line.event == standin::WorkerEvent::kStarted;
    const bool ends = line.event != standin::WorkerEvent::kNotStarted;
    running += starts ? 1 : (ends ? -1 : 0);
    most = std::max(most, running);
  };
  ShardRun run(accepted, {}, log);
  run.workers.SetFaults({.lose_poll = 0.05, .lose_answer = 0.05});
  Random random(kSeed);
  std::vector<work::TaskEvent> events;
  for (std::size_t number = 0; number < kSweeps; ++number) {
    work::TaskSpec spec = MakeSweep(number, true);
    spec.team = "a";
    spec.seconds = 15;
    spec.declared.cores = 1;
    events.emplace_back(work::SubmitEvent{spec});
  }
  std::size_t unconfirmed = 0;
  for (base::Duration passed{}; passed < seconds(600); passed += kFineStep) {
    run.Step(kFineStep, std::move(events));
    events.clear();
    run.table.SetFaults({.fail_before = 0.02, .lose_answer = 0.02});
    standin::Worker& worker = run.workers.At(random() % scenario.hosts);
    switch (random() % 200) {
      case 0:
        worker.SetPaused(true);
        break;
      case 1:
      case 2:
        worker.SetPaused(false);
        break;
      case 3:
        worker.Restart(run.clock.Now());
        break;
      default:
        break;
    }
    std::size_t now = 0;
    for (const auto& [name, tasks] : run.owner.Shard().Tasks().Workers()) {
      now += tasks.unconfirmed.size();
    }
    unconfirmed = std::max(unconfirmed, now);
  }
  result.overruns = std::max(0.0, static_cast<double>(most) - kTaskLimit);
  result.overruns_if_forgotten = static_cast<double>(unconfirmed);
}

// A team's demand moves from five pools to one of them; the part of its limit
// that it can't use there ten seconds later is stranded. The baseline splits
// the limit equally among the pools.
inline void RunStranded(LimitResult& result) {
  constexpr std::size_t kPools = 5;
  constexpr std::size_t kTasksEach = 60;
  Scenario scenario;
  platform::MemoryTable table;
  NullDecisionSink decisions;
  ManualClock clock;
  std::vector<std::unique_ptr<work::TaskOwner>> owners;
  std::vector<std::unique_ptr<standin::WorkerFleet>> fleets;
  std::array<std::int64_t, kPools> running{};
  for (std::size_t index = 0; index < kPools; ++index) {
    config::AcceptedFleet accepted = MakeFleet(scenario);
    const std::string name = "p" + std::to_string(index);
    accepted.fleet.pools[0].name = name;
    accepted.fleet.limits = {{"a", 0, kTaskLimit}};
    owners.push_back(std::make_unique<work::TaskOwner>(
        name, work::TaskOwnerOptions{}, table, decisions, Random(index)));
    owners[index]->SetFleet(accepted);
    owners[index]->SetHosts(ViewsOf(accepted.fleet.pools[0]));
    fleets.push_back(std::make_unique<standin::WorkerFleet>(
        accepted.fleet.pools[0].hosts, Random(index),
        [&running, index](const standin::WorkerLogEntry& line) {
          running[index] +=
              line.event == standin::WorkerEvent::kStarted ? 1 : -1;
        }));
  }
  const auto run = [&](seconds length, std::vector<work::TaskEvent> first) {
    for (base::Duration passed{}; passed < length; passed += kFineStep) {
      clock.Advance(kFineStep);
      for (std::size_t index = 0; index < kPools; ++index) {
        const work::Moment moment{clock.Now(), clock.WallNow()};
        const work::OwnerLease owner_lease{
            1, {"lease/p" + std::to_string(index), 0}};
        if (passed == base::Duration{} && (index == 0 || !first.empty())) {
          owners[index]->ProcessEvents(first, moment, owner_lease);
        }
        const auto polls = fleets[index]->CollectPolls(clock.Now());
        std::vector<work::TaskEvent> events;
        for (const auto& poll : polls) {
          events.emplace_back(poll.poll);
        }
        const auto results =
            owners[index]->ProcessEvents(events, moment, owner_lease);
        for (std::size_t each = 0; each < polls.size(); ++each) {
          fleets[index]->Deliver(polls[each], results[each].answer,
                                 clock.Now());
        }
      }
    }
  };
  std::vector<work::TaskEvent> initial_tasks;
  for (std::size_t number = 0; number < kTasksEach; ++number) {
    work::TaskSpec spec = MakeSweep(number, true);
    spec.team = "a";
    spec.seconds = 5;
    spec.declared.cores = 1;
    initial_tasks.emplace_back(work::SubmitEvent{spec});
  }
  run(seconds(40), initial_tasks);
  std::vector<work::TaskEvent> shifted_tasks;
  for (std::size_t number = 0; number < 5 * kTasksEach; ++number) {
    work::TaskSpec spec = MakeSweep(number, true);
    spec.id = "late" + std::to_string(number);
    spec.team = "a";
    spec.seconds = 30;
    spec.declared.cores = 1;
    shifted_tasks.emplace_back(work::SubmitEvent{spec});
  }
  const work::Moment moment{clock.Now(), clock.WallNow()};
  owners[0]->ProcessEvents(shifted_tasks, moment, {1, {"lease/p0", 0}});
  run(seconds(10), {});
  result.stranded =
      100.0 * (kTaskLimit - static_cast<double>(running[0])) / kTaskLimit;
  result.stranded_static = 100.0 * (kPools - 1) / kPools;
}

inline LimitResult RunLimits() {
  LimitResult result;
  RunOverruns(result);
  RunStranded(result);
  return result;
}

}  // namespace measure
