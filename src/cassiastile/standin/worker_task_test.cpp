#include <gtest/gtest.h>

#include "worker_world_test.hpp"

namespace cassiastile::standin {
namespace {

using std::chrono::seconds;
using work::Effect;
using work::TaskOutcome;
using work::TaskState;
using work::Verdict;

TEST(TaskLifeTest, RunsOnceAndEnds) {
  TaskWorld world;
  EXPECT_EQ(world.Submit(MakeSpec("1")).effect, Effect::kCommitted);
  world.Run(seconds(10));
  EXPECT_EQ(world.Stored("q/1")->outcome, TaskOutcome::kSucceeded);
  EXPECT_EQ(world.CountLog("q/1", WorkerEvent::kStarted), 1U);
}

TEST(TaskLifeTest, SubmittedTwiceWithTheSameIdRunsOnce) {
  TaskWorld world;
  world.Submit(MakeSpec("1"));
  world.Run(seconds(10));
  EXPECT_EQ(world.Submit(MakeSpec("1")).reply.verdict, Verdict::kSame);
  EXPECT_EQ(world.Submit(MakeSpec("1", 7)).reply.verdict, Verdict::kConflict);
  world.Run(seconds(10));
  EXPECT_EQ(world.CountLog("q/1", WorkerEvent::kStarted), 1U);
}

TEST(TaskLifeTest, PausedWorkerCannotReportAndTaskRunsElsewhere) {
  TaskWorld world;
  world.Submit(MakeSpec("1", 20));
  world.Run(seconds(3));
  const std::string first = world.Stored("q/1")->lease.worker;
  const auto index = static_cast<std::size_t>(first.back() - '0');
  world.workers->At(index).SetPaused(true);
  world.Run(seconds(12));
  const work::Task moved = *world.Stored("q/1");
  EXPECT_NE(moved.lease.worker, first);
  EXPECT_EQ(moved.lease.epoch, 2U);
  EXPECT_EQ(moved.unconfirmed.size(), 1U);
  world.workers->At(index).SetPaused(false);
  world.Run(seconds(5));
  EXPECT_NE(world.Stored("q/1")->state, TaskState::kEnded);
  EXPECT_TRUE(world.Stored("q/1")->unconfirmed.empty());
  world.Run(seconds(30));
  EXPECT_EQ(world.Stored("q/1")->outcome, TaskOutcome::kSucceeded);
  EXPECT_EQ(world.CountLog("q/1", WorkerEvent::kSucceeded), 1U);
}

TEST(TaskLifeTest, NonIdempotentTaskOfASilentWorkerIsInDoubt) {
  TaskWorld world;
  work::TaskSpec spec = MakeSpec("1", 20);
  spec.idempotent = false;
  world.Submit(spec);
  world.Run(seconds(3));
  const std::string worker = world.Stored("q/1")->lease.worker;
  const auto index = static_cast<std::size_t>(worker.back() - '0');
  world.workers->At(index).SetPaused(true);
  world.Run(seconds(30));
  const work::Task task = *world.Stored("q/1");
  EXPECT_EQ(task.state, TaskState::kInDoubt);
  EXPECT_NE(task.reason.find("worker " + worker), std::string::npos);
  EXPECT_EQ(world.decisions.kept.back().outcome, "in doubt");
  EXPECT_EQ(world.CountLog("q/1", WorkerEvent::kStarted), 1U);
}

TEST(TaskLifeTest, NonIdempotentTaskOfARestartedWorkerWaitsForAnOperator) {
  TaskWorld world;
  work::TaskSpec spec = MakeSpec("1", 20);
  spec.idempotent = false;
  world.Submit(spec);
  world.Run(seconds(3));
  const std::string worker = world.Stored("q/1")->lease.worker;
  world.workers->At(static_cast<std::size_t>(worker.back() - '0'))
      .Restart(world.clock.Now());
  world.Run(seconds(30));
  EXPECT_EQ(world.Stored("q/1")->state, TaskState::kInDoubt);
  EXPECT_EQ(world.CountLog("q/1", WorkerEvent::kStarted), 1U);
  world.Send(work::ResolveEvent{"q/1", TaskOutcome::kNone, "ann"});
  world.Run(seconds(30));
  EXPECT_EQ(world.Stored("q/1")->outcome, TaskOutcome::kSucceeded);
}

TEST(TaskLifeTest, LostStartIsRepeatedAndRunsOnce) {
  TaskWorld world;
  world.workers->SetFaults({.lose_poll = 0.3, .lose_answer = 0.5});
  work::TaskSpec spec = MakeSpec("1", 3);
  spec.idempotent = false;
  world.Submit(spec);
  world.Run(seconds(40));
  EXPECT_EQ(world.CountLog("q/1", WorkerEvent::kStarted), 1U);
  EXPECT_EQ(world.Stored("q/1")->state, TaskState::kEnded);
}

TEST(TaskLifeTest, DrainingHostIsLeftAtACheckpoint) {
  TaskWorld world;
  work::TaskSpec spec = MakeSpec("1", 30);
  spec.idempotent = false;
  spec.checkpointable = true;
  world.Submit(spec);
  world.Run(seconds(10));
  const std::string worker = world.Stored("q/1")->lease.worker;
  world.draining.insert(worker);
  world.Apply();
  world.Run(seconds(4));
  EXPECT_EQ(world.CountLog("q/1", WorkerEvent::kCheckpointed), 1U);
  EXPECT_NE(world.Stored("q/1")->lease.worker, worker);
  world.Run(seconds(22));
  EXPECT_EQ(world.Stored("q/1")->outcome, TaskOutcome::kSucceeded);
}

TEST(TaskLifeTest, CancelStopsWhatRuns) {
  TaskWorld world;
  world.Submit(MakeSpec("1", 100));
  world.Run(seconds(3));
  EXPECT_EQ(world.Send(work::CancelEvent{"q/1"}).effect, Effect::kCommitted);
  world.Run(seconds(3));
  EXPECT_EQ(world.Stored("q/1")->outcome, TaskOutcome::kCancelled);
  EXPECT_EQ(world.CountLog("q/1", WorkerEvent::kStopped), 1U);
}

TEST(TaskLifeTest, PoisonTaskStopsAfterBoundedTries) {
  TaskWorld world;
  work::TaskSpec spec = MakeSpec("1");
  spec.payload = R"({"fail": true})";
  world.Submit(spec);
  world.Run(seconds(60));
  EXPECT_EQ(world.Stored("q/1")->outcome, TaskOutcome::kFailed);
  EXPECT_EQ(world.CountLog("q/1", WorkerEvent::kStarted), 3U);
}

TEST(TaskLifeTest, HopelessTaskIsRefusedOrReported) {
  TaskWorld world;
  work::TaskSpec spec = MakeSpec("1");
  spec.declared.accelerators = 1;
  const auto refused = world.Submit(spec);
  EXPECT_EQ(refused.reply.verdict, Verdict::kRefused);
  EXPECT_NE(refused.reply.reason.find("accelerators"), std::string::npos);
  world.accepted.fleet.pools[0].hosts[0].accelerators = 1;
  world.draining.insert("w0");
  world.Apply();
  EXPECT_EQ(world.Submit(spec).effect, Effect::kCommitted);
  world.accepted.fleet.pools[0].hosts[0].accelerators = 0;
  world.Apply();
  world.Run(seconds(2));
  EXPECT_NE(world.Owner().Shard().Explain("q/1").find("no host of pool p"),
            std::string::npos);
  world.accepted.fleet.pools[0].hosts[1].accelerators = 1;
  world.Apply();
  world.Run(seconds(10));
  EXPECT_EQ(world.Stored("q/1")->outcome, TaskOutcome::kSucceeded);
}

TEST(SickWorkerTest, IsQuarantinedOnCrossEvidenceAndProbedBack) {
  TaskWorld world;
  world.workers->At(0).SetFailing(true);
  int submitted = 0;
  const auto run_load = [&](int steps) {
    for (int step = 0; step < steps; ++step) {
      world.Submit(MakeSpec("t" + std::to_string(submitted++), 1));
      world.Run(std::chrono::milliseconds(500));
    }
  };
  run_load(60);
  EXPECT_EQ(world.Owner().Shard().Health().HealthOf("w0", world.clock.Now()),
            work::WorkerHealthState::kQuarantined);
  std::size_t failed = 0;
  for (const std::string& key : world.acknowledged) {
    failed += world.Stored(key)->outcome == TaskOutcome::kFailed ? 1 : 0;
  }
  EXPECT_EQ(failed, 0U);
  world.workers->At(0).SetFailing(false);
  run_load(300);
  EXPECT_EQ(world.Owner().Shard().Health().HealthOf("w0", world.clock.Now()),
            work::WorkerHealthState::kHealthy);
}

TEST(UpperLimitTest, HoldsWithAPausedWorker) {
  TaskWorld world;
  world.SetLimit("a", 3);
  for (int index = 0; index < 12; ++index) {
    world.Submit(MakeSpec(std::to_string(index), 20));
  }
  world.Run(seconds(5));
  EXPECT_EQ(world.running["a"], 3);
  for (std::size_t index = 0; index < 3; ++index) {
    world.workers->At(index).SetPaused(true);
  }
  world.Run(seconds(60));
  for (std::size_t index = 0; index < 3; ++index) {
    world.workers->At(index).SetPaused(false);
  }
  world.Run(seconds(120));
  EXPECT_EQ(world.peak_running["a"], 3);
  for (const std::string& key : world.acknowledged) {
    EXPECT_EQ(world.Stored(key)->outcome, TaskOutcome::kSucceeded) << key;
  }
}

TEST(UpperLimitTest, LoweredBelowWhatRunsStartsNothingUntilBelow) {
  TaskWorld world;
  world.SetLimit("a", 6);
  for (int index = 0; index < 20; ++index) {
    world.Submit(MakeSpec(std::to_string(index), 10));
  }
  world.Run(seconds(5));
  EXPECT_EQ(world.running["a"], 6);
  world.SetLimit("a", 2);
  const std::size_t lines = world.log.size();
  world.Run(seconds(4));
  EXPECT_EQ(world.log.size(), lines);
  world.Run(seconds(6));
  world.peak_running.clear();
  world.Run(seconds(30));
  EXPECT_EQ(world.peak_running["a"], 2);
}

TEST(StoreTest, OutageRefusesTruthfullyAndRunningWorkGoesOn) {
  TaskWorld world;
  world.Submit(MakeSpec("1", 40));
  world.Run(seconds(3));
  world.table.SetFaults({.down = true});
  EXPECT_EQ(world.Submit(MakeSpec("2")).effect, Effect::kNotRun);
  world.Run(seconds(50));
  EXPECT_EQ(world.CountLog("q/1", WorkerEvent::kSucceeded), 1U);
  world.table.SetFaults({});
  world.Run(seconds(5));
  EXPECT_EQ(world.Stored("q/1")->outcome, TaskOutcome::kSucceeded);
  EXPECT_FALSE(world.Stored("q/2").has_value());
  EXPECT_EQ(world.CountLog("q/1", WorkerEvent::kStarted), 1U);
}

TEST(StoreTest, LostAnswerIsUnknownAndTheSameIdMayBeRepeated) {
  TaskWorld world;
  world.table.SetFaults({.lose_answer = 1});
  EXPECT_EQ(world.Submit(MakeSpec("1")).effect, Effect::kUnknown);
  world.table.SetFaults({});
  world.Run(seconds(1));
  EXPECT_EQ(world.Submit(MakeSpec("1")).reply.verdict, Verdict::kSame);
  world.Run(seconds(10));
  EXPECT_EQ(world.CountLog("q/1", WorkerEvent::kStarted), 1U);
}

TEST(StoreTest, OwnerPausedPastItsLeaseWritesNothing) {
  TaskWorld world;
  world.Submit(MakeSpec("1", 5));
  world.Run(seconds(2));
  world.TakeOver(1);
  world.current = 0;
  EXPECT_EQ(world.Submit(MakeSpec("2")).effect, Effect::kNotRun);
  world.current = 1;
  world.Run(seconds(10));
  EXPECT_FALSE(world.Stored("q/2").has_value());
  EXPECT_EQ(world.Stored("q/1")->outcome, TaskOutcome::kSucceeded);
  EXPECT_EQ(world.CountLog("q/1", WorkerEvent::kStarted), 1U);
}

TEST(UrgentTest, StartsWhileSweepsFillThePool) {
  TaskWorld world;
  for (int index = 0; index < 100; ++index) {
    work::TaskSpec sweep = MakeSpec("s" + std::to_string(index), 600);
    sweep.checkpointable = true;
    world.Submit(sweep);
  }
  world.Run(seconds(10));
  work::TaskSpec push = MakeSpec("push", 5);
  push.queue = "u";
  push.urgent = true;
  push.kind = "push";
  push.declared = {12, 8, 0};
  world.Submit(push);
  world.Run(std::chrono::milliseconds(5400));
  EXPECT_EQ(world.CountLog("u/push", WorkerEvent::kStarted), 1U);
  EXPECT_EQ(world.CountLog("u/push", WorkerEvent::kStopped), 0U);
}

TEST(UrgentTest, NeverStopsWhatCannotBeCheckpointed) {
  TaskWorld world;
  for (int index = 0; index < 100; ++index) {
    work::TaskSpec sweep = MakeSpec("s" + std::to_string(index), 600);
    sweep.idempotent = false;
    world.Submit(sweep);
  }
  world.Run(seconds(10));
  work::TaskSpec push = MakeSpec("push", 5);
  push.queue = "u";
  push.urgent = true;
  push.kind = "push";
  push.declared = {12, 8, 0};
  world.Submit(push);
  world.Run(seconds(20));
  for (const WorkerLogEntry& line : world.log) {
    EXPECT_EQ(line.act, WorkerEvent::kStarted) << line.key;
  }
  EXPECT_EQ(world.CountLog("u/push", WorkerEvent::kStarted), 0U);
}

TEST(RecoveryTest, TakesSubmissionsWhileReadingAndLosesNothing) {
  TaskWorld world;
  constexpr int kTasks = 1200;
  for (int index = 0; index < kTasks; ++index) {
    world.Submit(MakeSpec(std::to_string(index), 600));
  }
  world.TakeOver(1);
  EXPECT_EQ(world.Submit(MakeSpec("new", 600)).effect, Effect::kCommitted);
  EXPECT_NE(world.Submit(MakeSpec("0", 600)).effect, Effect::kUnknown);
  world.Run(seconds(2));
  EXPECT_EQ(world.Owner().Shard().Tasks().Size(), kTasks + 1U);
  EXPECT_EQ(world.Submit(MakeSpec("0", 600)).reply.verdict, Verdict::kSame);
}

TEST(CancelTest, WaveOfThousandsDoesNotDelayAStart) {
  TaskWorld world;
  for (int index = 0; index < 3000; ++index) {
    world.Submit(MakeSpec(std::to_string(index), 600));
  }
  for (int index = 100; index < 3000; ++index) {
    world.Send(work::CancelEvent{"q/" + std::to_string(index)});
  }
  work::TaskSpec push = MakeSpec("push", 5);
  push.queue = "u";
  push.urgent = true;
  world.Submit(push);
  world.Run(seconds(5));
  EXPECT_EQ(world.CountLog("u/push", WorkerEvent::kStarted), 1U);
  EXPECT_EQ(world.Stored("q/2999")->outcome, TaskOutcome::kCancelled);
}

}  // namespace
}  // namespace cassiastile::standin
