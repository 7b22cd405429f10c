// Starts that were stopped before any report listed them: the next incarnation
// of their worker knows nothing of the stop.
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <msgpack.hpp>

#include "cassiastile/jobs/scheduler.hpp"
#include "scheduler_bench.hpp"

namespace cassiastile::jobs {
namespace {

using std::chrono::milliseconds;
using testing::IsEmpty;
using testing::SizeIs;

constexpr char kJob[] = "5c0e7a21d94b36f8";
// A call may come 13 s late, and a lease of 10 s takes 10.2 s by a clock that
// is 2 % slow.
constexpr milliseconds kMayRun{23200};
// Shortly after that it is over.
constexpr milliseconds kDoubtEnds{200};
// A former leader that stood still may give the start this long after the
// takeover.
constexpr milliseconds kAfterTerm{800};

// More than "b" has free when the task is first placed.
constexpr std::int64_t kCpu = 14500;

class WithdrawnStartTest : public testing::Test {
 protected:
  // Leaves the only start of `spec` without an answer, on worker "a", until a
  // report that follows the answered stop does not list it. By then, worker
  // "b" is the better fit.
  void Withdraw(const JobSpec& spec = SchedulerBench::OneTask(kCpu)) {
    m_bench.AddWorker("b");
    m_bench.Submit("1", SchedulerBench::OneTask(1000));
    m_bench.Submit("2", SchedulerBench::OneTask(1000));
    const auto others = m_bench.StepAndStart();
    ASSERT_THAT(others, SizeIs(2));
    m_bench.AddWorker("a");
    m_bench.Submit(kJob, spec);
    const auto starts = m_bench.Step().starts;
    ASSERT_THAT(starts, SizeIs(1));
    m_start = starts.front();
    ASSERT_EQ(m_start.worker.id, "a");
    m_bench.GetScheduler().StartAnswered(m_start.worker, m_start.task,
                                         m_start.run, StartResult::kUnknown,
                                         m_bench.Now());
    m_bench.Advance(milliseconds(10));
    m_bench.Report("a", m_bench.Listing("a"));
    ASSERT_THAT(m_bench.Step().stops, SizeIs(1));
    m_bench.End(others.front(), RunEnd::kDone, 1);
    ConfirmStop(m_start.worker);
  }

  void ConfirmStop(const WorkerId& worker) {
    m_bench.GetScheduler().StopAnswered(worker, m_start.task, m_start.run,
                                        m_bench.Now());
    m_bench.Advance(milliseconds(10));
    m_bench.Report(worker.id, m_bench.Listing(worker.id));
  }

