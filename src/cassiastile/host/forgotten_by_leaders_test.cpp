// Leaders that don't know, or know no more, what was sent to a worker's former
// incarnation, or which one that is.
#include <algorithm>
#include <string>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "virtual_world_bench.hpp"

namespace cassiastile::host {
namespace {

using std::chrono::milliseconds;
using testing::IsEmpty;

// Older than any lease in a call to it, so that a next incarnation, whose clock
// begins anew, holds such a lease for as long as workers allow.
constexpr milliseconds kOldWorkers{20000};
// SchedulerOptions::max_order_delay.
constexpr milliseconds kLatestCall{13000};

// The worker that has runs, for the leader.
std::string BusyWorker(const VirtualWorld& world) {
  for (const auto& [id, worker] : world.LeaderScheduler().Workers()) {
    if (!worker.runs.empty()) {
      return id;
    }
  }
  return "";
}

// Runs until the leader has extended the worker's lease once more.
void AwaitExtension(VirtualWorld& world, const std::string& worker) {
  const auto lease_bound = [&world, &worker] {
    return world.LeaderScheduler().Workers().at(worker).lease_bound;
  };
  const base::TimePoint former = lease_bound();
  while (lease_bound() == former) {
    world.RunFor(milliseconds(1));
  }
}

// The former leader has heard the current incarnation; the entry of the one
// before has a higher start time, since the clock was set back.
TEST(ForgottenIncarnationTest, EntryOfAFormerIncarnationEndsNoRunAtATakeover) {
  VirtualWorld world(
      {.services = 1, .workers_per_service = 2, .spare_machines = 0});
  world.RunFor(milliseconds(3000));
  world.Faults().clock_set_back_chance = 1;
  world.RestartWorker(world.WorkerIds().front(), milliseconds(300),
                      milliseconds(6000));
  world.RunFor(milliseconds(1500));
  const std::string job = world.Submit(0, 1, 20, milliseconds(8000));
  // The worker lists its runs in its next report, and that is stored.
  world.RunFor(milliseconds(2000));
  world.KillHost(*world.LeaderIndex());
  world.RunFor(milliseconds(30000));
  EXPECT_THAT(world.Violations(), IsEmpty());
  EXPECT_EQ(world.StateOf(job), "done");
}

// The start of the first run comes 11.5 s late, to the next incarnation of a
// worker that was cut off, and its task is bound to that worker for 13 s only.
TEST(ForgottenIncarnationTest,
     WithdrawnStartMayRunAsLongAsALeaseOfTheNextIncarnation) {
  VirtualWorld world(
      {.services = 1, .workers_per_service = 2, .spare_machines = 0});
  world.RunFor(kOldWorkers);
  world.Faults().start_delay = milliseconds(11500);
  const std::uint64_t sent = world.StartsSent();
  const std::string job = world.Submit(0, 1, 1, milliseconds(8000));
  while (world.StartsSent() == sent) {
    world.RunFor(milliseconds(1));
  }
  world.Faults() = {};
  const std::string worker = BusyWorker(world);
  ASSERT_NE(worker, "");
  // The worker has answered the stop by then and runs the task anew.
  world.RunFor(milliseconds(1500));
  world.Faults().silent_workers = {worker};
  world.RunFor(milliseconds(6000));
  world.RestartWorker(worker, milliseconds(200), milliseconds(20000));
  world.RunFor(milliseconds(20000));
  EXPECT_THAT(world.Violations(), IsEmpty());
  world.Faults() = {};
  world.RunFor(milliseconds(20000));
  EXPECT_EQ(world.StateOf(job), "done");
}

// There is one leader all the while. It extends the lease of an idle worker,
// whose entry is then gone for so long that nothing of it is kept.
TEST(ForgottenIncarnationTest,
     LateExtensionHoldsAWorkerThatWasUnlistedForAWhile) {
  VirtualWorld world(
      {.services = 1, .workers_per_service = 2, .spare_machines = 0});
  world.RunFor(kOldWorkers);
  const std::string worker = world.WorkerIds().front();
  const std::string other = world.WorkerIds().back();
  // Within this time the worker is called again.
  world.Faults().extension_delay = milliseconds(11500);
  world.RunFor(milliseconds(1500));
  world.Faults() = {};
  world.RestartWorker(worker, milliseconds(7000), milliseconds(0));
  world.ExpireEntry(worker);
  world.RunFor(milliseconds(7100));
  world.Faults().silent_workers = {other};
  world.RunFor(milliseconds(1500));
  const std::string job = world.Submit(0, 1, 1, milliseconds(12000));
  world.RunFor(milliseconds(500));
  ASSERT_EQ(BusyWorker(world), worker);
  world.Faults() = {};
  // The extension arrives before the worker is cut off.
  world.RunFor(milliseconds(1900));
  world.Faults().silent_workers = {worker};
  world.RunFor(milliseconds(20000));
  EXPECT_THAT(world.Violations(), IsEmpty());
}

// Starts reach the next incarnation and are answered. It is cut off before its
// leader has heard or listed it, and holds the lease of the former clock.
void PlayStartAnsweredUnheard(const WorldOptions& options) {
  VirtualWorld world(options);
  world.RunFor(kOldWorkers);
  const std::string worker = world.WorkerIds().front();
  world.Faults().restarting_workers_are_silent = true;
  // The call that waits for a report began just before the restart.
  AwaitExtension(world, worker);
  world.RunFor(milliseconds(20));
  world.RestartWorker(worker, milliseconds(600), milliseconds(30000));
  world.RunFor(milliseconds(300));
  const std::string job = world.Submit(0, 1, 8, milliseconds(12000));
  world.RunFor(milliseconds(350));
  ASSERT_GT(world.CallsToNextIncarnations(), 0U);
  ASSERT_GT(world.CountRunsOn(worker), 0U);
  world.Faults().silent_workers = {worker};
  world.RunFor(milliseconds(20000));
  EXPECT_THAT(world.Violations(), IsEmpty());
  world.Faults() = {};
  world.RunFor(milliseconds(30000));
  EXPECT_EQ(world.StateOf(job), "done");
}

TEST(ForgottenIncarnationTest, StartAnsweredByAnIncarnationThatIsNeverHeard) {
  PlayStartAnsweredUnheard(
      {.services = 1, .workers_per_service = 2, .spare_machines = 0});
}

TEST(ForgottenIncarnationTest, RelayedStartAnsweredByAnUnheardIncarnation) {
  PlayStartAnsweredUnheard({.services = 1,
                            .workers_per_service = 2,
                            .spare_machines = 0,
                            .min_relayed_workers = 1});
}

// Runs for a time in which the leader plans often, so that it gives runs up as
// soon as it may.
void RunBusily(VirtualWorld& world, milliseconds time) {
  constexpr milliseconds kStep{20};
  for (milliseconds waited{0}; waited < time; waited += kStep) {
    world.Submit(0, 1, 1, milliseconds(10));
    world.RunFor(kStep);
  }
}

// A call that is as late as calls may be, and the longest lease by a clock that
// is 2 % slow.
TEST(ForgottenIncarnationTest, LateExtensionHoldsAWorkerWithASlowClock) {
  for (int i = 0; i < 30; ++i) {
    VirtualWorld world({.services = 1,
                        .workers_per_service = 2,
                        .spare_machines = 0,
                        .worker_clock_rate = 0.98});
    world.RunFor(kOldWorkers + milliseconds(20 * i));
    const std::string worker = world.WorkerIds().front();
    const std::string other = world.WorkerIds().back();
    world.Faults().extension_delay = kLatestCall;
    AwaitExtension(world, worker);
    world.Faults() = {};
    world.RestartWorker(worker, milliseconds(10), milliseconds(0));
    world.RunFor(milliseconds(2000));
    world.Faults().silent_workers = {other};
    world.RunFor(milliseconds(2500));
    const std::string job = world.Submit(0, 1, 1, milliseconds(30000));
    world.RunFor(milliseconds(1500));
    ASSERT_EQ(BusyWorker(world), worker);
    world.Faults() = {};
    world.RunFor(milliseconds(3000));
    world.Faults().silent_workers = {worker};
    world.RunFor(milliseconds(13000));
    RunBusily(world, milliseconds(3000));
    EXPECT_THAT(world.Violations(), IsEmpty()) << "phase " << i;
  }
}

// A leader that stood still gives a start after its successor has taken over.
// The start comes as late as calls may, to an incarnation that the successor
// doesn't hear.
TEST(ForgottenIncarnationTest, StartOfALeaderThatStoodStill) {
  std::size_t late_starts = 0;
  for (int i = 0; i < 40; ++i) {
    VirtualWorld world({.services = 1,
                        .workers_per_service = 2,
                        .spare_machines = 0,
                        .worker_clock_rate = 0.98});
    world.RunFor(kOldWorkers + milliseconds(50 * i));
    const std::vector<std::string> workers = world.WorkerIds();
    // The job has room when the tasks before it end, so that only its progress
    // is stored then.
    world.Submit(0, 1, 32, milliseconds(1000));
    world.RunFor(milliseconds(700));
    const std::string job = world.Submit(0, 1, 1, milliseconds(12000));
    world.RunFor(milliseconds(200));
    const std::uint64_t sent = world.StartsSent();
    const std::size_t leader = *world.LeaderIndex();
    world.Faults().freeze_at_progress = milliseconds(1250);
    world.Faults().start_delay = kLatestCall;
    while (world.Faults().freeze_at_progress.count() > 0) {
      world.RunFor(milliseconds(1));
    }
    world.Faults().silent_workers = {workers.begin(), workers.end()};
    bool has_successor = false;
    for (int ms = 0; ms < 1300 && world.StartsSent() == sent; ++ms) {
      world.RunFor(milliseconds(1));
      has_successor = has_successor ||
                      (world.LeaderIndex() && world.LeaderIndex() != leader);
    }
    if (world.StartsSent() == sent || !has_successor) {
      continue;
    }
    ++late_starts;
    world.Faults().start_delay = {};
    for (const std::string& worker : workers) {
      world.RestartWorker(worker, milliseconds(20), milliseconds(60000));
    }
    world.RunFor(kLatestCall + milliseconds(10));
    ASSERT_EQ(world.CountRuns(job), 1U);
    world.Faults().silent_workers = {
        world.CountRunsOn(workers[0]) > 0 ? workers[0] : workers[1]};
    world.RunFor(milliseconds(8500));
    RunBusily(world, milliseconds(3000));
    EXPECT_THAT(world.Violations(), IsEmpty()) << "phase " << i;
  }
  EXPECT_GT(late_starts, 0U);
}

// The start and an extension that follows it come as late as calls may, to an
// incarnation that the leader doesn't hear.
TEST(ForgottenIncarnationTest, LateExtensionFollowsALateStart) {
  VirtualWorld world(
      {.services = 1, .workers_per_service = 2, .spare_machines = 0});
  world.RunFor(kOldWorkers);
  const std::string worker = world.WorkerIds().front();
  AwaitExtension(world, worker);
  world.Faults().restarting_workers_are_silent = true;
  world.Faults().start_delay = kLatestCall;
  world.Faults().extension_delay = kLatestCall;
  const std::uint64_t sent = world.StartsSent();
  const std::string job = world.Submit(0, 1, 1, milliseconds(15000));
  while (world.StartsSent() == sent) {
    world.RunFor(milliseconds(1));
  }
  ASSERT_EQ(BusyWorker(world), worker);
  world.RestartWorker(worker, milliseconds(20), milliseconds(60000));
  // The leader asks for a report when the start has no answer.
  world.RunFor(milliseconds(900));
  world.Faults() = {};
  world.Faults().silent_workers = {worker};
  world.RunFor(milliseconds(21000));
  RunBusily(world, milliseconds(3000));
  EXPECT_THAT(world.Violations(), IsEmpty());
}

// Acknowledgements are on their way to a worker without an entry. Its next
// incarnation gets a task once they must have arrived, and no later; what the
// task does there is not lost.
TEST(ForgottenIncarnationTest, LateAcknowledgementForAnUnlistedWorker) {
  constexpr milliseconds kArrival{11500};
  constexpr milliseconds kSending{1500};
  VirtualWorld world(
      {.services = 1, .workers_per_service = 2, .spare_machines = 0});
  world.RunFor(kOldWorkers);
  const std::string worker = world.WorkerIds().front();
  const std::string other = world.WorkerIds().back();
  world.Submit(0, 1, 32, milliseconds(300));
  while (world.LeaderScheduler().Workers().at(worker).last_end == 0) {
    world.RunFor(milliseconds(1));
  }
  const base::TimePoint first_sent = world.Now();
  world.Faults().extension_delay = kArrival;
  world.RunFor(kSending);
  world.Faults() = {};
  world.RestartWorker(worker, milliseconds(7000), milliseconds(0));
  world.ExpireEntry(worker);
  world.RunFor(milliseconds(7100));
  world.Faults().silent_workers = {other};
  world.RunFor(milliseconds(700));
  const std::string job = world.Submit(0, 1, 1, milliseconds(1500));
  while (BusyWorker(world).empty() &&
         world.Now() < first_sent + kSending + kLatestCall) {
    world.RunFor(milliseconds(10));
  }
  world.RunFor(milliseconds(500));
  ASSERT_EQ(BusyWorker(world), worker);
  EXPECT_GE(world.Now(), first_sent + kArrival + milliseconds(500));
  world.Faults().silent_workers = {worker, other};
  world.RunFor(milliseconds(3000));
  world.Faults() = {};
  world.RunFor(milliseconds(20000));
  EXPECT_THAT(world.Violations(), IsEmpty());
  EXPECT_EQ(world.StateOf(job), "done");
}

// The machine service is slow: an order that the former leader has sent is
// carried out after the successor has listed the machines.
TEST(ForgottenOrderTest, MachineThatTheFormerLeaderHasOrderedCountsAsDown) {
  for (int after = 100; after <= 1500; after += 50) {
    VirtualWorld world;
    world.RunFor(milliseconds(3000));
    world.RequestWave(world.MachineNames(), 1);
    world.Faults().machine_order_delay = milliseconds(800);
    world.RunFor(milliseconds(after));
    world.KillHost(*world.LeaderIndex());
    world.RunFor(milliseconds(1000));
    world.Faults() = {};
    world.RunFor(milliseconds(9000));
    EXPECT_THAT(world.Violations(), IsEmpty())
        << "killed " << after << " ms after the request";
  }
}

// The step of two long-running tasks allows one to be unavailable. Returns
// whether one was running at all times, from a wave's request on.
bool RunsThroughAWave(int killed_after) {
  VirtualWorld world(
      {.services = 1, .workers_per_service = 2, .spare_machines = 0});
  world.RunFor(milliseconds(3000));
  const std::string job = world.SubmitLongRunning(0, 2);
  world.RunFor(milliseconds(2000));
  EXPECT_EQ(world.CountRuns(job), 2U);
  world.RequestWave(world.MachineNames(), 2);
  world.Faults().machine_order_delay = milliseconds(800);
  bool runs = true;
  for (int time = 0; time < 15000; time += 5) {
    if (time == killed_after) {
      world.KillHost(*world.LeaderIndex());
    }
    world.RunFor(milliseconds(5));
    runs = runs && world.CountRuns(job) > 0;
  }
  EXPECT_THAT(world.Violations(), IsEmpty());
  return runs;
}

TEST(ForgottenOrderTest,
     TaskThatTheFormerLeaderIsAboutToEndCountsAsUnavailable) {
  EXPECT_TRUE(RunsThroughAWave(-1));
  for (int after = 100; after <= 1500; after += 50) {
    EXPECT_TRUE(RunsThroughAWave(after))
        << "killed " << after << " ms after the request";
  }
}

// The former leader is about to move idle machines. Its successor gives them
// no tasks that the moves would end.
TEST(ForgottenOrderTest, MachineThatTheFormerLeaderMovesGetsNoTasks) {
  constexpr std::uint32_t kMachines = 5;  // One task of the job each.
  int killed_before_a_move = 0;
  for (int after = 0; after <= 1500; after += 50) {
    VirtualWorld world({.services = 1,
                        .workers_per_service = 4,
                        .spare_machines = 1,
                        .keep_log = true});
    world.Faults().machine_order_delay = milliseconds(800);
    world.RunFor(milliseconds(2000 + after));
    world.KillHost(*world.LeaderIndex());
    while (!world.LeaderIndex()) {
      world.RunFor(milliseconds(5));
    }
    const std::size_t workers = world.WorkerIds().size();
    const std::string job = world.SubmitLongRunning(0, kMachines);
    std::size_t most = 0;
    bool were_ended = false;
    for (int time = 0; time < 1500; time += 5) {
      world.RunFor(milliseconds(5));
      const std::size_t runs = world.CountRuns(job);
      were_ended = were_ended || runs < most;
      most = std::max(most, runs);
    }
    EXPECT_FALSE(were_ended) << "killed after " << 2000 + after << " ms";
    killed_before_a_move += world.WorkerIds().size() < workers ? 1 : 0;
    EXPECT_THAT(world.Violations(), IsEmpty());
    // What was in doubt serves again.
    world.Faults() = {};
    world.RunFor(milliseconds(10000));
    EXPECT_EQ(world.CountRuns(job), kMachines);
  }
  EXPECT_GT(killed_before_a_move, 0);
}

// The machines have moved, and their new workers serve, when the leader that
// ordered it is killed. What it has stored says nothing of these workers.
TEST(ForgottenOrderTest, MachineThatHasMovedIsNotInDoubt) {
  VirtualWorld world(
      {.services = 1, .workers_per_service = 2, .spare_machines = 4});
  world.RunFor(milliseconds(3000));
  const std::size_t before = world.WorkerIds().size();
  const std::string job = world.Submit(0, 1, 96, milliseconds(8000));
  while (world.WorkerIds().size() == before) {
    world.RunFor(milliseconds(5));
  }
  const std::string arrived = world.WorkerIds().back();
  while (world.CountRunsOn(arrived) == 0) {
    world.RunFor(milliseconds(5));
  }
  world.KillHost(*world.LeaderIndex());
  while (!world.LeaderIndex()) {
    world.RunFor(milliseconds(5));
  }
  EXPECT_FALSE(world.LeaderScheduler().Workers().at(arrived).cordoned);
  world.RunFor(milliseconds(20000));
  EXPECT_THAT(world.Violations(), IsEmpty());
  EXPECT_EQ(world.StateOf(job), "done");
}

// The former leader was killed before it sent the order that it had stored.
TEST(ForgottenOrderTest, OrderThatWasNeverSentHoldsTheWaveUpForAWhileOnly) {
  for (int after = 100; after <= 1500; after += 50) {
    VirtualWorld world;
    world.RunFor(milliseconds(3000));
    world.RequestWave({world.MachineNames().front()}, 1);
    world.Faults().machine_order_delay = milliseconds(60000);
    world.RunFor(milliseconds(after));
    world.KillHost(*world.LeaderIndex());
    world.Faults() = {};
    world.RunFor(milliseconds(8000));
    EXPECT_TRUE(world.WaveIsDone(1))
        << "killed " << after << " ms after the request";
    EXPECT_THAT(world.Violations(), IsEmpty());
  }
}

// Two leaders in a row are killed at any moment of a wave, and orders take up
// to 3 s. The doubt of each successor holds the wave up for a while only.
TEST(ForgottenOrderTest, WaveKeepsItsLimitsThroughChangesOfLeader) {
  constexpr int kTimeLimit = 25000;  // Of the wave.
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    VirtualWorld world({.seed = seed});
    base::Random& random = world.RandomSource();
    world.RunFor(milliseconds(3000));
    for (std::size_t i = 0; i < 4; ++i) {
      world.SubmitLongRunning(i % 2, 3);
    }
    world.RunFor(milliseconds(1000));
    auto machines = world.MachineNames();
    const std::uint32_t max_down = 1 + seed % 2;
    machines.resize(machines.size() / 2 * max_down);
    world.RequestWave(machines, max_down);
    world.Faults().machine_order_delay = milliseconds(100 + random() % 2900);
    std::uint64_t next_kill = 100 + random() % 4000;
    int kills = 0;
    for (std::uint64_t time = 0; time < kTimeLimit; time += 10) {
      world.RunFor(milliseconds(10));
      if (kills < 2 && time >= next_kill && world.LeaderIndex()) {
        world.KillHost(*world.LeaderIndex());
        ++kills;
        next_kill = time + 300 + random() % 4000;
      }
      if (time > 9000) {
        world.Faults() = {};
      }
    }
    EXPECT_TRUE(world.WaveIsDone(1)) << "seed " << seed;
    EXPECT_THAT(world.Violations(), IsEmpty()) << "seed " << seed;
  }
}

}  // namespace
}  // namespace cassiastile::host
