// Jobs whose progress is too large for a row, or would grow with all that they
// have ever run.
#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "scheduler_bench.hpp"

namespace cassiastile::jobs {
namespace {

constexpr std::size_t kRowBytes = 65536;
// 1 MB of base64, with room for what is stored besides jobs.
constexpr std::size_t kBatchBytes = 600000;
constexpr std::size_t kMaxRows = 80;
constexpr std::uint32_t kWideStep = 10000;
constexpr std::chrono::milliseconds kSilent{20000};

class SplitProgressTest : public testing::Test {
 protected:
  void SetUp() override {
    for (const char* worker : {"a", "b", "c", "d"}) {
      m_bench.AddWorker(worker);
    }
  }

  static JobSpec Wide(std::uint32_t tasks, std::size_t steps = 1) {
    JobSpec spec = SchedulerBench::OneTask(1);
    spec.steps.front().need = {1, 1, 0};
    spec.steps.front().count = tasks;
    while (spec.steps.size() < steps) {
      spec.steps.push_back(spec.steps.front());
      spec.steps.back().after = {
          static_cast<std::uint32_t>(spec.steps.size() - 2)};
    }
    return spec;
  }

  static JobSpec Repeating(std::uint32_t tasks, std::uint32_t repeats) {
    JobSpec spec = Wide(tasks);
    spec.repeats = repeats;
    return spec;
  }

  void ExpectBoundedRows() const {
    EXPECT_LE(m_bench.LargestRow(), kRowBytes);
    EXPECT_LE(m_bench.LargestBatch(), kBatchBytes);
  }

  // Ends runs of a job as done, with one report for each worker.
  void EndAll(const std::vector<StartOrder>& starts) {
    m_bench.EndTogether(starts, RunEnd::kDone, m_ends);
  }

