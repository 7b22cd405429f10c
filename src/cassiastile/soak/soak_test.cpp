#include "cassiastile/soak/soak.hpp"

#include <filesystem>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cassiastile::soak {
namespace {

using std::chrono::milliseconds;
using testing::IsEmpty;

TEST(FaultPlanTest, SameSeedMakesTheSamePlan) {
  EXPECT_EQ(MakePlan(7, {}), MakePlan(7, {}));
  EXPECT_NE(MakePlan(7, {}), MakePlan(8, {}));
}

TEST(FaultPlanTest, PlansRoundTrip) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    const FaultPlan plan = MakePlan(seed, {});
    const auto read = DecodePlan("# a comment\n" + EncodePlan(plan));
    ASSERT_TRUE(read.has_value()) << read.error().message;
    EXPECT_EQ(*read, plan);
  }
}

TEST(FaultPlanTest, ErrorNamesTheInvalidLine) {
  const auto read = DecodePlan(
      "{\"at_ms\":1,\"fault\":\"kill\",\"place\":\"host\"}\n"
      "{\"at_ms\":1,\"fault\":\"flood\",\"place\":\"host\"}\n");
  ASSERT_FALSE(read.has_value());
  EXPECT_THAT(read.error().message, testing::HasSubstr("line 2"));
}

// A process that ends by itself is a finding, with how it ended and what it
// said last.
TEST(HostProcessTest, EndThatNobodyCausedIsReported) {
  SoakOptions options;
  options.plan.hosts = 1;
  options.plan.workers = 2;
  options.plan.duration = milliseconds(300);
  options.settle_timeout = milliseconds(100);
  options.folder =
      testing::TempDir() + "cassia-soak-end-" +
      std::to_string(testing::UnitTest::GetInstance()->random_seed());
  std::filesystem::create_directories(options.folder);
  // Refuses its arguments.
  options.host_program = "/bin/ls";
  const auto result = RunSoak(options);
  ASSERT_TRUE(result.has_value()) << result.error().message;
  EXPECT_THAT(result->violations,
              testing::Contains(testing::AllOf(
                  testing::HasSubstr("host-0 ended by itself, exit status 2"),
                  testing::HasSubstr("--settings"))));
  std::filesystem::remove_all(options.folder);
}

class SoakTest : public testing::TestWithParam<std::uint64_t> {};

// A short run of real processes; cassia-soak makes longer ones.
TEST_P(SoakTest, InvariantsHold) {
  SoakOptions options;
  options.seed = GetParam();
  options.plan.duration = milliseconds(4000);
  options.host_program = CASSIASTILE_HOST_PROGRAM;
  options.folder =
      testing::TempDir() + "cassia-soak-" +
      std::to_string(testing::UnitTest::GetInstance()->random_seed()) + "-" +
      std::to_string(options.seed);
  std::filesystem::create_directories(options.folder);
  const auto result = RunSoak(options);
  ASSERT_TRUE(result.has_value()) << result.error().message;
  EXPECT_GT(result->accepted, 0U);
  EXPECT_THAT(result->violations, IsEmpty());
  if (!HasFailure()) {
    std::filesystem::remove_all(options.folder);
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, SoakTest, testing::Values(1, 2, 3));

}  // namespace
}  // namespace cassiastile::soak
