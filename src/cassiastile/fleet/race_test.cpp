#include <gtest/gtest.h>

#include "fake_fleet.hpp"

namespace cassiastile::fleet {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

void ExpectInvariantsHold(const fake::World& world) {
  EXPECT_EQ(world.table.budget_violations, 0U) << world.table.first_violation;
  EXPECT_EQ(world.table.pool_violations, 0U) << world.table.first_violation;
}

// Pools whose hosts share no rack, so that only the budget limits drains, not
// the limit per rack.
std::shared_ptr<config::AcceptedFleet> MakeDocumentWithoutRacks() {
  auto document = fake::MakeDocument({.pools = 2, .hosts = 6, .max_out = 1});
  for (config::Pool& pool : document->fleet.pools) {
    for (config::Host& host : pool.hosts) {
      host.rack.clear();
    }
  }
  return document;
}

// Two processes that have read the same rows after the wave was started.
class RaceTest : public testing::Test {
 protected:
  void SetUp() override {
    m_world.Start(m_first);
    ReadBoth();
  }

  void ReadBoth() {
    ASSERT_TRUE(m_first.Refresh(m_world.document));
    ASSERT_TRUE(m_second.Refresh(m_world.document));
  }

  void MakeAllBusy() {
    for (int host = 0; host < 6; ++host) {
      m_world.work.work[fmt::format("p0-h{}", host)].running = 1;
    }
  }

  // Hosts out of service by their own rows.
  std::size_t CountOut(const std::string& pool) {
    std::size_t out = 0;
    for (const auto& [host, stored] : m_world.table.State().hosts) {
      const bool in_service = stored.record.state == HostState::kInService;
      out += stored.record.pool == pool && !in_service ? 1 : 0;
    }
    return out;
  }

