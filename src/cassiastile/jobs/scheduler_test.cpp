#include "cassiastile/jobs/scheduler.hpp"

#include <algorithm>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "scheduler_bench.hpp"

namespace cassiastile::jobs {
namespace {

using std::chrono::milliseconds;
using testing::IsEmpty;
using testing::SizeIs;

constexpr char kJob[] = "5c0e7a21d94b36f8";

TEST(SchedulerTest, RunsAJobToItsEnd) {
  SchedulerBench bench;
  bench.AddWorker("a");
  EXPECT_EQ(bench.Submit(kJob, SchedulerBench::OneTask()).verdict,
            Submission::Verdict::kNew);
  const auto starts = bench.StepAndStart();
  ASSERT_THAT(starts, SizeIs(1));
  EXPECT_EQ(starts.front().run, 1U);
  bench.End(starts.front(), RunEnd::kDone, 1);
  EXPECT_EQ(bench.GetScheduler().FindJob(kJob)->stored_phase,
            JobPhase::kRunning);
  bench.Step();
  EXPECT_EQ(bench.GetScheduler().FindJob(kJob)->stored_phase, JobPhase::kDone);
  EXPECT_EQ(bench.GetScheduler().FindWorker("a")->acked_end, 1U);
}

// The next leader reads the store and must find every run that may be alive.
TEST(SchedulerTest, StartsNothingBeforeItsRecordIsCommitted) {
  SchedulerBench bench;
  bench.AddWorker("a");
  bench.Submit(kJob, SchedulerBench::OneTask());
  bench.GetScheduler().Plan(bench.Now(), base::WallTime{});
  EXPECT_THAT(bench.GetScheduler().TakeOrders().starts, IsEmpty());
  EXPECT_FALSE(bench.GetScheduler().FindJob(kJob)->accepted);
  EXPECT_THAT(bench.Step().starts, SizeIs(1));
}

TEST(SchedulerTest, ResubmittedJobStaysOneJob) {
  SchedulerBench bench;
  bench.AddWorker("a");
  bench.Submit(kJob, SchedulerBench::OneTask());
  EXPECT_EQ(bench.Submit(kJob, SchedulerBench::OneTask()).verdict,
            Submission::Verdict::kPending);
  EXPECT_THAT(bench.StepAndStart(), SizeIs(1));
  EXPECT_EQ(bench.Submit(kJob, SchedulerBench::OneTask()).verdict,
            Submission::Verdict::kKnown);
  EXPECT_THAT(bench.StepAndStart(), IsEmpty());
}

// The rows of forgotten jobs are removed a batch at a time. One that is
// submitted again meanwhile is a new job.
TEST(SchedulerTest, JobSubmittedAgainBeforeItsRowsAreRemovedIsKept) {
  SchedulerBench bench;
  bench.AddWorker("a");
  bench.SetDraining("a");
  const std::vector<std::string> jobs{kJob, "another", "third"};
  for (const std::string& job : jobs) {
    bench.Submit(job, SchedulerBench::OneTask());
    bench.Step();
    bench.GetScheduler().Cancel(job, bench.Now());
  }
  bench.Step();
  bench.Advance(SchedulerOptions{}.keep_finished + milliseconds(1000));
  constexpr std::size_t kNoRows = 1;
  bench.GetScheduler().TakeBatch(kNoRows, bench.Now(),
                                 Scheduler::RowChoice::kAll);
  for (const std::string& job : jobs) {
    ASSERT_EQ(bench.GetScheduler().FindJob(job), nullptr);
    bench.Submit(job, SchedulerBench::OneTask());
  }
  bench.Step();
  EXPECT_THAT(bench.Stored(), SizeIs(jobs.size()));
}

TEST(SchedulerTest, StepWaitsForThoseBeforeIt) {
  SchedulerBench bench;
  bench.AddWorker("a");
  JobSpec spec = SchedulerBench::OneTask();
  spec.steps.push_back(spec.steps.front());
  spec.steps.back().after = {0};
  bench.Submit(kJob, spec);
  const auto first = bench.StepAndStart();
  ASSERT_THAT(first, SizeIs(1));
  EXPECT_THAT(bench.StepAndStart(), IsEmpty());
  bench.End(first.front(), RunEnd::kDone, 1);
  const auto second = bench.StepAndStart();
  ASSERT_THAT(second, SizeIs(1));
  EXPECT_EQ(second.front().task.step, 1U);
}

TEST(SchedulerTest, JobFailsAfterMaxAttempts) {
  SchedulerBench bench(2);
  bench.AddWorker("a");
  bench.AddWorker("b");
  bench.Submit(kJob, SchedulerBench::OneTask());
  const auto first = bench.StepAndStart();
  bench.End(first.front(), RunEnd::kFailed, 1);
  const auto second = bench.StepAndStart();
  ASSERT_THAT(second, SizeIs(1));
  EXPECT_NE(second.front().worker.id, first.front().worker.id);
  bench.End(second.front(), RunEnd::kFailed, 1);
  bench.Step();
  EXPECT_EQ(bench.GetScheduler().FindJob(kJob)->stored_phase,
            JobPhase::kFailed);
}

// A worker lists an end until it is acknowledged, so after a takeover the new
// leader sees ends that the store already covers.
TEST(SchedulerTest, FailureListedAgainAfterATakeoverCountsOnce) {
  SchedulerBench bench(2);
  bench.AddWorker("a");
  bench.AddWorker("b");
  bench.Submit(kJob, SchedulerBench::OneTask());
  const auto first = bench.StepAndStart();
  bench.End(first.front(), RunEnd::kFailed, 1);
  bench.Step();
  SchedulerBench successor = bench.Successor(milliseconds(10000));
  successor.Report("a", successor.Listing("a"));
  successor.Report("b", successor.Listing("b"));
  successor.StepAndStart();
  EXPECT_EQ(successor.GetScheduler().FindJob(kJob)->phase, JobPhase::kRunning);
}

// If the listed ends counted again, the job would finish before its last step
// has run.
TEST(SchedulerTest, EndListedAgainAfterATakeoverCompletesNoOtherStep) {
  SchedulerBench bench;
  bench.AddWorker("a");
  JobSpec spec = SchedulerBench::OneTask();
  spec.steps.push_back(spec.steps.front());
  spec.steps.push_back(spec.steps.front());
  spec.steps[1].after = {0};
  spec.steps[2].after = {1};
  bench.Submit(kJob, spec);
  bench.End(bench.StepAndStart().front(), RunEnd::kDone, 1);
  bench.End(bench.StepAndStart().front(), RunEnd::kDone, 2);
  bench.Step();
  SchedulerBench successor = bench.Successor(milliseconds(10000));
  successor.Report("a", successor.Listing("a"));
  successor.Step();
  EXPECT_FALSE(IsFinished(successor.GetScheduler().FindJob(kJob)->phase));
}

TEST(SchedulerTest, SuccessorAdoptsWhatRuns) {
  SchedulerBench bench;
  bench.AddWorker("a");
  bench.AddWorker("b");
  bench.Submit(kJob, SchedulerBench::OneTask());
  const auto starts = bench.StepAndStart();
  SchedulerBench successor = bench.Successor(milliseconds(10000));
  successor.Report("a", successor.Listing("a"));
  successor.Report("b", successor.Listing("b"));
  EXPECT_THAT(successor.StepAndStart(), IsEmpty());
  successor.End(starts.front(), RunEnd::kDone, 1);
  successor.Step();
  EXPECT_EQ(successor.GetScheduler().FindJob(kJob)->stored_phase,
            JobPhase::kDone);
}

TEST(SchedulerTest, SuccessorKeepsTheObjectiveOfAJob) {
  SchedulerBench bench;
  bench.AddWorker("a");
  bench.Submit(kJob, SchedulerBench::OneTask());
  bench.StepAndStart();
  const base::TimePoint objective =
      bench.GetScheduler().FindJob(kJob)->objective;
  bench.Advance(milliseconds(5000));
  SchedulerBench successor = bench.Successor(milliseconds(10000));
  EXPECT_EQ(successor.GetScheduler().FindJob(kJob)->objective, objective);
}

// The task may run on the silent worker until its lease ends; started elsewhere
// before that, it could run twice at once.
TEST(SchedulerTest, SuccessorWaitsForSilentWorkersLeases) {
  SchedulerBench bench;
  bench.AddWorker("a");
  bench.Submit(kJob, SchedulerBench::OneTask());
  bench.StepAndStart();
  bench.Report("a", bench.Listing("a"));
  bench.Step();
  bench.AddWorker("b");
  SchedulerBench successor = bench.Successor(milliseconds(10000));
  successor.Report("b", successor.Listing("b"));
  successor.Advance(milliseconds(9000));
  successor.Report("b", successor.Listing("b"));
  EXPECT_THAT(successor.StepAndStart(), IsEmpty());
  successor.Advance(milliseconds(1100));
  successor.Report("b", successor.Listing("b"));
  const auto starts = successor.StepAndStart();
  ASSERT_THAT(starts, SizeIs(1));
  EXPECT_EQ(starts.front().worker.id, "b");
  EXPECT_EQ(starts.front().run, 2U);
}

TEST(SchedulerTest, NewIncarnationOfAWorkerStartsWithoutRuns) {
  SchedulerBench bench;
  bench.AddWorker("a");
  bench.Submit(kJob, SchedulerBench::OneTask());
  bench.StepAndStart();
  bench.Report("a", bench.Listing("a"));
  bench.AddWorker("a", 2);
  const auto starts = bench.StepAndStart();
  ASSERT_THAT(starts, SizeIs(1));
  EXPECT_EQ(starts.front().worker, (WorkerId{"a", 2}));
}

// A start without an answer may still be carried out. The task is placed again
// only after a report from after the answered stop doesn't list the run.
TEST(SchedulerTest, UnansweredStartIsStoppedBeforeItRunsElsewhere) {
  SchedulerBench bench;
  bench.AddWorker("a");
  bench.AddWorker("b");
  bench.Submit(kJob, SchedulerBench::OneTask());
  const Orders orders = bench.Step();
  ASSERT_THAT(orders.starts, SizeIs(1));
  const StartOrder start = orders.starts.front();
  bench.GetScheduler().StartAnswered(start.worker, start.task, start.run,
                                     StartResult::kUnknown, bench.Now());
  EXPECT_TRUE(bench.GetScheduler().FindWorker(start.worker.id)->wants_report);
  bench.Advance(milliseconds(10));
  bench.Report(start.worker.id, bench.Listing(start.worker.id));
  const Orders stops = bench.Step();
  ASSERT_THAT(stops.stops, SizeIs(1));
  EXPECT_THAT(stops.starts, IsEmpty());
  bench.GetScheduler().StopAnswered(start.worker, start.task, start.run,
                                    bench.Now());
  EXPECT_THAT(bench.Step().starts, IsEmpty());
  bench.Advance(milliseconds(10));
  bench.Report(start.worker.id, bench.Listing(start.worker.id));
  const Orders again = bench.Step();
  ASSERT_THAT(again.starts, SizeIs(1));
  EXPECT_EQ(again.starts.front().run, 2U);
}

TEST(SchedulerTest, UnansweredStartThatRunsIsKept) {
  SchedulerBench bench;
  bench.AddWorker("a");
  bench.Submit(kJob, SchedulerBench::OneTask());
  const StartOrder start = bench.Step().starts.front();
  bench.GetScheduler().StartAnswered(start.worker, start.task, start.run,
                                     StartResult::kUnknown, bench.Now());
  WorkerReport report = bench.Listing("a");
  ListedRun& run = report.running.emplace_back();
  run.task = start.task;
  run.run = start.run;
  bench.Advance(milliseconds(10));
  bench.Report("a", report);
  EXPECT_THAT(bench.Step().stops, IsEmpty());
}

TEST(SchedulerTest, UnknownRunIsStopped) {
  SchedulerBench bench;
  bench.AddWorker("a");
  WorkerReport report = bench.Listing("a");
  ListedRun& run = report.running.emplace_back();
  run.task = {kJob, 0, 0, 0};
  run.run = 3;
  bench.Report("a", report);
  const Orders orders = bench.Step();
  ASSERT_THAT(orders.stops, SizeIs(1));
  EXPECT_EQ(orders.stops.front().run, 3U);
}

TEST(SchedulerTest, CancelledJobsTasksAreStopped) {
  SchedulerBench bench;
  bench.AddWorker("a");
  bench.Submit(kJob, SchedulerBench::LongRunning(2, 1));
  bench.StepAndStart();
  EXPECT_TRUE(bench.GetScheduler().Cancel(kJob, bench.Now()));
  EXPECT_THAT(bench.Step().stops, SizeIs(2));
  EXPECT_EQ(bench.GetScheduler().FindJob(kJob)->stored_phase,
            JobPhase::kCancelled);
}

TEST(SchedulerTest, LongRunningTaskStartsAgainHoweverItEnds) {
  SchedulerBench bench(1);
  bench.AddWorker("a");
  bench.Submit(kJob, SchedulerBench::LongRunning(1, 0));
  std::uint64_t sequence = 0;
  for (const RunEnd how :
       {RunEnd::kFailed, RunEnd::kDone, RunEnd::kLeaseExpired}) {
    bench.Advance(milliseconds(10));
    const auto starts = bench.StepAndStart();
    ASSERT_THAT(starts, SizeIs(1));
    bench.End(starts.front(), how, ++sequence);
  }
  EXPECT_FALSE(IsFinished(bench.GetScheduler().FindJob(kJob)->phase));
}

TEST(SchedulerTest, DrainsNoMoreOfAStepThanItAllows) {
  SchedulerBench bench;
  bench.AddWorker("a");
  bench.AddWorker("b");
  bench.Submit(kJob, SchedulerBench::LongRunning(2, 1));
  bench.StepAndStart();
  bench.Report("a", bench.Listing("a"));
  bench.Report("b", bench.Listing("b"));
  EXPECT_TRUE(bench.GetScheduler().CanDrainMachine("machine-a"));
  bench.GetScheduler().CordonAndMarkUnavailable("a", bench.Now());
  EXPECT_FALSE(bench.GetScheduler().CanDrainMachine("machine-b"));
}

TEST(SchedulerTest, TaskOnASilentWorkerCountsAsUnavailable) {
  SchedulerBench bench;
  bench.AddWorker("a");
  bench.AddWorker("b");
  bench.Submit(kJob, SchedulerBench::LongRunning(2, 1));
  bench.StepAndStart();
  bench.Report("a", bench.Listing("a"));
  bench.Report("b", bench.Listing("b"));
  bench.GetScheduler().WorkerSilent("a", bench.Now());
  EXPECT_FALSE(bench.GetScheduler().CanDrainMachine("machine-b"));
}

TEST(SchedulerTest, StaysWithinTheCapacityOfWorkers) {
  SchedulerBench bench;
  bench.AddWorker("a");
  JobSpec spec = SchedulerBench::OneTask(5000);
  spec.steps.front().count = 5;
  bench.Submit(kJob, spec);
  // Three tasks of 5 cores fit on a worker of 16.
  EXPECT_THAT(bench.StepAndStart(), SizeIs(3));
}

// When a queue has several times the load of its pool, jobs that can no longer
// meet their objective go behind those that can. Otherwise all would be late.
TEST(SchedulerTest, JobsThatCanMeetTheirObjectiveGoFirst) {
  SchedulerBench bench;
  bench.AddWorker("a");
  const auto whole_worker = SchedulerBench::OneTask(16000);
  bench.Submit("0000000000000001", whole_worker);
  const auto first = bench.StepAndStart();
  bench.Submit("0000000000000002", whole_worker);
  EXPECT_THAT(bench.StepAndStart(), IsEmpty());
  // Objectives are 1.6 s after the first request and a task takes 0.5 s: the
  // second job would now be late, though its objective is the earlier one.
  bench.Advance(milliseconds(1400));
  bench.Submit("0000000000000003", whole_worker);
  bench.End(first.front(), RunEnd::kDone, 1);
  const auto next = bench.StepAndStart();
  ASSERT_THAT(next, SizeIs(1));
  EXPECT_EQ(next.front().task.job, "0000000000000003");
}

TEST(SchedulerTest, ObjectiveCountsFromTheFirstRequest) {
  SchedulerBench bench;
  bench.AddWorker("a");
  const auto whole_worker = SchedulerBench::OneTask(16000);
  int accepted_count = 0;
  while (bench.Submit(std::to_string(accepted_count), whole_worker).verdict !=
         Submission::Verdict::kRefused) {
    ASSERT_LT(++accepted_count, 100);
    bench.StepAndStart();
  }
  const std::string refused_job = std::to_string(accepted_count);
  const base::TimePoint first_request = bench.Now();
  // All accepted jobs are cancelled, so that there is free capacity again.
  for (int i = 0; i < accepted_count; ++i) {
    bench.GetScheduler().Cancel(std::to_string(i), bench.Now());
  }
  bench.Advance(milliseconds(1000));
  ASSERT_EQ(bench.Submit(refused_job, whole_worker).verdict,
            Submission::Verdict::kNew);
  EXPECT_EQ(bench.GetScheduler().FindJob(refused_job)->objective,
            first_request + milliseconds(1600));
}

TEST(SchedulerTest, SimultaneousJobsDoNotAllGetTheSameFreeCapacity) {
  SchedulerBench bench;
  bench.AddWorker("a");
  int accepted_count = 0;
  while (bench
             .Submit(std::to_string(accepted_count),
                     SchedulerBench::OneTask(16000))
             .verdict != Submission::Verdict::kRefused) {
    ASSERT_LT(++accepted_count, 100);
  }
  // One job runs; others may wait for up to 1.15 times the slack of 1.1 s.
  EXPECT_EQ(accepted_count, 3);
}

// After a takeover, a worker may be missing from the list though it is still
// running.
TEST(SchedulerTest, RunsOfAnUnlistedWorkerKeepItsMachine) {
  SchedulerBench bench;
  bench.AddWorker("a");
  bench.Submit(kJob, SchedulerBench::LongRunning(2, 1));
  bench.StepAndStart();
  bench.Report("a", bench.Listing("a"));
  SchedulerBench next = bench.Successor(milliseconds(8000));
  EXPECT_FALSE(next.GetScheduler().CanDrainMachine("machine-a"));
  next.RemoveWorker("a");
  EXPECT_FALSE(next.GetScheduler().CanDrainMachine("machine-a"));
}

// A full pool in which small tasks take all capacity that becomes free.
class FullPoolTest : public testing::Test {
 protected:
  // Ends running small tasks one after the other, and submits another for each,
  // until a task of `job` starts. Returns how many had to end, or `most` + 1
  // when none started.
  int EndsUntilStarted(const std::string& job, int most) {
    for (int ended = 0; ended <= most; ++ended) {
      for (const StartOrder& start : m_bench.StepAndStart()) {
        if (start.task.job == job) {
          return ended;
        }
        m_small.push_back(start);
      }
      m_bench.Submit("small-" + std::to_string(m_next++),
                     SchedulerBench::OneTask(1000));
      m_bench.End(m_small.front(), RunEnd::kDone, ++m_ends);
      m_small.erase(m_small.begin());
    }
    return most + 1;
  }

