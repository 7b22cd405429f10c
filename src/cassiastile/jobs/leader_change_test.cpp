// What a leader knows of its workers and of their former incarnations, and the
// next one has to do without.
#include <string>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <msgpack.hpp>

#include "cassiastile/jobs/scheduler.hpp"
#include "scheduler_bench.hpp"

namespace cassiastile::jobs {
namespace {

using std::chrono::milliseconds;
using testing::IsEmpty;
using testing::SizeIs;

constexpr char kJob[] = "5c0e7a21d94b36f8";
// Until then a successor counts runs on workers that do not report as alive.
constexpr milliseconds kTakeover{13550};
// Start times of two incarnations of worker "a", of which the second has a
// clock that was set back.
constexpr std::int64_t kFormer = 200;
constexpr std::int64_t kSetBack = 150;

WorkerReport ReportOf(std::int64_t incarnation_ms,
                      const std::vector<StartOrder>& running = {}) {
  WorkerReport report;
  report.incarnation_ms = incarnation_ms;
  for (const StartOrder& order : running) {
    ListedRun& run = report.running.emplace_back();
    run.task = order.task;
    run.run = order.run;
    run.percent = 100;
  }
  return report;
}

// Worker "a" answers no more; "b" does. The starts after a time.
std::vector<StartOrder> StartsWithoutA(SchedulerBench& bench,
                                       milliseconds time) {
  bench.GetScheduler().WorkerSilent("a", bench.Now());
  bench.Advance(time);
  bench.Report("b", bench.Listing("b"));
  return bench.Step().starts;
}

// Starts a job on worker "a", which lists the run. The row is stored.
StartOrder StartOnA(SchedulerBench& bench,
                    std::int64_t incarnation_ms,
                    const JobSpec& spec = SchedulerBench::OneTask()) {
  bench.Submit(kJob, spec);
  const auto starts = bench.StepAndStart();
  EXPECT_THAT(starts, SizeIs(1));
  EXPECT_EQ(starts.front().worker, (WorkerId{"a", incarnation_ms}));
  bench.Advance(milliseconds(10));
  bench.Report("a", ReportOf(incarnation_ms, starts));
  bench.Step();
  return starts.front();
}

// A lease extension that was sent to the former incarnation may be carried out
// by the next one 13 s later, and covers 10 s there.
class LeaseOfTheNextIncarnationTest : public testing::Test {
 protected:
  // A leader that sees the restart of "a" and starts a task there.
  LeaseOfTheNextIncarnationTest() {
    m_bench.AddWorker("a", kFormer);
    m_bench.Advance(milliseconds(10));
    m_bench.AddWorker("a", kFormer + 100);
    StartOnA(m_bench, kFormer + 100);
    m_bench.AddWorker("b");
  }