  SchedulerBench m_bench;
  StartOrder m_start;
};

TEST_F(WithdrawnStartTest, TaskStaysOnItsWorker) {
  Withdraw();
  const auto starts = m_bench.Step().starts;
  ASSERT_THAT(starts, SizeIs(1));
  EXPECT_EQ(starts.front().worker, (WorkerId{"a", 1}));
  EXPECT_EQ(starts.front().run, 2U);
}

TEST_F(WithdrawnStartTest, OtherTasksLeaveItsCapacityFree) {
  Withdraw();
  // Long-running tasks go first, and this one fits on an empty worker only.
  JobSpec spec = SchedulerBench::LongRunning(1, 1);
  spec.steps.front().need.cpu = 15500;
  m_bench.Submit("3", spec);
  const auto starts = m_bench.Step().starts;
  ASSERT_THAT(starts, SizeIs(1));
  EXPECT_EQ(starts.front().task.job, kJob);
}

TEST_F(WithdrawnStartTest, NextLifeIsStoppedBeforeTheTaskIsPlaced) {
  Withdraw();
  m_bench.AddWorker("a", 2);
  const Orders orders = m_bench.Step();
  EXPECT_THAT(orders.starts, IsEmpty());
  ASSERT_THAT(orders.stops, SizeIs(1));
  EXPECT_EQ(orders.stops.front().worker, (WorkerId{"a", 2}));
  EXPECT_EQ(orders.stops.front().run, m_start.run);
  ConfirmStop({"a", 2});
  const auto starts = m_bench.Step().starts;
  ASSERT_THAT(starts, SizeIs(1));
  EXPECT_EQ(starts.front().worker, (WorkerId{"a", 2}));
}

TEST_F(WithdrawnStartTest, NextLifeIsStoppedWhileAnotherRunMayStartThere) {
  Withdraw();
  const auto starts = m_bench.Step().starts;
  ASSERT_THAT(starts, SizeIs(1));
  m_bench.GetScheduler().StartAnswered(starts.front().worker,
                                       starts.front().task, starts.front().run,
                                       StartResult::kUnknown, m_bench.Now());
  m_bench.AddWorker("a", 2);
  const Orders orders = m_bench.Step();
  EXPECT_THAT(orders.starts, IsEmpty());
  EXPECT_THAT(orders.stops, SizeIs(2));
}

TEST_F(WithdrawnStartTest, RunThatEndedThereDoesNotFreeTheTask) {
  Withdraw();
  const auto starts = m_bench.StepAndStart();
  ASSERT_THAT(starts, SizeIs(1));
  m_bench.Report("a", m_bench.Listing("a"));
  m_bench.AddWorker("a", 2);
  const Orders orders = m_bench.Step();
  EXPECT_THAT(orders.starts, IsEmpty());
  ASSERT_THAT(orders.stops, SizeIs(1));
  EXPECT_EQ(orders.stops.front().run, m_start.run);
}

// Carried out after 13 s, it may run for 10.2 s with a lease of the next life.
TEST_F(WithdrawnStartTest, TaskLeavesOnceTheOrderCannotComeAnyMore) {
  Withdraw();
  m_bench.GetScheduler().WorkerSilent("a", m_bench.Now());
  m_bench.Advance(kMayRun);
  m_bench.Report("b", m_bench.Listing("b"));
  EXPECT_THAT(m_bench.Step().starts, IsEmpty());
  m_bench.Advance(kDoubtEnds);
  m_bench.Report("b", m_bench.Listing("b"));
  const auto starts = m_bench.Step().starts;
  ASSERT_THAT(starts, SizeIs(1));
  EXPECT_EQ(starts.front().worker.id, "b");
}

// The next incarnation may begin the run late and be held by a lease that was
// sent after the start.
TEST_F(WithdrawnStartTest, LeaseThatWasSentLaterMayHoldALateRun) {
  Withdraw();
  m_bench.Advance(milliseconds(9000));
  m_bench.Report("a", m_bench.Listing("a"));
  m_bench.GetScheduler().WorkerSilent("a", m_bench.Now());
  m_bench.Advance(kMayRun);
  m_bench.Report("b", m_bench.Listing("b"));
  EXPECT_THAT(m_bench.Step().starts, IsEmpty());
  m_bench.Advance(kDoubtEnds);
  m_bench.Report("b", m_bench.Listing("b"));
  EXPECT_THAT(m_bench.Step().starts, SizeIs(1));
}

// A report lists what the worker has begun.
TEST_F(WithdrawnStartTest, TaskLeavesAWorkerThatIsHeardAfterTheLastArrival) {
  Withdraw();
  m_bench.Advance(milliseconds(13100));
  m_bench.Report("a", m_bench.Listing("a"));
  m_bench.GetScheduler().SetCordoned("a", true);
  m_bench.Report("b", m_bench.Listing("b"));
  const auto starts = m_bench.Step().starts;
  ASSERT_THAT(starts, SizeIs(1));
  EXPECT_EQ(starts.front().worker.id, "b");
}

// An order that a former leader may have given ends the worker, or it doesn't.
TEST_F(WithdrawnStartTest, TaskStaysOnAWorkerThatMayGoOn) {
  Withdraw();
  m_bench.GetScheduler().CordonInDoubt("a", m_bench.Now());
  m_bench.Report("a", m_bench.Listing("a"));
  m_bench.Report("b", m_bench.Listing("b"));
  EXPECT_THAT(m_bench.Step().starts, IsEmpty());
  m_bench.GetScheduler().SetCordoned("a", false);
  const auto starts = m_bench.Step().starts;
  ASSERT_THAT(starts, SizeIs(1));
  EXPECT_EQ(starts.front().worker.id, "a");
}

// This leader's own order ends it.
TEST_F(WithdrawnStartTest, TaskLeavesAWorkerWhoseOrderIsRepeated) {
  Withdraw();
  m_bench.GetScheduler().CordonInDoubt("a", m_bench.Now());
  m_bench.GetScheduler().CordonAndMarkUnavailable("a", m_bench.Now());
  m_bench.Report("b", m_bench.Listing("b"));
  const auto starts = m_bench.Step().starts;
  ASSERT_THAT(starts, SizeIs(1));
  EXPECT_EQ(starts.front().worker.id, "b");
}

// It may come back under its id.
TEST_F(WithdrawnStartTest, TaskStaysOnAWorkerWhoseEntryIsGone) {
  Withdraw();
  m_bench.RemoveWorker("a");
  m_bench.Advance(kMayRun);
  m_bench.Report("b", m_bench.Listing("b"));
  EXPECT_THAT(m_bench.Step().starts, IsEmpty());
  m_bench.Advance(kDoubtEnds);
  m_bench.Report("b", m_bench.Listing("b"));
  const auto starts = m_bench.Step().starts;
  ASSERT_THAT(starts, SizeIs(1));
  EXPECT_EQ(starts.front().worker.id, "b");
}

// The next leader reads what may still start from the store.
TEST_F(WithdrawnStartTest, SuccessorKeepsTheTaskOnItsWorker) {
  Withdraw();
  m_bench.GetScheduler().WorkerSilent("a", m_bench.Now());
  EXPECT_THAT(m_bench.Step().starts, IsEmpty());
  SchedulerBench next = m_bench.Successor(milliseconds(8000));
  next.Advance(kAfterTerm + kMayRun);
  next.Report("b", next.Listing("b"));
  EXPECT_THAT(next.Step().starts, IsEmpty());
  next.Advance(kDoubtEnds);
  next.Report("b", next.Listing("b"));
  EXPECT_THAT(next.Step().starts, SizeIs(1));
}

// A recovered run that the worker does not list can't start there any more, but
// it can at the next incarnation, which has not seen the new fencing token.
TEST_F(WithdrawnStartTest, RecoveredRunThatIsMissingMayStartAtTheNextLife) {
  m_bench.AddWorker("a");
  m_bench.Submit(kJob, SchedulerBench::OneTask(kCpu));
  ASSERT_THAT(m_bench.Step().starts, SizeIs(1));
  SchedulerBench next = m_bench.Successor(milliseconds(8000));
  next.AddWorker("b");
  next.Report("a", next.Listing("a"));
  next.AddWorker("a", 2);
  const Orders orders = next.Step();
  EXPECT_THAT(orders.starts, IsEmpty());
  ASSERT_THAT(orders.stops, SizeIs(1));
  EXPECT_EQ(orders.stops.front().worker, (WorkerId{"a", 2}));
}

TEST_F(WithdrawnStartTest, TaskMayLeaveAWorkerThatGetsNoTasks) {
  Withdraw();
  m_bench.GetScheduler().SetCordoned("a", true);
  const auto starts = m_bench.Step().starts;
  ASSERT_THAT(starts, SizeIs(1));
  EXPECT_EQ(starts.front().worker.id, "b");
}

// A machine that was moved or maintained comes back with another worker.
TEST_F(WithdrawnStartTest, TaskLeavesAWorkerThatTheLeaderEnded) {
  Withdraw();
  m_bench.GetScheduler().WorkerTerminated({"a", 1}, m_bench.Now());
  m_bench.RemoveWorker("a");
  const auto starts = m_bench.Step().starts;
  ASSERT_THAT(starts, SizeIs(1));
  EXPECT_EQ(starts.front().worker.id, "b");
}

TEST_F(WithdrawnStartTest, CancelledJobsAreForgotten) {
  Withdraw();
  m_bench.GetScheduler().Cancel(kJob, m_bench.Now());
  m_bench.Step();
  EXPECT_THAT(m_bench.GetScheduler().FindWorker("a")->withdrawn, IsEmpty());
  m_bench.AddWorker("a", 2);
  EXPECT_THAT(m_bench.Step().stops, IsEmpty());
}

// Two long-running tasks that may not share a worker, of which one may still
// start on "a", and the other has lost its worker.
class WithdrawnPlaceTest : public testing::Test {
 protected:
  // The starts of the leader that takes over before any answer to the first
  // ones, with an empty worker "c".
  std::vector<StartOrder> StartsAfterATakeover() {
    JobSpec spec = SchedulerBench::LongRunning(2, 1);
    spec.steps.front().max_per_worker = 1;
    m_bench.AddWorker("a");
    m_bench.AddWorker("b");
    m_bench.Submit(kJob, spec);
    const auto starts = m_bench.Step().starts;
    EXPECT_THAT(starts, SizeIs(2));
    for (const StartOrder& start : starts) {
      m_task_of_worker[start.worker.id] = start.task;
    }
    m_next.emplace(m_bench.Successor(milliseconds(8000)));
    m_next->GetScheduler().WorkerReplaced({"b", 1}, m_next->Now());
    m_next->RemoveWorker("b");
    m_next->Report("a", m_next->Listing("a"));
    m_next->AddWorker("c");
    return m_next->Step().starts;
  }