  fake::World m_world{MakeDocumentWithoutRacks()};
  Reconciler m_first = m_world.MakeReconciler("control-1", 1);
  Reconciler m_second = m_world.MakeReconciler("control-2", 2);
};

TEST_F(RaceTest, TwoOwnersDrainNoMoreThanOneHost) {
  m_first.Tick("p0", std::nullopt);
  // Work on the host that the first process drains makes the second process,
  // which has not read that drain, choose another host.
  m_world.work.work["p0-h0"].running = 1;
  m_second.Tick("p0", std::nullopt);
  EXPECT_EQ(CountOut("p0"), 1U);
  ExpectInvariantsHold(m_world);
}

TEST_F(RaceTest, OperatorsDrainThatCommitsFirstStopsTheWaves) {
  ASSERT_TRUE(m_second.DrainHost("p0-h5", "anna", {}));
  m_first.Tick("p0", std::nullopt);
  EXPECT_EQ(CountOut("p0"), 1U);
  EXPECT_EQ(m_world.Host("p0-h5").reason, OutReason::kOperator);
  ExpectInvariantsHold(m_world);
}

TEST_F(RaceTest, WavesDrainThatCommitsFirstStopsTheOperators) {
  m_first.Tick("p0", std::nullopt);
  const auto drained = m_second.DrainHost("p0-h5", "anna", {});
  ASSERT_FALSE(drained);
  EXPECT_EQ(drained.error().code, base::ErrorCode::kConflict);
  ASSERT_TRUE(m_second.Refresh(m_world.document));
  EXPECT_EQ(m_second.DrainHost("p0-h5", "anna", {}).error().code,
            base::ErrorCode::kOverloaded);
  ExpectInvariantsHold(m_world);
}

TEST_F(RaceTest, BudgetEditStopsADrainDecidedBeforeIt) {
  m_world.Accept(fake::MakeDocument({.pools = 2, .hosts = 6, .max_out = 0}, 2));
  m_first.Tick("p0", std::nullopt);
  EXPECT_TRUE(m_world.Pool("p0").out.empty());
  ExpectInvariantsHold(m_world);
}

TEST_F(RaceTest, OutdatedDocumentDrainsNothing) {
  const auto old = m_world.document;
  m_world.Accept(fake::MakeDocument({.pools = 2, .hosts = 6, .max_out = 0}, 2));
  ASSERT_TRUE(m_first.Refresh(old));
  m_first.Tick("p0", std::nullopt);
  EXPECT_TRUE(m_world.Pool("p0").out.empty());
  EXPECT_FALSE(m_first.DrainHost("p0-h0", "anna", {}));
}

TEST_F(RaceTest, FailureThatCommitsFirstUsesTheBudget) {
  m_world.machines.Fail("p0-h3");
  m_world.clock.Advance(seconds(10));
  m_second.Tick("p0", std::nullopt);  // Records the failure.
  m_first.Tick("p0", std::nullopt);   // Decides from the rows before that.
  EXPECT_EQ(CountOut("p0"), 1U);
  EXPECT_EQ(m_world.Host("p0-h3").state, HostState::kFailed);
  ExpectInvariantsHold(m_world);
}

TEST_F(RaceTest, UnresponsiveHostUsesTheBudget) {
  m_world.machines.silent = {"p0-h5"};
  m_world.clock.Advance(seconds(10));
  m_first.Tick("p0", std::nullopt);
  EXPECT_TRUE(m_world.Pool("p0").out.empty());
}

TEST_F(RaceTest, FailureOfAnotherHostUndrainsADrainingHost) {
  MakeAllBusy();
  m_first.Tick("p0", std::nullopt);
  ASSERT_EQ(m_world.Pool("p0").out.size(), 1U);
  ASSERT_TRUE(m_world.Pool("p0").out.contains("p0-h0"));
  m_world.machines.Fail("p0-h3");
  m_world.clock.Advance(seconds(10));
  m_world.Round(m_first);
  EXPECT_EQ(m_world.Host("p0-h0").state, HostState::kInService);
  EXPECT_EQ(m_world.Pool("p0").out.size(), 1U);
  EXPECT_TRUE(m_world.machines.reboots.empty());
}

TEST_F(RaceTest, MoveOutOfThePoolCountsAsADrain) {
  auto document = fake::MakeDocument({.pools = 2, .hosts = 6, .max_out = 1}, 2);
  std::vector<config::Host>& hosts = document->fleet.pools[0].hosts;
  document->fleet.pools[1].hosts.push_back(hosts.back());
  hosts.pop_back();
  m_world.work.work["p0-h5"].running = 1;
  m_world.Accept(document);
  m_world.Round(m_first);
  EXPECT_EQ(m_world.Host("p0-h5").reason, OutReason::kMoving);
  EXPECT_EQ(m_world.Pool("p0").out.size(), 1U);
  m_world.work.work.clear();
  m_world.RunWave(m_first, seconds(3000));
  EXPECT_EQ(m_world.Host("p0-h5").pool, "p1");
  EXPECT_EQ(m_world.Wave().state, WaveState::kFinished);
  ExpectInvariantsHold(m_world);
}

TEST_F(RaceTest, PausedOwnerIsRejectedByItsFencingToken) {
  // The version of the lease row is the fencing token.
  auto& rows = m_world.table.Rows();
  ASSERT_TRUE(rows.Apply({"lease-1", {}, {{"lease/p0", "control-1"}}}));
  const platform::Precondition fence{"lease/p0", 1};
  ASSERT_TRUE(rows.Apply({"lease-2", {}, {{"lease/p0", "control-2"}}}));
  m_first.Tick("p0", fence);
  EXPECT_TRUE(m_world.Pool("p0").out.empty());
  m_second.Tick("p0", platform::Precondition{"lease/p0", 2});
  EXPECT_EQ(m_world.Pool("p0").out.size(), 1U);
}

TEST_F(RaceTest, PauseStopsARebootDecidedBeforeIt) {
  MakeAllBusy();
  m_first.Tick("p0", std::nullopt);
  ASSERT_EQ(m_world.Host("p0-h0").state, HostState::kDraining);
  ReadBoth();
  ASSERT_TRUE(m_second.ApplyWaveAction("wave", "anna", WaveAction::kPause, {}));
  m_world.work.work.clear();
  m_first.Tick("p0", std::nullopt);
  EXPECT_TRUE(m_world.machines.reboots.empty());
}

TEST_F(RaceTest, PauseStopsADrainDecidedBeforeIt) {
  ASSERT_TRUE(m_second.ApplyWaveAction("wave", "anna", WaveAction::kPause, {}));
  m_first.Tick("p0", std::nullopt);
  EXPECT_EQ(CountOut("p0"), 0U);
}

TEST_F(RaceTest, RepeatedRebootByAPausedOwnerDoesNothing) {
  m_world.RunWave(m_first, seconds(3000));
  ASSERT_EQ(m_world.machines.reboots["p0-h0"], 1U);
  // The boot count that the owner knew before its pause.
  EXPECT_FALSE(m_world.machines.Reboot("p0-h0", 0));
  EXPECT_EQ(m_world.machines.reboots["p0-h0"], 1U);
}

TEST(MembershipTest, ConcurrentEditAndMoveLeaveAHostInOnePool) {
  fake::World world(
      fake::MakeDocument({.pools = 3, .hosts = 4, .spare = true}));
  Reconciler first = world.MakeReconciler("control-1", 1);
  Reconciler second = world.MakeReconciler("control-2", 2);
  world.Round(first);
  // The spare pool's host replaces one of p0 while the document moves it to p1.
  world.machines.Fail("p0-h0");
  for (int i = 0; i < 320; ++i) {
    world.Round(first);
    world.clock.Advance(seconds(1));
  }
  auto edited = fake::MakeDocument({.pools = 3, .hosts = 4, .spare = true}, 2);
  std::vector<config::Host>& spare = edited->fleet.pools[2].hosts;
  edited->fleet.pools[1].hosts.insert(edited->fleet.pools[1].hosts.end(),
                                      spare.begin(), spare.end());
  spare.clear();
  world.Accept(edited);
  for (int i = 0; i < 100; ++i) {
    ASSERT_TRUE(first.Refresh(world.document));
    ASSERT_TRUE(second.Refresh(world.document));
    for (const std::string pool : {"p0", "p1", "p2"}) {
      first.Tick(pool, std::nullopt);
      second.Tick(pool, std::nullopt);
    }
    world.clock.Advance(seconds(1));
  }
  for (int host = 0; host < 4; ++host) {
    EXPECT_EQ(world.Host(fmt::format("p2-h{}", host)).pool, "p1");
  }
  ExpectInvariantsHold(world);
}

// Both documents have the accepted version, so only the version of the host's
// row keeps the second owner from adding it to another pool.
TEST(MembershipTest, TwoOwnersWithDifferentDocumentsAddAHostOnce) {
  fake::World world(fake::MakeDocument({.pools = 2, .hosts = 2}));
  Reconciler first = world.MakeReconciler("control-1", 1);
  Reconciler second = world.MakeReconciler("control-2", 2);
  auto moved = fake::MakeDocument({.pools = 2, .hosts = 2}, 1);
  std::swap(moved->fleet.pools[0].hosts, moved->fleet.pools[1].hosts);
  ASSERT_TRUE(first.Refresh(world.document));
  ASSERT_TRUE(second.Refresh(moved));
  first.Tick("p0", std::nullopt);
  second.Tick("p1", std::nullopt);
  EXPECT_EQ(world.Host("p0-h0").pool, "p0");
  ExpectInvariantsHold(world);
}

TEST(MembershipTest, HostThatLeftTheDocumentIsDrainedBeforeItsRowGoes) {
  fake::World world(fake::MakeDocument({.hosts = 4}));
  Reconciler reconciler = world.MakeReconciler("control-1", 1);
  world.Round(reconciler);
  world.work.work["p0-h3"].running = 1;
  world.Accept(fake::MakeDocument({.hosts = 3}, 2));
  for (int i = 0; i < 20; ++i) {
    world.Round(reconciler);
  }
  EXPECT_EQ(world.Host("p0-h3").state, HostState::kDraining);
  world.work.work.clear();
  world.Round(reconciler);
  world.Round(reconciler);
  EXPECT_FALSE(world.table.State().hosts.contains("p0-h3"));
  EXPECT_TRUE(world.Pool("p0").out.empty());
}

TEST(MembershipTest, FailedHostThatLeftTheDocumentFreesItsPoolsBudget) {
  fake::World world(fake::MakeDocument({.hosts = 4, .max_out = 1}));
  Reconciler reconciler = world.MakeReconciler("control-1", 1);
  world.Round(reconciler);
  world.machines.Fail("p0-h3");
  world.clock.Advance(seconds(10));
  world.Round(reconciler);
  ASSERT_EQ(world.Pool("p0").out.size(), 1U);
  world.Accept(fake::MakeDocument({.hosts = 3, .max_out = 1}, 2));
  world.Round(reconciler);
  EXPECT_TRUE(world.Pool("p0").out.empty());
}

TEST(OutageTest, TableOutagePausesAWaveThatThenFinishes) {
  fake::World world(fake::MakeDocument({.pools = 2, .hosts = 6}));
  Reconciler reconciler = world.MakeReconciler("control-1", 1);
  world.Start(reconciler);
  world.RunWave(reconciler, seconds(30));
  const auto before = world.machines.reboots;
  world.table.down = true;
  for (int i = 0; i < 300; ++i) {
    world.Round(reconciler);
    world.clock.Advance(seconds(1));
  }
  EXPECT_EQ(world.machines.reboots, before);
  world.table.down = false;
  world.RunWave(reconciler, seconds(3000));
  EXPECT_EQ(world.Wave().state, WaveState::kFinished);
  ExpectInvariantsHold(world);
}

TEST(OutageTest, MachineServiceOutageDrainsAndFailsNothing) {
  fake::World world(fake::MakeDocument({.hosts = 6}));
  Reconciler reconciler = world.MakeReconciler("control-1", 1);
  world.Start(reconciler);
  world.machines.down = true;
  world.clock.Advance(minutes(1));
  world.Round(reconciler);
  EXPECT_TRUE(world.Pool("p0").out.empty());
}

}  // namespace
}  // namespace cassiastile::fleet