  SchedulerBench m_bench;
};

TEST_F(LeaseOfTheNextIncarnationTest, LeaderThatSawTheRestartWaitsForIt) {
  EXPECT_THAT(StartsWithoutA(m_bench, milliseconds(22500)), IsEmpty());
  EXPECT_THAT(StartsWithoutA(m_bench, milliseconds(1000)), SizeIs(1));
}

TEST_F(LeaseOfTheNextIncarnationTest, SuccessorThatHearsNothingWaitsForIt) {
  m_bench.Advance(milliseconds(1000));
  SchedulerBench next = m_bench.Successor(kTakeover);
  EXPECT_THAT(StartsWithoutA(next, milliseconds(21000)), IsEmpty());
}

TEST_F(LeaseOfTheNextIncarnationTest, SecondSuccessorThatHearsNothingWaits) {
  m_bench.Advance(milliseconds(1000));
  SchedulerBench second = m_bench.Successor(kTakeover);
  second.Step();
  second.Advance(milliseconds(1000));
  SchedulerBench third = second.Successor(kTakeover);
  EXPECT_THAT(StartsWithoutA(third, milliseconds(20000)), IsEmpty());
}

// The leader that saw the restart is of an older program, which stores no
// lives.
TEST_F(LeaseOfTheNextIncarnationTest, SuccessorOfAnOlderProgramWaits) {
  m_bench.Advance(milliseconds(1000));
  m_bench.StoredIncarnations().clear();
  SchedulerBench next = m_bench.Successor(kTakeover);
  EXPECT_THAT(StartsWithoutA(next, milliseconds(21000)), IsEmpty());
}

// The same, where a newer program had stored the former incarnation before.
TEST(LeaderChangeTest, SuccessorOfAnOlderProgramIsNotMisledByAnOlderLife) {
  SchedulerBench bench;
  bench.AddWorker("a", 200);
  bench.Step();
  const auto stored = bench.StoredIncarnations();
  bench.Advance(milliseconds(60000));
  bench.AddWorker("a", 300);
  StartOnA(bench, 300);
  bench.AddWorker("b");
  bench.Advance(milliseconds(1000));
  bench.StoredIncarnations() = stored;
  SchedulerBench next = bench.Successor(kTakeover);
  EXPECT_THAT(StartsWithoutA(next, milliseconds(21000)), IsEmpty());
}

// The answer from which the leader takes the store's clock is 4 s late, as
// after a standstill.
TEST(LeaderChangeTest, LeaseIsStoredByTheLatestTimeOfTheStore) {
  SchedulerBench bench;
  bench.AddWorker("a", 200);
  bench.Advance(milliseconds(10000));
  const auto store_now =
      std::chrono::duration_cast<milliseconds>(bench.Now().time_since_epoch());
  bench.GetScheduler().SetStoreClock(store_now - milliseconds(4000), store_now,
                                     bench.Now());
  bench.AddWorker("a", 300);
  StartOnA(bench, 300);
  bench.AddWorker("b");
  bench.Advance(milliseconds(1000));
  SchedulerBench next = bench.Successor(kTakeover);
  EXPECT_THAT(StartsWithoutA(next, milliseconds(21000)), IsEmpty());
}

// The row of a run that ended with its incarnation is written later than the
// life.
TEST(LeaderChangeTest, RunOfALifeThatIsKnownToBeOverIsNotWaitedForLonger) {
  SchedulerBench bench;
  bench.AddWorker("a", 200);
  StartOnA(bench, 200);
  bench.AddWorker("b");
  bench.Advance(milliseconds(60000));
  bench.Report("a", ReportOf(300));
  for (auto& [key, bytes] : bench.GetScheduler().Incarnations().TakeRows()) {
    bench.StoredIncarnations()[key] = std::move(bytes);
  }
  SchedulerBench next = bench.Successor(kTakeover);
  EXPECT_THAT(StartsWithoutA(next, milliseconds(23500)), SizeIs(1));
}

// The workers are as the former leader has left them.
TEST(LeaderChangeTest, TakeoverWritesNoLivesThatAreStored) {
  SchedulerBench bench;
  bench.AddWorker("a", 200);
  bench.AddWorker("b", 200);
  bench.Step();
  bench.Advance(milliseconds(60000));
  SchedulerBench next = bench.Successor(kTakeover);
  next.Report("a", ReportOf(200));
  next.Report("b", ReportOf(200));
  EXPECT_THAT(next.GetScheduler().Incarnations().TakeRows(), IsEmpty());
}

// The withdrawn start may be carried out by the incarnation that the list
// shows, which is never heard.
TEST(LeaderChangeTest, WithdrawnStartOnAnUnheardIncarnationIsGivenUpInTime) {
  SchedulerBench bench;
  bench.AddWorker("a", 200);
  bench.Submit(kJob, SchedulerBench::OneTask());
  const auto starts = bench.Step().starts;
  ASSERT_THAT(starts, SizeIs(1));
  bench.Withdraw(starts.front());
  bench.GetScheduler().SetCordoned("a", true);
  bench.Step();
  SchedulerBench next = bench.Successor(kTakeover);
  WorkerEntry entry = next.GetScheduler().FindWorker("a")->entry;
  entry.id.incarnation_ms = 300;
  next.GetScheduler().WorkerSilent("a", next.Now());
  next.GetScheduler().WorkersListed({entry}, next.Now());
  EXPECT_THAT(next.Step().starts, IsEmpty());
  next.Advance(milliseconds(24200));
  next.AddWorker("b");
  EXPECT_THAT(next.Step().starts, SizeIs(1));
}

// The stored run is of the former incarnation and the list has the next one.
// What the former leader had sent by its first report may hold it for 10 s.
TEST(LeaderChangeTest, RestartThatTheListShowsCountsForTheLease) {
  SchedulerBench bench;
  bench.AddWorker("a", 100);
  StartOnA(bench, 100);
  bench.AddWorker("a", 200);
  SchedulerBench next = bench.Successor(kTakeover);
  next.Advance(milliseconds(8000));
  next.Report("a", ReportOf(200));
  const auto starts = next.StepAndStart();
  ASSERT_THAT(starts, SizeIs(1));
  next.Report("a", next.Listing("a"));
  next.AddWorker("b");
  EXPECT_THAT(StartsWithoutA(next, milliseconds(9500)), IsEmpty());
}

// A leader forgets as much of a worker whose entry is gone for a while: its own
// extension, sent at 0 s, may come at 13 s and hold the worker until 23 s.
TEST(LeaderChangeTest, LeaderRemembersAWorkerThatWasUnlistedForAWhile) {
  SchedulerBench bench;
  bench.AddWorker("a", 100);
  bench.Advance(milliseconds(5600));
  bench.RemoveWorker("a");
  bench.Advance(milliseconds(2400));
  bench.AddWorker("a", 200);
  StartOnA(bench, 200);
  bench.AddWorker("b");
  EXPECT_THAT(StartsWithoutA(bench, milliseconds(14500)), IsEmpty());
}

// They have no word on whether a worker drains.
TEST(LeaderChangeTest, RowsOfOlderProgramsAreRead) {
  msgpack::sbuffer buffer;
  msgpack::packer packer(buffer);
  packer.pack_array(2);
  packer.pack(1);  // Layout.
  packer.pack_array(1);
  packer.pack_array(4);
  packer.pack(std::string("a"));
  packer.pack(100);
  packer.pack(7000);
  packer.pack(90);
  KnownIncarnations known;
  ASSERT_TRUE(known.Recover("00", std::string(buffer.data(), buffer.size())));
  ASSERT_NE(known.Find("a"), nullptr);
  EXPECT_EQ(known.Find("a")->incarnation_ms, 100);
  EXPECT_EQ(known.Find("a")->former_ms, 90);
  EXPECT_EQ(known.Find("a")->former_lease_end, milliseconds(7000));
  EXPECT_FALSE(known.IsDraining("a", 100));
}

// An acknowledgement for it may come 13 s after it was sent, and make the next
// incarnation forget an end.
TEST(LeaderChangeTest, UnlistedWorkerIsForgottenOnceNoAcknowledgementCanCome) {
  SchedulerBench bench;
  bench.AddWorker("a");
  const Scheduler& scheduler = bench.GetScheduler();
  bench.GetScheduler().AcknowledgementSent("a", bench.Now());
  bench.RemoveWorker("a");
  bench.Advance(milliseconds(13000));
  bench.AddWorker("b");
  EXPECT_TRUE(scheduler.Workers().contains("a"));
  bench.Advance(milliseconds(1));
  bench.AddWorker("c");
  EXPECT_FALSE(scheduler.Workers().contains("a"));
}

// The next incarnation of a worker gets no finite tasks while one may come, and
// this is remembered if its entry is gone again meanwhile.
TEST(LeaderChangeTest, UnlistedWorkerIsRememberedWhileItTakesNoFiniteTasks) {
  SchedulerBench bench;
  bench.AddWorker("a", 100);
  bench.GetScheduler().AcknowledgementSent("a", bench.Now());
  bench.AddWorker("a", 200);
  bench.RemoveWorker("a");
  bench.Advance(milliseconds(12900));
  bench.AddWorker("a", 300);
  bench.Submit("1", SchedulerBench::OneTask());
  EXPECT_THAT(bench.Step().starts, IsEmpty());
  bench.Advance(milliseconds(100));
  bench.AddWorker("a", 300);
  EXPECT_THAT(bench.Step().starts, SizeIs(1));
}

// A leader that takes over from one that knew which incarnation of "a" is over.
class IncarnationSetBackTest : public testing::Test {
 protected:
  IncarnationSetBackTest() {
    m_bench.AddWorker("a", kFormer);
    m_bench.Advance(milliseconds(10));
    m_bench.Report("a", ReportOf(kSetBack));
    m_start = StartOnA(m_bench, kSetBack);
  }

