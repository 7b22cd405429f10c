#include "cassiastile/work/routing.hpp"

#include <map>

#include <gtest/gtest.h>

namespace cassiastile::work {
namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};
constexpr std::uint32_t kSlots = 8;

RoutingOptions MakeOptions() {
  RoutingOptions options;
  options.zone = "z0";
  return options;
}

Runners MakeRunners(std::size_t count) {
  Runners runners(count);
  for (std::size_t i = 0; i < count; ++i) {
    runners[i].name = "r" + std::to_string(i);
    runners[i].zone = "z" + std::to_string(i % 3);
    runners[i].granted = kSlots;
    runners[i].latency = std::chrono::milliseconds(20);
  }
  return runners;
}

TEST(RoutingTest, PrefersOwnZoneWhileItIsNotLoaded) {
  base::Random random(1);
  const Runners runners = MakeRunners(9);
  for (int i = 0; i < 100; ++i) {
    const auto picked = PickRunner(runners, {}, MakeOptions(), random);
    EXPECT_EQ(runners[*picked].zone, "z0");
  }
}

TEST(RoutingTest, SpillsToOtherZonesBeforeTheOwnIsFull) {
  base::Random random(1);
  Runners runners = MakeRunners(9);
  for (Runner& runner : runners) {
    runner.in_use = runner.zone == "z0" ? kSlots - 1 : 0;
  }
  const auto picked = PickRunner(runners, {}, MakeOptions(), random);
  EXPECT_NE(runners[*picked].zone, "z0");
}

TEST(RoutingTest, LoadSpreadsWithoutHotSpots) {
  base::Random random(1);
  Runners runners = MakeRunners(9);
  // Four requests for each runner on average.
  for (int i = 0; i < 36; ++i) {
    ++runners[*PickRunner(runners, {}, MakeOptions(), random)].in_use;
  }
  for (const Runner& runner : runners) {
    EXPECT_GE(runner.in_use, 2U);
    EXPECT_LT(runner.in_use, kSlots);
  }
}

TEST(RoutingTest, UsesNoMoreThanTheGrantedSlots) {
  base::Random random(1);
  Runners runners = MakeRunners(3);
  for (std::uint32_t i = 0; i < 3 * kSlots; ++i) {
    ++runners[PickRunner(runners, {}, MakeOptions(), random).value()].in_use;
  }
  EXPECT_FALSE(PickRunner(runners, {}, MakeOptions(), random));
}

TEST(RoutingTest, LeavingRunnersGetNothing) {
  base::Random random(1);
  Runners runners = MakeRunners(2);
  runners[0].leaving = true;
  for (int i = 0; i < 50; ++i) {
    EXPECT_EQ(PickRunner(runners, {}, MakeOptions(), random), 1U);
  }
}

TEST(RoutingTest, EjectsAfterFailuresInARowOnly) {
  Runners runners = MakeRunners(4);
  RecordFailure(runners, 0, MakeOptions(), kStart);
  RecordFailure(runners, 0, MakeOptions(), kStart);
  RecordAnswer(runners[0], std::chrono::milliseconds(5), kStart);
  RecordFailure(runners, 0, MakeOptions(), kStart);
  EXPECT_TRUE(IsUsable(runners[0]));
  RecordFailure(runners, 0, MakeOptions(), kStart);
  RecordFailure(runners, 0, MakeOptions(), kStart);
  EXPECT_FALSE(IsUsable(runners[0]));
}

TEST(RoutingTest, EjectsAtMostTheAllowedFraction) {
  Runners runners = MakeRunners(10);
  for (std::size_t i = 0; i < runners.size(); ++i) {
    Eject(runners, i, MakeOptions(), kStart);
  }
  const auto usable = std::count_if(runners.begin(), runners.end(), IsUsable);
  EXPECT_EQ(usable, 5);
}

TEST(RoutingTest, FailedProbeDoublesTheNextEjectionAndPassedProbeEndsIt) {
  Runners runners = MakeRunners(4);
  const RoutingOptions options = MakeOptions();
  Eject(runners, 0, options, kStart);
  EXPECT_TRUE(TakeDueProbes(runners, kStart).empty());
  const base::TimePoint due = kStart + options.ejection;
  EXPECT_EQ(TakeDueProbes(runners, due).size(), 1U);
  RecordProbe(runners[0], false, options, due);
  EXPECT_EQ(runners[0].ejected_until, due + 2 * options.ejection);
  const base::TimePoint next_due = runners[0].ejected_until;
  EXPECT_EQ(TakeDueProbes(runners, next_due).size(), 1U);
  RecordProbe(runners[0], true, options, next_due);
  EXPECT_TRUE(IsUsable(runners[0]));
}

TEST(RoutingTest, EjectsARunnerFarSlowerThanTheMedian) {
  Runners runners = MakeRunners(5);
  runners[2].latency = std::chrono::milliseconds(200);
  EjectSlow(runners, MakeOptions(), kStart);
  for (std::size_t i = 0; i < runners.size(); ++i) {
    EXPECT_EQ(IsUsable(runners[i]), i != 2);
  }
}

}  // namespace
}  // namespace cassiastile::work
