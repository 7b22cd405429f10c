// What a worker is told to start though nobody asked for it: each kind is told
// apart, with the last events of its job. And answers that don't hold.
#include "cassiastile/sim/invariant_checker.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cassiastile::sim {
namespace {

using testing::AllOf;
using testing::ElementsAre;
using testing::HasSubstr;

class UnaskedStartTest : public testing::Test {
 protected:
  UnaskedStartTest() {
    jobs::JobSpec spec;
    spec.payload = "payload";
    spec.steps.emplace_back().count = 2;
    m_checker.JobSubmitted("job", spec);
  }

  static jobs::StartOrder Order() {
    jobs::StartOrder order;
    order.worker = {"worker", 5};
    order.task = {"job", 0, 0, 1};
    order.run = 1;
    order.payload = "payload";
    return order;
  }

  const std::vector<std::string>& Start(const jobs::StartOrder& order) {
    m_clock.Advance(std::chrono::milliseconds(7));
    m_checker.RunStarted(order.worker, order);
    return m_checker.Violations();
  }

  base::ManualClock m_clock;
  InvariantChecker m_checker{&m_clock};
};

TEST_F(UnaskedStartTest, StartAsSubmittedIsNone) {
  EXPECT_THAT(Start(Order()), ElementsAre());
  EXPECT_EQ(m_checker.LastStartOf("job"), m_clock.Now());
}

TEST_F(UnaskedStartTest, OfAJobThatNobodySubmitted) {
  jobs::StartOrder order = Order();
  order.task.job = "other";
  EXPECT_THAT(Start(order), ElementsAre(AllOf(HasSubstr("other.0.0.1"),
                                              HasSubstr("nobody submitted"))));
}

TEST_F(UnaskedStartTest, OfATaskThatItsJobHasNot) {
  for (const jobs::TaskId& task :
       {jobs::TaskId{"job", 1, 0, 0}, jobs::TaskId{"job", 0, 1, 0},
        jobs::TaskId{"job", 0, 0, 2}}) {
    jobs::StartOrder order = Order();
    order.task = task;
    EXPECT_THAT(Start(order).back(), HasSubstr("its job hasn't"));
  }
}

TEST_F(UnaskedStartTest, WithAnotherPayload) {
  jobs::StartOrder order = Order();
  order.payload = "other";
  EXPECT_THAT(Start(order),
              ElementsAre(AllOf(HasSubstr("another payload"),
                                HasSubstr("7 ms start of job.0.0.1 run 1"))));
}

TEST_F(UnaskedStartTest, WithACheckpointThatIsNotItsOwn) {
  jobs::StartOrder order = Order();
  order.checkpoint = "of another task";
  EXPECT_THAT(Start(order), ElementsAre(HasSubstr("a checkpoint")));
}

class AnswerTest : public UnaskedStartTest {
 protected:
  void Advance(std::chrono::milliseconds time) { m_clock.Advance(time); }
  base::TimePoint Now() const { return m_clock.Now(); }
};

TEST_F(AnswerTest, StartsAndRunsAfterACancelHaveTheirTime) {
  m_checker.SubmissionSent("job");
  m_checker.CancelAcknowledged("job");
  Advance(kCancelTime - std::chrono::milliseconds(7));
  Start(Order());
  m_checker.CheckStartAfterCancel("job");
  Advance(kStopTime);
  m_checker.CheckCancelledRuns(Now() - kCancelTime - kStopTime - kContactTime);
  EXPECT_THAT(m_checker.Violations(), ElementsAre());
  Advance(std::chrono::milliseconds(1));
  m_checker.CheckCancelledRuns({});
  EXPECT_THAT(m_checker.Violations(), ElementsAre(HasSubstr("runs 3201 ms")));
}

TEST_F(AnswerTest, StartTooLateAfterACancelIsUnasked) {
  m_checker.CancelAcknowledged("job");
  Advance(kCancelTime);
  Start(Order());
  m_checker.CheckStartAfterCancel("job");
  EXPECT_THAT(m_checker.Violations(),
              ElementsAre(HasSubstr("started 3007 ms")));
}

TEST_F(AnswerTest, RunGoesOnWhileSomethingIsDisrupted) {
  m_checker.CancelAcknowledged("job");
  Start(Order());
  Advance(std::chrono::seconds(60));
  m_checker.CheckCancelledRuns(Now() - kCancelTime);
  EXPECT_THAT(m_checker.Violations(), ElementsAre());
}

TEST_F(AnswerTest, AcceptedJobThatIsDeniedOrRefusedAfterwards) {
  m_checker.SubmissionSent("job");
  const base::TimePoint before = Now();
  Advance(std::chrono::milliseconds(1));
  m_checker.Accepted("job");
  m_checker.AbsenceAnswered("job", before);
  m_checker.SubmissionRefused("job", before, "overload");
  EXPECT_THAT(m_checker.Violations(), ElementsAre());
  m_checker.AbsenceAnswered("job", Now());
  m_checker.SubmissionRefused("job", Now(), "overload");
  EXPECT_THAT(m_checker.Violations(),
              ElementsAre(HasSubstr("not to exist"), HasSubstr("was refused")));
}

TEST_F(AnswerTest, AbsenceIsRightOnceACancelWasSent) {
  m_checker.SubmissionSent("job");
  m_checker.Accepted("job");
  m_checker.CancelSent("job");
  m_checker.AbsenceAnswered("job", Now());
  EXPECT_THAT(m_checker.Violations(), ElementsAre());
}

TEST_F(AnswerTest, CancelledJobIsSaidToRun) {
  m_checker.SubmissionSent("job");
  const base::TimePoint before = Now();
  Advance(std::chrono::milliseconds(1));
  m_checker.CancelAcknowledged("job");
  m_checker.StateAnswered("job", before, jobs::JobPhase::kRunning);
  m_checker.StateAnswered("job", Now(), jobs::JobPhase::kCancelled);
  EXPECT_THAT(m_checker.Violations(), ElementsAre());
  m_checker.StateAnswered("job", Now(), jobs::JobPhase::kQueued);
  EXPECT_THAT(m_checker.Violations(),
              ElementsAre(HasSubstr("is said to be queued")));
}

TEST_F(AnswerTest, JobIsShownThatNobodySubmitted) {
  m_checker.CancelSent("job");
  m_checker.StateAnswered("job", Now(), jobs::JobPhase::kCancelled);
  EXPECT_THAT(m_checker.Violations(),
              ElementsAre(HasSubstr("nobody submitted")));
}

TEST_F(AnswerTest, JobRunsWhoseAttemptsWereAllRefused) {
  m_checker.SubmissionSent("job");
  m_checker.SubmissionSent("job");
  Start(Order());
  m_checker.SubmissionRefused("job", Now(), "overload");
  EXPECT_THAT(m_checker.Violations(), ElementsAre());
  m_checker.SubmissionRefused("job", Now(), "overload");
  EXPECT_THAT(m_checker.Violations(),
              ElementsAre(HasSubstr("was refused though it ran")));
}

TEST_F(AnswerTest, TaskStartsAfterItsJobWasSaidToBeDone) {
  m_checker.SubmissionSent("job");
  for (const std::uint32_t index : {0U, 1U}) {
    jobs::StartOrder order = Order();
    order.task.index = index;
    Start(order);
    m_checker.RunEnded(order.worker, order.task, 1, jobs::RunEnd::kDone);
  }
  m_checker.StateAnswered("job", Now(), jobs::JobPhase::kDone);
  Advance(kEndKnownTime - std::chrono::milliseconds(7));
  Start(Order());
  m_checker.CheckStartAfterDone("job");
  EXPECT_THAT(m_checker.Violations(), ElementsAre());
  m_checker.RunEnded(Order().worker, Order().task, 1, jobs::RunEnd::kDone);
  Start(Order());
  m_checker.CheckStartAfterDone("job");
  EXPECT_THAT(m_checker.Violations(),
              ElementsAre(HasSubstr("1007 ms after the job was said to be")));
}

TEST_F(AnswerTest, LengthOfAQueueIsThatOfTheLastSeconds) {
  m_checker.SubmissionSent("job");
  m_checker.Accepted("job");
  Advance(kVisibleTime + kQueueLengthAge);
  m_checker.QueueLengthAnswered({"job"}, Now(), 0);
  EXPECT_THAT(m_checker.Violations(), ElementsAre());
  Advance(std::chrono::milliseconds(1));
  m_checker.QueueLengthAnswered({"job"}, Now(), 1);
  EXPECT_THAT(m_checker.Violations(), ElementsAre());
  m_checker.QueueLengthAnswered({"job"}, Now(), 0);
  Start(Order());
  Advance(kQueueLengthAge);
  m_checker.QueueLengthAnswered({"job"}, Now(), 1);
  EXPECT_THAT(m_checker.Violations().size(), 1U);
  Advance(std::chrono::milliseconds(1));
  m_checker.QueueLengthAnswered({"job"}, Now(), 1);
  EXPECT_THAT(m_checker.Violations(),
              ElementsAre(HasSubstr("0 jobs are said to wait"),
                          HasSubstr("1 jobs are said to wait")));
}

}  // namespace
}  // namespace cassiastile::sim
