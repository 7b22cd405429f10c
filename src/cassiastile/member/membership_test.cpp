#include "cassiastile/member/membership.hpp"

#include <algorithm>

#include <gtest/gtest.h>

#include "cassiastile/member/virtual_fleet.hpp"

namespace cassiastile::member {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr NetworkFaults kBadNetwork{0.1, 0.05, milliseconds(1),
                                    milliseconds(40)};
constexpr std::uint64_t kSeed = 11;

class FleetTest : public ::testing::Test {
 protected:
  // Starts a fleet of 14 members, two on each of 7 hosts, that know each other
  // and have version 1 in force.
  void SetUp() override {
    AddFleet(m_network, {});
    CommitVersion(m_network, 1);
    m_network.Run(seconds(20));
  }

  std::size_t CountFresh() {
    const std::vector<std::string> names = m_network.Names();
    return static_cast<std::size_t>(std::count_if(
        names.begin(), names.end(), [this](const std::string& name) {
          return m_network.At(name).IsFresh(m_network.Now());
        }));
  }

  MemberState StateSeenBy(const std::string& observer, const std::string& of) {
    for (const MemberView& view :
         m_network.At(observer).Members(m_network.Now())) {
      if (view.record.name == of) {
        return view.state;
      }
    }
    return MemberState::kDead;
  }

  // Starts a prepare at a member; returns whether a majority promised.
  bool PrepareAt(const std::string& name, std::uint64_t version) {
    m_network.At(name).Prepare(version, kPromiseId);
    m_network.RunUntil(seconds(2),
                       [&] { return m_network.At(name).IsPrepared(); });
    return m_network.At(name).IsPrepared();
  }

  // Partitions members from all others and from the table.
  void CutOff(const std::vector<std::string>& names) {
    std::map<std::string, int> groups;
    for (const std::string& name : names) {
      groups[name] = 1;
      m_network.Store().cut_off.insert(name);
    }
    m_network.Partition(groups);
  }

