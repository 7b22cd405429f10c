// The order in which rows are committed while more of them change than fit into
// one commit.
#include <algorithm>
#include <string>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "cassiastile/jobs/scheduler.hpp"
#include "scheduler_bench.hpp"

namespace cassiastile::jobs {
namespace {

constexpr std::size_t kMaxRows = 80;
constexpr int kRounds = 20;

class CommitOrderTest : public testing::Test {
 protected:
  void SetUp() override { m_bench.AddWorker("a"); }

  // Submits as many jobs as one commit has rows, twice as many as it can store.
  void SubmitMany() {
    for (std::size_t i = 0; i < kMaxRows; ++i) {
      m_bench.Submit("job " + std::to_string(m_submitted++),
                     SchedulerBench::OneTask());
    }
  }

  Batch CommitOnce() {
    Scheduler& scheduler = m_bench.GetScheduler();
    Batch batch = scheduler.TakeBatch(kMaxRows, m_bench.Now());
    scheduler.Confirm(batch, m_bench.Now());
    return batch;
  }

  SchedulerBench m_bench;
  int m_submitted = 0;
};

TEST_F(CommitOrderTest, NoJobWaitsBehindLaterOnes) {
  std::vector<std::string> accepted;
  for (int round = 0; round < kRounds; ++round) {
    SubmitMany();
    const Batch batch = CommitOnce();
    accepted.insert(accepted.end(), batch.accepted.begin(),
                    batch.accepted.end());
  }
  ASSERT_FALSE(accepted.empty());
  for (std::size_t i = 0; i < accepted.size(); ++i) {
    EXPECT_EQ(accepted[i], "job " + std::to_string(i));
  }
}

TEST_F(CommitOrderTest, EndsAreAcknowledgedHoweverManyCallersThereAre) {
  JobSpec two = SchedulerBench::OneTask();
  two.steps.front().count = 2;
  m_bench.Submit("first", two);
  const auto started = m_bench.StepAndStart();
  ASSERT_EQ(started.size(), 2U);
  m_bench.End(started.front(), RunEnd::kDone, 1);
  int rounds = 0;
  while (m_bench.GetScheduler().FindWorker("a")->acked_end == 0 &&
         rounds < kRounds) {
    SubmitMany();
    CommitOnce();
    ++rounds;
  }
  EXPECT_LT(rounds, 3);
}

TEST_F(CommitOrderTest, EndIsNotAcknowledgedBeforeItIsStored) {
  JobSpec two = SchedulerBench::OneTask();
  two.steps.front().count = 2;
  m_bench.Submit("first", two);
  const auto started = m_bench.StepAndStart();
  ASSERT_EQ(started.size(), 2U);
  SubmitMany();
  m_bench.End(started.front(), RunEnd::kDone, 1);
  bool stored = false;
  for (int round = 0; round < kRounds && !stored; ++round) {
    Scheduler& scheduler = m_bench.GetScheduler();
    const Batch batch = scheduler.TakeBatch(kMaxRows, m_bench.Now());
    EXPECT_EQ(scheduler.FindWorker("a")->acked_end, 0U);
    scheduler.Confirm(batch, m_bench.Now());
    stored = std::ranges::any_of(
        batch.rows, [](const JobRow& row) { return row.job == "first"; });
    SubmitMany();
  }
  EXPECT_TRUE(stored);
}

}  // namespace
}  // namespace cassiastile::jobs
