// Long-running tasks run again soon after troubles have ended.
#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "virtual_world_bench.hpp"

namespace cassiastile::host {
namespace {

using std::chrono::milliseconds;
using testing::IsEmpty;

constexpr milliseconds kSettled{1000};
constexpr milliseconds kStep{50};
// The longest pause of a host.
constexpr milliseconds kMaxPause{5000};
// Users allow no run for 3 s that begin 4 s after the end of all troubles.
constexpr milliseconds kCalm{4000};
constexpr milliseconds kWithoutRun{3000};

// Random mixes of paused, killed and stopped leaders, crashed workers, workers
// that restart under their ids and waves. Returns what went wrong.
std::vector<std::string> RunWithTakeovers(std::uint64_t seed) {
  VirtualWorld world({.seed = seed});
  base::Random& random = world.RandomSource();
  const auto pick = [&random](std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
  };
  const auto pick_worker = [&world, &pick] {
    const auto ids = world.WorkerIds();
    return ids.empty() ? std::string() : ids[pick(ids.size())];
  };
  world.RunFor(kSettled);
  constexpr std::uint32_t kTasks = 3;
  const std::vector<std::string> jobs{world.SubmitLongRunning(0, kTasks),
                                      world.SubmitLongRunning(1, kTasks)};
  world.RunFor(milliseconds(2000));
  world.RequestWave(world.MachineNames(), 1);
  for (int round = 0; round < 12; ++round) {
    world.Submit(pick(2), 1, 1 + pick(4), milliseconds(200 + 100 * pick(8)));
    world.RunFor(milliseconds(200 + pick(900)));
    const auto leader = world.LeaderIndex();
    switch (pick(6)) {
      case 0:
        if (leader) {
          world.PauseHost(*leader,
                          milliseconds(1000 + pick(kMaxPause.count() - 1000)));
        }
        break;
      case 1:
        if (leader) {
          world.KillHost(*leader);
        }
        break;
      case 2:
        world.CrashWorker(pick_worker(), milliseconds(1500));
        break;
      case 3:
        world.RestartWorker(pick_worker(), milliseconds(100 + pick(1900)),
                            milliseconds(pick(500)));
        break;
      case 4:
        world.Faults().freeze_at_progress =
            milliseconds(1000 + pick(kMaxPause.count() - 1000));
        break;
      default:
        for (std::size_t host = 0; host < 6; ++host) {
          world.StartHost(host);
        }
        break;
    }
  }
  world.Faults() = {};
  for (std::size_t host = 0; host < 6; ++host) {
    world.StartHost(host);
  }
  world.RunFor(kMaxPause + kCalm);
  // The wave may go on and move tasks one by one.
  std::map<std::string, std::size_t> most;
  for (milliseconds waited{0}; waited < kWithoutRun; waited += kStep) {
    for (const std::string& job : jobs) {
      most[job] = std::max(most[job], world.CountRuns(job));
    }
    world.RunFor(kStep);
  }
  std::vector<std::string> faults = world.Violations();
  for (const std::string& job : jobs) {
    if (world.SubmissionStatuses().at(job) == 200 && most[job] != kTasks) {
      faults.push_back("long-running job " + job + " has " +
                       std::to_string(most[job]) + " runs");
    }
  }
  return faults;
}

TEST(LongRunningFaultsTest, TasksRunAgainSoonAfterTakeovers) {
  constexpr std::uint64_t kSeeds = 800;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    EXPECT_THAT(RunWithTakeovers(seed), IsEmpty()) << "seed " << seed;
  }
}

}  // namespace
}  // namespace cassiastile::host