  SchedulerBench m_bench;  // Its list has the former entry.
  StartOrder m_start;
};

TEST_F(IncarnationSetBackTest, LeaderKeepsItsRunWhenTheFormerEntryIsWritten) {
  m_bench.AddWorker("b");
  EXPECT_THAT(StartsWithoutA(m_bench, milliseconds(10)), IsEmpty());
}

TEST_F(IncarnationSetBackTest, SuccessorKeepsItsRunUntilTheFirstReport) {
  SchedulerBench next = m_bench.Successor(kTakeover);
  next.AddWorker("b");
  EXPECT_THAT(next.Step().starts, IsEmpty());
  next.Advance(milliseconds(10));
  next.Report("a", ReportOf(kSetBack, {m_start}));
  const Orders orders = next.Step();
  EXPECT_THAT(orders.starts, IsEmpty());
  EXPECT_THAT(orders.stops, IsEmpty());
}

// The entry is written late, when the successor has had a report.
TEST_F(IncarnationSetBackTest,
       SuccessorKeepsItsRunWhenTheFormerEntryIsWritten) {
  const WorkerEntry former = m_bench.GetScheduler().FindWorker("a")->entry;
  m_bench.Advance(milliseconds(10));
  m_bench.AddWorker("a", kSetBack);
  SchedulerBench next = m_bench.Successor(kTakeover);
  next.Advance(milliseconds(10));
  next.Report("a", ReportOf(kSetBack, {m_start}));
  next.AddWorker("b");
  next.GetScheduler().WorkerSilent("a", next.Now());
  WorkerEntry late = former;
  late.id.incarnation_ms = kFormer;
  next.GetScheduler().WorkersListed(
      {late, next.GetScheduler().FindWorker("b")->entry}, next.Now());
  EXPECT_THAT(next.Step().starts, IsEmpty());
}

// A task that fills, paced down beside one that serves.
class PacedFillerTest : public testing::Test {
 protected:
  PacedFillerTest() {
    m_bench.AddWorker("a");
    JobSpec serving = SchedulerBench::LongRunning(1, 1);
    serving.steps.front().target = milliseconds(100);
    m_bench.Submit("1", serving);
    JobSpec filler = SchedulerBench::OneTask();
    filler.steps.front().is_filler = true;
    m_bench.Submit("2", filler);
    m_starts = m_bench.StepAndStart();
    Report(m_bench, 10);
    m_bench.Step();
    Report(m_bench, 200);
  }