  SchedulerBench m_bench;
  std::map<std::string, std::uint64_t> m_ends;
};

TEST_F(SplitProgressTest, RowsDoNotGrowWithOccurrencesThatAreOver) {
  constexpr std::uint32_t kRepeats = 400;
  m_bench.Submit("job", Repeating(40, kRepeats));
  std::size_t largest = 0;
  for (std::uint32_t i = 0; i < kRepeats; ++i) {
    EndAll(m_bench.StepAndStart());
    largest = std::max(
        largest, m_bench.GetScheduler().FindJob("job")->occurrences.size());
  }
  EXPECT_EQ(m_bench.GetScheduler().FindJob("job")->phase, JobPhase::kDone);
  ExpectBoundedRows();
  // Those that have begun are limited by the tasks that wait.
  EXPECT_LE(largest, 500U);
}

TEST_F(SplitProgressTest, AStepWithTenThousandRunningTasksIsStored) {
  m_bench.Submit("job", Wide(kWideStep, 2));
  const auto first = m_bench.StepAndStart();
  EXPECT_EQ(first.size(), kWideStep);
  EndAll(first);
  const auto second = m_bench.StepAndStart();
  EXPECT_EQ(second.size(), kWideStep);
  ExpectBoundedRows();
  for (const char* worker : {"a", "b", "c", "d"}) {
    m_bench.Report(worker, m_bench.Listing(worker));
  }
  m_bench.Step();
  // An end writes only the rows that have changed.
  const std::size_t before = m_bench.StoredBytes();
  EndAll({second.front()});
  m_bench.Step();
  EXPECT_LE(m_bench.StoredBytes() - before, 8192U);
  EndAll({second.begin() + 1, second.end()});
  m_bench.Step();
  EXPECT_EQ(m_bench.GetScheduler().FindJob("job")->phase, JobPhase::kDone);
  EXPECT_EQ(m_bench.CountSegments("job"), 0U);
}

TEST_F(SplitProgressTest, LongTextsAndManyCrashesAreStored) {
  m_bench.Submit("job", Wide(2000));
  const auto starts = m_bench.StepAndStart();
  ASSERT_EQ(starts.size(), 2000U);
  for (const char* worker : {"a", "b", "c", "d"}) {
    WorkerReport report = m_bench.Listing(worker);
    for (ListedRun& run : report.running) {
      run.checkpoint = std::string(4000, 'x');
    }
    m_bench.Report(worker, report);
  }
  // The runs end with their workers, and the checkpoints are kept.
  for (const char* worker : {"a", "b", "c", "d"}) {
    m_bench.AddWorker(worker, 2);
  }
  m_bench.Advance(std::chrono::milliseconds(20));
  m_bench.Step();
  ExpectBoundedRows();
  SchedulerBench successor = m_bench.Successor(kSilent);
  const Job& job = *successor.GetScheduler().FindJob("job");
  for (const Task& task : job.occurrences.front().steps.front().tasks) {
    EXPECT_EQ(task.checkpoint.size(), 4000U);
  }
}

// A checkpoint that no row could hold beside others is not kept.
TEST_F(SplitProgressTest, FarTooLongCheckpointsAreNotKept) {
  m_bench.Submit("job", Wide(100));
  ASSERT_EQ(m_bench.StepAndStart().size(), 100U);
  for (const char* worker : {"a", "b", "c", "d"}) {
    WorkerReport report = m_bench.Listing(worker);
    for (ListedRun& run : report.running) {
      run.checkpoint = std::string(100000, 'x');
    }
    m_bench.Report(worker, report);
    m_bench.AddWorker(worker, 2);
  }
  m_bench.Advance(std::chrono::milliseconds(20));
  m_bench.Step();
  ExpectBoundedRows();
}

TEST_F(SplitProgressTest, ABacklogTakesNoMemory) {
  constexpr std::uint32_t kRepeats = 100000;
  m_bench.Submit("job", Repeating(kWideStep, kRepeats));
  m_bench.Step();
  m_bench.Advance(std::chrono::milliseconds(100));
  m_bench.Step();
  const Job& job = *m_bench.GetScheduler().FindJob("job");
  EXPECT_EQ(job.due_occurrences, kRepeats);
  EXPECT_LE(job.occurrences.size() * kWideStep, 70000U);
  ExpectBoundedRows();
}

TEST_F(SplitProgressTest, OneTaskThatNeverEndsKeepsNoOccurrenceAfterIt) {
  constexpr std::uint32_t kRepeats = 3000;
  m_bench.Submit("job", Repeating(1, kRepeats));
  m_bench.Step();
  std::optional<StartOrder> endless;
  for (std::size_t done = 0; done + 1 < kRepeats;) {
    std::vector<StartOrder> starts = m_bench.StepAndStart();
    if (!endless) {
      endless = starts.front();
      starts.erase(starts.begin());
    }
    ASSERT_FALSE(starts.empty());
    done += starts.size();
    EndAll(starts);
  }
  m_bench.Step();
  EXPECT_EQ(m_bench.GetScheduler().FindJob("job")->occurrences.size(), 1U);
  const std::vector<Job> stored = m_bench.Stored();
  ASSERT_EQ(stored.size(), 1U);
  EXPECT_EQ(stored.front().occurrences.size(), 1U);
  EXPECT_EQ(stored.front().occurrences_done, kRepeats - 1);
  EndAll({*endless});
  EXPECT_EQ(m_bench.GetScheduler().FindJob("job")->phase, JobPhase::kDone);
}

// An end that is listed again after its occurrence was forgotten starts
// nothing, and a run of it that is still alive is stopped.
TEST_F(SplitProgressTest, ReportsOfForgottenOccurrencesStartNothing) {
  m_bench.Submit("job", Repeating(1, 2000));
  m_bench.Step();
  const auto starts = m_bench.StepAndStart();
  EndAll(starts);
  m_bench.Step();
  ASSERT_EQ(m_bench.GetScheduler().FindJob("job")->occurrences.front().number,
            starts.size());
  WorkerReport report = m_bench.Listing(starts.front().worker.id);
  ListedRun& late = report.running.emplace_back();
  late.task = starts.front().task;
  late.run = starts.front().run;
  m_bench.Report(starts.front().worker.id, report);
  const Orders orders = m_bench.GetScheduler().TakeOrders();
  ASSERT_EQ(orders.stops.size(), 1U);
  EXPECT_EQ(orders.stops.front().task, starts.front().task);
}

// The leader is killed after each number of commits while it splits a progress,
// and again after its successor has gone on: no task runs twice, and all are
// done in the end.
class InterruptedSplitTest : public SplitProgressTest,
                             public testing::WithParamInterface<int> {
 protected:
  // Plans and commits up to so many batches, and starts what is ordered.
  static void Advance(SchedulerBench& bench,
                      int batches,
                      std::map<TaskId, int>& running) {
    bench.Advance(std::chrono::milliseconds(50));
    Scheduler& scheduler = bench.GetScheduler();
    scheduler.ListConfirmed(bench.Now());
    scheduler.Plan(bench.Now(), base::WallTime(std::chrono::hours(1)));
    for (int i = 0; i < batches && scheduler.HasRows(); ++i) {
      bench.Commit(scheduler.TakeBatch(kMaxRows, bench.Now()));
    }
    for (const StartOrder& start : bench.Answer(scheduler.TakeOrders())) {
      EXPECT_EQ(++running[start.task], 1) << start.task.index;
    }
  }
};

TEST_P(InterruptedSplitTest, NothingRunsTwiceAndAllIsDone) {
  const int batches = GetParam();
  m_bench.Submit("job", Wide(kWideStep));
  std::map<TaskId, int> running;
  Advance(m_bench, 1, running);
  Advance(m_bench, batches, running);
  SchedulerBench second = m_bench.Successor(kSilent);
  for (const char* worker : {"a", "b", "c", "d"}) {
    second.Report(worker, second.Listing(worker));
  }
  Advance(second, batches, running);
  SchedulerBench third = second.Successor(kSilent);
  for (const char* worker : {"a", "b", "c", "d"}) {
    third.Report(worker, third.Listing(worker));
  }
  constexpr int kAll = 100;
  // Runs that were stored but never ordered are over once no report has them.
  for (int round = 0; round < 5; ++round) {
    Advance(third, kAll, running);
    for (const char* worker : {"a", "b", "c", "d"}) {
      third.Report(worker, third.Listing(worker));
    }
  }
  EXPECT_EQ(running.size(), kWideStep);
  EXPECT_LE(third.LargestRow(), kRowBytes);
  std::vector<StartOrder> all = third.Running();
  ASSERT_EQ(all.size(), kWideStep);
  third.EndTogether(all, RunEnd::kDone, m_ends);
  EXPECT_EQ(third.GetScheduler().FindJob("job")->phase, JobPhase::kDone);
}

INSTANTIATE_TEST_SUITE_P(Batches, InterruptedSplitTest, testing::Range(0, 7));

// Ends are acknowledged only once the rows that hold them are stored, though
// the rows of a job are stored by several commits.
TEST_F(SplitProgressTest, EndsAreAcknowledgedOnceTheirSegmentIsStored) {
  m_bench.Submit("job", Wide(kWideStep));
  const auto starts = m_bench.StepAndStart();
  ASSERT_EQ(starts.size(), kWideStep);
  EndAll({starts.begin(), starts.end() - 1});
  Scheduler& scheduler = m_bench.GetScheduler();
  const auto acknowledged = [&scheduler] {
    std::uint64_t ends = 0;
    for (const char* worker : {"a", "b", "c", "d"}) {
      ends += scheduler.FindWorker(worker)->acked_end;
    }
    return ends;
  };
  while (scheduler.HasRows()) {
    EXPECT_EQ(acknowledged(), 0U);
    m_bench.Commit(scheduler.TakeBatch(4, m_bench.Now()));
    const Job stored = m_bench.Stored().front();
    const auto& tasks = stored.occurrences.front().steps.front().tasks;
    const auto done = std::ranges::count_if(tasks, &Task::done);
    EXPECT_LE(acknowledged(), static_cast<std::uint64_t>(done));
  }
  EXPECT_EQ(acknowledged(), kWideStep - 1);
}

// A gang larger than a segment starts as a whole, and is done as a whole for
// the next leader.
TEST_F(SplitProgressTest, GangsOfSeveralSegmentsStayWhole) {
  JobSpec spec = Wide(5000);
  spec.steps.front().gang = true;
  m_bench.Submit("gang", spec);
  Scheduler& scheduler = m_bench.GetScheduler();
  scheduler.ListConfirmed(m_bench.Now());
  scheduler.Plan(m_bench.Now(), base::WallTime(std::chrono::hours(1)));
  std::size_t started = 0;
  while (scheduler.HasRows()) {
    m_bench.Commit(scheduler.TakeBatch(4, m_bench.Now()));
    started += m_bench.Answer(scheduler.TakeOrders()).size();
    EXPECT_TRUE(started == 0 || started == 5000U) << started;
  }
  EXPECT_EQ(started, 5000U);
}

// Older programs read these rows.
TEST_F(SplitProgressTest, SmallJobsAreStoredAsBefore) {
  m_bench.Submit("job", Wide(500));
  m_bench.StepAndStart();
  EXPECT_EQ(m_bench.CountSegments("job"), 0U);
  EXPECT_EQ(m_bench.Stored().front().form, ProgressForm::kWhole);
}

TEST_F(SplitProgressTest, CancelledJobsLeaveNoSegments) {
  m_bench.Submit("job", Wide(kWideStep));
  m_bench.StepAndStart();
  EXPECT_GT(m_bench.CountSegments("job"), 0U);
  m_bench.GetScheduler().Cancel("job", m_bench.Now());
  m_bench.Step();
  EXPECT_EQ(m_bench.CountSegments("job"), 0U);
  EXPECT_EQ(m_bench.Stored().front().phase, JobPhase::kCancelled);
}

}  // namespace
}  // namespace cassiastile::jobs
