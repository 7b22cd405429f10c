#include <gtest/gtest.h>

#include "worker_cluster_test.hpp"

namespace cassiastile::standin {
namespace {

using std::chrono::seconds;
using work::Effect;
using work::TaskOutcome;
using work::TaskState;
using work::Verdict;

TEST(TaskLifecycleTest, RunsOnceAndEnds) {
  TaskCluster cluster;
  EXPECT_EQ(cluster.Submit(MakeSpec("1")).effect, Effect::kCommitted);
  cluster.Run(seconds(10));
  EXPECT_EQ(cluster.Stored("q/1")->outcome, TaskOutcome::kSucceeded);
  EXPECT_EQ(cluster.CountLog("q/1", WorkerEvent::kStarted), 1U);
}

TEST(TaskLifecycleTest, SubmittedTwiceWithTheSameIdRunsOnce) {
  TaskCluster cluster;
  cluster.Submit(MakeSpec("1"));
  cluster.Run(seconds(10));
  EXPECT_EQ(cluster.Submit(MakeSpec("1")).reply.verdict, Verdict::kSame);
  EXPECT_EQ(cluster.Submit(MakeSpec("1", 7)).reply.verdict, Verdict::kConflict);
  cluster.Run(seconds(10));
  EXPECT_EQ(cluster.CountLog("q/1", WorkerEvent::kStarted), 1U);
}

// A worker that resumes after its lease lapsed must not finish a run that was
// given to another worker. The 12 s of the pause exceed the lease of 6 s and
// its margin of 2 s; the abandoned run stays unconfirmed until the worker
// reports that it has stopped it.
TEST(TaskLifecycleTest, TaskOfAPausedWorkerRunsElsewhereAndEndsOnce) {
  TaskCluster cluster;
  cluster.Submit(MakeSpec("1", 20));
  cluster.Run(seconds(3));
  const std::string first = cluster.Stored("q/1")->lease.worker;
  const auto index = static_cast<std::size_t>(first.back() - '0');
  cluster.workers->At(index).SetPaused(true);
  cluster.Run(seconds(12));
  const work::Task moved = *cluster.Stored("q/1");
  EXPECT_NE(moved.lease.worker, first);
  EXPECT_EQ(moved.lease.epoch, 2U);
  EXPECT_EQ(moved.unconfirmed.size(), 1U);
  cluster.workers->At(index).SetPaused(false);
  cluster.Run(seconds(5));
  EXPECT_NE(cluster.Stored("q/1")->state, TaskState::kEnded);
  EXPECT_TRUE(cluster.Stored("q/1")->unconfirmed.empty());
  cluster.Run(seconds(30));
  EXPECT_EQ(cluster.Stored("q/1")->outcome, TaskOutcome::kSucceeded);
  EXPECT_EQ(cluster.CountLog("q/1", WorkerEvent::kSucceeded), 1U);
}

// The run of a silent worker may still go on, so a task that must not run twice
// is not given to another worker.
TEST(TaskLifecycleTest, NonIdempotentTaskOfASilentWorkerIsInDoubt) {
  TaskCluster cluster;
  work::TaskSpec spec = MakeSpec("1", 20);
  spec.idempotent = false;
  cluster.Submit(spec);
  cluster.Run(seconds(3));
  const std::string worker = cluster.Stored("q/1")->lease.worker;
  const auto index = static_cast<std::size_t>(worker.back() - '0');
  cluster.workers->At(index).SetPaused(true);
  cluster.Run(seconds(30));
  const work::Task task = *cluster.Stored("q/1");
  EXPECT_EQ(task.state, TaskState::kInDoubt);
  EXPECT_NE(task.reason.find("worker " + worker), std::string::npos);
  EXPECT_EQ(cluster.decisions.recorded.back().outcome, "in doubt");
  EXPECT_EQ(cluster.CountLog("q/1", WorkerEvent::kStarted), 1U);
}

TEST(TaskLifecycleTest, NonIdempotentTaskOfARestartedWorkerWaitsForAnOperator) {
  TaskCluster cluster;
  work::TaskSpec spec = MakeSpec("1", 20);
  spec.idempotent = false;
  cluster.Submit(spec);
  cluster.Run(seconds(3));
  const std::string worker = cluster.Stored("q/1")->lease.worker;
  cluster.workers->At(static_cast<std::size_t>(worker.back() - '0'))
      .Restart(cluster.clock.Now());
  cluster.Run(seconds(30));
  EXPECT_EQ(cluster.Stored("q/1")->state, TaskState::kInDoubt);
  EXPECT_EQ(cluster.CountLog("q/1", WorkerEvent::kStarted), 1U);
  cluster.Send(work::ResolveEvent{"q/1", TaskOutcome::kNone, "ann"});
  cluster.Run(seconds(30));
  EXPECT_EQ(cluster.Stored("q/1")->outcome, TaskOutcome::kSucceeded);
}

// When the answer with a start order is lost, or the poll that reports the run,
// the shard repeats the order. A worker that executed both orders would run a
// task twice that is not idempotent.
TEST(TaskLifecycleTest, TaskRunsOnceAndEndsDespiteLostPollsAndAnswers) {
  TaskCluster cluster;
  cluster.workers->SetFaults({.lose_poll = 0.3, .lose_answer = 0.5});
  work::TaskSpec spec = MakeSpec("1", 3);
  spec.idempotent = false;
  cluster.Submit(spec);
  cluster.Run(seconds(40));
  EXPECT_EQ(cluster.CountLog("q/1", WorkerEvent::kStarted), 1U);
  EXPECT_EQ(cluster.Stored("q/1")->state, TaskState::kEnded);
}

// The task takes 30 s and the test 36 s, of which 10 s pass before the drain.
// So the task ends in time only if its second run resumes from the checkpoint.
TEST(TaskLifecycleTest, TaskLeavesDrainingHostAtACheckpoint) {
  TaskCluster cluster;
  work::TaskSpec spec = MakeSpec("1", 30);
  spec.idempotent = false;
  spec.checkpointable = true;
  cluster.Submit(spec);
  cluster.Run(seconds(10));
  const std::string worker = cluster.Stored("q/1")->lease.worker;
  cluster.draining.insert(worker);
  cluster.ApplyFleet();
  cluster.Run(seconds(4));
  EXPECT_EQ(cluster.CountLog("q/1", WorkerEvent::kCheckpointed), 1U);
  EXPECT_NE(cluster.Stored("q/1")->lease.worker, worker);
  cluster.Run(seconds(22));
  EXPECT_EQ(cluster.Stored("q/1")->outcome, TaskOutcome::kSucceeded);
}

TEST(TaskLifecycleTest, CancelStopsTheRun) {
  TaskCluster cluster;
  cluster.Submit(MakeSpec("1", 100));
  cluster.Run(seconds(3));
  EXPECT_EQ(cluster.Send(work::CancelEvent{"q/1"}).effect, Effect::kCommitted);
  cluster.Run(seconds(3));
  EXPECT_EQ(cluster.Stored("q/1")->outcome, TaskOutcome::kCancelled);
  EXPECT_EQ(cluster.CountLog("q/1", WorkerEvent::kStopped), 1U);
}

TEST(TaskLifecycleTest, FailingTaskEndsAfterMaxTries) {
  TaskCluster cluster;
  work::TaskSpec spec = MakeSpec("1");
  spec.payload = R"({"fail": true})";
  cluster.Submit(spec);
  cluster.Run(seconds(60));
  EXPECT_EQ(cluster.Stored("q/1")->outcome, TaskOutcome::kFailed);
  EXPECT_EQ(cluster.CountLog("q/1", WorkerEvent::kStarted), 3U);
}

// A task that no host can hold must not wait without a reason, whether this is
// known on submission or comes about later. w0 drains, so that it doesn't start
// the accepted task before its accelerator is removed.
TEST(TaskLifecycleTest, UnschedulableTaskIsRefusedOrExplained) {
  TaskCluster cluster;
  work::TaskSpec spec = MakeSpec("1");
  spec.declared.accelerators = 1;
  const auto refused = cluster.Submit(spec);
  EXPECT_EQ(refused.reply.verdict, Verdict::kRefused);
  EXPECT_NE(refused.reply.reason.find("accelerators"), std::string::npos);
  cluster.accepted.fleet.pools[0].hosts[0].accelerators = 1;
  cluster.draining.insert("w0");
  cluster.ApplyFleet();
  EXPECT_EQ(cluster.Submit(spec).effect, Effect::kCommitted);
  cluster.accepted.fleet.pools[0].hosts[0].accelerators = 0;
  cluster.ApplyFleet();
  cluster.Run(seconds(2));
  EXPECT_NE(cluster.Owner().Shard().Explain("q/1").find("no host of pool p"),
            std::string::npos);
  cluster.accepted.fleet.pools[0].hosts[1].accelerators = 1;
  cluster.ApplyFleet();
  cluster.Run(seconds(10));
  EXPECT_EQ(cluster.Stored("q/1")->outcome, TaskOutcome::kSucceeded);
}

// A task that fails on w0 is retried on another worker, so none may fail for
// good. After the quarantine w0 gets one task at a time, as a probe.
TEST(FailingWorkerTest, IsQuarantinedWhenOthersSucceedAndReinstatedByProbes) {
  TaskCluster cluster;
  cluster.workers->At(0).SetFailing(true);
  int submitted = 0;
  const auto run_load = [&](int steps) {
    for (int step = 0; step < steps; ++step) {
      cluster.Submit(MakeSpec("t" + std::to_string(submitted++), 1));
      cluster.Run(std::chrono::milliseconds(500));
    }
  };
  run_load(60);
  EXPECT_EQ(
      cluster.Owner().Shard().Health().HealthOf("w0", cluster.clock.Now()),
      work::WorkerHealthState::kQuarantined);
  std::size_t failed = 0;
  for (const std::string& key : cluster.acknowledged) {
    failed += cluster.Stored(key)->outcome == TaskOutcome::kFailed ? 1 : 0;
  }
  EXPECT_EQ(failed, 0U);
  cluster.workers->At(0).SetFailing(false);
  run_load(300);
  EXPECT_EQ(
      cluster.Owner().Shard().Health().HealthOf("w0", cluster.clock.Now()),
      work::WorkerHealthState::kHealthy);
}

// Runs on paused workers are abandoned after their lease, but may still go on.
// They count against the team's limit until the workers report that they have
// stopped; otherwise the tasks started instead would exceed it.
TEST(TeamLimitTest, HoldsWithPausedWorkers) {
  TaskCluster cluster;
  cluster.SetLimit("a", 3);
  for (int index = 0; index < 12; ++index) {
    cluster.Submit(MakeSpec(std::to_string(index), 20));
  }
  cluster.Run(seconds(5));
  EXPECT_EQ(cluster.running["a"], 3);
  for (std::size_t index = 0; index < 3; ++index) {
    cluster.workers->At(index).SetPaused(true);
  }
  cluster.Run(seconds(60));
  for (std::size_t index = 0; index < 3; ++index) {
    cluster.workers->At(index).SetPaused(false);
  }
  cluster.Run(seconds(120));
  EXPECT_EQ(cluster.peak_running["a"], 3);
  for (const std::string& key : cluster.acknowledged) {
    EXPECT_EQ(cluster.Stored(key)->outcome, TaskOutcome::kSucceeded) << key;
  }
}

// The runs take 10 s, so none ends in the 9 s until the log is compared.
TEST(TeamLimitTest, LoweredLimitStartsNothingUntilEnoughRunsEnd) {
  TaskCluster cluster;
  cluster.SetLimit("a", 6);
  for (int index = 0; index < 20; ++index) {
    cluster.Submit(MakeSpec(std::to_string(index), 10));
  }
  cluster.Run(seconds(5));
  EXPECT_EQ(cluster.running["a"], 6);
  cluster.SetLimit("a", 2);
  const std::size_t events_before = cluster.log.size();
  cluster.Run(seconds(4));
  EXPECT_EQ(cluster.log.size(), events_before);
  cluster.Run(seconds(6));
  // All six runs have ended; from here on the peak shows the lowered limit.
  cluster.peak_running.clear();
  cluster.Run(seconds(30));
  EXPECT_EQ(cluster.peak_running["a"], 2);
}

// In an outage of the table, the owner renews the workers' leases without
// writing. Otherwise the 40 s run would be stopped and started again.
TEST(TaskOwnerTest, OutageRefusesSubmissionsAndRunningTasksContinue) {
  TaskCluster cluster;
  cluster.Submit(MakeSpec("1", 40));
  cluster.Run(seconds(3));
  cluster.table.SetFaults({.down = true});
  EXPECT_EQ(cluster.Submit(MakeSpec("2")).effect, Effect::kNotRun);
  cluster.Run(seconds(50));
  EXPECT_EQ(cluster.CountLog("q/1", WorkerEvent::kSucceeded), 1U);
  cluster.table.SetFaults({});
  cluster.Run(seconds(5));
  EXPECT_EQ(cluster.Stored("q/1")->outcome, TaskOutcome::kSucceeded);
  EXPECT_FALSE(cluster.Stored("q/2").has_value());
  EXPECT_EQ(cluster.CountLog("q/1", WorkerEvent::kStarted), 1U);
}

// The table applies the write of the submission, but its answer is lost.
TEST(TaskOwnerTest, LostAnswerIsUnknownAndTheSameIdMayBeRepeated) {
  TaskCluster cluster;
  cluster.table.SetFaults({.lose_answer = 1});
  EXPECT_EQ(cluster.Submit(MakeSpec("1")).effect, Effect::kUnknown);
  cluster.table.SetFaults({});
  cluster.Run(seconds(1));
  EXPECT_EQ(cluster.Submit(MakeSpec("1")).reply.verdict, Verdict::kSame);
  cluster.Run(seconds(10));
  EXPECT_EQ(cluster.CountLog("q/1", WorkerEvent::kStarted), 1U);
}

// Process 1 takes over the lease on the shard while process 0 still believes
// that it holds it, as after a long pause. The write of process 0 must fail on
// the precondition that fences it with the version of the lease's row.
TEST(TaskOwnerTest, FormerOwnerWritesNothing) {
  TaskCluster cluster;
  cluster.Submit(MakeSpec("1", 5));
  cluster.Run(seconds(2));
  cluster.TakeOver(1);
  cluster.current = 0;
  EXPECT_EQ(cluster.Submit(MakeSpec("2")).effect, Effect::kNotRun);
  cluster.current = 1;
  cluster.Run(seconds(10));
  EXPECT_FALSE(cluster.Stored("q/2").has_value());
  EXPECT_EQ(cluster.Stored("q/1")->outcome, TaskOutcome::kSucceeded);
  EXPECT_EQ(cluster.CountLog("q/1", WorkerEvent::kStarted), 1U);
}

// Sweeps are long batch tasks, pushes short urgent ones. The sweeps use all
// cores but the reserve, which is smaller than the 12 cores of the push, so
// some of them must be preempted. That takes up to 500 ms each for the poll
// that orders the checkpoints, the checkpoints, and the poll that starts the
// push.
TEST(UrgentTaskTest, StartsWhileSweepsFillThePool) {
  TaskCluster cluster;
  for (int index = 0; index < 100; ++index) {
    work::TaskSpec sweep = MakeSpec("s" + std::to_string(index), 600);
    sweep.checkpointable = true;
    cluster.Submit(sweep);
  }
  cluster.Run(seconds(10));
  work::TaskSpec push = MakeSpec("push", 5);
  push.queue = "u";
  push.urgent = true;
  push.kind = "push";
  push.declared = {12, 8, 0};
  cluster.Submit(push);
  cluster.Run(std::chrono::milliseconds(5400));
  EXPECT_EQ(cluster.CountLog("u/push", WorkerEvent::kStarted), 1U);
  EXPECT_EQ(cluster.CountLog("u/push", WorkerEvent::kStopped), 0U);
}

// The sweeps are neither checkpointable nor idempotent: stopping one would
// leave it in doubt. So the push waits.
TEST(UrgentTaskTest, NeverStopsTasksThatCannotBeCheckpointed) {
  TaskCluster cluster;
  for (int index = 0; index < 100; ++index) {
    work::TaskSpec sweep = MakeSpec("s" + std::to_string(index), 600);
    sweep.idempotent = false;
    cluster.Submit(sweep);
  }
  cluster.Run(seconds(10));
  work::TaskSpec push = MakeSpec("push", 5);
  push.queue = "u";
  push.urgent = true;
  push.kind = "push";
  push.declared = {12, 8, 0};
  cluster.Submit(push);
  cluster.Run(seconds(20));
  for (const WorkerLogEntry& line : cluster.log) {
    EXPECT_EQ(line.event, WorkerEvent::kStarted) << line.key;
  }
  EXPECT_EQ(cluster.CountLog("u/push", WorkerEvent::kStarted), 0U);
}

// The new owner reads the table one page per call. Until all are read, it must
// accept a new task, and a repeated submission must not overwrite a task that
// was not read yet.
TEST(RecoveryTest, AcceptsSubmissionsDuringRecoveryAndLosesNothing) {
  TaskCluster cluster;
  // Three pages of up to 500 rows, so that both submissions come before the
  // last page is read.
  constexpr int kTasks = 1200;
  for (int index = 0; index < kTasks; ++index) {
    cluster.Submit(MakeSpec(std::to_string(index), 600));
  }
  cluster.TakeOver(1);
  EXPECT_EQ(cluster.Submit(MakeSpec("new", 600)).effect, Effect::kCommitted);
  // kCommitted if the page with this task was read, as it is known then;
  // kNotRun if not, as the write conflicts with its row.
  EXPECT_NE(cluster.Submit(MakeSpec("0", 600)).effect, Effect::kUnknown);
  cluster.Run(seconds(2));
  EXPECT_EQ(cluster.Owner().Shard().Tasks().Size(), kTasks + 1U);
  EXPECT_EQ(cluster.Submit(MakeSpec("0", 600)).reply.verdict, Verdict::kSame);
}

// Guards against cancelled tasks that hold up the scheduling of others. Time
// passes only in Run, so the 5 s bound the polls until the start, not the
// processing time. No worker polls before, so all cancelled tasks end at once.
TEST(TaskCancelTest, ThousandsOfCancelsDoNotDelayAStart) {
  TaskCluster cluster;
  for (int index = 0; index < 3000; ++index) {
    cluster.Submit(MakeSpec(std::to_string(index), 600));
  }
  for (int index = 100; index < 3000; ++index) {
    cluster.Send(work::CancelEvent{"q/" + std::to_string(index)});
  }
  work::TaskSpec push = MakeSpec("push", 5);
  push.queue = "u";
  push.urgent = true;
  cluster.Submit(push);
  cluster.Run(seconds(5));
  EXPECT_EQ(cluster.CountLog("u/push", WorkerEvent::kStarted), 1U);
  EXPECT_EQ(cluster.Stored("q/2999")->outcome, TaskOutcome::kCancelled);
}

}  // namespace
}  // namespace cassiastile::standin
