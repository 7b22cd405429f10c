// Queues with placement advice under more load than the advisor handles: work
// goes on at the rate at which it can advise, and all that was accepted is
// done.
#include <algorithm>
#include <ostream>
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
constexpr int kTooManyRequests = 429;
constexpr milliseconds kSettled{3000};
constexpr milliseconds kTask{300};
constexpr milliseconds kUsual{250};
constexpr milliseconds kInBurst{90};

struct Load {
  const char* name = "";
  milliseconds decision{100};
  milliseconds period{5};
  milliseconds burst{4000};
  std::size_t steps = 1;
  bool kills_leader = false;

  friend std::ostream& operator<<(std::ostream& out, const Load& load) {
    return out << load.name;
  }
};

WorldOptions OptionsFor(const Load& load) {
  WorldOptions options;
  options.seed = 8;
  options.services = 3;
  options.workers_per_service = 12;
  options.advised_services = 2;
  options.advice = {load.decision, load.period, milliseconds(3000)};
  return options;
}

class AdvisedLoadTest : public testing::TestWithParam<Load> {
 protected:
  void SetUp() override { m_world.RunFor(kSettled); }

  // Submits a job to a queue at each interval.
  void SubmitFor(milliseconds time, milliseconds interval, std::size_t queue) {
    for (milliseconds at{0}; at < time; at += interval) {
      m_submitted.push_back(m_world.Submit(queue, GetParam().steps, 4, kTask));
      m_world.RunFor(interval);
    }
  }

  std::size_t CountAccepted() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(m_submitted, [this](const std::string& job) {
          return m_world.SubmissionStatuses().at(job) == kOk;
        }));
  }

  // All that was accepted is done, and no more was asked of the advisor than it
  // handles.
  void ExpectAcceptedIsDone() {
    for (const std::string& job : m_submitted) {
      if (m_world.SubmissionStatuses().at(job) == kOk) {
        EXPECT_EQ(m_world.CountDoneTasks(job), m_world.TaskCountOf(job));
      }
    }
    EXPECT_EQ(m_world.Advisor().TurnedAway(), 0U);
    EXPECT_LE(m_world.Advisor().MostOfAHost(), 2U);
    EXPECT_THAT(m_world.Violations(), IsEmpty());
  }

  VirtualWorld m_world{OptionsFor(GetParam())};
  std::vector<std::string> m_submitted;
};

TEST_P(AdvisedLoadTest, WorkGoesOnAfterABurst) {
  SubmitFor(milliseconds(3000), kUsual, 0);
  SubmitFor(GetParam().burst, kInBurst, 0);
  if (GetParam().kills_leader) {
    const auto leader = m_world.LeaderIndex();
    ASSERT_TRUE(leader.has_value());
    m_world.KillHost(*leader);
    m_world.RunFor(kSettled);
    m_world.StartHost(*leader);
  }
  m_submitted.clear();
  m_world.RunFor(milliseconds(15000));
  // As much as before the burst is served again.
  SubmitFor(milliseconds(6000), 2 * kUsual, 0);
  m_world.RunFor(milliseconds(20000));
  EXPECT_GE(CountAccepted(), m_submitted.size() / 2);
  ExpectAcceptedIsDone();
}

TEST_P(AdvisedLoadTest, AllAcceptedWorkOfTheBurstIsDone) {
  SubmitFor(GetParam().burst, kInBurst, 0);
  if (GetParam().kills_leader) {
    const auto leader = m_world.LeaderIndex();
    ASSERT_TRUE(leader.has_value());
    m_world.KillHost(*leader);
  }
  m_world.RunFor(milliseconds(60000));
  EXPECT_GT(CountAccepted(), 0U);
  ExpectAcceptedIsDone();
}

// What can't be advised before its objective is refused at once; queues without
// advice are not touched.
TEST_P(AdvisedLoadTest, WhatCannotBeAdvisedInTimeIsRefused) {
  constexpr std::size_t kPlainQueue = 2;
  constexpr milliseconds kFarTooMany{20};
  std::vector<std::string> plain;
  for (milliseconds at{0}; at < milliseconds(8000); at += kFarTooMany) {
    m_submitted.push_back(m_world.Submit(0, GetParam().steps, 1, kTask));
    if (at.count() % 500 == 0) {
      plain.push_back(m_world.Submit(kPlainQueue, 1, 1, kTask));
    }
    m_world.RunFor(kFarTooMany);
  }
  m_world.RunFor(milliseconds(1000));
  const auto refused =
      std::ranges::count_if(m_submitted, [this](const std::string& job) {
        return m_world.SubmissionStatuses().at(job) == kTooManyRequests;
      });
  EXPECT_GT(refused, static_cast<std::ptrdiff_t>(m_submitted.size() / 2));
  for (const std::string& job : plain) {
    EXPECT_EQ(m_world.SubmissionStatuses().at(job), kOk);
    EXPECT_EQ(m_world.CountDoneTasks(job), 1U);
  }
  m_world.RunFor(milliseconds(30000));
  ExpectAcceptedIsDone();
}

