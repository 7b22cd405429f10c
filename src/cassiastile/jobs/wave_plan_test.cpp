#include "cassiastile/jobs/wave_plan.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cassiastile::jobs {
namespace {

using std::chrono::milliseconds;
using testing::ElementsAre;
using testing::IsEmpty;
using testing::SizeIs;

const base::TimePoint kNow{std::chrono::hours(1)};

WaveMachine MakeMachine(const std::string& name) {
  WaveMachine machine;
  machine.name = name;
  return machine;
}

WaveMachine MakeDraining(const std::string& name) {
  WaveMachine machine = MakeMachine(name);
  machine.cordoned = true;
  machine.cordoned_at = kNow - milliseconds(500);
  return machine;
}

TEST(WavePlanTest, NeverExceedsMaxDown) {
  WaveMachine down = MakeMachine("down");
  down.down = true;
  const WavePlan plan =
      PlanWave({down, MakeDraining("a"), MakeDraining("b"), MakeMachine("c")},
               {.max_down = 2, .time_left = milliseconds(60000)}, kNow);
  EXPECT_THAT(plan.maintain, ElementsAre("a"));
  EXPECT_THAT(plan.cordon, IsEmpty());
}

TEST(WavePlanTest, DrainsBeforeItMaintains) {
  const WavePlan plan =
      PlanWave({MakeMachine("a")},
               {.max_down = 1, .time_left = milliseconds(60000)}, kNow);
  EXPECT_THAT(plan.cordon, ElementsAre("a"));
  EXPECT_THAT(plan.maintain, IsEmpty());
}

TEST(WavePlanTest, WaitsForFiniteTasksForALimitedTime) {
  WaveMachine busy = MakeDraining("a");
  busy.finite_cpu = 1000;
  const WaveLimits limits{.max_down = 1, .time_left = milliseconds(60000)};
  EXPECT_THAT(PlanWave({busy}, limits, kNow).maintain, IsEmpty());
  EXPECT_THAT(PlanWave({busy}, limits, kNow + limits.max_drain_time).maintain,
              SizeIs(1));
}

TEST(WavePlanTest, MachineThatMayNotBeDrainedWaits) {
  WaveMachine blocked = MakeDraining("a");
  blocked.can_drain = false;
  EXPECT_THAT(
      PlanWave({blocked}, {.max_down = 1, .time_left = milliseconds(0)}, kNow)
          .maintain,
      IsEmpty());
}

TEST(WavePlanTest, NeededMachinesAreDrainedOnlyWhenTimeRunsShort) {
  WaveMachine needed = MakeMachine("a");
  needed.idle = false;
  needed.needed = true;
  WaveLimits limits{.max_down = 1, .time_left = milliseconds(60000)};
  EXPECT_THAT(PlanWave({needed}, limits, kNow).cordon, IsEmpty());
  // Less than twice the 4 s of one maintenance.
  limits.time_left = milliseconds(5000);
  EXPECT_THAT(PlanWave({needed}, limits, kNow).cordon, SizeIs(1));
}

WaveMachine MakeOrderedByAFormerLeader(const std::string& name) {
  WaveMachine machine = MakeDraining(name);
  machine.down = true;
  machine.may_repeat = true;
  return machine;
}

TEST(WavePlanTest, OrderOfAFormerLeaderIsRepeatedBeforeOthersAreGiven) {
  const WavePlan plan = PlanWave(
      {MakeDraining("a"), MakeOrderedByAFormerLeader("b"), MakeMachine("c")},
      {.max_down = 1, .time_left = milliseconds(0)}, kNow);
  EXPECT_THAT(plan.maintain, ElementsAre("b"));
  EXPECT_THAT(plan.cordon, IsEmpty());
}

TEST(WavePlanTest, RepeatedOrderTakesNoFurtherPartOfTheLimit) {
  const WavePlan plan =
      PlanWave({MakeOrderedByAFormerLeader("a"), MakeDraining("b"),
                MakeMachine("c"), MakeMachine("d")},
               {.max_down = 3, .time_left = milliseconds(0)}, kNow);
  EXPECT_THAT(plan.maintain, ElementsAre("a", "b"));
  EXPECT_THAT(plan.cordon, ElementsAre("c"));
}

TEST(WavePlanTest, NoOrderIsRepeatedWhileTooManyMachinesAreDown) {
  WaveMachine down = MakeMachine("down");
  down.down = true;
  const WavePlan plan =
      PlanWave({MakeOrderedByAFormerLeader("a"), down},
               {.max_down = 1, .time_left = milliseconds(0)}, kNow);
  EXPECT_THAT(plan.maintain, IsEmpty());
}

TEST(WavePlanTest, OrderIsNotRepeatedWhileTheMachineMayNotBeDrained) {
  WaveMachine blocked = MakeOrderedByAFormerLeader("a");
  blocked.can_drain = false;
  EXPECT_THAT(
      PlanWave({blocked}, {.max_down = 1, .time_left = milliseconds(0)}, kNow)
          .maintain,
      IsEmpty());
}

}  // namespace
}  // namespace cassiastile::jobs
