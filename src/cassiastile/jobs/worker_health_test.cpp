#include "cassiastile/jobs/worker_health.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "scheduler_bench.hpp"

namespace cassiastile::jobs {
namespace {

using std::chrono::milliseconds;
using testing::IsEmpty;
using testing::SizeIs;

constexpr milliseconds kReportInterval{200};
constexpr milliseconds kSilence{2100};

// A worker with three finite tasks.
class WorkerHealthTest : public testing::Test {
 protected:
  WorkerHealthTest() {
    m_bench.AddWorker("a");
    for (const char* id : {"1", "2", "3"}) {
      m_bench.Submit(id, SchedulerBench::OneTask());
    }
    m_starts = m_bench.StepAndStart();
    EXPECT_THAT(m_starts, SizeIs(3));
    Report();
  }

  // All finite runs are half done, and long-running ones serve.
  void Report() {
    WorkerReport report = m_bench.Listing("a");
    for (ListedRun& run : report.running) {
      run.percent =
          run.task.job == "1" || run.task.job == "2" || run.task.job == "3"
              ? 50
              : 100;
    }
    m_bench.Report("a", report);
  }

  // The worker reports for this long and makes no progress.
  std::size_t CountStopsWhileReporting(milliseconds time) {
    std::size_t stops = 0;
    for (milliseconds at{0}; at < time; at += kReportInterval) {
      m_bench.Advance(kReportInterval);
      Report();
      stops += m_bench.Step().stops.size();
    }
    return stops;
  }

  void FallSilent(milliseconds time) {
    m_bench.Advance(milliseconds(600));
    m_bench.GetScheduler().WorkerSilent("a", m_bench.Now());
    EXPECT_THAT(m_bench.Step().stops, IsEmpty());
    m_bench.Advance(time - milliseconds(600));
    EXPECT_THAT(m_bench.Step().stops, IsEmpty());
  }

  // Ends all finite runs.
  void EndRuns(RunEnd how) {
    std::uint64_t sequence = 0;
    for (const StartOrder& start : m_starts) {
      m_bench.GetScheduler().Cancel(start.task.job, m_bench.Now());
      m_bench.End(start, how, ++sequence);
    }
  }

  bool IsOnProbation() {
    return m_bench.GetScheduler().FindWorker("a")->health.IsOnProbation();
  }

  SchedulerBench m_bench;
  std::vector<StartOrder> m_starts;
};

// Its capacity would stay unused once a long-running task is its only one.
TEST_F(WorkerHealthTest, WorkerThatWasSilentIsNotOnProbation) {
  FallSilent(kSilence);
  EndRuns(RunEnd::kLeaseExpired);
  EXPECT_FALSE(IsOnProbation());
  m_bench.Advance(milliseconds(1100));
  Report();
  m_bench.Submit("4", SchedulerBench::LongRunning(1, 1));
  ASSERT_THAT(m_bench.StepAndStart(), SizeIs(1));
  Report();
  m_bench.Submit("5", SchedulerBench::OneTask());
  EXPECT_THAT(m_bench.StepAndStart(), SizeIs(1));
}

// A worker that stood still for a while goes on with its runs.
TEST_F(WorkerHealthTest, RunsGoOnAfterAStandstill) {
  FallSilent(kSilence);
  EXPECT_EQ(CountStopsWhileReporting(milliseconds(1800)), 0U);
  EXPECT_FALSE(IsOnProbation());
}

TEST_F(WorkerHealthTest, RunsWithoutProgressAreStoppedOnAWorkerThatReports) {
  EXPECT_EQ(CountStopsWhileReporting(milliseconds(1800)), 0U);
  EXPECT_EQ(CountStopsWhileReporting(milliseconds(600)), 3U);
  EXPECT_TRUE(IsOnProbation());
}

TEST_F(WorkerHealthTest, RunsWithoutProgressAreStoppedAfterASilence) {
  FallSilent(kSilence);
  EXPECT_EQ(CountStopsWhileReporting(milliseconds(2600)), 3U);
  EXPECT_TRUE(IsOnProbation());
}

// A worker that has failed three tasks in a row.
class ProbationTest : public WorkerHealthTest {
 protected:
  ProbationTest() {
    EndRuns(RunEnd::kFailed);
    EXPECT_TRUE(IsOnProbation());
    Pass(milliseconds(1100));
  }

  void Pass(milliseconds time) {
    m_bench.Advance(time);
    Report();
  }
};

// Otherwise nothing could end its probation: long-running tasks never end.
TEST_F(ProbationTest, FiniteTaskStartsBesideALongRunningOne) {
  m_bench.Submit("4", SchedulerBench::LongRunning(1, 1));
  ASSERT_THAT(m_bench.StepAndStart(), SizeIs(1));
  m_bench.Submit("5", SchedulerBench::OneTask());
  EXPECT_THAT(m_bench.StepAndStart(), IsEmpty());
  Pass(milliseconds(500));
  const auto starts = m_bench.StepAndStart();
  ASSERT_THAT(starts, SizeIs(1));
  EXPECT_EQ(starts.front().task.job, "5");
  m_bench.Submit("6", SchedulerBench::OneTask());
  Pass(milliseconds(500));
  EXPECT_THAT(m_bench.StepAndStart(), IsEmpty());
  m_bench.End(starts.front(), RunEnd::kDone, 4);
  EXPECT_FALSE(IsOnProbation());
  EXPECT_THAT(m_bench.StepAndStart(), SizeIs(1));
}

TEST_F(ProbationTest, LongRunningTasksStartOneAfterAnother) {
  m_bench.Submit("4", SchedulerBench::LongRunning(3, 0));
  for (int i = 0; i < 3; ++i) {
    EXPECT_THAT(m_bench.StepAndStart(), SizeIs(1));
    EXPECT_THAT(m_bench.StepAndStart(), IsEmpty());
    Pass(milliseconds(500));
  }
}

}  // namespace
}  // namespace cassiastile::jobs
