// Workers that restart under their ids while calls for their former life are on
// their way, shortly before the leader is replaced and they are cut off.
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

// Until then the clocks of the first lives are ahead of those of the next ones
// by more than the longest lease.
constexpr milliseconds kLongLives{12000};
constexpr milliseconds kLongTask{12000};

// Runs until another leader serves, for 5 s at most.
void AwaitLeader(VirtualWorld& world) {
  const base::TimePoint limit = world.Now() + milliseconds(5000);
  while (!world.LeaderIndex() && world.Now() < limit) {
    world.RunFor(milliseconds(1));
  }
}

// The successor counts with its own extensions only, while the worker's lease
// is a longer one of the former clock.
TEST(RestartedWorkerTakeoverTest, LeaseOfTheFormerClockOutlastsTheLeader) {
  VirtualWorld world(
      {.services = 1, .workers_per_service = 2, .spare_machines = 0});
  world.RunFor(kLongLives);
  const std::string worker = world.WorkerIds().front();
  world.Faults().restarting_workers_are_silent = true;
  world.RestartWorker(worker, milliseconds(600), milliseconds(50));
  // Its starts reach the next life.
  const std::string former = world.Submit(0, 1, 32, milliseconds(300));
  world.RunFor(milliseconds(700));
  ASSERT_GT(world.LeaseEndOf(worker) - world.Now(), milliseconds(9500));
  world.RunFor(milliseconds(2000));
  ASSERT_EQ(world.CountDoneTasks(former), 32U);
  world.KillHost(*world.LeaderIndex());
  AwaitLeader(world);
  ASSERT_TRUE(world.LeaderIndex());
  const std::string job = world.Submit(0, 1, 8, kLongTask);
  world.RunFor(milliseconds(500));
  ASSERT_GT(world.CountRunsOn(worker), 0U);
  world.Faults().silent_workers = {worker};
  world.RunFor(milliseconds(11000));
  world.Faults() = {};
  world.RunFor(milliseconds(30000));
  EXPECT_THAT(world.Violations(), IsEmpty());
  EXPECT_EQ(world.CountDoneTasks(job), 8U);
}

// What happens around the change of leader of a random day.
struct TakeoverDay {
  double slow_calls = 0;
  double late_calls = 0;
};

std::vector<std::string> Play(const TakeoverDay& day, std::uint64_t seed) {
  VirtualWorld world({.seed = seed,
                      .hosts = 4,
                      .services = 1,
                      .workers_per_service = 6,
                      .tasks_per_worker = 4,
                      .spare_machines = 0,
                      .heartbeat = milliseconds(1500)});
  base::Random& random = world.RandomSource();
  const auto pick = [&random](std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
  };
  std::vector<std::string> jobs;
  const auto submit = [&](std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      jobs.push_back(world.Submit(
          0, 1, 1 + pick(8),
          pick(3) == 0 ? milliseconds(100 + pick(900)) : kLongTask));
    }
  };
  world.RunFor(kLongLives);
  world.Faults().restarting_workers_are_silent = true;
  world.Faults().slow_call_chance = day.slow_calls;
  world.Faults().late_start_chance = day.late_calls;
  world.Faults().late_stop_chance = day.late_calls;
  world.Faults().late_extension_chance = day.late_calls;
  jobs.push_back(world.Submit(0, 1, 24, milliseconds(200 + pick(800))));
  world.RunFor(milliseconds(pick(1000)));
  std::vector<std::string> restarted = world.WorkerIds();
  std::ranges::shuffle(restarted, random);
  restarted.resize(3);
  for (const std::string& worker : restarted) {
    world.RestartWorker(worker, milliseconds(500 + pick(300)),
                        milliseconds(pick(600)));
  }
  world.RunFor(milliseconds(pick(400)));
  jobs.push_back(world.Submit(0, 1, 24, milliseconds(200 + pick(800))));
  world.RunFor(milliseconds(1700 + pick(600)));
  submit(pick(2));
  if (const auto leader = world.LeaderIndex()) {
    world.KillHost(*leader);
  }
  world.RunFor(milliseconds(600 + pick(300)));
  submit(2);
  AwaitLeader(world);
  submit(2);
  world.RunFor(milliseconds(200 + pick(600)));
  world.Faults().silent_workers = {restarted.begin(), restarted.end()};
  world.RunFor(milliseconds(10000));
  world.Faults() = {};
  world.RunFor(milliseconds(40000));
  std::vector<std::string> faults = world.Violations();
  for (const std::string& job : jobs) {
    if (world.SubmissionStatuses().at(job) == 200 &&
        world.CountDoneTasks(job) != world.TaskCountOf(job) &&
        world.StateOf(job) != "failed") {
      faults.push_back("accepted job " + job + " is not done after 40 s");
    }
  }
  return faults;
}

constexpr std::uint64_t kSeeds = 100;

void ExpectRunsOnce(const TakeoverDay& day) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    EXPECT_THAT(Play(day, seed), IsEmpty()) << "seed " << seed;
  }
}

TEST(RestartedWorkerTakeoverDaysTest, CallsThatHangUntilTheRestart) {
  ExpectRunsOnce({});
}

TEST(RestartedWorkerTakeoverDaysTest, SlowAndLateCalls) {
  ExpectRunsOnce({.slow_calls = 0.1, .late_calls = 0.02});
}

}  // namespace
}  // namespace cassiastile::host
