#include "cassiastile/jobs/admission.hpp"

#include <gtest/gtest.h>

#include "cassiastile/jobs/duration_model.hpp"

namespace cassiastile::jobs {
namespace {

using std::chrono::milliseconds;

// A pool of 100 cores and 1,000,000 MB, and a job with 1 s of slack. Each 100
// core-seconds of backlog are a wait of 1 s.
AdmissionInput MakeInput(double backlog_core_seconds) {
  AdmissionInput input;
  input.backlog = {.cpu = backlog_core_seconds * 1000, .memory = 0};
  input.pool = {100000, 1000000, 0};
  input.critical_path = milliseconds(1000);
  input.time_to_objective = milliseconds(2000);
  return input;
}

TEST(AdmissionTest, AdmitsJobThatMeetsItsObjective) {
  EXPECT_TRUE(Admit(MakeInput(90)).admitted);
}

// Guards against admitting more than the pool can finish: at a demand of five
// times the pool, each job beyond the slack would be late and make those behind
// it late.
TEST(AdmissionTest, RefusesJobThatWouldMissItsObjective) {
  const AdmissionVerdict verdict = Admit(MakeInput(400));
  EXPECT_FALSE(verdict.admitted);
  EXPECT_GE(verdict.retry_after, milliseconds(2000));
}

TEST(AdmissionTest, RefusesJobWhenMemoryIsScarce) {
  AdmissionInput input = MakeInput(0);
  input.backlog.memory = 5e9;  // Megabyte-milliseconds: a wait of 5 s.
  EXPECT_FALSE(Admit(input).admitted);
}

TEST(AdmissionTest, AdmitsJobThatFitsNow) {
  AdmissionInput input = MakeInput(400);
  input.fits_now = true;
  EXPECT_TRUE(Admit(input).admitted);
}

TEST(AdmissionTest, CustomerBeyondItsShareGetsOnlyFreeCapacity) {
  AdmissionInput input = MakeInput(10);
  input.beyond_share = true;
  EXPECT_FALSE(Admit(input).admitted);
  input.fits_now = true;
  EXPECT_TRUE(Admit(input).admitted);
}

// On queue "good", tasks take twice the estimate; on "bad", they take 800 ms
// whatever the estimate is.
TEST(DurationModelTest, UsesEstimatesOnlyWhereTheyPredictDurations) {
  DurationModel model;
  for (int i = 0; i < 200; ++i) {
    const milliseconds good(500 + 10 * (i % 50));
    model.Observe("good", good, good * 2);
    model.Observe("bad", milliseconds(100 + 97 * (i % 31)), milliseconds(800));
  }
  EXPECT_NEAR(
      static_cast<double>(model.Expect("good", milliseconds(900)).count()),
      1800, 200);
  EXPECT_NEAR(
      static_cast<double>(model.Expect("bad", milliseconds(3000)).count()), 800,
      200);
}

// After a change of leader, callers submit jobs again that are already late.
// They still get a slack of 300 ms, which covers a wait of 200 ms but not one
// of 600 ms.
TEST(AdmissionTest, LateJobIsTakenWhereItWaitsForNoOthers) {
  AdmissionInput input = MakeInput(20);
  input.time_to_objective = milliseconds(-2000);
  EXPECT_TRUE(Admit(input).admitted);
  input.backlog.cpu = 60 * 1000;
  EXPECT_FALSE(Admit(input).admitted);
}

TEST(AdmissionTest, VerdictReportsWaitAndSlack) {
  const AdmissionVerdict verdict = Admit(MakeInput(400));
  EXPECT_EQ(verdict.wait, milliseconds(4000));
  EXPECT_EQ(verdict.slack, milliseconds(1000));
}

// The begin of a queue's turn: 160 cores are there, 1,440 more will be after 2
// s, and work for 800 core seconds waits.
class TurnAdmissionTest : public testing::Test {
 protected:
  TurnAdmissionTest() {
    m_input.backlog = {.cpu = 800000, .memory = 0};
    m_input.pool = {160000, 655360, 0};
    m_input.critical_path = std::chrono::milliseconds(2600);
    m_input.time_to_objective = std::chrono::milliseconds(6300);
  }

  AdmissionInput m_input;
};

TEST_F(TurnAdmissionTest, CapacityThatWillBeThereCounts) {
  EXPECT_FALSE(Admit(m_input).admitted);
  m_input.growth = {{std::chrono::milliseconds(2000), {1440000, 5898240, 0}}};
  EXPECT_TRUE(Admit(m_input).admitted);
  // 2 s until it is there, then 480 core seconds at 1,600 cores.
  EXPECT_EQ(Admit(m_input).wait, std::chrono::milliseconds(2300));
}

TEST_F(TurnAdmissionTest, JobsThatAllOfItCannotDoInTimeAreRefused) {
  m_input.growth = {{std::chrono::milliseconds(2000), {1440000, 5898240, 0}}};
  m_input.backlog.cpu = 8000000;
  EXPECT_FALSE(Admit(m_input).admitted);
}

// As replayed from the large site: 783 short jobs were admitted in the first 4
// s of a turn because machines were on their way; 139 were in time.
TEST_F(TurnAdmissionTest, MachinesOnTheirWayDoNotCountBeforeTheyCome) {
  m_input.growth = {{std::chrono::milliseconds(1800), {14400000, 58982400, 0}}};
  m_input.critical_path = std::chrono::milliseconds(900);
  m_input.time_to_objective = std::chrono::milliseconds(1800);
  EXPECT_FALSE(Admit(m_input).admitted);
  m_input.growth[0].after = std::chrono::milliseconds(200);
  EXPECT_TRUE(Admit(m_input).admitted);
}

}  // namespace
}  // namespace cassiastile::jobs
