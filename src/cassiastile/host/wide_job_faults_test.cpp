// Jobs whose progress is split, and queues with placement advice, under faults
// of hosts, of the store and of the advisor: nothing runs twice, and all that
// was accepted is done.
#include <cstdlib>
#include <string>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "virtual_world_bench.hpp"

namespace cassiastile::host {
namespace {

using std::chrono::milliseconds;
using testing::IsEmpty;

constexpr int kOk = 200;
constexpr milliseconds kSettled{3000};
constexpr milliseconds kTask{700};
constexpr int kRounds = 30;
constexpr milliseconds kRound{500};

class WideJobFaultsTest : public testing::TestWithParam<std::uint64_t> {
 protected:
  bool Chance(double probability) {
    return std::bernoulli_distribution(probability)(m_world.RandomSource());
  }
  std::size_t Draw(std::size_t low, std::size_t high) {
    return std::uniform_int_distribution<std::size_t>(
        low, high)(m_world.RandomSource());
  }

  void DrawFaults() {
    WorldFaults& faults = m_world.Faults();
    faults.lost_answer_chance = Chance(0.3) ? 0.2 : 0;
    faults.late_commit_chance = Chance(0.2) ? 0.1 : 0;
    faults.store_down = Chance(0.1);
    faults.advisor_silent = Chance(0.1);
    faults.advisor_refuses = Chance(0.1);
    faults.lost_advice_chance = Chance(0.3) ? 0.3 : 0;
    if (!m_killed.empty() && Chance(0.5)) {
      m_world.StartHost(m_killed.back());
      m_killed.pop_back();
    }
    const auto leader = m_world.LeaderIndex();
    if (leader && m_killed.size() < 3 && Chance(0.2)) {
      m_world.KillHost(*leader);
      m_killed.push_back(*leader);
    } else if (leader && Chance(0.1)) {
      m_world.PauseHost(*leader, milliseconds(Draw(200, 4000)));
    }
  }

  VirtualWorld m_world{
      {.seed = GetParam(), .tasks_per_worker = 4000, .advised_services = 1}};
  std::vector<std::size_t> m_killed;
};

TEST_P(WideJobFaultsTest, NothingRunsTwiceAndNothingAcceptedIsLost) {
  m_world.RunFor(kSettled);
  std::vector<std::string> jobs;
  for (int round = 0; round < kRounds; ++round) {
    DrawFaults();
    const bool is_wide = round % 10 == 3;
    const auto tasks =
        static_cast<std::uint32_t>(is_wide ? Draw(2500, 6000) : Draw(1, 20));
    jobs.push_back(m_world.Submit(Draw(0, 1), Draw(1, 2), tasks, kTask));
    m_world.RunFor(kRound);
  }
  m_world.Faults() = {};
  for (const std::size_t host : m_killed) {
    m_world.StartHost(host);
  }
  m_world.RunFor(milliseconds(60000));
  for (const std::string& job : jobs) {
    if (m_world.SubmissionStatuses().at(job) == kOk) {
      EXPECT_EQ(m_world.CountDoneTasks(job), m_world.TaskCountOf(job)) << job;
    }
  }
  EXPECT_THAT(m_world.Violations(), IsEmpty());
}

// WIDE_JOB_SEEDS sets how many seeds are played; the first ones without it.
std::vector<std::uint64_t> Seeds() {
  const char* wanted = std::getenv("WIDE_JOB_SEEDS");
  const std::uint64_t count = wanted == nullptr ? 8 : std::stoull(wanted);
  std::vector<std::uint64_t> seeds;
  for (std::uint64_t seed = 1; seed <= count; ++seed) {
    seeds.push_back(seed);
  }
  return seeds;
}

INSTANTIATE_TEST_SUITE_P(Seeds, WideJobFaultsTest, testing::ValuesIn(Seeds()));

}  // namespace
}  // namespace cassiastile::host
