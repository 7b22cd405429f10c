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

  // Adds busy machines that use this much for finite tasks each.
  void AddBusy(const std::string& pool, int count, std::int64_t finite_cpu) {
    Add(pool, count, milliseconds(0));
    for (auto machine = m_machines.end() - count; machine != m_machines.end();
         ++machine) {
      machine->movable = false;
      machine->can_be_vacated = true;
      machine->finite_cpu = finite_cpu;
    }
  }

  std::vector<MachineMove> Plan() { return PlanAll().moves; }

  PoolPlan PlanAll() { return PlanPools(m_machines, m_pools, {}, m_now); }

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

// The end of a queue's turn, as replayed from the small twin of a large fleet
// at 13 s: 779 cores are in use on 70 machines, none of which is idle, while
// the next queue waits for 208 cores and 3,200 arrive.
TEST_F(PoolPlanTest, TurnThatEndsGivesItsHalfUsedMachinesToTheNext) {
  m_pools["ending"].used = {779000, 0, 0};
  AddBusy("ending", 70, 11128);
  m_machines[3].finite_cpu = 1000;
  m_pools["beginning"].used = {76000, 0, 0};
  m_pools["beginning"].unplaced = {208000, 0, 0};
  m_pools["beginning"].arriving_work = {.cpu = 3200, .memory = 0};
  AddBusy("beginning", 8, 16000);
  const PoolPlan plan = PlanAll();
  EXPECT_THAT(plan.moves, IsEmpty());
  EXPECT_GE(plan.vacate.size(), 20U);
  EXPECT_EQ(plan.vacate.front(), m_machines[3].name);
}

// At 5 s of that day: the first queue in its turn has taken all machines, and
// long-running tasks of another pool fit nowhere.
TEST_F(PoolPlanTest, LongRunningTasksGetMachinesBeforeFiniteOnes) {
  m_pools["turn"].used = {1360000, 0, 0};
  m_pools["turn"].unplaced = {350000, 0, 0};
  m_pools["turn"].arriving_work = {.cpu = 3251, .memory = 0};
  AddBusy("turn", 85, 16000);
  m_pools["lasting"].used = {108000, 0, 0};
  m_pools["lasting"].long_running_used = {108000, 0, 0};
  m_pools["lasting"].long_running_capacity = {108000, 0, 0};
  m_pools["lasting"].unplaced = {40000, 0, 0};
  m_pools["lasting"].unplaced_long_running = {40000, 0, 0};
  Add("lasting", 9, milliseconds(0));
  for (auto machine = m_machines.end() - 9; machine != m_machines.end();
       ++machine) {
    machine->movable = false;
  }
  // 148 cores are ten machines with 16.
  EXPECT_THAT(PlanAll().vacate, SizeIs(1));
}

// 132 cores of long-running tasks on 11 machines leave 44, but 4 on each, and a
// task of 6 waits for 13 s.
TEST_F(PoolPlanTest, LongRunningTasksThatFitNowhereGetAMachine) {
  m_pools["lasting"].used = {132000, 0, 0};
  m_pools["lasting"].long_running_used = {132000, 0, 0};
  m_pools["lasting"].long_running_capacity = {176000, 0, 0};
  m_pools["lasting"].unplaced = {6000, 0, 0};
  m_pools["lasting"].unplaced_long_running = {6000, 0, 0};
  AddBusy("lasting", 11, 0);
  for (PoolMachine& machine : m_machines) {
    machine.can_be_vacated = false;
  }
  Add("spare", 5, milliseconds(60000));
  EXPECT_THAT(Plan(), SizeIs(1));
}

TEST_F(PoolPlanTest, PoolsShareWhatIsNotEnoughForAll) {
  m_pools["a"].unplaced = {4000000, 0, 0};
  m_pools["b"].unplaced = {4000000, 0, 0};
  Add("spare", 20, milliseconds(60000));
  int of_a = 0;
  const auto moves = Plan();
  for (const MachineMove& move : moves) {
    of_a += move.to == "a" ? 1 : 0;
  }
  EXPECT_THAT(moves, SizeIs(20));
  EXPECT_EQ(of_a, 10);
}

TEST_F(PoolPlanTest, VacatedMachineMovesAsSoonAsItIsIdle) {
  AddBusy("ending", 10, 4000);
  m_machines[0].vacating = true;
  m_machines[0].movable = true;
  m_machines[0].can_be_vacated = false;
  m_pools["beginning"].unplaced = {160000, 0, 0};
  const auto moves = Plan();
  ASSERT_THAT(moves, SizeIs(1));
  EXPECT_EQ(moves.front().machine, m_machines[0].name);
}

TEST_F(PoolPlanTest, NothingIsVacatedWhileIdleMachinesAreThere) {
  AddBusy("a", 10, 1000);
  m_pools["b"].unplaced = {100000, 0, 0};
  Add("spare", 10, milliseconds(60000));
  const PoolPlan plan = PlanAll();
  EXPECT_THAT(plan.vacate, IsEmpty());
  EXPECT_FALSE(plan.moves.empty());
}

// A pool at the begin of its turn can count on the machines of the others.
TEST_F(PoolPlanTest, IdleFleetIsReachable) {
  m_pools["a"] = {};
  m_pools["b"].used = {32000, 0, 0};
  AddBusy("b", 2, 16000);
  Add("spare", 8, milliseconds(60000));
  EXPECT_EQ(PlanAll().reachable.at("a").cpu, 128000);
}

}  // namespace
}  // namespace cassiastile::jobs