INSTANTIATE_TEST_SUITE_P(
    Loads,
    AdvisedLoadTest,
    testing::Values(Load{.name = "Review8"},
                    Load{.name = "SlowDecisions",
                         .decision = milliseconds(400)},
                    Load{.name = "LongPeriods", .period = milliseconds(30)},
                    Load{.name = "LongBurst", .burst = milliseconds(8000)},
                    Load{.name = "TwoSteps", .steps = 2},
                    Load{.name = "KilledLeader", .kills_leader = true}),
    [](const auto& load) { return load.param.name; });

class AdvisorOutageTest : public testing::Test {
 protected:
  void SetUp() override { m_world.RunFor(kSettled); }

  // Submits the usual load for 10 s.
  void SubmitUsual() {
    for (milliseconds at{0}; at < milliseconds(10000); at += kUsual) {
      m_submitted.push_back(m_world.Submit(0, 1, 4, kTask));
      m_world.RunFor(kUsual);
    }
  }

  // Some seconds after the outage work goes on, and in the end all is done.
  void ExpectRecovery() {
    m_world.RunFor(milliseconds(4000));
    const std::string next = m_world.Submit(0, 1, 1, kTask);
    m_world.RunFor(milliseconds(5000));
    if (m_world.SubmissionStatuses().at(next) == kOk) {
      EXPECT_EQ(m_world.CountDoneTasks(next), 1U);
    }
    m_world.RunFor(milliseconds(40000));
    for (const std::string& job : m_submitted) {
      if (m_world.SubmissionStatuses().at(job) == kOk) {
        EXPECT_EQ(m_world.CountDoneTasks(job), m_world.TaskCountOf(job));
      }
    }
    EXPECT_THAT(m_world.Violations(), IsEmpty());
  }

  VirtualWorld m_world{OptionsFor({})};
  std::vector<std::string> m_submitted;
};

TEST_F(AdvisorOutageTest, SilentForTenSeconds) {
  m_world.Faults().advisor_silent = true;
  SubmitUsual();
  m_world.Faults().advisor_silent = false;
  ExpectRecovery();
}

TEST_F(AdvisorOutageTest, TurnsAllAwayForTenSeconds) {
  m_world.Faults().advisor_refuses = true;
  SubmitUsual();
  m_world.Faults().advisor_refuses = false;
  ExpectRecovery();
}

TEST_F(AdvisorOutageTest, LosesEverySecondAnswer) {
  m_world.Faults().lost_advice_chance = 0.5;
  SubmitUsual();
  m_world.Faults().lost_advice_chance = 0;
  ExpectRecovery();
}

// Tickets expire while starts are on their way.
TEST_F(AdvisorOutageTest, StartsThatTakeLongerThanTheirTickets) {
  m_world.Faults().commit_delay = milliseconds(2900);
  SubmitUsual();
  m_world.Faults().commit_delay = {};
  ExpectRecovery();
}

// A queue that is overrun leaves the others their turn.
TEST_F(AdvisorOutageTest, OverrunQueueDelaysNoOther) {
  std::vector<std::string> others;
  for (milliseconds at{0}; at < milliseconds(10000); at += kInBurst) {
    m_submitted.push_back(m_world.Submit(0, 1, 4, kTask));
    if (at.count() % 900 == 0) {
      others.push_back(m_world.Submit(1, 1, 1, kTask));
    }
    m_world.RunFor(kInBurst);
  }
  m_world.RunFor(milliseconds(2000));
  for (const std::string& job : others) {
    EXPECT_EQ(m_world.SubmissionStatuses().at(job), kOk);
    EXPECT_EQ(m_world.CountDoneTasks(job), 1U);
  }
  ExpectRecovery();
}

}  // namespace
}  // namespace cassiastile::host