  void Fill() {
    m_bench.AddWorker("a");
    for (; m_next < 20; ++m_next) {
      m_bench.Submit("small-" + std::to_string(m_next),
                     SchedulerBench::OneTask(1000));
    }
    m_small = m_bench.StepAndStart();
    ASSERT_THAT(m_small, SizeIs(16));
  }

  SchedulerBench m_bench;
  std::vector<StartOrder> m_small;
  int m_next = 0;
  std::uint64_t m_ends = 0;
};

TEST_F(FullPoolTest, LongRunningTaskGetsTheCapacityThatBecomesFree) {
  Fill();
  JobSpec long_running = SchedulerBench::LongRunning(1, 1);
  long_running.steps.front().need.cpu = 6000;
  m_bench.Submit(kJob, long_running);
  EXPECT_EQ(EndsUntilStarted(kJob, 30), 6);
}

TEST_F(FullPoolTest, LargeTaskIsNotStarvedBySmallOnes) {
  Fill();
  m_bench.Submit(kJob, SchedulerBench::OneTask(10000));
  // The four small tasks that were submitted earlier go first; then ten must
  // end for its 10 cores.
  EXPECT_LE(EndsUntilStarted(kJob, 30), 14);
}

// An unanswered start order may still arrive after its worker has restarted
// under the same id, and the new incarnation would carry it out.
TEST(SchedulerTest, UnansweredStartIsStoppedAtTheNextLifeOfItsWorker) {
  SchedulerBench bench;
  bench.AddWorker("a");
  bench.Submit(kJob, SchedulerBench::OneTask());
  const auto starts = bench.Step().starts;
  ASSERT_THAT(starts, SizeIs(1));
  bench.GetScheduler().StartAnswered(starts.front().worker, starts.front().task,
                                     starts.front().run, StartResult::kUnknown,
                                     bench.Now());
  bench.AddWorker("b");
  bench.AddWorker("a", 2);
  const Orders orders = bench.Step();
  EXPECT_THAT(orders.starts, IsEmpty());
  ASSERT_THAT(orders.stops, SizeIs(1));
  EXPECT_EQ(orders.stops.front().worker, (WorkerId{"a", 2}));
}

// The end of the run may be listed in a report that is still on its way.
TEST(SchedulerTest, StartRefusedAsStaleIsSettledByAReport) {
  SchedulerBench bench;
  bench.AddWorker("a");
  bench.Submit(kJob, SchedulerBench::OneTask());
  const auto starts = bench.Step().starts;
  ASSERT_THAT(starts, SizeIs(1));
  bench.GetScheduler().StartAnswered(starts.front().worker, starts.front().task,
                                     starts.front().run, StartResult::kStaleRun,
                                     bench.Now());
  EXPECT_THAT(bench.Step().starts, IsEmpty());
  bench.Advance(milliseconds(10));
  bench.End(starts.front(), RunEnd::kDone, 1);
  bench.Step();
  EXPECT_EQ(bench.GetScheduler().FindJob(kJob)->stored_phase, JobPhase::kDone);
}

TEST(SchedulerTest, RefusalOfARunThatIsListedIsSettledByAReport) {
  SchedulerBench bench;
  bench.AddWorker("a");
  bench.Submit(kJob, SchedulerBench::OneTask());
  const auto starts = bench.Step().starts;
  ASSERT_THAT(starts, SizeIs(1));
  WorkerReport report = bench.Listing("a");
  ListedRun& run = report.running.emplace_back();
  run.task = starts.front().task;
  run.run = starts.front().run;
  bench.Report("a", report);
  bench.GetScheduler().StartAnswered(starts.front().worker, starts.front().task,
                                     starts.front().run, StartResult::kNoRoom,
                                     bench.Now());
  bench.Advance(milliseconds(1000));
  EXPECT_THAT(bench.Step().starts, IsEmpty());
  bench.Report("a", bench.Listing("a"));
  EXPECT_THAT(bench.Step().starts, SizeIs(1));
}

TEST(SchedulerTest, SilentWorkerGetsNoTasksUntilItReports) {
  SchedulerBench bench;
  bench.AddWorker("a");
  bench.GetScheduler().WorkerSilent("a", bench.Now());
  bench.Advance(milliseconds(1000));
  bench.Submit(kJob, SchedulerBench::OneTask());
  EXPECT_THAT(bench.Step().starts, IsEmpty());
  bench.Report("a", bench.Listing("a"));
  EXPECT_THAT(bench.Step().starts, SizeIs(1));
}

TEST(SchedulerTest, RunWhoseEndDoesNotFitIntoTheReportIsNotStartedAgain) {
  SchedulerBench bench;
  bench.AddWorker("a");
  bench.Submit(kJob, SchedulerBench::OneTask());
  const auto starts = bench.StepAndStart();
  ASSERT_THAT(starts, SizeIs(1));
  bench.Advance(milliseconds(1000));
  WorkerReport cut = bench.Listing("a");
  cut.running.clear();
  cut.ends_cut = true;
  bench.Report("a", cut);
  EXPECT_THAT(bench.Step().starts, IsEmpty());
  bench.End(starts.front(), RunEnd::kDone, 501);
  bench.Step();
  EXPECT_EQ(bench.GetScheduler().FindJob(kJob)->stored_phase, JobPhase::kDone);
}

// The next incarnation may be the one that answered.
TEST(SchedulerTest, AnsweredStartThatWasNeverListedIsStoppedAtTheNextLife) {
  SchedulerBench bench;
  bench.AddWorker("a");
  bench.Submit(kJob, SchedulerBench::OneTask());
  ASSERT_THAT(bench.StepAndStart(), SizeIs(1));
  bench.AddWorker("b");
  bench.AddWorker("a", 2);
  const Orders orders = bench.Step();
  EXPECT_THAT(orders.starts, IsEmpty());
  ASSERT_THAT(orders.stops, SizeIs(1));
  EXPECT_EQ(orders.stops.front().worker, (WorkerId{"a", 2}));
}

TEST(SchedulerTest, StartCarriedOutByTheNextLifeOfItsWorkerIsKept) {
  SchedulerBench bench;
  bench.AddWorker("a");
  bench.Submit(kJob, SchedulerBench::OneTask());
  const StartOrder start = bench.Step().starts.front();
  bench.GetScheduler().StartAnswered(start.worker, start.task, start.run,
                                     StartResult::kRunning, bench.Now());
  bench.AddWorker("b");
  WorkerReport report = bench.Listing("a");
  report.incarnation_ms = 2;
  ListedRun& run = report.running.emplace_back();
  run.task = start.task;
  run.run = start.run;
  bench.Report("a", report);
  const Orders orders = bench.Step();
  EXPECT_THAT(orders.starts, IsEmpty());
  EXPECT_THAT(orders.stops, IsEmpty());
}

// A stop protects only the incarnation that answered it.
TEST(SchedulerTest, RunStoppedBeforeItWasListedIsStoppedAtTheNextLifeToo) {
  SchedulerBench bench;
  bench.AddWorker("a");
  bench.Submit(kJob, SchedulerBench::OneTask());
  const StartOrder start = bench.Step().starts.front();
  bench.GetScheduler().StartAnswered(start.worker, start.task, start.run,
                                     StartResult::kUnknown, bench.Now());
  bench.Advance(milliseconds(10));
  bench.Report("a", bench.Listing("a"));
  ASSERT_THAT(bench.Step().stops, SizeIs(1));
  bench.GetScheduler().StopAnswered(start.worker, start.task, start.run,
                                    bench.Now());
  bench.AddWorker("b");
  bench.AddWorker("a", 2);
  Orders orders = bench.Step();
  EXPECT_THAT(orders.starts, IsEmpty());
  ASSERT_THAT(orders.stops, SizeIs(1));
  EXPECT_EQ(orders.stops.front().worker, (WorkerId{"a", 2}));
  // An answer of the former incarnation says nothing about this one.
  bench.GetScheduler().StopAnswered(start.worker, start.task, start.run,
                                    bench.Now());
  bench.Advance(milliseconds(10));
  bench.Report("a", bench.Listing("a"));
  EXPECT_THAT(bench.Step().starts, IsEmpty());
}

// Members are chosen before any of them has a run, so that they were not
// counted for each other, and all of them went to one worker.
TEST(SchedulerTest, GangKeepsToItsMembersPerWorker) {
  SchedulerBench bench;
  bench.AddWorker("worker-a");
  bench.AddWorker("worker-b");
  JobSpec spec = SchedulerBench::OneTask();
  spec.steps.front().count = 4;
  spec.steps.front().gang = true;
  spec.steps.front().max_per_worker = 2;
  bench.Submit("gang", spec);
  std::map<std::string, int> members;
  for (const StartOrder& start : bench.StepAndStart()) {
    ++members[start.worker.id];
  }
  EXPECT_EQ(members,
            (std::map<std::string, int>{{"worker-a", 2}, {"worker-b", 2}}));
  spec.steps.front().count = 5;
  bench.Submit("too large", spec);
  EXPECT_TRUE(bench.StepAndStart().empty());
}

// All members of a gang have one run number, and a new attempt needs all of
// them.
TEST(SchedulerTest, GangWaitsForItsMemberThatMayStartAtTheNextLife) {
  SchedulerBench bench;
  bench.AddWorker("a");
  bench.AddWorker("b");
  JobSpec spec = SchedulerBench::OneTask(10000);
  spec.steps.front().count = 2;
  spec.steps.front().gang = true;
  bench.Submit(kJob, spec);
  const auto starts = bench.Step().starts;
  ASSERT_THAT(starts, SizeIs(2));
  for (const StartOrder& start : starts) {
    bench.GetScheduler().StartAnswered(start.worker, start.task, start.run,
                                       StartResult::kUnknown, bench.Now());
  }
  bench.AddWorker("c");
  bench.AddWorker("d");
  bench.AddWorker("a", 2);
  bench.AddWorker("b", 2);
  const Orders orders = bench.Step();
  EXPECT_THAT(orders.starts, IsEmpty());
  EXPECT_THAT(orders.stops, SizeIs(2));
}

// An order to maintain a machine is stored before it is sent. Meanwhile its
// worker reports its tasks as serving, and another machine must not be ended on
// the strength of that. Replayed from trouble-2 of the large site.
TEST(EvacuationTest, MachineAboutToBeEndedDoesNotCountAsServing) {
  SchedulerBench bench;
  bench.AddWorker("a");
  bench.AddWorker("b");
  bench.Submit("lasting", SchedulerBench::LongRunning(2, 1));
  JobSpec spread = SchedulerBench::LongRunning(2, 1);
  spread.steps[0].max_per_worker = 1;
  bench.Submit("spread", spread);
  bench.StepAndStart();
  bench.Report("a", bench.Listing("a"));
  bench.Report("b", bench.Listing("b"));
  Scheduler& scheduler = bench.GetScheduler();
  const std::string machine = scheduler.FindWorker("b")->entry.machine;
  ASSERT_TRUE(scheduler.CanDrainMachine(machine));
  scheduler.CordonAndMarkUnavailable("a", bench.Now());
  bench.Report("a", bench.Listing("a"));
  EXPECT_FALSE(scheduler.CanDrainMachine(machine));
}

// A wave ends a long-running task while every other worker is full of finite
// work: it would not run again until that is done.
TEST(EvacuationTest, LongRunningTaskStaysUntilThereIsRoomElsewhere) {
  SchedulerBench bench;
  bench.AddWorker("a");
  bench.Submit("lasting", SchedulerBench::LongRunning(2, 1));
  const auto started = bench.StepAndStart();
  ASSERT_THAT(started, SizeIs(2));
  bench.Report("a", bench.Listing("a"));
  bench.GetScheduler().SetCordoned("a", true);
  bench.GetScheduler().Evacuate("a", bench.Now());
  EXPECT_THAT(bench.GetScheduler().TakeOrders().stops, IsEmpty());
  // The pool planner is told.
  const auto loads = bench.GetScheduler().GetPoolLoads(bench.Now());
  EXPECT_GT(loads.begin()->second.unplaced_long_running.cpu, 0);
  bench.AddWorker("b");
  bench.GetScheduler().Evacuate("a", bench.Now());
  EXPECT_THAT(bench.GetScheduler().TakeOrders().stops, SizeIs(1));
}

// At peak load a task of every job begins or ends between two commits. Only
// what a caller or a start waits for is written at once.
TEST(SchedulerRowsTest, UrgentBatchLeavesWhatMayWait) {
  SchedulerBench bench;
  bench.AddWorker("a");
  JobSpec two = SchedulerBench::OneTask();
  two.steps[0].count = 2;
  bench.Submit("first", two);
  const auto started = bench.StepAndStart();
  ASSERT_THAT(started, SizeIs(2));
  bench.End(started[0], RunEnd::kDone, 1);
  bench.Submit("second", SchedulerBench::OneTask());
  Scheduler& scheduler = bench.GetScheduler();
  const Batch urgent =
      scheduler.TakeBatch(10, bench.Now(), Scheduler::RowChoice::kUrgent);
  ASSERT_THAT(urgent.rows, SizeIs(2));
  EXPECT_EQ(urgent.rows[0].job, "second");
  // The end is not in the store yet, so it must not be acknowledged.
  EXPECT_THAT(urgent.ends, IsEmpty());
  EXPECT_TRUE(scheduler.HasRows());
  const Batch rest = scheduler.TakeBatch(10, bench.Now());
  ASSERT_THAT(rest.rows, SizeIs(1));
  EXPECT_EQ(rest.rows[0].job, "first");
  EXPECT_THAT(rest.ends, SizeIs(1));
}

// Guards against a refusal of a job that a commit in flight may store.
TEST(SchedulerTest, JobIsWithdrawnOnlyIfNoBatchHasHadIt) {
  SchedulerBench bench;
  bench.AddWorker("a");
  Scheduler& scheduler = bench.GetScheduler();
  bench.Submit("1111111111111111", SchedulerBench::OneTask());
  scheduler.Plan(bench.Now(), {});
  const Batch batch = scheduler.TakeBatch(80, bench.Now());
  bench.Submit("2222222222222222", SchedulerBench::OneTask());
  scheduler.Plan(bench.Now(), {});
  EXPECT_FALSE(scheduler.Withdraw("1111111111111111", bench.Now()));
  EXPECT_TRUE(scheduler.Withdraw("2222222222222222", bench.Now()));
  EXPECT_FALSE(scheduler.Withdraw("2222222222222222", bench.Now()));
  scheduler.Confirm(batch, bench.Now());
  EXPECT_EQ(scheduler.FindWorker("a")->used.cpu, 1000);
  EXPECT_EQ(scheduler.TakeOrders().starts.size(), 1U);
  EXPECT_FALSE(scheduler.HasUrgentRows());
}

}  // namespace
}  // namespace cassiastile::jobs
