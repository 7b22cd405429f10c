#include <gtest/gtest.h>

#include "fake_fleet.hpp"

namespace cassiastile::fleet {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr seconds kLongEnough(4000);

std::string Reasons(const base::Decision& decision) {
  std::string text;
  for (const base::Reason& reason : decision.reasons) {
    text += reason.rule + ": " + reason.observation + "\n";
  }
  return text;
}

TEST(WaveTest, DrainsRebootsAndReturnsEveryHostOnceUnderBudget) {
  fake::World world(fake::MakeDocument({.pools = 2, .hosts = 6}));
  Reconciler reconciler = world.MakeReconciler("control-1", 1);
  world.Start(reconciler);
  world.RunWave(reconciler, kLongEnough);
  EXPECT_EQ(world.Wave().state, WaveState::kFinished);
  EXPECT_EQ(world.machines.reboots.size(), 12U);
  for (const auto& [host, reboots] : world.machines.reboots) {
    EXPECT_EQ(reboots, 1U) << host;
    EXPECT_FALSE(world.machines.Status(host)->draining) << host;
  }
  EXPECT_EQ(world.table.budget_violations, 0U) << world.table.first_violation;
  EXPECT_EQ(world.table.pool_violations, 0U) << world.table.first_violation;
}

TEST(WaveTest, CanariesAreDrainedFirstAndOneAtATime) {
  auto document = fake::MakeDocument({.pools = 2, .hosts = 6});
  document->fleet.waves[0].canaries = 2;
  fake::World world(document);
  Reconciler reconciler = world.MakeReconciler("control-1", 1);
  world.Start(reconciler);
  while (world.Wave().canaries_done < 2) {
    world.Round(reconciler);
    const std::size_t out =
        world.Pool("p0").out.size() + world.Pool("p1").out.size();
    // After the canaries, the budgets of both pools allow two hosts each.
    ASSERT_LE(out, world.Wave().canaries_done < 2 ? 1U : 4U);
    world.clock.Advance(seconds(1));
  }
  world.RunWave(reconciler, kLongEnough);
  EXPECT_EQ(world.Wave().state, WaveState::kFinished);
}

TEST(WaveTest, FailedCanaryHaltsAtOnce) {
  auto document = fake::MakeDocument({.hosts = 6});
  document->fleet.waves[0].canaries = 1;
  document->fleet.waves[0].halt_after = 5;
  fake::World world(document);
  world.machines.stuck = {"p0-h0"};
  Reconciler reconciler = world.MakeReconciler("control-1", 1);
  world.Start(reconciler);
  world.RunWave(reconciler, kLongEnough);
  EXPECT_EQ(world.Wave().state, WaveState::kHalted);
  EXPECT_EQ(world.machines.reboots.size(), 1U);
}

TEST(WaveTest, CorrelatedFailuresHaltTheWaveWithEvidence) {
  fake::World world(fake::MakeDocument({.hosts = 9, .max_out = 3}));
  world.machines.stuck = {"p0-h0", "p0-h1"};
  Reconciler reconciler = world.MakeReconciler("control-1", 1);
  world.Start(reconciler);
  world.RunWave(reconciler, kLongEnough);
  const WaveRecord wave = world.Wave();
  EXPECT_EQ(wave.state, WaveState::kHalted);
  ASSERT_EQ(wave.failures.size(), 2U);
  EXPECT_NE(wave.failures[0].evidence.find("not back"), std::string::npos);
  // Hosts that were still draining at the halt were undrained, not rebooted.
  for (const auto& [host, stored] : world.table.State().hosts) {
    EXPECT_NE(stored.record.state, HostState::kDraining) << host;
  }
}

TEST(WaveTest, HostsThatFailSoonAfterTheirReturnHaltTheWave) {
  fake::World world(fake::MakeDocument({.hosts = 9, .max_out = 3}));
  Reconciler reconciler = world.MakeReconciler("control-1", 1);
  world.Start(reconciler);
  while (world.Host("p0-h0").done_run == 0 ||
         world.Host("p0-h1").done_run == 0) {
    world.Round(reconciler);
    world.clock.Advance(seconds(1));
  }
  world.machines.Fail("p0-h0");
  world.machines.Fail("p0-h1");
  world.clock.Advance(seconds(10));
  world.Round(reconciler);
  EXPECT_EQ(world.Wave().state, WaveState::kHalted);
}

TEST(WaveTest, ResumedWaveAcceptsTheFailuresAndFinishes) {
  fake::World world(fake::MakeDocument({.hosts = 9, .max_out = 3}));
  world.machines.stuck = {"p0-h0", "p0-h1"};
  Reconciler reconciler = world.MakeReconciler("control-1", 1);
  world.Start(reconciler);
  world.RunWave(reconciler, kLongEnough);
  ASSERT_EQ(world.Wave().state, WaveState::kHalted);
  ASSERT_TRUE(reconciler.Refresh(world.document));
  ASSERT_TRUE(
      reconciler.ApplyWaveAction("wave", "anna", WaveAction::kResume, {}));
  world.RunWave(reconciler, kLongEnough);
  EXPECT_EQ(world.Wave().state, WaveState::kFinished);
  EXPECT_EQ(world.Wave().detail, "7 of 9 hosts done, 2 left out");
}

TEST(WaveTest, AbortUndrainsDrainingHosts) {
  fake::World world(fake::MakeDocument({.hosts = 6}));
  for (int host = 0; host < 6; ++host) {
    world.work.work[fmt::format("p0-h{}", host)].running = 1;
  }
  Reconciler reconciler = world.MakeReconciler("control-1", 1);
  world.Start(reconciler);
  world.Round(reconciler);
  ASSERT_EQ(world.Pool("p0").out.size(), 2U);
  ASSERT_TRUE(reconciler.Refresh(world.document));
  ASSERT_TRUE(
      reconciler.ApplyWaveAction("wave", "anna", WaveAction::kAbort, {}));
  world.Round(reconciler);
  EXPECT_TRUE(world.Pool("p0").out.empty());
  EXPECT_TRUE(world.machines.reboots.empty());
}

TEST(WaveTest, PauseDrainsNoMoreHostsAndFinishesThoseOut) {
  fake::World world(fake::MakeDocument({.hosts = 6}));
  Reconciler reconciler = world.MakeReconciler("control-1", 1);
  world.Start(reconciler);
  world.Round(reconciler);
  ASSERT_TRUE(reconciler.Refresh(world.document));
  ASSERT_TRUE(
      reconciler.ApplyWaveAction("wave", "anna", WaveAction::kPause, {}));
  world.RunWave(reconciler, seconds(300));
  EXPECT_EQ(world.machines.reboots.size(), 2U);
  EXPECT_TRUE(world.Pool("p0").out.empty());
}

TEST(WaveTest, WorkPastTheDeadlineIsReportedAndNotStopped) {
  fake::World world(fake::MakeDocument({.hosts = 2, .max_out = 1}));
  world.document->fleet.waves[0].drain_deadline = seconds(30);
  world.work.work["p0-h0"] = {2, 1, minutes(5)};
  world.work.work["p0-h1"] = {2, 1, minutes(5)};
  Reconciler reconciler = world.MakeReconciler("control-1", 1);
  world.Start(reconciler);
  world.RunWave(reconciler, seconds(100));
  EXPECT_TRUE(world.machines.reboots.empty());
  ASSERT_EQ(reconciler.OverdueDrains().size(), 1U);
  EXPECT_EQ(reconciler.OverdueDrains().begin()->second,
            "2 tasks (1 without checkpoint) and 0 requests run past the drain "
            "deadline");
  EXPECT_TRUE(world.work.evacuation_requests.contains("p0-h0"));
}

TEST(WaveTest, WorkPastTheDeadlineIsStoppedWhenConfigured) {
  fake::World world(fake::MakeDocument({.hosts = 2, .max_out = 1}));
  world.document->fleet.waves[0].drain_deadline = seconds(30);
  world.document->fleet.waves[0].cut_at_deadline = true;
  world.work.work["p0-h0"] = {2, 1, minutes(5)};
  Reconciler reconciler = world.MakeReconciler("control-1", 1);
  world.Start(reconciler);
  world.RunWave(reconciler, kLongEnough);
  EXPECT_EQ(world.machines.reboots["p0-h0"], 1U);
  bool is_reported = false;
  for (const base::Decision& decision : world.sink.decisions) {
    is_reported =
        is_reported || Reasons(decision).find("cut at the drain deadline") !=
                           std::string::npos;
  }
  EXPECT_TRUE(is_reported);
}

TEST(WaveTest, HostsWithTheLeastWorkGoFirst) {
  fake::World world(fake::MakeDocument({.hosts = 3, .parallel = 1}));
  world.work.work["p0-h0"] = {3, 3, minutes(9)};
  world.work.work["p0-h1"] = {1, 0, minutes(1)};
  Reconciler reconciler = world.MakeReconciler("control-1", 1);
  world.Start(reconciler);
  world.Round(reconciler);
  EXPECT_TRUE(world.Pool("p0").out.contains("p0-h2"));
}

TEST(WaveTest, RackLimitHoldsAcrossPools) {
  auto document = fake::MakeDocument({.pools = 2, .hosts = 2, .max_out = 2});
  document->fleet.waves[0].per_rack = 1;
  for (config::Pool& pool : document->fleet.pools) {
    for (config::Host& host : pool.hosts) {
      host.zone = "z0";
      host.rack = "r0";
    }
  }
  fake::World world(document);
  Reconciler first = world.MakeReconciler("control-1", 1);
  Reconciler second = world.MakeReconciler("control-2", 2);
  world.Start(first);
  // Each process owns one pool, and both decide from the same rows.
  ASSERT_TRUE(first.Refresh(world.document));
  ASSERT_TRUE(second.Refresh(world.document));
  first.Tick("p0", std::nullopt);
  second.Tick("p1", std::nullopt);
  EXPECT_EQ(world.Pool("p0").out.size() + world.Pool("p1").out.size(), 1U);
}

TEST(WaveTest, ClosedWindowDrainsNothing) {
  fake::World world(fake::MakeDocument({.hosts = 3}));
  world.document->fleet.waves[0].window = {60, 120};
  Reconciler reconciler = world.MakeReconciler("control-1", 1);
  world.Start(reconciler);
  world.Round(reconciler);
  EXPECT_TRUE(world.Pool("p0").out.empty());
  world.clock.Advance(minutes(61));
  world.Round(reconciler);
  EXPECT_EQ(world.Pool("p0").out.size(), 2U);
}

TEST(WaveTest, DecisionExplainsWhyThisHostAndNotTheOthers) {
  fake::World world(fake::MakeDocument({.hosts = 3, .max_out = 1}));
  Reconciler reconciler = world.MakeReconciler("control-1", 1);
  world.Start(reconciler);
  world.sink.decisions.clear();
  world.Round(reconciler);
  ASSERT_EQ(world.sink.decisions.size(), 1U);
  const std::string reasons = Reasons(world.sink.decisions[0]);
  EXPECT_NE(reasons.find("budget: 0 of 1 out"), std::string::npos) << reasons;
  EXPECT_NE(reasons.find("next of the wave"), std::string::npos) << reasons;
  EXPECT_NE(reasons.find("not p0-h2"), std::string::npos) << reasons;
}

TEST(WaveTest, ForecastIsMetWhenNothingFails) {
  fake::World world(fake::MakeDocument({.hosts = 8}));
  Reconciler reconciler = world.MakeReconciler("control-1", 1);
  world.Start(reconciler);
  world.RunWave(reconciler, seconds(150));
  ASSERT_TRUE(reconciler.Refresh(world.document));
  const WaveForecast forecast =
      reconciler.Forecast(world.document->fleet.waves[0]);
  EXPECT_EQ(forecast.total, 8U);
  EXPECT_GT(forecast.done, 0U);
  ASSERT_TRUE(forecast.finish);
  world.RunWave(reconciler, kLongEnough);
  EXPECT_LT(world.clock.WallNow(), *forecast.finish + seconds(90));
  EXPECT_GT(world.clock.WallNow(), *forecast.finish - seconds(90));
}

TEST(WaveTest, ForecastHasNoDateWhileTheBudgetIsUsedUp) {
  const PoolWaveProgress pool{.total = 5, .max_out = 1, .failed = 1};
  const WaveForecast forecast =
      ForecastWave({}, {pool}, seconds(60), true, base::WallTime{});
  EXPECT_FALSE(forecast.finish);
  EXPECT_NE(forecast.basis.find("failed hosts use up"), std::string::npos);
}

}  // namespace
}  // namespace cassiastile::fleet
