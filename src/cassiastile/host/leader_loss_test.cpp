#include "cassiastile/host/leader_loss.hpp"

#include <gtest/gtest.h>

namespace cassiastile::host {
namespace {

using std::chrono::milliseconds;

// A leader that was last heard 1 s ago, whose record was read 0.9 s ago.
LeaderSigns Silent(std::vector<base::Duration> peer_silences) {
  return {milliseconds(900), milliseconds(1000), std::move(peer_silences)};
}

// Guards against callers that wait for 1.8 s although all hosts know that the
// leader is gone.
TEST(LeaderLossTest, LeaderThatNoPeerHearsIsReplacedSoon) {
  EXPECT_TRUE(IsLeaderLost(
      Silent({milliseconds(700), milliseconds(900), milliseconds(650)})));
}

// Guards against takeovers by a host that is itself cut off.
TEST(LeaderLossTest, LeaderThatPeersHearStays) {
  EXPECT_FALSE(IsLeaderLost(
      Silent({milliseconds(200), milliseconds(900), milliseconds(100)})));
}

TEST(LeaderLossTest, TooFewPeersConfirmNothing) {
  EXPECT_FALSE(IsLeaderLost(Silent({})));
  EXPECT_FALSE(IsLeaderLost(Silent({milliseconds(900), milliseconds(900)})));
}

// Guards against the replacement of a leader that answers no gossip, since it
// is busy, and still commits.
TEST(LeaderLossTest, LeaderThatWritesStays) {
  LeaderSigns signs =
      Silent({milliseconds(900), milliseconds(900), milliseconds(900)});
  signs.record_unchanged = milliseconds(600);
  EXPECT_FALSE(IsLeaderLost(signs));
}

TEST(LeaderLossTest, UnchangedRecordSufficesAfterItsTime) {
  EXPECT_FALSE(IsLeaderLost({milliseconds(1800), milliseconds(100), {}}));
  EXPECT_TRUE(IsLeaderLost({milliseconds(1801), milliseconds(100), {}}));
}

}  // namespace
}  // namespace cassiastile::host
