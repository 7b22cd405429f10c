// Counts of work: a planning round that becomes dearer for each task and worker
// takes a large fleet's leader to the end of its processor time.
#include <string>

#include <gtest/gtest.h>

#include "scheduler_bench.hpp"

namespace cassiastile::jobs {
namespace {

constexpr std::uint64_t kSubmissionsPerWorker = 2;

// Places two jobs of eight tasks for each of so many workers, which leaves
// every worker with room for others, and ends all runs.
PlanningWork WorkOfFleet(std::size_t workers, SchedulerOptions options = {}) {
  SchedulerBench bench(2, options);
  for (std::size_t i = 0; i < workers; ++i) {
    bench.AddWorker("worker-" + std::to_string(i));
  }
  JobSpec spec = SchedulerBench::OneTask(900);
  spec.steps.front().count = 8;
  for (std::size_t i = 0; i < kSubmissionsPerWorker * workers; ++i) {
    bench.Submit("job-" + std::to_string(i), spec);
  }
  std::uint64_t sequence = 0;
  std::size_t started = 0;
  while (started < kSubmissionsPerWorker * workers * 8) {
    const auto starts = bench.StepAndStart();
    if (starts.empty()) {
      break;
    }
    started += starts.size();
    bench.Advance(std::chrono::milliseconds(50));
    for (const StartOrder& order : starts) {
      bench.End(order, RunEnd::kDone, ++sequence);
    }
  }
  EXPECT_EQ(started, kSubmissionsPerWorker * workers * 8);
  return bench.GetScheduler().GetPlanningWork();
}

// The target is 100 us of the leader for each run, of which placing may take a
// third; to examine a worker takes about 1 us with cold caches.
TEST(PlanningWorkTest, PlacementExaminesFewWorkersHoweverLargeThePool) {
  constexpr std::uint64_t kMaxExamined = 32;
  for (const std::size_t workers : {50U, 400U}) {
    const PlanningWork work = WorkOfFleet(workers);
    EXPECT_LE(work.workers_examined, kMaxExamined * work.placed) << workers;
  }
}

// What only reservations of starts need costs nothing without them.
TEST(PlanningWorkTest, NoDurationIsPredictedWithoutReservedStarts) {
  EXPECT_EQ(WorkOfFleet(50).predictions, 0U);
  EXPECT_GT(WorkOfFleet(50, {.max_reserved_starts = 4}).predictions, 0U);
}

// Each report with ends is covered once; a batch does not visit the workers
// that have none.
TEST(PlanningWorkTest, BatchesVisitOnlyWorkersWithEnds) {
  constexpr std::size_t kJobs = 50;
  SchedulerBench bench;
  for (std::size_t i = 0; i < 200; ++i) {
    bench.AddWorker("worker-" + std::to_string(i));
  }
  for (std::size_t i = 0; i < kJobs; ++i) {
    bench.Submit("job-" + std::to_string(i), SchedulerBench::OneTask());
    for (const StartOrder& order : bench.StepAndStart()) {
      bench.End(order, RunEnd::kDone, i + 1);
    }
  }
  bench.Step();
  EXPECT_LE(bench.GetScheduler().GetPlanningWork().end_visits, kJobs);
}

// A new admission snapshot does not sum up the work of jobs that only wait.
TEST(PlanningWorkTest, WaitingJobsAreNotSummedUpForEachSnapshot) {
  constexpr std::size_t kJobs = 100;
  SchedulerBench bench;
  bench.AddWorker("worker");
  for (std::size_t i = 0; i < kJobs; ++i) {
    bench.Submit("job-" + std::to_string(i), SchedulerBench::OneTask(16000));
  }
  bench.Step();
  // Ten snapshots in less time than a sum may be old.
  const auto before = bench.GetScheduler().GetPlanningWork().backlog_sums;
  for (int i = 0; i < 10; ++i) {
    bench.Advance(std::chrono::milliseconds(25));
    bench.Submit("late-" + std::to_string(i), SchedulerBench::OneTask(16000));
  }
  const auto after = bench.GetScheduler().GetPlanningWork().backlog_sums;
  EXPECT_LE(after - before, 2 * kJobs);
}

}  // namespace
}  // namespace cassiastile::jobs
