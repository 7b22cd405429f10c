#include "cassiastile/jobs/pool_plan.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cassiastile::jobs {
namespace {

using std::chrono::milliseconds;
using testing::IsEmpty;
using testing::SizeIs;

constexpr Resources kMachine{16000, 65536, 0};

class PoolPlanTest : public testing::Test {
 protected:
  void Add(const std::string& pool, int count, milliseconds idle) {
    for (int i = 0; i < count; ++i) {
      PoolMachine machine;
      machine.name = pool + "-" + std::to_string(m_machines.size());
      machine.pool = pool;
      machine.capacity = kMachine;
      machine.movable = true;
      machine.idle_since = m_now - idle;
      m_machines.push_back(machine);
    }
  }

  std::vector<MachineMove> Plan() {
    return PlanMoves(m_machines, m_pools, {}, m_now);
  }

  base::TimePoint m_now{std::chrono::hours(1)};
  std::vector<PoolMachine> m_machines;
  std::map<std::string, PoolDemand> m_pools{{"spare", {.is_spare = true}}};
};

// Work for 100 cores arrives at a pool of two machines with 16 cores each.
TEST_F(PoolPlanTest, RisingLoadFetchesAllMachinesAtOnce) {
  m_pools["busy"].arriving_work = {.cpu = 100, .memory = 0};
  Add("busy", 2, milliseconds(0));
  Add("spare", 10, milliseconds(60000));
  // 120 cores with headroom are eight machines.
  EXPECT_THAT(Plan(), SizeIs(6));
}

TEST_F(PoolPlanTest, ArrivingMachinesCountAsCapacity) {
  m_pools["busy"].arriving_work = {.cpu = 100, .memory = 0};
  Add("busy", 8, milliseconds(0));
  for (PoolMachine& machine : m_machines) {
    machine.movable = false;
    machine.arriving = true;
  }
  Add("spare", 10, milliseconds(60000));
  EXPECT_THAT(Plan(), IsEmpty());
}

TEST_F(PoolPlanTest, IdlePoolGivesMachinesBeforeTheSparePool) {
  m_pools["busy"].arriving_work = {.cpu = 40, .memory = 0};
  m_pools["idle"] = {};
  Add("busy", 2, milliseconds(0));
  Add("idle", 5, milliseconds(500));
  Add("spare", 5, milliseconds(60000));
  // 48 cores with headroom are three machines.
  const auto moves = Plan();
  ASSERT_THAT(moves, SizeIs(1));
  EXPECT_EQ(moves.front().from, "idle");
}

TEST_F(PoolPlanTest, MemoryDemandAloneFetchesMachines) {
  m_pools["busy"].unplaced = {0, 200000, 0};
  Add("busy", 2, milliseconds(0));
  for (PoolMachine& machine : m_machines) {
    machine.movable = false;
  }
  m_pools["busy"].used = {1000, 131072, 0};
  Add("spare", 5, milliseconds(60000));
  // 131,072 MB in use and 0.6 of the 200,000 MB unplaced are four machines.
  EXPECT_THAT(Plan(), SizeIs(2));
}

TEST_F(PoolPlanTest, IdleMachinesLeaveDownToTheMinimum) {
  m_pools["idle"].min_machines = 3;
  Add("idle", 8, milliseconds(5000));
  EXPECT_THAT(Plan(), SizeIs(5));
}

TEST_F(PoolPlanTest, BrieflyIdleMachinesStay) {
  m_pools["idle"] = {};
  Add("idle", 8, milliseconds(1000));
  EXPECT_THAT(Plan(), IsEmpty());
}

TEST_F(PoolPlanTest, PoolBelowItsMinimumFetchesMachines) {
  m_pools["lasting"].min_machines = 6;
  Add("lasting", 3, milliseconds(0));
  Add("spare", 5, milliseconds(60000));
  EXPECT_THAT(Plan(), SizeIs(3));
}

}  // namespace
}  // namespace cassiastile::jobs
