// What a worker is told to start though nobody asked for it: each kind is told
// apart, with the last events of its job.
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

}  // namespace
}  // namespace cassiastile::sim