  // Reports the tail latency of the task that serves.
  void Report(SchedulerBench& bench, std::int64_t load) {
    bench.Advance(milliseconds(600));
    WorkerReport report = ReportOf(1, m_starts);
    for (ListedRun& run : report.running) {
      run.load = run.task.job == "1" ? load : 0;
    }
    bench.Report("a", report);
  }

  SchedulerBench m_bench;
  std::vector<StartOrder> m_starts;
};

TEST_F(PacedFillerTest, LeaderSpeedsItUpAgain) {
  ASSERT_THAT(m_bench.Step().paces, SizeIs(1));
  Report(m_bench, 10);
  const auto paces = m_bench.Step().paces;
  ASSERT_THAT(paces, SizeIs(1));
  EXPECT_GT(paces.front().percent, 0);
}

// The worker keeps the pace that the former leader has ordered.
TEST_F(PacedFillerTest, SuccessorSpeedsItUpAgain) {
  ASSERT_THAT(m_bench.Step().paces, SizeIs(1));
  SchedulerBench next = m_bench.Successor(kTakeover);
  std::vector<PaceOrder> paces;
  for (int i = 0; i < 10; ++i) {
    Report(next, 10);
    const auto more = next.Step().paces;
    paces.insert(paces.end(), more.begin(), more.end());
  }
  ASSERT_FALSE(paces.empty());
  EXPECT_EQ(paces.back().percent, 100);
}

// The worker lists an end of an earlier run until it is acknowledged.
TEST(LeaderChangeTest, EndListedAgainDoesNotReplaceANewerCheckpoint) {
  SchedulerBench bench;
  JobSpec spec = SchedulerBench::OneTask();
  spec.steps.front().checkpointing = true;
  const auto stopped = [](const StartOrder& order, const std::string& saved) {
    WorkerReport report = ReportOf(1);
    report.ended.push_back({1, order.task, order.run, RunEnd::kStopped, saved});
    return report;
  };
  bench.AddWorker("a");
  bench.Submit(kJob, spec);
  const auto first = bench.StepAndStart();
  ASSERT_THAT(first, SizeIs(1));
  bench.AddWorker("b");
  bench.GetScheduler().SetCordoned("a", true);
  bench.Report("a", stopped(first.front(), "older"));
  const auto second = bench.StepAndStart();
  ASSERT_THAT(second, SizeIs(1));
  ASSERT_EQ(second.front().worker.id, "b");
  bench.Report("b", stopped(second.front(), "newer"));
  bench.GetScheduler().SetCordoned("b", true);
  bench.Step();
  SchedulerBench next = bench.Successor(kTakeover);
  next.Report("b", stopped(second.front(), "newer"));
  next.Report("a", stopped(first.front(), "older"));
  const auto third = next.Step().starts;
  ASSERT_THAT(third, SizeIs(1));
  EXPECT_EQ(third.front().checkpoint, "newer");
}

// A lapsed run's end is listed once its worker answers again, while the next
// run, started from an older checkpoint, has not saved anything yet.
TEST(LeaderChangeTest, RunThatHasSavedNothingDoesNotReplaceANewerCheckpoint) {
  SchedulerBench bench;
  JobSpec spec = SchedulerBench::OneTask();
  spec.steps.front().checkpointing = true;
  bench.AddWorker("a");
  const StartOrder first = StartOnA(bench, 1, spec);
  bench.AddWorker("b");
  WorkerReport report = ReportOf(1, {first});
  report.running.front().checkpoint = "older";
  bench.Report("a", report);
  const auto second = StartsWithoutA(bench, kTakeover);
  ASSERT_THAT(second, SizeIs(1));
  ASSERT_EQ(second.front().checkpoint, "older");
  report = ReportOf(1);
  report.ended.push_back(
      {1, first.task, first.run, RunEnd::kLeaseExpired, "newer"});
  bench.Report("a", report);
  report = ReportOf(1, second);
  report.running.front().checkpoint = "older";
  bench.Report("b", report);
  report = ReportOf(1);
  report.ended.push_back(
      {1, second.front().task, second.front().run, RunEnd::kStopped, ""});
  bench.Report("b", report);
  const auto third = bench.Step().starts;
  ASSERT_THAT(third, SizeIs(1));
  EXPECT_EQ(third.front().checkpoint, "newer");
}

// The former leader's stop may be on its way; the successor does not know of
// it.
TEST(LeaderChangeTest, RunThatTheFormerLeaderStopsIsKeptUntilItsEnd) {
  SchedulerBench bench;
  bench.AddWorker("a");
  JobSpec spec = SchedulerBench::OneTask();
  spec.steps.front().checkpointing = true;
  const StartOrder start = StartOnA(bench, 1, spec);
  bench.AddWorker("b");
  bench.SetDraining("a");
  bench.Advance(milliseconds(300));
  ASSERT_THAT(bench.Step().stops, SizeIs(1));
  SchedulerBench next = bench.Successor(kTakeover);
  next.Report("a", ReportOf(1, {start}));
  next.Report("b", next.Listing("b"));
  EXPECT_THAT(next.Step().starts, IsEmpty());
  next.End(start, RunEnd::kStopped, 1);
  const auto starts = next.Step().starts;
  ASSERT_THAT(starts, SizeIs(1));
  EXPECT_EQ(starts.front().worker.id, "b");
}

// What the former leader has read and not stored is not acknowledged by the
// next one either before it is stored.
TEST(LeaderChangeTest, SuccessorAcknowledgesOnlyWhatItHasStored) {
  SchedulerBench bench;
  bench.AddWorker("a");
  const StartOrder start = StartOnA(bench, 1);
  bench.End(start, RunEnd::kDone, 1);
  SchedulerBench next = bench.Successor(kTakeover);
  next.Report("a", next.Listing("a"));
  EXPECT_EQ(next.GetScheduler().FindWorker("a")->acked_end, 0U);
  next.Step();
  EXPECT_EQ(next.GetScheduler().FindWorker("a")->acked_end, 1U);
  EXPECT_EQ(next.GetScheduler().FindJob(kJob)->stored_phase, JobPhase::kDone);
}

}  // namespace
}  // namespace cassiastile::jobs