  static constexpr std::uint64_t kPromiseId = 77;
  VirtualNetwork m_network{kSeed, kBadNetwork};
};

TEST_F(FleetTest, AllJoinAndAreFreshOnABadNetwork) {
  EXPECT_TRUE(IsInForceEverywhere(m_network, 1));
  EXPECT_EQ(CountFresh(), 14U);
  for (const std::string& name : m_network.Names()) {
    EXPECT_EQ(m_network.At(name).Members(m_network.Now()).size(), 14U);
  }
}

TEST_F(FleetTest, AcceptedVersionIsInForceEverywhereWithinThreeSeconds) {
  for (std::uint64_t version = 2; version < 12; ++version) {
    CommitVersion(m_network, version);
    m_network.Run(seconds(3));
    EXPECT_TRUE(IsInForceEverywhere(m_network, version));
  }
}

// A host that isn't fresh refuses requests that need a key, so an edit must not
// make any member stale even for a moment.
TEST_F(FleetTest, EditLeavesEveryMemberFresh) {
  std::size_t fewest = CountFresh();
  for (std::uint64_t version = 2; version < 12; ++version) {
    Membership& committer = m_network.At("h00-1");
    committer.Prepare(version, version);
    m_network.RunUntil(seconds(2), [&] { return committer.IsPrepared(); });
    CommitVersion(m_network, version);
    committer.ObserveHead(m_network.Store().head, m_network.Now());
    committer.BroadcastHead();
    m_network.RunUntil(seconds(3), [&] {
      fewest = std::min(fewest, CountFresh());
      return false;
    });
    EXPECT_TRUE(IsInForceEverywhere(m_network, version));
  }
  EXPECT_EQ(fewest, 14U);
}

TEST_F(FleetTest, NewVersionSpreadsByPeersIfOnlyOneReachesTheTable) {
  for (const std::string& name : m_network.Names()) {
    m_network.Store().cut_off.insert(name);
  }
  m_network.Store().cut_off.erase("h00-1");
  CommitVersion(m_network, 2);
  m_network.Run(seconds(4));
  EXPECT_TRUE(IsInForceEverywhere(m_network, 2));
  EXPECT_EQ(CountFresh(), 14U);
}

TEST_F(FleetTest, StaysFreshThroughATableOutage) {
  m_network.Store().down = true;
  for (int i = 0; i < 60; ++i) {
    m_network.Run(seconds(1));
    EXPECT_EQ(CountFresh(), 14U) << "second " << i;
  }
}

TEST_F(FleetTest, MinorityWithoutTheTableStopsWithinFreshness) {
  CutOff({"h00-0", "h00-1", "h01-0", "h01-1", "h02-0", "h02-1"});
  m_network.Run(milliseconds(2100));  // Longer than `freshness`, 2 seconds.
  EXPECT_EQ(CountFresh(), 8U);
}

// Guards against a majority that keeps acting on an old version because it
// can't learn of the commit of the version that it promised.
TEST_F(FleetTest, PreparedVersionStopsAMajorityThatMissesTheCommit) {
  ASSERT_TRUE(PrepareAt("h06-1", 2));
  // Only the proposer reaches the table; it commits and is never heard again.
  std::vector<std::string> others = m_network.Names();
  std::erase(others, "h06-1");
  CutOff(others);
  CommitVersion(m_network, 2);
  m_network.Run(milliseconds(2100));  // Longer than `freshness`, 2 seconds.
  for (const std::string& name : others) {
    EXPECT_FALSE(m_network.At(name).IsFresh(m_network.Now())) << name;
  }
}

TEST_F(FleetTest, AbortedPrepareLeavesTheMajorityFresh) {
  ASSERT_TRUE(PrepareAt("h06-1", 2));
  m_network.At("h06-1").AbortPrepare(m_network.Now());
  m_network.Run(seconds(1));
  m_network.Store().down = true;
  m_network.Run(seconds(10));
  EXPECT_GE(CountFresh(), 13U);
}

TEST_F(FleetTest, MinorityCannotPrepare) {
  CutOff({"h00-0", "h00-1", "h01-0", "h01-1", "h02-0", "h02-1"});
  m_network.Run(seconds(1));
  EXPECT_FALSE(PrepareAt("h00-1", 2));
}

TEST_F(FleetTest, RestartWithoutStateInATableOutageLearnsFromPeers) {
  m_network.Store().down = true;
  m_network.Run(seconds(5));
  m_network.Restart("h03-0");
  EXPECT_FALSE(m_network.At("h03-0").IsFresh(m_network.Now()) &&
               m_network.At("h03-0").InForce() > 0);
  m_network.Run(seconds(5));
  EXPECT_EQ(m_network.At("h03-0").InForce(), 1U);
  EXPECT_TRUE(m_network.At("h03-0").IsFresh(m_network.Now()));
}

// A restarted member has lost its promises. If it voted for the old head at
// once, a majority could act on that head after the promised version was
// committed.
TEST_F(FleetTest, RestartedMemberDoesNotVoteAtOnce) {
  ASSERT_TRUE(PrepareAt("h06-1", 2));
  // All members that promised lose their promises, and then the table.
  std::vector<std::string> others = m_network.Names();
  std::erase(others, "h06-1");
  for (const std::string& name : others) {
    m_network.Restart(name);
  }
  m_network.Run(seconds(1));
  CutOff(others);
  CommitVersion(m_network, 2);
  // A confirmation from before the cut is valid for `freshness`, 2 seconds.
  for (int i = 0; i < 30; ++i) {
    m_network.Run(seconds(1));
    for (const std::string& name : others) {
      EXPECT_FALSE(i >= 2 && m_network.At(name).IsFresh(m_network.Now()))
          << name << " after second " << i;
    }
  }
}

TEST_F(FleetTest, OlderVersionNeverReplacesANewerOne) {
  CommitVersion(m_network, 2);
  m_network.Run(seconds(3));
  CommitVersion(m_network, 1);  // The table was restored to an older state.
  m_network.Run(seconds(5));
  for (const std::string& name : m_network.Names()) {
    EXPECT_EQ(m_network.At(name).InForce(), 2U);
    EXPECT_EQ(m_network.At(name).KnownHead().version, 2U);
  }
}

// A member is suspected after 3 seconds of silence and dead after 8.
TEST_F(FleetTest, SilentMemberIsSuspectedBeforeItIsDead) {
  m_network.Pause("h05-0");
  m_network.Run(milliseconds(5500));
  EXPECT_EQ(StateSeenBy("h00-0", "h05-0"), MemberState::kSuspect);
  m_network.Run(seconds(6));
  EXPECT_EQ(StateSeenBy("h00-0", "h05-0"), MemberState::kDead);
  EXPECT_EQ(StateSeenBy("h00-0", "h04-0"), MemberState::kAlive);
  m_network.Resume("h05-0");
  m_network.Run(seconds(10));
  EXPECT_EQ(StateSeenBy("h00-0", "h05-0"), MemberState::kAlive);
}

// While h00-1 is paused, h01-1 is the first live control process; h01-0 is an
// entry process. A member is removed after 10 minutes of silence.
TEST_F(FleetTest, FirstLiveControlProcessRemovesOneLongDeadMemberAMinute) {
  m_network.Pause("h00-1");
  m_network.Pause("h05-0");
  m_network.Pause("h05-1");
  m_network.Run(std::chrono::minutes(9));
  EXPECT_FALSE(m_network.At("h01-1").NextRemoval(m_network.Now()));
  m_network.Run(std::chrono::minutes(2));
  EXPECT_FALSE(m_network.At("h01-0").NextRemoval(m_network.Now()));
  EXPECT_FALSE(m_network.At("h02-1").NextRemoval(m_network.Now()));
  EXPECT_TRUE(m_network.At("h01-1").NextRemoval(m_network.Now()));
  EXPECT_FALSE(m_network.At("h01-1").NextRemoval(m_network.Now()));
}

TEST_F(FleetTest, OldIncarnationStopsWhenSuperseded) {
  // A process is paused, replaced by another under the same name, and resumed.
  const std::vector<MemberRecord> records = m_network.Records();
  const auto old = std::find_if(
      records.begin(), records.end(),
      [](const MemberRecord& record) { return record.name == "h02-0"; });
  MembershipOptions options;
  options.self = *old;
  options.secret = "virtual fleet";
  options.seeds = {"10.0.0.1:7400"};
  Membership paused(options, m_network.Now());
  m_network.Restart("h02-0");
  m_network.Run(seconds(5));
  base::Random random(kSeed);
  const auto actions = paused.Tick(m_network.Now(), random);
  ASSERT_FALSE(actions.datagrams.empty());
  const auto answers = m_network.At("h00-0").Receive(actions.datagrams[0].bytes,
                                                     options.self.address,
                                                     m_network.Now(), random);
  ASSERT_EQ(answers.size(), 1U);
  static_cast<void>(paused.Receive(answers[0].bytes, "10.0.0.1:7400",
                                   m_network.Now(), random));
  EXPECT_TRUE(paused.IsSuperseded());
  EXPECT_FALSE(paused.IsFresh(m_network.Now()));
  EXPECT_TRUE(paused.Tick(m_network.Now(), random).datagrams.empty());
}

TEST_F(FleetTest, ReplayedDatagramsAreCountedAndChangeNothing) {
  const auto before = m_network.At("h00-0").Faults();
  std::uint64_t injected = 0;
  for (const Datagram& datagram : m_network.Captured()) {
    if (datagram.to == "10.0.0.1:7400") {
      m_network.Inject("h00-0", datagram.bytes);
      ++injected;
    }
  }
  ASSERT_GT(injected, 0U);
  const auto index = static_cast<std::size_t>(PacketFault::kReplayed);
  EXPECT_EQ(m_network.At("h00-0").Faults().at(index) - before.at(index),
            injected);
}

TEST_F(FleetTest, WrongSeedsLeaveTheMemberFresh) {
  m_network.At("h00-0").SetSeeds({"10.9.9.9:1", "nonsense", ""});
  m_network.Run(seconds(5));
  EXPECT_TRUE(m_network.At("h00-0").IsFresh(m_network.Now()));
}

TEST(FullSizeTest, StaysFreshThroughATableOutageOnABadNetwork) {
  VirtualNetwork network(kSeed, {0.1, 0.02, milliseconds(1), milliseconds(30)});
  AddFleet(network, {54, 18, 2});
  CommitVersion(network, 1);
  network.Run(seconds(15));
  network.Store().down = true;
  for (int i = 0; i < 10; ++i) {
    network.Run(seconds(1));
    for (const std::string& name : network.Names()) {
      EXPECT_TRUE(network.At(name).IsFresh(network.Now())) << name;
    }
  }
}

TEST(FullSizeTest, SendsAndReceivesLessThanTheBudget) {
  constexpr std::uint64_t kSeconds = 10;
  constexpr std::uint64_t kHosts = 54;
  constexpr std::uint64_t kBudget = 11000;  // Bytes per second and host.
  VirtualNetwork network(kSeed, {});
  AddFleet(network, {kHosts, 18, 2});
  CommitVersion(network, 1);
  network.Run(seconds(10));
  const auto sent = [&] {
    std::uint64_t bytes = 0;
    for (const std::string& name : network.Names()) {
      bytes += network.BytesSent(name);
    }
    return bytes;
  };
  const std::uint64_t before = sent();
  network.Run(seconds(kSeconds));
  // The hosts receive as many bytes as they send, so sent bytes count twice.
  EXPECT_LT(2 * (sent() - before) / kSeconds / kHosts, kBudget);
}

}  // namespace
}  // namespace cassiastile::member
