// Which incarnation of a worker is the current one: entries are written late,
// and clocks may be set back.
#include <string>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "cassiastile/jobs/scheduler.hpp"
#include "scheduler_bench.hpp"

namespace cassiastile::jobs {
namespace {

using std::chrono::milliseconds;
using testing::IsEmpty;
using testing::SizeIs;

constexpr char kJob[] = "5c0e7a21d94b36f8";

// A task that worker "a" has listed, and an idle worker "b".
class RestartedWorkerTest : public testing::Test {
 protected:
  RestartedWorkerTest() {
    m_bench.AddWorker("a", 100);
    m_bench.Submit(kJob, SchedulerBench::OneTask());
    m_start = m_bench.StepAndStart().front();
    m_bench.Advance(milliseconds(10));
    m_bench.Report("a", m_bench.Listing("a"));
    m_bench.AddWorker("b");
  }

  // A report of worker "a" without runs.
  static WorkerReport EmptyReport(std::int64_t incarnation_ms) {
    WorkerReport report;
    report.incarnation_ms = incarnation_ms;
    return report;
  }

  Scheduler& GetScheduler() { return m_bench.GetScheduler(); }
  const WorkerState& GetWorker() { return *GetScheduler().FindWorker("a"); }

  SchedulerBench m_bench;
  StartOrder m_start;
};

TEST_F(RestartedWorkerTest, ReportWithALowerStartTimeIsOfTheNextIncarnation) {
  m_bench.Advance(milliseconds(10));
  m_bench.Report("a", EmptyReport(50));
  EXPECT_EQ(GetWorker().entry.id, (WorkerId{"a", 50}));
  EXPECT_THAT(m_bench.Step().starts, SizeIs(1));
}

// It was requested before the newest report came, so nothing tells that it is
// not older.
TEST_F(RestartedWorkerTest, DelayedReportWithALowerStartTimeIsIgnored) {
  const base::TimePoint asked_at = m_bench.Now() - milliseconds(5);
  m_bench.Advance(milliseconds(10));
  EXPECT_FALSE(GetScheduler().WorkerReported("a", EmptyReport(50), asked_at,
                                             m_bench.Now()));
  EXPECT_TRUE(GetWorker().wants_report);
  EXPECT_THAT(m_bench.Step().starts, IsEmpty());
}

TEST_F(RestartedWorkerTest, DelayedReportOfAFormerIncarnationIsIgnored) {
  const base::TimePoint asked_at = m_bench.Now();
  m_bench.Advance(milliseconds(10));
  m_bench.Report("a", EmptyReport(50));
  EXPECT_FALSE(GetScheduler().WorkerReported("a", m_bench.Listing("a"),
                                             asked_at, m_bench.Now()));
  EXPECT_EQ(GetWorker().entry.id, (WorkerId{"a", 50}));
}

TEST_F(RestartedWorkerTest, LateEntryOfAFormerIncarnationDoesNotUnlistIt) {
  m_bench.Advance(milliseconds(10));
  m_bench.Report("a", EmptyReport(200));
  // The list is read again and still has the former entry.
  m_bench.AddWorker("c");
  EXPECT_TRUE(GetWorker().listed);
  EXPECT_EQ(GetWorker().entry.id, (WorkerId{"a", 200}));
}

// The worker answers, so it is asked before its runs are given up.
TEST_F(RestartedWorkerTest, EntryOfAnotherIncarnationEndsNoRunByItself) {
  WorkerEntry entry = GetWorker().entry;
  entry.id.incarnation_ms = 200;
  GetScheduler().WorkersListed({entry}, m_bench.Now());
  EXPECT_TRUE(GetWorker().wants_report);
  EXPECT_THAT(m_bench.Step().starts, IsEmpty());
  m_bench.Advance(milliseconds(10));
  m_bench.Report("a", m_bench.Listing("a"));
  EXPECT_EQ(GetWorker().entry.id, (WorkerId{"a", 100}));
  EXPECT_THAT(m_bench.Step().starts, IsEmpty());
}

// An entry that comes sooner may be a former incarnation's, written late; see
// IncarnationSetBackTest.
TEST_F(RestartedWorkerTest, EntryOfAnotherIncarnationCountsOnceItIsSilent) {
  m_bench.Advance(milliseconds(13100));
  m_bench.Report("a", m_bench.Listing("a"));
  m_bench.Report("b", m_bench.Listing("b"));
  EXPECT_THAT(m_bench.Step().starts, IsEmpty());
  WorkerEntry entry = GetWorker().entry;
  entry.id.incarnation_ms = 200;
  GetScheduler().WorkerSilent("a", m_bench.Now());
  GetScheduler().WorkersListed({entry, GetScheduler().FindWorker("b")->entry},
                               m_bench.Now());
  EXPECT_EQ(GetWorker().entry.id, (WorkerId{"a", 200}));
  EXPECT_THAT(m_bench.Step().starts, SizeIs(1));
}

// Its start time is lower and its address is another one.
TEST_F(RestartedWorkerTest, SilentWorkerIsAskedAtTheAddressOfItsEntry) {
  WorkerEntry entry = GetWorker().entry;
  entry.id.incarnation_ms = 50;
  entry.endpoint = "moved:1";
  GetScheduler().WorkerSilent("a", m_bench.Now());
  GetScheduler().WorkersListed({entry}, m_bench.Now());
  EXPECT_EQ(GetWorker().entry.id, (WorkerId{"a", 100}));
  EXPECT_EQ(GetWorker().entry.endpoint, "moved:1");
}

// The stored run is of an incarnation with a higher start time than the one
// that runs now.
TEST_F(RestartedWorkerTest, SuccessorGoesByTheFirstReport) {
  m_bench.Step();
  SchedulerBench next = m_bench.Successor(milliseconds(8000));
  WorkerEntry entry = GetWorker().entry;
  entry.id.incarnation_ms = 50;
  next.GetScheduler().WorkersListed({entry}, next.Now());
  EXPECT_THAT(next.Step().starts, IsEmpty());
  next.Advance(milliseconds(10));
  next.GetScheduler().WorkerReported("a", EmptyReport(50), next.Now(),
                                     next.Now());
  EXPECT_THAT(next.Step().starts, SizeIs(1));
}

// The successor's list has an entry with a lower start time than the stored
// run's incarnation; it may be of an earlier one and written late.
TEST_F(RestartedWorkerTest, SuccessorKeepsRunsUntilTheFirstReport) {
  m_bench.Step();
  WorkerEntry entry = GetWorker().entry;
  entry.id.incarnation_ms = 50;
  for (const std::int64_t reported : {50, 100}) {
    Scheduler next(SchedulerOptions{});
    next.WorkersListed({entry}, m_bench.Now());
    next.Recover(m_bench.Stored(), m_bench.Now(), base::WallTime{},
                 m_bench.Now() + milliseconds(8000));
    EXPECT_FALSE(
        next.FindJob(kJob)->occurrences[0].steps[0].tasks[0].runs.empty());
    WorkerReport report = EmptyReport(reported);
    if (reported == 100) {
      report = m_bench.Listing("a");
    }
    const base::TimePoint asked_at = m_bench.Now() + milliseconds(10);
    EXPECT_TRUE(next.WorkerReported("a", report, asked_at, asked_at));
    EXPECT_EQ(next.FindWorker("a")->runs.size(), reported == 100 ? 1U : 0U);
  }
}

// An acknowledgement that was sent to the former incarnation may make the next
// one forget the end of a run that it began.
TEST_F(RestartedWorkerTest, RunWhoseEndMayBeForgottenIsStopped) {
  m_bench.RemoveWorker("b");
  m_bench.Submit("2", SchedulerBench::OneTask());
  const auto starts = m_bench.Step().starts;
  ASSERT_THAT(starts, SizeIs(1));
  GetScheduler().AcknowledgementSent("a", m_bench.Now());
  m_bench.Advance(milliseconds(10));
  WorkerReport report = EmptyReport(200);
  report.running.push_back(
      {.task = starts.front().task, .run = starts.front().run});
  m_bench.Report("a", report);
  const auto stops = m_bench.Step().stops;
  ASSERT_THAT(stops, SizeIs(1));
  EXPECT_EQ(stops.front().task, starts.front().task);
  EXPECT_EQ(stops.front().reason, StopReason::kEndAtRisk);
}

// The order that ends its runs may still be on its way.
TEST_F(RestartedWorkerTest, FirstReportDoesNotMakeAnEndingWorkerServe) {
  m_bench.Step();
  SchedulerBench next = m_bench.Successor(milliseconds(8000));
  next.GetScheduler().CordonAndMarkUnavailable("a", next.Now());
  next.Advance(milliseconds(10));
  next.Report("a", m_bench.Listing("a"));
  EXPECT_TRUE(next.GetScheduler().FindWorker("a")->is_ending);
}

}  // namespace
}  // namespace cassiastile::jobs
