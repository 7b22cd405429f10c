// Starts that reach a worker which has said that it leaves.
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "virtual_world_bench.hpp"

namespace cassiastile::host {
namespace {

using std::chrono::milliseconds;
using testing::IsEmpty;

constexpr milliseconds kSettled{3000};

// Leaders that stand still for up to 3 s or lose the store, and lost answers of
// the store, while workers drain and jobs are submitted.
std::vector<std::string> RunWithDrainingWorkers(std::uint64_t seed) {
  VirtualWorld world({.seed = seed,
                      .workers_per_service = 8,
                      .spare_machines = 0,
                      .min_relayed_workers = 1});
  base::Random& random = world.RandomSource();
  const auto pick = [&random](std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
  };
  world.RunFor(kSettled);
  world.Faults().lost_answer_chance = 0.05;
  std::vector<std::string> staying = world.WorkerIds();
  for (int round = 0; round < 40; ++round) {
    if (staying.size() > 4 && pick(3) == 0) {
      const std::size_t leaving = pick(staying.size());
      world.DrainWorker(staying[leaving]);
      staying.erase(staying.begin() + static_cast<std::ptrdiff_t>(leaving));
    }
    const auto leader = world.LeaderIndex();
    switch (pick(6)) {
      case 0:
        if (leader) {
          world.PauseHost(*leader, milliseconds(300 + pick(2700)));
        }
        break;
      case 1:
        world.Faults().freeze_at_progress = milliseconds(300 + pick(2700));
        break;
      case 2:
        if (leader) {
          world.Faults().hosts_without_store = {"host-" +
                                                std::to_string(*leader)};
        }
        break;
      default:
        world.Faults().hosts_without_store.clear();
        break;
    }
    for (int i = 0; i < 6; ++i) {
      world.Submit(pick(2), 1, 1 + pick(4), milliseconds(200 + 300 * pick(4)));
      world.RunFor(milliseconds(60));
    }
  }
  return world.Violations();
}

TEST(DrainingWorkerTest, GetsNoStartAfterItsTime) {
  constexpr std::uint64_t kSeeds = 100;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    EXPECT_THAT(RunWithDrainingWorkers(seed), IsEmpty()) << "seed " << seed;
  }
}

// A heartbeat from before is written after the worker has said that it drains,
// and the next leader reads only this one.
TEST(DrainingWorkerTest, HeartbeatWrittenLateEndsNoDrainingForASuccessor) {
  VirtualWorld world(
      {.services = 1, .workers_per_service = 2, .spare_machines = 0});
  world.RunFor(kSettled);
  const std::string worker = world.WorkerIds().front();
  const jobs::WorkerEntry entry =
      world.LeaderScheduler().Workers().at(worker).entry;
  world.DrainWorker(worker);
  world.RunFor(milliseconds(1000));
  world.WriteRow(
      {"workers", "", worker,
       fmt::format("{} {} {} 16 0 {}", entry.id.incarnation_ms, entry.service,
                   entry.machine, entry.availability_zone),
       0, false});
  world.RunFor(milliseconds(100));
  world.KillHost(*world.LeaderIndex());
  world.RunFor(milliseconds(1500));
  for (int i = 0; i < 20; ++i) {
    world.Submit(0, 1, 8, milliseconds(300));
    world.RunFor(milliseconds(100));
  }
  EXPECT_THAT(world.Violations(), IsEmpty());
}

// Other hosts send the orders of a leader that reads its list late, and they
// are not late themselves.
TEST(DrainingWorkerTest, LeaderThatReadsItsListLateOrdersNoStart) {
  VirtualWorld world({.spare_machines = 0, .min_relayed_workers = 1});
  world.RunFor(kSettled);
  world.KillHost(0);  // Its feeds are not delayed.
  world.RunFor(kSettled);
  world.Faults().feed_delay = milliseconds(5000);
  world.RunFor(milliseconds(1500));
  world.DrainWorker(world.WorkerIds().front());
  std::vector<std::string> jobs;
  for (int i = 0; i < 40; ++i) {
    jobs.push_back(world.Submit(0, 1, 8, milliseconds(300)));
    world.RunFor(milliseconds(100));
  }
  EXPECT_THAT(world.Violations(), IsEmpty());
  world.Faults() = {};
  world.RunFor(milliseconds(40000));
  for (const std::string& job : jobs) {
    if (world.SubmissionStatuses().at(job) == 200) {
      EXPECT_EQ(world.CountDoneTasks(job), world.TaskCountOf(job)) << job;
    }
  }
  EXPECT_THAT(world.Violations(), IsEmpty());
}

}  // namespace
}  // namespace cassiastile::host
