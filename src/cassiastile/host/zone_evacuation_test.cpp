// Operators evacuate an availability zone.
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

constexpr milliseconds kSettled{2000};
// evacuate_ms of the users' settings.
constexpr milliseconds kEvacuationTime{5000};
constexpr std::size_t kHosts = 6;

WorldOptions MakeOptions(std::uint64_t seed) {
  WorldOptions options;
  options.seed = seed;
  options.hosts = kHosts;
  options.workers_per_service = 6;
  options.spare_machines = 3;
  options.zones = 3;
  options.evacuation_time = kEvacuationTime;
  options.min_relayed_workers = seed % 2 == 0 ? 1 : 100;
  return options;
}

// A zone is evacuated and perhaps taken back while leaders are killed, stopped,
// paused or lose the store, feeds are late, and orders are carried out late.
// Returns what went wrong.
std::vector<std::string> EvacuateWithTakeovers(std::uint64_t seed) {
  VirtualWorld world(MakeOptions(seed));
  base::Random& random = world.RandomSource();
  const auto pick = [&random](std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
  };
  world.RunFor(kSettled);
  world.SubmitLongRunning(0, 3);
  world.Faults().lost_answer_chance = 0.03;
  world.Faults().late_start_chance = seed % 3 == 0 ? 0.1 : 0;
  const std::size_t zone = pick(3);
  for (int round = 0; round < 16; ++round) {
    if (round == 3) {
      world.EvacuateZone(zone);
    }
    if (round == 13 && pick(2) == 0) {
      world.EndEvacuation(zone);
    }
    const auto leader = world.LeaderIndex();
    switch (pick(8)) {
      case 0:
        if (leader) {
          world.PauseHost(*leader, milliseconds(300 + pick(5000)));
        }
        break;
      case 1:
        if (leader) {
          world.KillHost(*leader);
        }
        break;
      case 2:
        world.Faults().freeze_at_progress = milliseconds(300 + pick(5000));
        break;
      case 3:
        if (leader) {
          world.Faults().hosts_without_store = {"host-" +
                                                std::to_string(*leader)};
        }
        break;
      case 4:
        world.Faults().feed_delay = milliseconds(pick(1500));
        break;
      case 5:
        for (std::size_t host = 0; host < kHosts; ++host) {
          world.StartHost(host);
        }
        break;
      default:
        world.Faults().hosts_without_store.clear();
        world.Faults().feed_delay = milliseconds(0);
        break;
    }
    for (int i = 0; i < 4; ++i) {
      world.Submit(pick(2), 1, 1 + pick(8), milliseconds(200 + 300 * pick(4)));
      world.RunFor(milliseconds(150));
    }
  }
  return world.Violations();
}

class ZoneEvacuationTest : public testing::TestWithParam<std::uint64_t> {};

// Guards against starts in the zone by a leader that has not heard of the
// evacuation, by a relay, or that were placed just before.
TEST_P(ZoneEvacuationTest, NothingStartsThereAfterItsTime) {
  constexpr std::uint64_t kSeeds = 250;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const std::uint64_t each = GetParam() * kSeeds + seed;
    EXPECT_THAT(EvacuateWithTakeovers(each), IsEmpty()) << "seed " << each;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         ZoneEvacuationTest,
                         testing::Range<std::uint64_t>(0, 4));

// Guards against long-running tasks that stay in the zone, or that are stopped
// and find no place elsewhere, and against a zone that gets no work again.
TEST(ZoneEvacuationLoadTest, WorkIsBackElsewhereAndReturns) {
  VirtualWorld world(MakeOptions(2));
  world.RunFor(kSettled);
  constexpr std::uint32_t kTasks = 4;
  const std::vector<std::string> services{world.SubmitLongRunning(0, kTasks),
                                          world.SubmitLongRunning(1, kTasks)};
  const auto run_under_load = [&world](milliseconds time, std::uint32_t tasks) {
    for (milliseconds passed{0}; passed < time; passed += milliseconds(100)) {
      world.Submit(0, 1, tasks, milliseconds(500));
      world.Submit(1, 1, tasks, milliseconds(500));
      world.RunFor(milliseconds(100));
    }
  };
  // Two thirds of the capacity of the other zones, and more than that.
  constexpr std::uint32_t kUsual = 8;
  constexpr std::uint32_t kAllZones = 16;
  run_under_load(milliseconds(4000), kUsual);
  ASSERT_GT(world.CountRunsInZone(0), 0U);
  world.EvacuateZone(0);
  // A task of each service at a time, which starts again within 2 s.
  run_under_load(milliseconds(14000), kUsual);
  EXPECT_EQ(world.CountRunsInZone(0), 0U);
  for (const std::string& service : services) {
    EXPECT_EQ(world.CountRuns(service), kTasks);
  }
  world.EndEvacuation(0);
  run_under_load(milliseconds(6000), kAllZones);
  EXPECT_GT(world.CountRunsInZone(0), 0U);
  world.RunFor(milliseconds(30000));
  for (const auto& [job, status] : world.SubmissionStatuses()) {
    const bool is_service = std::ranges::find(services, job) != services.end();
    if (status == 200 && !is_service) {
      EXPECT_EQ(world.CountDoneTasks(job), world.TaskCountOf(job)) << job;
    }
  }
  EXPECT_THAT(world.Violations(), IsEmpty());
}

}  // namespace
}  // namespace cassiastile::host