  // Leaves a start without an answer until its stop is confirmed.
  void Withdraw(const StartOrder& start) {
    m_bench.GetScheduler().StartAnswered(start.worker, start.task, start.run,
                                         StartResult::kUnknown, m_bench.Now());
    m_bench.Advance(milliseconds(10));
    m_bench.Report(start.worker.id, m_bench.Listing(start.worker.id));
    m_bench.GetScheduler().StopAnswered(start.worker, start.task, start.run,
                                        m_bench.Now());
    m_bench.Advance(milliseconds(10));
    m_bench.Report(start.worker.id, m_bench.Listing(start.worker.id));
    ASSERT_THAT(m_bench.GetScheduler().FindWorker(start.worker.id)->withdrawn,
                SizeIs(1));
  }

  // Plans, and answers what the advisor is asked: all workers are allowed.
  void Advise() {
    for (const AdviceRequest& request : m_bench.Step().advice) {
      std::vector<std::pair<std::string, std::string>> allowed;
      for (const std::string& worker : request.workers) {
        allowed.emplace_back(worker, "ticket");
      }
      m_bench.GetScheduler().AdviceAnswered(request, allowed, request.validity,
                                            m_bench.Now());
    }
  }

  SchedulerBench m_bench;
  std::optional<SchedulerBench> m_next;
  std::map<std::string, TaskId> m_task_of_worker;
};

TEST_F(WithdrawnPlaceTest, LongRunningTaskIsNotShutOutByAnotherOfItsStep) {
  const auto starts = StartsAfterATakeover();
  ASSERT_THAT(starts, SizeIs(2));
  for (const StartOrder& start : starts) {
    const bool stays = start.task == m_task_of_worker["a"];
    EXPECT_EQ(start.worker.id, stays ? "a" : "c");
  }
}

// A worker on probation gets one task at a time, so a task that may run nowhere
// else would wait for long-running ones there that never end.
TEST_F(WithdrawnPlaceTest, LongRunningTaskIsNotShutOutByProbation) {
  m_bench.AddWorker("a");
  m_bench.Submit("1", SchedulerBench::LongRunning(1, 1));
  for (const char* id : {"2", "3", "4"}) {
    m_bench.Submit(id, SchedulerBench::OneTask());
  }
  const auto others = m_bench.StepAndStart();
  ASSERT_THAT(others, SizeIs(4));
  m_bench.Submit(kJob, SchedulerBench::LongRunning(1, 1));
  const auto starts = m_bench.Step().starts;
  ASSERT_THAT(starts, SizeIs(1));
  Withdraw(starts.front());
  std::uint64_t sequence = 0;
  for (const StartOrder& other : others) {
    if (other.task.job != "1") {
      m_bench.End(other, RunEnd::kFailed, ++sequence);
      m_bench.GetScheduler().Cancel(other.task.job, m_bench.Now());
    }
  }
  ASSERT_TRUE(m_bench.GetScheduler().FindWorker("a")->health.IsOnProbation());
  m_bench.Advance(milliseconds(1100));
  m_bench.Report("a", m_bench.Listing("a"));
  const auto again = m_bench.Step().starts;
  ASSERT_THAT(again, SizeIs(1));
  EXPECT_EQ(again.front().task.job, kJob);
}

// Otherwise it would end its run for a place that it does not get.
TEST_F(WithdrawnPlaceTest, TaskIsNotEvacuatedIntoCapacityOfABoundOne) {
  JobSpec spec = SchedulerBench::LongRunning(1, 1);
  spec.steps.front().need.cpu = kCpu;
  m_bench.AddWorker("a");
  m_bench.Submit("1", spec);
  ASSERT_THAT(m_bench.StepAndStart(), SizeIs(1));
  m_bench.Report("a", m_bench.Listing("a"));
  m_bench.AddWorker("b");
  m_bench.Submit(kJob, spec);
  const auto starts = m_bench.Step().starts;
  ASSERT_THAT(starts, SizeIs(1));
  Withdraw(starts.front());
  m_bench.GetScheduler().TakeOrders();
  m_bench.GetScheduler().SetCordoned("a", true);
  m_bench.GetScheduler().Evacuate("a", m_bench.Now());
  EXPECT_THAT(m_bench.GetScheduler().TakeOrders().stops, IsEmpty());
}

// The placement advisor answers for a part of a large pool only.
TEST_F(WithdrawnPlaceTest, TaskIsNotShutOutByAdviceAboutOtherWorkers) {
  m_bench.RequireAdvice(milliseconds(2000));
  m_bench.AddWorker("z");
  m_bench.Submit(kJob, SchedulerBench::LongRunning(1, 1));
  Advise();
  const auto starts = m_bench.Step().starts;
  ASSERT_THAT(starts, SizeIs(1));
  Withdraw(starts.front());
  for (int i = 0; i < 40; ++i) {
    m_bench.AddWorker("a" + std::to_string(i));
  }
  m_bench.Advance(milliseconds(2100));
  m_bench.Report("z", m_bench.Listing("z"));
  Advise();
  const auto again = m_bench.Step().starts;
  ASSERT_THAT(again, SizeIs(1));
  EXPECT_EQ(again.front().worker.id, "z");
}

// A start without an answer on a worker that fell silent.
class UnlistedStartTest : public testing::Test {
 protected:
  UnlistedStartTest() {
    m_bench.AddWorker("a");
    m_bench.Submit(kJob, SchedulerBench::OneTask());
    const StartOrder start = m_bench.Step().starts.front();
    m_bench.GetScheduler().StartAnswered(start.worker, start.task, start.run,
                                         StartResult::kUnknown, m_bench.Now());
    m_bench.AddWorker("b");
    m_bench.GetScheduler().WorkerSilent("a", m_bench.Now());
  }

