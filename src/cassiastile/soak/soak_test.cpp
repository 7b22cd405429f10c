#include "cassiastile/soak/soak.hpp"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <unistd.h>

#include "cassiastile/soak/host_process.hpp"

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

TEST(FaultPlanTest, RestartsComeWhereAskedForWithChangesOfTheLeader) {
  PlanOptions options;
  options.duration = std::chrono::seconds(30);
  const auto count = [&options](FaultKind kind) {
    std::ptrdiff_t found = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      found += std::ranges::count(MakePlan(seed, options), kind, &Fault::kind);
    }
    return found;
  };
  EXPECT_EQ(count(FaultKind::kRestart), 0);
  EXPECT_EQ(count(FaultKind::kBurst), 0);
  options.restarts = true;
  EXPECT_GT(count(FaultKind::kRestart), 0);
  EXPECT_GT(count(FaultKind::kKillLeader), 0);
  EXPECT_GT(count(FaultKind::kStopLeader), 0);
  EXPECT_GT(count(FaultKind::kPauseLeader), 0);
  EXPECT_GT(count(FaultKind::kCut), 0);
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

// A host that inherited this program's sockets kept them open after they had
// been closed here: requests on them got no answer until that host ended.
TEST(HostProcessTest, InheritsNoDescriptors) {
  const std::string folder =
      testing::TempDir() + "cassia-soak-descriptors-" +
      std::to_string(testing::UnitTest::GetInstance()->random_seed());
  std::filesystem::create_directories(folder);
  const std::string program = folder + "/program";
  std::ofstream(program) << "#!/bin/sh\nexec sleep 60\n";
  std::filesystem::permissions(program, std::filesystem::perms::owner_all);
  std::array<int, 2> ends{};
  ASSERT_EQ(pipe(ends.data()), 0);
  HostProcess process;
  const auto started = process.Start(program, "settings", folder + "/output",
                                     folder + "/errors");
  ASSERT_TRUE(started.has_value()) << started.error().message;
  close(ends[1]);
  pollfd closed{.fd = ends[0], .events = POLLIN, .revents = 0};
  constexpr int kTimeoutMs = 5000;
  EXPECT_EQ(poll(&closed, 1, kTimeoutMs), 1);
  EXPECT_FALSE(process.TakeExitStatus().has_value());
  close(ends[0]);
  std::filesystem::remove_all(folder);
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

// The same with a queue that has placement advice, and jobs whose progress is
// split.
class WideSoakTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(WideSoakTest, InvariantsHold) {
  SoakOptions options;
  options.seed = GetParam();
  options.plan.duration = milliseconds(4000);
  options.advised_services = 1;
  options.wide_jobs = true;
  options.host_program = CASSIASTILE_HOST_PROGRAM;
  options.folder = testing::TempDir() + "cassia-soak-wide-" +
                   std::to_string(getpid()) + "-" +
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

INSTANTIATE_TEST_SUITE_P(Seeds, WideSoakTest, testing::Values(1, 2, 3));

// Plays a plan of the regressions with six hosts, nine workers that stay in
// their pools and little load besides the plan's.
class RestartedWorkersTest : public testing::Test {
 protected:
  void Play(const std::string& name) {
    SoakOptions options;
    options.plan.hosts = 6;
    options.plan.workers = 9;
    options.plan.duration = milliseconds(20600);
    options.jobs_per_second = 1;
    options.machines_move = false;
    options.host_program = CASSIASTILE_HOST_PROGRAM;
    options.folder = testing::TempDir() + "cassia-soak-" + name + "-" +
                     std::to_string(getpid());
    std::filesystem::create_directories(options.folder);
    std::ifstream file(CASSIASTILE_SOURCE_DIR
                       "/src/cassiastile/soak/regressions/" +
                       name + ".jsonl");
    std::ostringstream text;
    text << file.rdbuf();
    auto plan = DecodePlan(text.str());
    ASSERT_TRUE(plan.has_value()) << plan.error().message;
    ASSERT_THAT(*plan, testing::Not(IsEmpty()));
    options.faults = std::move(*plan);
    const auto result = RunSoak(options);
    ASSERT_TRUE(result.has_value()) << result.error().message;
    EXPECT_GT(result->accepted, 0U);
    EXPECT_THAT(result->violations, IsEmpty());
    if (!HasFailure()) {
      std::filesystem::remove_all(options.folder);
    }
  }
};

// A new leader began tasks elsewhere while they ran on workers that had
// restarted under their ids and held leases of before.
TEST_F(RestartedWorkersTest, LeaderKilledSoonAfterwards) {
  Play("workers-restart-then-leader-killed");
}

// The same after a leader that resigned.
TEST_F(RestartedWorkersTest, LeaderResignsSoonAfterwards) {
  Play("workers-restart-then-leader-resigns");
}

// The same where workers carry out starts for their former lives late.
TEST_F(RestartedWorkersTest, StartsCarriedOutLate) {
  Play("workers-restart-before-late-starts");
}

INSTANTIATE_TEST_SUITE_P(Seeds, SoakTest, testing::Values(1, 2, 3));

}  // namespace
}  // namespace cassiastile::soak
