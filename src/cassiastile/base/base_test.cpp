#include <gtest/gtest.h>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/error.hpp"
#include "cassiastile/base/findings.hpp"
#include "cassiastile/base/hash.hpp"
#include "cassiastile/base/random.hpp"

namespace cassiastile::base {
namespace {

TEST(ClockTest, WallClockStepsDoNotChangeSteadyTime) {
  ManualClock clock;
  const TimePoint before = clock.Now();
  clock.StepWall(std::chrono::seconds(-3600));
  EXPECT_EQ(clock.Now(), before);
}

TEST(ClockTest, FormatsMilliseconds) {
  EXPECT_EQ(FormatWallTime(WallTime(std::chrono::milliseconds(1500))),
            "1970-01-01T00:00:01.500Z");
}

TEST(HashTest, MatchesPublishedVector) {
  // The digest of "abc" given in FIPS 180-4.
  EXPECT_EQ(Sha256Hex("abc"),
            "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST(HashTest, ComparesWholeText) {
  EXPECT_TRUE(ConstantTimeEqual("same", "same"));
  EXPECT_FALSE(ConstantTimeEqual("same", "sama"));
  EXPECT_FALSE(ConstantTimeEqual("same", "sam"));
}

TEST(RandomTest, SeedRepeatsIds) {
  Random first(7);
  Random second(7);
  EXPECT_EQ(MakeId(first), MakeId(second));
  EXPECT_NE(MakeId(first), MakeId(first));
}

TEST(FindingsTest, AreReportedInOrderOfPosition) {
  Findings findings{{{"f", 9, 1}, "b", "late"}, {{"f", 2, 5}, "a", "early"}};
  EXPECT_EQ(FormatFindings(findings),
            "f:2:5: error: a: early\nf:9:1: error: b: late\n");
}

TEST(ErrorTest, NamesTheCodeOfAnUnknownOutcome) {
  EXPECT_EQ(NameOf(ErrorCode::kUnknown), "unknown");
}

}  // namespace
}  // namespace cassiastile::base