  std::vector<StartOrder> StartsAfter(milliseconds time) {
    m_bench.Advance(time);
    m_bench.Report("b", m_bench.Listing("b"));
    return m_bench.Step().starts;
  }

  SchedulerBench m_bench;
};

// The clock of the next incarnation starts anew, so the lease in the order
// covers whatever its worker allows.
TEST_F(UnlistedStartTest, SilentWorkerMayRunItAtItsNextLife) {
  EXPECT_THAT(StartsAfter(kMayRun), IsEmpty());
  EXPECT_THAT(StartsAfter(kDoubtEnds), SizeIs(1));
}

TEST_F(UnlistedStartTest, SuccessorWaitsForARunAtTheNextLife) {
  SchedulerBench next = m_bench.Successor(milliseconds(10000));
  next.Advance(kAfterTerm + kMayRun);
  next.Report("b", next.Listing("b"));
  EXPECT_THAT(next.Step().starts, IsEmpty());
  next.Advance(kDoubtEnds);
  next.Report("b", next.Listing("b"));
  EXPECT_THAT(next.Step().starts, SizeIs(1));
}

TEST_F(UnlistedStartTest, MachineThatIsDownMayComeBackUnderTheId) {
  m_bench.GetScheduler().WorkerGone({"a", 1}, m_bench.Now(), m_bench.Now());
  EXPECT_THAT(StartsAfter(milliseconds(12500)), IsEmpty());
  m_bench.Advance(milliseconds(600));
  m_bench.GetScheduler().WorkerGone({"a", 1}, m_bench.Now(), m_bench.Now());
  EXPECT_THAT(StartsAfter(milliseconds(10)), SizeIs(1));
}

// The same with a worker that the platform no longer lists.
TEST_F(UnlistedStartTest, WorkerWithoutAnEntryMayComeBackUnderTheId) {
  m_bench.RemoveWorker("a");
  m_bench.GetScheduler().WorkerGone({"a", 1}, m_bench.Now(), m_bench.Now());
  EXPECT_THAT(StartsAfter(milliseconds(12500)), IsEmpty());
  m_bench.AddWorker("a", 2);
  const Orders orders = m_bench.Step();
  EXPECT_THAT(orders.starts, IsEmpty());
  EXPECT_THAT(orders.stops, SizeIs(1));
}

TEST_F(UnlistedStartTest, AnsweredStartIsOverOnceItsMachineIsDown) {
  SchedulerBench bench;
  bench.AddWorker("a");
  bench.Submit(kJob, SchedulerBench::OneTask());
  ASSERT_THAT(bench.StepAndStart(), SizeIs(1));
  bench.AddWorker("b");
  // The machine may have been seen down before the order was carried out.
  bench.GetScheduler().WorkerGone({"a", 1}, bench.Now(), bench.Now());
  EXPECT_THAT(bench.Step().starts, IsEmpty());
  bench.Advance(milliseconds(10));
  bench.GetScheduler().WorkerGone({"a", 1}, bench.Now(), bench.Now());
  bench.Advance(milliseconds(50));
  EXPECT_THAT(bench.Step().starts, SizeIs(1));
}

TEST_F(UnlistedStartTest, ReplacedWorkerRunsNothing) {
  m_bench.GetScheduler().WorkerReplaced({"a", 1}, m_bench.Now());
  EXPECT_THAT(StartsAfter(milliseconds(10)), SizeIs(1));
}

// A lease of the former incarnation may come late and count on the new clock.
TEST(IncarnationLeaseTest, LateLeaseKeepsARunOfTheNextLifeAlive) {
  SchedulerBench bench;
  bench.AddWorker("a");
  bench.AddWorker("a", 2);
  bench.Submit(kJob, SchedulerBench::OneTask());
  ASSERT_THAT(bench.StepAndStart(), SizeIs(1));
  bench.Report("a", bench.Listing("a"));
  bench.AddWorker("b");
  bench.GetScheduler().WorkerSilent("a", bench.Now());
  bench.Advance(kMayRun);
  bench.Report("b", bench.Listing("b"));
  EXPECT_THAT(bench.Step().starts, IsEmpty());
  bench.Advance(kDoubtEnds);
  bench.Report("b", bench.Listing("b"));
  EXPECT_THAT(bench.Step().starts, SizeIs(1));
}

TEST(JobCodecTest, ProgressKeepsWithdrawnStartsAndListedRuns) {
  Job job;
  job.spec = SchedulerBench::OneTask();
  BeginOccurrence(job, 0);
  Task& task = job.occurrences.front().steps.front().tasks.front();
  task.last_run = 2;
  task.withdrawn.push_back({1, {"a", 7}, "machine-a", {}});
  jobs::Run& run = task.runs.emplace_back();
  run.number = 2;
  run.worker = {"a", 7};
  run.listed = true;
  Job read;
  read.spec = job.spec;
  ASSERT_TRUE(DecodeProgress(read, EncodeProgress(job)));
  const Task& back = read.occurrences.front().steps.front().tasks.front();
  ASSERT_THAT(back.runs, SizeIs(1));
  EXPECT_TRUE(back.runs.front().listed);
  ASSERT_THAT(back.withdrawn, SizeIs(1));
  EXPECT_EQ(back.withdrawn.front().run, 1U);
  EXPECT_EQ(back.withdrawn.front().worker, (WorkerId{"a", 7}));
  EXPECT_EQ(back.withdrawn.front().machine, "machine-a");
}

// Names of workers would be most of a row, which is written again with each
// change to one of its tasks.
TEST(JobCodecTest, ProgressNamesEachWorkerOnce) {
  Job job;
  job.spec = SchedulerBench::OneTask();
  job.spec.steps[0].count = 16;
  BeginOccurrence(job, 0);
  for (Task& task : job.occurrences.front().steps.front().tasks) {
    jobs::Run& run = task.runs.emplace_back();
    run.number = task.last_run = 1;
    run.worker = {"i-b5cfaf194e", 1770617328467};
    run.machine = "m-4899d";
  }
  const std::string row = EncodeProgress(job);
  EXPECT_EQ(row.find("i-b5cfaf194e"), row.rfind("i-b5cfaf194e"));
  EXPECT_EQ(row.find("m-4899d"), row.rfind("m-4899d"));
  Job read;
  read.spec = job.spec;
  ASSERT_TRUE(DecodeProgress(read, row));
  for (const Task& task : read.occurrences.front().steps.front().tasks) {
    ASSERT_THAT(task.runs, SizeIs(1));
    EXPECT_EQ(task.runs.front().worker,
              (WorkerId{"i-b5cfaf194e", 1770617328467}));
  }
}

TEST(JobCodecTest, CutOrChangedProgressIsReadOrRefused) {
  Job job;
  job.spec = SchedulerBench::OneTask();
  BeginOccurrence(job, 0);
  Task& task = job.occurrences.front().steps.front().tasks.front();
  task.runs.emplace_back().worker = {"a", 7};
  task.last_run = 1;
  const std::string whole = EncodeProgress(job);
  for (std::size_t size = 0; size < whole.size(); ++size) {
    Job read;
    read.spec = job.spec;
    EXPECT_FALSE(DecodeProgress(read, whole.substr(0, size))) << size;
    std::string changed = whole;
    changed[size] = static_cast<char>(changed[size] ^ 0x55);
    Job other;
    other.spec = job.spec;
    static_cast<void>(DecodeProgress(other, changed));
  }
}

TEST(JobCodecTest, ProgressKeepsWhichRunHasSavedTheCheckpoint) {
  Job job;
  job.spec = SchedulerBench::OneTask();
  job.spec.steps[0].count = 2;
  BeginOccurrence(job, 0);
  Task& task = job.occurrences.front().steps.front().tasks[1];
  task.last_run = 300;
  task.checkpoint = "c";
  task.checkpoint_run = 299;
  Job read;
  read.spec = job.spec;
  ASSERT_TRUE(DecodeProgress(read, EncodeProgress(job)));
  const Task& back = read.occurrences.front().steps.front().tasks[1];
  EXPECT_EQ(back.checkpoint, "c");
  EXPECT_EQ(back.checkpoint_run, 299U);
}

// Rows of leaders of former versions, read during a rolling update.
TEST(JobCodecTest, ReadsCheckpointsWithoutTheirRun) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  const std::vector<std::uint32_t> none;
  packer.pack_array(8);
  // Layout, phase, started, next occurrence, occurrences done, workers.
  packer.pack(4).pack(static_cast<int>(JobPhase::kRunning)).pack(true);
  packer.pack(1).pack(0).pack(none);
  // One occurrence: its number and its tasks.
  packer.pack_array(1).pack_array(2).pack(0);
  packer.pack_array(1).pack_array(9);
  // Step, index, done, last run, checkpoint; failed runs, runs, withdrawn
  // starts, crashes.
  packer.pack(0).pack(0).pack(false).pack(3).pack(std::string("c"));
  packer.pack(none).pack(none).pack(none).pack(none);
  packer.pack(std::string());  // The customer.
  Job job;
  job.spec = SchedulerBench::OneTask();
  ASSERT_TRUE(DecodeProgress(job, {buffer.data(), buffer.size()}));
  const Task& task = job.occurrences.front().steps.front().tasks.front();
  EXPECT_EQ(task.last_run, 3U);
  EXPECT_EQ(task.checkpoint, "c");
  EXPECT_EQ(task.checkpoint_run, 0U);
}

TEST(JobCodecTest, ReadsProgressOfLayoutThree) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    constexpr std::uint8_t kLayout = 3;
    archive(kLayout, static_cast<std::uint8_t>(JobPhase::kRunning), true);
    // Next occurrence, occurrences done, occurrences; number and tasks.
    archive(1U, 0U, 1U, 0U, 1U);
    // Step, index, done, failed runs, last run, checkpoint, runs.
    archive(0U, 0U, false, std::vector<std::uint32_t>{2U}, 3U, std::string("c"),
            1U);
    archive(3U, std::string("a"), std::int64_t{7}, std::string("machine-a"),
            true);
    // Withdrawn starts.
    archive(1U);
    archive(1U, std::string("b"), std::int64_t{8}, std::string("machine-b"));
  }
  Job job;
  job.spec = SchedulerBench::OneTask();
  ASSERT_TRUE(DecodeProgress(job, out.str()));
  const Task& task = job.occurrences.front().steps.front().tasks.front();
  ASSERT_THAT(task.runs, SizeIs(1));
  EXPECT_TRUE(task.runs.front().listed);
  EXPECT_EQ(task.checkpoint, "c");
  EXPECT_EQ(task.failed_runs, std::vector<std::uint32_t>{2U});
  ASSERT_THAT(task.withdrawn, SizeIs(1));
  EXPECT_EQ(task.withdrawn.front().worker, (WorkerId{"b", 8}));
}

TEST(JobCodecTest, ReadsProgressOfTheFormerLayout) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    constexpr std::uint8_t kLayout = 2;
    archive(kLayout, static_cast<std::uint8_t>(JobPhase::kRunning), true);
    // Next occurrence, occurrences done, occurrences; number and tasks.
    archive(1U, 0U, 1U, 0U, 1U);
    // Step, index, done, failed runs, last run, checkpoint, runs.
    archive(0U, 0U, false, std::vector<std::uint32_t>{}, 3U, std::string("c"),
            1U);
    archive(3U, std::string("a"), std::int64_t{7}, std::string("machine-a"));
  }
  Job job;
  job.spec = SchedulerBench::OneTask();
  ASSERT_TRUE(DecodeProgress(job, out.str()));
  const Task& task = job.occurrences.front().steps.front().tasks.front();
  ASSERT_THAT(task.runs, SizeIs(1));
  EXPECT_EQ(task.runs.front().worker, (WorkerId{"a", 7}));
  EXPECT_EQ(task.runs.front().machine, "machine-a");
  EXPECT_FALSE(task.runs.front().listed);
  EXPECT_THAT(task.withdrawn, IsEmpty());
}

}  // namespace
}  // namespace cassiastile::jobs
