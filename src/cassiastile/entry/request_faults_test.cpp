#include <gtest/gtest.h>

#include "cassiastile/standin/backend_fault_mix.hpp"

namespace cassiastile::standin {
namespace {

TEST(RequestFaultsTest, GuaranteesHoldInThousandFaultMixes) {
  constexpr std::uint64_t kSeeds = 1000;
  FaultMixTally all;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto result = RunFaultMix(seed, SimulatedPolicy::kCassiastile);
    ASSERT_EQ(result.violations, FaultMixViolations{}) << "seed " << seed;
    all.correct += result.tally.correct;
    all.not_run += result.tally.not_run;
    all.unknown += result.tally.unknown;
  }
  // The mixes reach every kind of outcome, each many times.
  constexpr std::uint64_t kMany = 10000;
  EXPECT_GT(all.correct, kMany);
  EXPECT_GT(all.not_run, kMany);
  EXPECT_GT(all.unknown, kMany);
}

}  // namespace
}  // namespace cassiastile::standin
