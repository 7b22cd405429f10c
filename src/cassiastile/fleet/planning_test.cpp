#include <gtest/gtest.h>

#include "cassiastile/fleet/buffer.hpp"
#include "cassiastile/fleet/schedule.hpp"
#include "cassiastile/fleet/window.hpp"
#include "fake_fleet.hpp"

namespace cassiastile::fleet {
namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

// A mean demand of ten hosts: a burst of ten seconds at five times the mean,
// then a twentieth of the mean.
std::vector<double> MakeBursts(int rounds) {
  constexpr int kBurstSeconds = 10;
  constexpr int kRoundSeconds = 52;
  std::vector<double> demand(static_cast<std::size_t>(rounds) * kRoundSeconds);
  for (std::size_t second = 0; second < demand.size(); ++second) {
    demand[second] = second % kRoundSeconds < kBurstSeconds ? 50 : 0.5;
  }
  return demand;
}

TEST(WindowTest, MayCrossMidnight) {
  const config::Window night{22 * 60, 4 * 60};
  const base::WallTime midnight{};
  EXPECT_TRUE(IsOpen(night, midnight));
  EXPECT_FALSE(IsOpen(night, midnight + hours(4)));
  EXPECT_EQ(NextOpening(night, midnight + hours(5)), midnight + hours(22));
  EXPECT_EQ(OpenTimePerDay(night), hours(6));
}

TEST(WindowTest, BatchesPauseAtTheCloseAndContinueTheNextDay) {
  const config::Window hour{60, 120};
  const base::WallTime midnight{};
  EXPECT_EQ(FinishOfBatches(hour, midnight, 3, minutes(30)),
            midnight + hours(25) + minutes(30));
  EXPECT_EQ(FinishOfBatches({}, midnight, 3, minutes(30)),
            midnight + minutes(90));
}

TEST(BufferTest, QueuesBurstsInsteadOfHoldingHostsForThem) {
  const std::vector<double> demand = MakeBursts(60);
  const std::uint32_t hosts = HostsForDemand(demand, {});
  EXPECT_GT(hosts, 10U);
  EXPECT_LT(hosts, 25U);
  EXPECT_LE(DeadlineMissRatio(demand, hosts, {}), BufferOptions().miss_target);
  EXPECT_GT(DeadlineMissRatio(demand, hosts - 1, {}),
            BufferOptions().miss_target);
}

TEST(BufferTest, ShorterDeadlineNeedsMoreHosts) {
  const std::vector<double> demand = MakeBursts(60);
  EXPECT_GT(HostsForDemand(demand, {.deadline = seconds(2)}),
            HostsForDemand(demand, {.deadline = seconds(30)}));
}

TEST(BufferTest, FailuresAndRepairTimeAddHosts) {
  const std::vector<double> demand(600, 50.0);
  const BufferPlan quick =
      PlanBuffer(demand, {.failures_per_host_day = 1.0 / 128});
  const BufferPlan slow = PlanBuffer(
      demand, {.failures_per_host_day = 1.0 / 128, .repair_time = hours(24)});
  EXPECT_GE(quick.for_failures, 1U);
  EXPECT_GT(slow.for_failures, quick.for_failures);
}

TEST(BufferTest, ZoneLossAddsHostsOnlyWhenConfigured) {
  const std::vector<double> demand(600, 20.0);
  const BufferPlan plan = PlanBuffer(demand, {.survive_zone_loss = true});
  EXPECT_GE(plan.Total() * 2.0 / 3, 20.0);
  EXPECT_EQ(PlanBuffer(demand, {}).for_zone_loss, 0U);
}

TEST(ScheduleTest, MaintainsEveryHostOnceInFiveWeeksAtFullSize) {
  auto document = fake::MakeDocument(
      {.pools = 25, .hosts = 128, .max_out = 4, .parallel = 4});
  document->fleet.waves[0].window = {22 * 60, 4 * 60};
  const Schedule schedule = PlanSchedule(document->fleet, {}, {});
  EXPECT_EQ(schedule.hosts, 3200U);
  for (const PoolSchedule& pool : schedule.pools) {
    EXPECT_TRUE(pool.in_cycle) << pool.pool << " " << pool.note;
    EXPECT_LE(pool.finish, base::WallTime() + ScheduleOptions().cycle);
  }
  // One host out in each pool under maintenance, and no more than about a third
  // of the 25 pools at once.
  EXPECT_LE(schedule.peak_out, 9U);
}

TEST(ScheduleTest, TooShortWindowIsReportedWithTheFinishDate) {
  auto document =
      fake::MakeDocument({.hosts = 128, .max_out = 1, .parallel = 1});
  document->fleet.waves[0].window = {60, 61};
  const base::WallTime start{};
  const auto obstacles =
      FindWaveObstacles(document->fleet, document->fleet.waves[0], start, {});
  ASSERT_EQ(obstacles.size(), 1U);
  // One host per night.
  const base::WallTime last = start + hours(24 * 127 + 1) + seconds(900);
  EXPECT_NE(obstacles[0].find(base::FormatWallTime(last)), std::string::npos)
      << obstacles[0];
}

TEST(ScheduleTest, BudgetOfZeroIsReported) {
  const auto document = fake::MakeDocument({.hosts = 4, .max_out = 0});
  const Schedule schedule = PlanSchedule(document->fleet, {}, {});
  EXPECT_FALSE(schedule.pools[0].in_cycle);
  EXPECT_EQ(schedule.pools[0].note, "its budget lets no host be taken");
}

}  // namespace
}  // namespace cassiastile::fleet
