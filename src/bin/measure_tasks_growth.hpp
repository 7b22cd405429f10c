#pragma once

#include <malloc.h>

#include "measure_tasks_run.hpp"

namespace measure {

// A table whose calls take virtual time, as the platform's table does at two
// thousand rows read a second.
class TimedTable final : public platform::Table {
 public:
  TimedTable(platform::Table& table, ManualClock& clock)
      : m_table(table), m_clock(clock) {}

  base::Result<std::optional<platform::Row>> Get(
      const std::string& key) override {
    m_clock.Advance(kCall);
    return m_table.Get(key);
  }
  base::Result<std::vector<platform::Row>> Scan(const std::string& prefix,
                                                const std::string& after,
                                                std::size_t limit) override {
    auto rows = m_table.Scan(prefix, after, limit);
    m_clock.Advance(kCall + kRow * static_cast<int>(rows ? rows->size() : 0));
    return rows;
  }
  base::Result<platform::Commit> Apply(
      const platform::Transaction& transaction) override {
    m_clock.Advance(kCall);
    return m_table.Apply(transaction);
  }
  base::Result<std::optional<platform::Commit>> FindNonce(
      const std::string& nonce) override {
    m_clock.Advance(kCall);
    return m_table.FindNonce(nonce);
  }

 private:
  static constexpr milliseconds kCall{5};
  static constexpr std::chrono::microseconds kRow{500};

