#pragma once

#include <deque>
#include <memory>
#include <queue>

#include "cassiastile/platform/memory_platform.hpp"
#include "cassiastile/standin/worker_fleet.hpp"
#include "cassiastile/work/task_owner.hpp"
#include "measure_tasks_load.hpp"

namespace measure {

namespace platform = cassiastile::platform;
namespace standin = cassiastile::standin;
namespace fleet = cassiastile::fleet;

// Discards decisions.
class NullDecisionSink final : public base::DecisionSink {
 public:
  void Record(base::Decision) override {}
};

inline std::vector<fleet::HostView> ViewsOf(const config::Pool& pool) {
  std::vector<fleet::HostView> views;
  for (const config::Host& host : pool.hosts) {
    fleet::HostView view;
    view.host = host;
    view.pool = pool.name;
    views.push_back(view);
  }
  return views;
}

// A task shard with its owner, table and workers in virtual time.
class ShardRun {
 public:
  ShardRun(const config::AcceptedFleet& accepted,
           work::TaskOwnerOptions options,
           standin::Worker::Log log)
      : owner("p", options, table, m_decisions, Random(kSeed)),
        workers(accepted.fleet.pools[0].hosts, Random(kSeed), log),
        start(clock.Now()) {
    owner.SetFleet(accepted);
    owner.SetHosts(ViewsOf(accepted.fleet.pools[0]));
  }

  // Advances the clock, handles the events and the workers' polls, and delivers
  // the answers to the workers.
  void Step(base::Duration by, std::vector<work::TaskEvent> events) {
    clock.Advance(by);
    const std::vector<standin::SentPoll> polls =
        workers.CollectPolls(clock.Now());
    const std::size_t first = events.size();
    for (const standin::SentPoll& poll : polls) {
      events.emplace_back(poll.poll);
    }
    const auto results = owner.ProcessEvents(
        events, {clock.Now(), clock.WallNow()}, {1, {"lease/p", 0}});
    for (std::size_t index = 0; index < polls.size(); ++index) {
      workers.Deliver(polls[index], results[first + index].answer, clock.Now());
    }
  }

  double Seconds(TimePoint at) const {
    return std::chrono::duration<double>(at - start).count();
  }

  ManualClock clock;
  platform::MemoryTable table;

 private:
  NullDecisionSink m_decisions;  // Before the owner, which refers to it.

 public:
  work::TaskOwner owner;
  standin::WorkerFleet workers;
  TimePoint start;
};

// How closely teams got their shares, as fractions, and the table's load.
struct ShareResult {
  double error = 0;
  double error_in_warm_up = 0;
  double utilisation = 0;
  double tasks = 0;
  double reads_per_task = 0;
  double writes_per_task = 0;
  double writes_per_second = 0;
};

inline std::vector<TaskSource> MakeSources(const Scenario& scenario) {
  std::vector<TaskSource> sources;
  std::uint64_t seed = kSeed;
  for (const TeamLoad& team : scenario.teams) {
    sources.emplace_back(scenario, team, ++seed);
  }
  return sources;
}

// Measures the shares that teams get from a shard.
inline ShareResult RunShard(const Scenario& scenario) {
  UsageMeter meter(scenario);
  std::map<std::string, TimePoint> started;
  std::unique_ptr<ShardRun> run;
  double ended = 0;
  const auto log = [&](const standin::WorkerLogEntry& line) {
    if (line.event == standin::WorkerEvent::kStarted) {
      started[line.key] = line.at;
      return;
    }
    ++ended;
    const double from = run->Seconds(started[line.key]);
    const double to = run->Seconds(line.at);
    const double speed = to > from ? line.seconds / (to - from) : 1;
    meter.Add(line.team, line.usage * speed, from, to);
    started.erase(line.key);
  };
  work::TaskOwnerOptions options;
  options.shard.max_tasks = 10000000;
  options.shard.retention = seconds(5);
  options.shard.max_deletions = 100000;
  run = std::make_unique<ShardRun>(MakeFleet(scenario), options, log);
  std::vector<TaskSource> sources = MakeSources(scenario);
  for (base::Duration passed{}; passed < scenario.length;
       passed += scenario.step) {
    std::vector<work::TaskEvent> events;
    for (TaskSource& source : sources) {
      for (work::TaskSpec& spec : source.Next(scenario.step)) {
        events.emplace_back(work::SubmitEvent{std::move(spec)});
      }
    }
    run->Step(scenario.step, std::move(events));
  }
  // Ends the running tasks so that the meter counts them.
  for (std::size_t index = 0; index < run->workers.Count(); ++index) {
    run->workers.At(index).Restart(run->clock.Now());
  }
  const platform::MemoryCounts counts = run->table.Counts();
  ShareResult result;
  result.error = meter.LargestError();
  result.error_in_warm_up = meter.LargestError(true);
  result.utilisation = meter.Utilisation();
  result.tasks = ended;
  result.reads_per_task = static_cast<double>(counts.reads) / ended;
  result.writes_per_task = static_cast<double>(counts.writes) / ended;
  result.writes_per_second = static_cast<double>(counts.writes) /
                             static_cast<double>(scenario.length.count());
  return result;
}

enum class Baseline : std::uint8_t { kFirstCome, kStaticPartition };

// Measures the shares that teams get if tasks start in the order of submission,
// or if each team has its own partition of the pool. Declared sizes are
// used as they are.
inline ShareResult RunBaseline(const Scenario& scenario, Baseline kind) {
  struct Running {
    double end = 0;
    std::size_t partition = 0;
    work::Resources declared;
    bool operator<(const Running& other) const { return end > other.end; }
  };
  UsageMeter meter(scenario);
  std::vector<TaskSource> sources = MakeSources(scenario);
  const bool split = kind == Baseline::kStaticPartition;
  std::vector<std::deque<work::TaskSpec>> queues(split ? sources.size() : 1);
  std::vector<work::Resources> free;
  for (std::size_t index = 0; index < queues.size(); ++index) {
    const double fraction =
        split ? scenario.teams[index].weight / TotalWeight(scenario) : 1;
    free.push_back(CapacityOf(scenario) * fraction);
  }
  std::priority_queue<Running> running;
  const double step = std::chrono::duration<double>(scenario.step).count();
  const auto length = static_cast<double>(scenario.length.count());
  for (double now = 0; now < length; now += step) {
    for (std::size_t index = 0; index < sources.size(); ++index) {
      for (work::TaskSpec& spec : sources[index].Next(scenario.step)) {
        queues[split ? index : 0].push_back(std::move(spec));
      }
    }
    while (!running.empty() && running.top().end <= now) {
      const Running& finished = running.top();
      free[finished.partition] = free[finished.partition] + finished.declared;
      running.pop();
    }
    for (std::size_t index = 0; index < queues.size(); ++index) {
      auto& queue = queues[index];
      while (!queue.empty() &&
             work::Fits(queue.front().declared, free[index])) {
        const work::TaskSpec spec = std::move(queue.front());
        queue.pop_front();
        free[index] = free[index] - spec.declared;
        const RealSize real = RealSizeOf(spec);
        meter.Add(spec.team, real.usage, now, now + real.seconds);
        running.push({now + real.seconds, index, spec.declared});
      }
    }
  }
  ShareResult result;
  result.error = meter.LargestError();
  result.error_in_warm_up = meter.LargestError(true);
  result.utilisation = meter.Utilisation();
  return result;
}

}  // namespace measure
