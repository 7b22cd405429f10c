#include <gtest/gtest.h>

#include "cassiastile/work/placement.hpp"
#include "cassiastile/work/share_account.hpp"
#include "cassiastile/work/size_estimate.hpp"
#include "cassiastile/work/worker_health.hpp"

namespace cassiastile::work {
namespace {

using std::chrono::seconds;

constexpr Resources kPool{100, 400, 0};

TaskSpec MakeSpec(const std::string& team, const std::string& kind) {
  TaskSpec spec;
  spec.team = team;
  spec.kind = kind;
  spec.declared = {8, 16, 0};
  spec.seconds = 100;
  return spec;
}

TEST(SizeEstimateTest, LearnsActualSizeWhereDeclarationIsWrong) {
  SizeEstimator sizes;
  EXPECT_EQ(sizes.Estimate(MakeSpec("a", "k")).size.cores, 8);
  for (int run = 0; run < 5; ++run) {
    sizes.ObserveUsage(MakeSpec("a", "k"), {2, 4, 0});
    sizes.ObserveRunTime(MakeSpec("a", "k"), 25);
  }
  const SizeEstimate estimate = sizes.Estimate(MakeSpec("a", "k"));
  EXPECT_NEAR(estimate.size.cores, 2, 0.01);
  EXPECT_NEAR(estimate.seconds, 25, 0.1);
}

// Guards against teams that give old work a new kind to escape what was learnt
// about their declarations.
TEST(SizeEstimateTest, NewKindStartsFromTheTeamsDeclarationError) {
  SizeEstimator sizes;
  for (int run = 0; run < 5; ++run) {
    sizes.ObserveUsage(MakeSpec("a", "k"), {32, 64, 0});
  }
  EXPECT_NEAR(sizes.Estimate(MakeSpec("a", "new")).size.cores, 32, 0.1);
  EXPECT_NEAR(sizes.Estimate(MakeSpec("b", "new")).size.cores, 8, 0.1);
}

// Guards against a later team that gets the whole pool until it has caught up
// with the usage of a team that was alone before.
TEST(ShareAccountTest, BorrowedIdleCapacityIsNotHeldAgainstTheBorrower) {
  ShareAccount shares;
  base::ManualClock clock;
  shares.SetCapacity(kPool);
  shares.SetUse("a", {100, 0, 0}, TeamDemand::kWaiting);
  shares.Advance(clock.Now());
  clock.Advance(seconds(600));
  shares.Advance(clock.Now());
  shares.SetUse("b", {}, TeamDemand::kWaiting);
  EXPECT_LT(shares.ProjectedUsage("b"), shares.ProjectedUsage("a"));
  shares.SetUse("a", {50, 0, 0}, TeamDemand::kWaiting);
  shares.SetUse("b", {50, 0, 0}, TeamDemand::kWaiting);
  EXPECT_NEAR(shares.ProjectedUsage("a"), shares.ProjectedUsage("b"), 1e-6);
  EXPECT_EQ(shares.Entitlement("a"), 0.5);
}

TEST(ShareAccountTest, WeighsTheDominantResource) {
  ShareAccount shares;
  shares.SetCapacity(kPool);
  shares.SetWeight("a", 4);
  // "a" has 40 % of the cores at weight 4, "b" 10 % of the memory at weight 1.
  shares.SetUse("a", {40, 0, 0}, TeamDemand::kWaiting);
  shares.SetUse("b", {1, 40, 0}, TeamDemand::kWaiting);
  EXPECT_NEAR(shares.ProjectedUsage("a"), shares.ProjectedUsage("b"), 1e-9);
}

PlacementHost MakeHost(const std::string& name, std::size_t zone) {
  PlacementHost host;
  host.name = name;
  host.zone = zone;
  host.rack = zone;
  host.capacity = {16, 64, 0};
  host.open = true;
  return host;
}

TEST(PlacementTest, SpreadsAndKeepsLongTasksOffHostsAboutToDrain) {
  base::ManualClock clock;
  std::vector<PlacementHost> hosts{MakeHost("w0", 0), MakeHost("w1", 1)};
  const TeamSpread spread{{3, 0}, {3, 0}};
  PlacementRequest request;
  request.size = {4, 4, 0};
  request.seconds_upper = 100;
  request.spread = &spread;
  EXPECT_EQ(PickHost(hosts, request, clock.Now()), 1U);
  hosts[1].drain_expected = clock.Now() + seconds(50);
  EXPECT_EQ(PickHost(hosts, request, clock.Now()), 0U);
  request.seconds_upper = 20;
  EXPECT_EQ(PickHost(hosts, request, clock.Now()), 1U);
}

TEST(PlacementTest, ReserveIsForUrgentTasks) {
  base::ManualClock clock;
  std::vector<PlacementHost> hosts{MakeHost("w0", 0)};
  // One core is asked for, but pieces have four.
  EXPECT_EQ(SpreadReserve(hosts, 1, {4, 16, 0}), 4);
  hosts[0].placed = {12, 12, 0};
  PlacementRequest request;
  request.size = {2, 2, 0};
  EXPECT_FALSE(PickHost(hosts, request, clock.Now()).has_value());
  request.urgent = true;
  EXPECT_TRUE(PickHost(hosts, request, clock.Now()).has_value());
}

TEST(WorkerHealthTest, TaskThatFailsOnEveryWorkerQuarantinesNone) {
  WorkerHealthTracker health;
  base::ManualClock clock;
  for (const std::string worker : {"w0", "w1", "w2"}) {
    for (int run = 0; run < 5; ++run) {
      EXPECT_FALSE(health.RecordEnd(worker, "poison", false, clock.Now()));
    }
  }
}

// Failures of one kind may be the fault of the tasks, unless the kind succeeds
// on another worker.
TEST(WorkerHealthTest, QuarantineNeedsSuccessElsewhereAndEndsByProbing) {
  WorkerHealthTracker health;
  base::ManualClock clock;
  health.RecordEnd("w1", "k", true, clock.Now());
  EXPECT_FALSE(health.RecordEnd("w0", "k", false, clock.Now()));
  EXPECT_FALSE(health.RecordEnd("w0", "k", false, clock.Now()));
  EXPECT_TRUE(health.RecordEnd("w0", "k", false, clock.Now()));
  EXPECT_EQ(health.HealthOf("w0", clock.Now()),
            WorkerHealthState::kQuarantined);
  clock.Advance(seconds(31));  // Past first_quarantine, 30 s.
  EXPECT_EQ(health.HealthOf("w0", clock.Now()), WorkerHealthState::kProbing);
  health.RecordEnd("w0", "k", true, clock.Now());
  EXPECT_EQ(health.HealthOf("w0", clock.Now()), WorkerHealthState::kHealthy);
}

}  // namespace
}  // namespace cassiastile::work
