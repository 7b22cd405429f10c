// Jobs that are too large for a row or a transaction of the table, or for the
// leader's memory.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "virtual_world_bench.hpp"

namespace cassiastile::host {
namespace {

using std::chrono::milliseconds;
using testing::IsEmpty;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr milliseconds kSettled{3000};
constexpr milliseconds kUntilAnswered{1600};

class LargeJobTest : public testing::Test {
 protected:
  void SetUp() override {
    m_world.RunFor(kSettled);
    ASSERT_TRUE(m_world.LeaderIndex().has_value());
  }

  std::shared_ptr<const CallerRequest> Submit(const std::string& job) {
    return m_world.Send(*m_world.LeaderIndex(), "POST", job);
  }

  void ExpectOrdinaryJobIsDone() {
    const std::string job = m_world.MakeJob(0, 1, 1, milliseconds(100));
    const auto submitted = Submit(job);
    m_world.RunFor(kUntilAnswered);
    EXPECT_EQ(submitted->status, kOk);
    EXPECT_EQ(m_world.StateOf(job), "done");
    EXPECT_THAT(m_world.Violations(), IsEmpty());
  }

  VirtualWorld m_world;
};

TEST_F(LargeJobTest, JobLargerThanARowStopsNoOtherCommit) {
  const auto large = Submit(m_world.MakeLargeJob(0, 70000));
  m_world.RunFor(kUntilAnswered);
  EXPECT_EQ(large->status, kBadRequest);
  ExpectOrdinaryJobIsDone();
}

TEST_F(LargeJobTest, LargeJobsTogetherAreNoTooLargeTransaction) {
  constexpr std::size_t kJobs = 40;
  constexpr std::size_t kPayloadBytes = 50000;
  std::vector<std::shared_ptr<const CallerRequest>> large;
  large.reserve(kJobs);
  for (std::size_t i = 0; i < kJobs; ++i) {
    large.push_back(Submit(m_world.MakeLargeJob(0, kPayloadBytes)));
  }
  m_world.RunFor(kUntilAnswered);
  EXPECT_EQ(large.front()->status, kOk);
  ExpectOrdinaryJobIsDone();
}

TEST_F(LargeJobTest, JobWithMoreTasksThanALeaderKeepsIsRefused) {
  const auto large = Submit(m_world.MakeJob(0, 100, 1000, milliseconds(100)));
  m_world.RunFor(kUntilAnswered);
  EXPECT_EQ(large->status, kBadRequest);
  ExpectOrdinaryJobIsDone();
}

// All tasks of a step run at once: their rows must not outgrow what the table
// takes, whatever becomes of the leader meanwhile.
class WideJobTest : public testing::TestWithParam<std::uint32_t> {
 protected:
  static constexpr milliseconds kTask{4000};

  void SetUp() override {
    m_world.RunFor(kSettled);
    ASSERT_TRUE(m_world.LeaderIndex().has_value());
  }

  void ExpectAllDone(const std::string& wide) {
    const std::string job = m_world.MakeJob(0, 1, 1, milliseconds(100));
    const auto submitted = m_world.Send(*m_world.LeaderIndex(), "POST", job);
    m_world.RunFor(kUntilAnswered);
    EXPECT_EQ(submitted->status, kOk);
    EXPECT_EQ(m_world.StateOf(job), "done");
    m_world.RunFor(milliseconds(60000));
    EXPECT_EQ(m_world.StateOf(wide), "done");
    EXPECT_EQ(m_world.CountDoneTasks(wide), m_world.TaskCountOf(wide));
    EXPECT_THAT(m_world.Violations(), IsEmpty());
  }

  VirtualWorld m_world{{.seed = 66, .tasks_per_worker = 6000}};
};

TEST_P(WideJobTest, AllTasksRunAndOtherJobsGoOn) {
  const std::string wide = m_world.Submit(0, 1, GetParam(), kTask);
  m_world.RunFor(kUntilAnswered);
  EXPECT_EQ(m_world.SubmissionStatuses().at(wide), kOk);
  ExpectAllDone(wide);
}

TEST_P(WideJobTest, LeadersAreKilledWhileItsTasksStart) {
  const std::string wide = m_world.Submit(0, 1, GetParam(), kTask);
  constexpr int kKills = 3;
  for (int i = 0; i < kKills; ++i) {
    m_world.RunFor(milliseconds(1000 + 40 * i));
    const auto leader = m_world.LeaderIndex();
    if (leader) {
      m_world.KillHost(*leader);
      m_world.RunFor(milliseconds(4000));
      m_world.StartHost(*leader);
    }
  }
  m_world.RunFor(kSettled);
  ExpectAllDone(wide);
}

// The store takes less than it is expected to: what it refuses is set aside,
// and everything else goes on.
class RefusedRowTest : public LargeJobTest {
 protected:
  static constexpr std::size_t kRowBytes = 400;
  static constexpr milliseconds kTask{3000};
  static constexpr std::size_t kOthers = 20;

  void SetUp() override {
    LargeJobTest::SetUp();
    m_world.Faults().max_job_row_bytes = kRowBytes;
  }

  std::vector<std::string> SubmitOthers() {
    std::vector<std::string> others;
    for (std::size_t i = 0; i < kOthers; ++i) {
      others.push_back(m_world.Submit(1, 1, 1, milliseconds(100)));
    }
    return others;
  }

  void ExpectAllAreDone(const std::vector<std::string>& jobs) {
    for (const std::string& job : jobs) {
      EXPECT_EQ(m_world.SubmissionStatuses().at(job), kOk);
      EXPECT_EQ(m_world.StateOf(job), "done");
    }
    EXPECT_THAT(m_world.Violations(), IsEmpty());
  }
};

TEST_F(RefusedRowTest, ARefusedRecordRefusesItsJobAlone) {
  const auto large = Submit(m_world.MakeLargeJob(0, 2 * kRowBytes));
  const auto others = SubmitOthers();
  m_world.RunFor(kUntilAnswered);
  EXPECT_EQ(large->status, kBadRequest);
  EXPECT_EQ(m_world.StateOf(large->job), "410");
  ExpectAllAreDone(others);
}

TEST_F(RefusedRowTest, ARefusedProgressFailsItsJobAlone) {
  const std::string wide = m_world.Submit(0, 1, 60, kTask);
  const auto others = SubmitOthers();
  m_world.RunFor(kUntilAnswered);
  const int status = m_world.SubmissionStatuses().at(wide);
  const std::string state = m_world.StateOf(wide);
  EXPECT_TRUE((status == kOk && state == "failed") ||
              (status == kBadRequest && state == "410"))
      << status << " " << state;
  ExpectAllAreDone(others);
}

INSTANTIATE_TEST_SUITE_P(Tasks,
                         WideJobTest,
                         testing::Values(2000U, 6000U, 10000U));

}  // namespace
}  // namespace cassiastile::host
