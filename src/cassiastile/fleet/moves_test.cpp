#include <gtest/gtest.h>

#include "fake_fleet.hpp"

namespace cassiastile::fleet {
namespace {

using std::chrono::seconds;

class MovesTest : public testing::Test {
 protected:
  void Run(int rounds) {
    for (int i = 0; i < rounds; ++i) {
      m_world.Round(m_reconciler);
      m_world.clock.Advance(seconds(1));
    }
  }

  std::size_t Members(const std::string& pool) {
    std::size_t members = 0;
    for (const auto& [host, stored] : m_world.table.State().hosts) {
      members += stored.record.pool == pool ? 1 : 0;
    }
    return members;
  }

  fake::World m_world{fake::MakeDocument(
      {.pools = 2, .hosts = 4, .max_out = 2, .spare = true})};
  Reconciler m_reconciler = m_world.MakeReconciler("control-1", 1);
};

TEST_F(MovesTest, SpareHostReplacesAFailedHostAndReturnsAfterItsRepair) {
  Run(1);
  m_world.machines.Fail("p0-h0");
  Run(250);
  EXPECT_EQ(Members("p0"), 4U) << "replaced before replace_after had passed";
  Run(100);
  EXPECT_EQ(Members("p0"), 5U);
  EXPECT_EQ(m_world.Pool("p0").out.at("p0-h0").replaced_by, "p1-h0");
  const BudgetCount count =
      CountBudget(&m_world.document->fleet.pools[0], m_world.Pool("p0"), {});
  EXPECT_EQ(count.Out(), 0U);
  m_world.machines.Repair("p0-h0");
  Run(60);
  EXPECT_EQ(Members("p0"), 4U);
  EXPECT_EQ(m_world.Host("p1-h0").pool, "p1");
  EXPECT_EQ(m_world.table.budget_violations, 0U);
  EXPECT_EQ(m_world.table.pool_violations, 0U) << m_world.table.first_violation;
}

TEST_F(MovesTest, FailedReplacementCountsAgainstTheBudget) {
  Run(1);
  m_world.machines.Fail("p0-h0");
  Run(350);
  m_world.machines.Fail("p1-h0");
  Run(10);
  const BudgetCount count =
      CountBudget(&m_world.document->fleet.pools[0], m_world.Pool("p0"), {});
  EXPECT_EQ(count.failed, 2U);
}

// While a replacement serves, the failed host doesn't count against the budget.
// Out of service, it would leave two hosts out instead of one.
TEST_F(MovesTest, ReplacementIsNotDrainedWhileTheBudgetNeedsIt) {
  m_world.document->fleet.pools[0].budget.max_out = 1;
  Run(1);
  m_world.machines.Fail("p0-h0");
  Run(350);
  ASSERT_EQ(m_world.Pool("p0").out.at("p0-h0").replaced_by, "p1-h0");
  ASSERT_TRUE(m_reconciler.Refresh(m_world.document));
  EXPECT_FALSE(m_reconciler.DrainHost("p1-h0", "anna", {}));
  EXPECT_TRUE(m_reconciler.DrainHost("p0-h1", "anna", {}));
  EXPECT_EQ(m_world.table.budget_violations, 0U)
      << m_world.table.first_violation;
}

// Bursts of 10 s at five times a demand of two hosts, then 40 s at a twentieth
// of it. Demand is averaged over buckets that are longer than such a cycle.
TEST_F(MovesTest, ShortBurstsMoveNoHost) {
  for (int round = 0; round < 30; ++round) {
    m_world.demand.demand["p0"] = 5 * 2.0;
    Run(10);
    m_world.demand.demand["p0"] = 2.0 / 20;
    Run(40);
  }
  EXPECT_EQ(Members("p0"), 4U);
}

TEST_F(MovesTest, LastingDemandChangeMovesAsManyHostsAsNeededAndBack) {
  // Above 0.9 of four hosts; at a utilization of 0.8, it takes six.
  m_world.demand.demand["p0"] = 4.4;
  Run(1000);
  EXPECT_EQ(Members("p0"), 6U);
  Run(2000);
  EXPECT_EQ(Members("p0"), 6U);
  m_world.demand.demand["p0"] = 2;
  Run(2000);
  EXPECT_EQ(Members("p0"), 4U);
  EXPECT_EQ(m_world.table.budget_violations, 0U);
}

}  // namespace
}  // namespace cassiastile::fleet