  platform::Table& m_table;
  ManualClock& m_clock;
};

// A takeover: the seconds until the first submission is accepted and the first
// task is started, and the submissions that were refused or timed out.
struct RecoveryTimes {
  double first_accept = 0;
  double refusals = 0;
  double first_start = 0;
};

// A new owner takes over a shard of `tasks` tasks while ten tasks a second are
// submitted. Callers give up after two seconds.
inline RecoveryTimes RunRecovery(std::size_t tasks,
                                 bool accept_submissions_while_reading) {
  constexpr double kSubmitEverySeconds = 0.1;
  constexpr double kCallerTimeoutSeconds = 2;
  const config::AcceptedFleet accepted = MakeFleet(Scenario{});
  ManualClock clock;
  platform::MemoryTable memory;
  for (std::size_t number = 0; number < tasks; ++number) {
    work::Task task;
    task.spec.id = "t" + std::to_string(number);
    task.spec.queue = "q";
    task.spec.team = "a";
    task.sequence = number + 1;
    static_cast<void>(
        memory.Apply({"n" + std::to_string(number),
                      {},
                      {{work::TaskRowKey("p", work::KeyOf(task.spec)),
                        work::EncodeTask(task)}}}));
  }
  TimedTable table(memory, clock);
  NullDecisionSink decisions;
  work::TaskOwnerOptions options;
  options.accept_submissions_while_reading = accept_submissions_while_reading;
  options.shard.max_tasks = 2 * tasks;
  work::TaskOwner owner("p", options, table, decisions, Random(kSeed));
  owner.SetFleet(accepted);
  owner.SetHosts(ViewsOf(accepted.fleet.pools[0]));
  standin::WorkerFleet workers(accepted.fleet.pools[0].hosts, Random(kSeed),
                               [](const standin::WorkerLogEntry&) {});
  const TimePoint start = clock.Now();
  const auto now = [&] {
    return std::chrono::duration<double>(clock.Now() - start).count();
  };
  RecoveryTimes times{-1, 0, -1};
  std::size_t sent = 0;
  while (times.first_start < 0 || times.first_accept < 0) {
    clock.Advance(milliseconds(25));
    std::vector<work::TaskEvent> events;
    std::vector<double> arrivals;
    for (; static_cast<double>(sent) * kSubmitEverySeconds <= now(); ++sent) {
      work::TaskSpec spec;
      spec.id = "new" + std::to_string(sent);
      spec.queue = "q";
      spec.team = "b";
      events.emplace_back(work::SubmitEvent{spec});
      arrivals.push_back(static_cast<double>(sent) * kSubmitEverySeconds);
    }
    const auto polls = workers.CollectPolls(clock.Now());
    for (const auto& poll : polls) {
      events.emplace_back(poll.poll);
    }
    const auto results = owner.ProcessEvents(
        events, {clock.Now(), clock.WallNow()}, {1, {"lease/p", 0}});
    for (std::size_t index = 0; index < arrivals.size(); ++index) {
      const bool is_accepted =
          results[index].effect == work::Effect::kCommitted &&
          now() - arrivals[index] <= kCallerTimeoutSeconds;
      times.refusals += is_accepted ? 0 : 1;
      if (is_accepted && times.first_accept < 0) {
        times.first_accept = now();
      }
    }
    for (std::size_t index = 0; index < polls.size(); ++index) {
      const auto& answer = results[arrivals.size() + index].answer;
      if (answer && !answer->start.empty() && times.first_start < 0) {
        times.first_start = now();
      }
      workers.Deliver(polls[index], answer, clock.Now());
    }
  }
  return times;
}

// The real time and the memory that decisions take at one size of a shard.
struct GrowthResult {
  double seconds_per_placement = 0;
  double seconds_per_poll = 0;
  double bytes_per_task = 0;
  double bytes_per_worker = 0;
};

// Heap bytes in use by the process.
inline double BytesInUse() {
  return static_cast<double>(mallinfo2().uordblks);
}

// Fills a shard of `hosts` workers with tasks and lets the workers poll. Times
// are real, so only ratios between sizes within one run are meaningful.
inline GrowthResult RunGrowth(std::size_t hosts) {
  constexpr std::size_t kTeams = 130;
  constexpr std::size_t kTasksPerHost = 8;
  constexpr int kPolls = 2000;
  Scenario scenario;
  scenario.hosts = hosts;
  const config::AcceptedFleet accepted = MakeFleet(scenario);
  ManualClock clock;
  const work::Moment moment{clock.Now(), clock.WallNow()};
  const double before = BytesInUse();
  work::TaskShard shard("p", {}, Random(kSeed));
  shard.EndLoad(moment);
  shard.SetFleet(accepted);
  shard.SetHosts(ViewsOf(accepted.fleet.pools[0]));
  std::vector<work::TaskEvent> polls;
  for (const config::Host& host : accepted.fleet.pools[0].hosts) {
    work::WorkerPoll poll;
    poll.worker = host.name;
    poll.incarnation = 1;
    poll.sequence = 1;
    polls.emplace_back(poll);
  }
  shard.Propose(polls, moment);
  shard.Confirm();
  const double with_workers = BytesInUse();
  const std::size_t tasks = hosts * kTasksPerHost;
  std::vector<work::TaskEvent> submissions;
  for (std::size_t number = 0; number < tasks; ++number) {
    work::TaskSpec spec;
    spec.id = "t" + std::to_string(number);
    spec.queue = "q";
    spec.team = "team" + std::to_string(number % kTeams);
    spec.kind = "k";
    submissions.emplace_back(work::SubmitEvent{spec});
  }
  using WallClock = std::chrono::steady_clock;
  const auto placing = WallClock::now();
  const std::size_t rows = shard.Propose(submissions, moment).rows.size();
  shard.Confirm();
  const std::chrono::duration<double> placed = WallClock::now() - placing;
  submissions.clear();
  submissions.shrink_to_fit();
  GrowthResult result;
  result.seconds_per_placement = placed.count() / static_cast<double>(rows);
  result.bytes_per_worker =
      (with_workers - before) / static_cast<double>(hosts);
  result.bytes_per_task =
      (BytesInUse() - with_workers) / static_cast<double>(tasks);
  const auto polling = WallClock::now();
  for (int number = 0; number < kPolls; ++number) {
    work::WorkerPoll poll = std::get<work::WorkerPoll>(polls[number % hosts]);
    poll.sequence = 2 + static_cast<std::uint64_t>(number);
    shard.Propose({poll}, moment);
    shard.Confirm();
    static_cast<void>(shard.Answer(poll));
  }
  const std::chrono::duration<double> polled = WallClock::now() - polling;
  result.seconds_per_poll = polled.count() / kPolls;
  return result;
}

}  // namespace measure
