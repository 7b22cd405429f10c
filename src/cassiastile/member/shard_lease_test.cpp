#include "cassiastile/member/shard_lease.hpp"

#include <memory>
#include <set>

#include <gtest/gtest.h>

#include "cassiastile/member/shard_lease_manager.hpp"
#include "cassiastile/platform/memory_platform.hpp"

namespace cassiastile::member {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The lease managers of several processes on one table. Each runs a round every
// 50 ms of virtual time unless it is paused.
class ShardLeaseTest : public ::testing::Test {
 protected:
  void SetUp() override {
    for (int i = 0; i < 25; ++i) {
      m_shards.push_back("pool-" + std::to_string(i));
    }
    for (const std::string name : {"a#1", "b#1", "c#1"}) {
      Add(name);
    }
    Run(seconds(40));  // Longer than handover_delay, 30 seconds.
  }

  void Add(const std::string& name) {
    m_candidates.insert(name);
    ShardLeaseOptions options;
    options.owner = name;
    options.address = name + ":80";
    m_managers[name] = std::make_unique<ShardLeaseManager>(
        options, m_table, m_clock,
        ShardLeaseManager::Sources{[this] { return m_shards; },
                                   [this] {
                                     return std::vector<std::string>(
                                         m_candidates.begin(),
                                         m_candidates.end());
                                   }},
        m_managers.size() + 1);
  }

  void Run(base::Duration time) {
    const base::TimePoint end = m_clock.Now() + time;
    while (m_clock.Now() < end) {
      for (auto& [name, manager] : m_managers) {
        if (!m_paused.contains(name)) {
          manager->RunOnce();
        }
      }
      CheckOwners();
      m_clock.Advance(milliseconds(50));
    }
  }

  // Invariant: no two processes consider themselves the owner at the same time.
  void CheckOwners() {
    for (const std::string& shard : m_shards) {
      std::size_t owners = 0;
      for (const auto& [name, manager] : m_managers) {
        owners += manager->CurrentLease(shard, m_clock.Now()) ? 1 : 0;
      }
      ASSERT_LE(owners, 1U) << shard;
    }
  }

  std::map<std::string, std::string> Owners() {
    std::map<std::string, std::string> owners;
    for (const auto& [name, manager] : m_managers) {
      for (const std::string& shard : manager->OwnedShards(m_clock.Now())) {
        owners[shard] = name;
      }
    }
    return owners;
  }

  std::size_t CountOwnedBy(const std::string& name) {
    return m_managers.at(name)->OwnedShards(m_clock.Now()).size();
  }

  base::ManualClock m_clock;
  platform::MemoryTable m_table;
  std::vector<std::string> m_shards;
  std::set<std::string> m_candidates;
  std::set<std::string> m_paused;
  std::map<std::string, std::unique_ptr<ShardLeaseManager>> m_managers;
};

// Rendezvous hashing balances only roughly: an even share is 8 or 9 of the 25
// shards.
TEST_F(ShardLeaseTest, AllShardsAreOwnedAndBalanced) {
  EXPECT_EQ(Owners().size(), 25U);
  for (const std::string name : {"a#1", "b#1", "c#1"}) {
    EXPECT_GE(CountOwnedBy(name), 4U);
    EXPECT_LE(CountOwnedBy(name), 14U);
  }
}

// The paused owner stays a candidate, so nothing but the unchanged rows shows
// that its leases have expired.
TEST_F(ShardLeaseTest, PausedOwnersShardsAreTakenOverWithinLeasePlusOneSecond) {
  m_paused.insert("a#1");
  Run(ShardLeaseOptions{}.lease_duration + seconds(1));
  EXPECT_EQ(CountOwnedBy("a#1"), 0U);
  EXPECT_EQ(Owners().size(), 25U);
}

TEST_F(ShardLeaseTest, PausedOwnerStopsActingAndWritesNothing) {
  const std::string shard =
      m_managers.at("a#1")->OwnedShards(m_clock.Now()).front();
  const auto held_lease =
      m_managers.at("a#1")->CurrentLease(shard, m_clock.Now());
  m_paused.insert("a#1");
  Run(seconds(5));  // Longer than lease_duration, 3 seconds.
  EXPECT_FALSE(m_managers.at("a#1")->CurrentLease(shard, m_clock.Now()));
  // The fence also stops a write whose lease was checked before the pause.
  const auto late =
      m_table.Apply({"late", {held_lease->fence}, {{"pool/" + shard, "x"}}});
  ASSERT_FALSE(late);
  EXPECT_EQ(late.error().code, base::ErrorCode::kConflict);
  m_paused.clear();
  Run(seconds(5));
  EXPECT_EQ(Owners().size(), 25U);
}

TEST_F(ShardLeaseTest, WallClockStepsChangeNothing) {
  const auto before = Owners();
  m_clock.StepWall(seconds(7200));
  Run(seconds(5));
  m_clock.StepWall(seconds(-14400));
  Run(seconds(5));
  EXPECT_EQ(Owners(), before);
}

TEST_F(ShardLeaseTest, NewProcessMovesOnlyItsShare) {
  const auto before = Owners();
  Add("d#1");
  Run(seconds(45));  // Longer than handover_delay, 30 seconds.
  std::size_t moved = 0;
  for (const auto& [shard, owner] : Owners()) {
    moved += before.at(shard) != owner ? 1 : 0;
  }
  EXPECT_EQ(moved, CountOwnedBy("d#1"));
  EXPECT_GE(moved, 1U);
  EXPECT_LE(moved, 12U);  // An even share is 6 or 7 of the 25 shards.
}

TEST_F(ShardLeaseTest, LeavingProcessMovesOnlyItsShards) {
  const auto before = Owners();
  m_candidates.erase("c#1");
  m_paused.insert("c#1");
  Run(seconds(45));  // Longer than handover_delay, 30 seconds.
  std::size_t moved = 0;
  for (const auto& [shard, owner] : Owners()) {
    moved += before.at(shard) != owner && before.at(shard) != "c#1" ? 1 : 0;
  }
  EXPECT_EQ(moved, 0U);
  EXPECT_EQ(Owners().size(), 25U);
}

TEST_F(ShardLeaseTest, OutageEndsAllLeasesAndTheyAreAcquiredAgain) {
  m_table.SetFaults({true, 0, 0, 0});
  Run(seconds(4));  // Longer than lease_duration, 3 seconds.
  EXPECT_TRUE(Owners().empty());
  m_table.SetFaults({});
  Run(seconds(6));
  EXPECT_EQ(Owners().size(), 25U);
}

TEST_F(ShardLeaseTest, LostAndDelayedAnswersNeverMakeTwoOwners) {
  // Probabilities of fail_before, lose_answer and delay_apply.
  m_table.SetFaults({false, 0.1, 0.3, 0.2});
  Run(seconds(120));
  m_table.SetFaults({});
  Run(seconds(10));
  EXPECT_EQ(Owners().size(), 25U);
}

// One second is shorter than lease_duration, so only a release can free the
// shards in time.
TEST_F(ShardLeaseTest, ShardsOfAStoppedProcessAreTakenOverWithinOneSecond) {
  // Stop releases the leases only if the thread was started.
  m_managers.at("b#1")->Start();
  m_managers.at("b#1")->Stop();
  m_paused.insert("b#1");
  m_candidates.erase("b#1");
  Run(milliseconds(1000));
  EXPECT_EQ(CountOwnedBy("b#1"), 0U);
  EXPECT_EQ(Owners().size(), 25U);
}

}  // namespace
}  // namespace cassiastile::member
