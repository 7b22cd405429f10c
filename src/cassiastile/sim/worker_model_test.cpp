#include "cassiastile/sim/worker_model.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cassiastile::sim {
namespace {

using std::chrono::milliseconds;
using testing::IsEmpty;
using testing::SizeIs;

class NoObserver final : public RunObserver {
 public:
  void RunStarted(const jobs::WorkerId&, const jobs::StartOrder&) override {}
  void RunEnded(const jobs::WorkerId&,
                const jobs::TaskId&,
                std::uint32_t,
                jobs::RunEnd) override {}
  void EndAcknowledged(const jobs::TaskId&, std::uint32_t, bool) override {}
};

class WorkerModelTest : public testing::Test {
 protected:
  static jobs::WorkerEntry Entry() {
    jobs::WorkerEntry entry;
    entry.id = {"worker", 5};
    entry.capacity = {1000, 1000, 0};
    return entry;
  }

  jobs::StartResult Start(std::uint32_t index, milliseconds until) {
    jobs::StartOrder order;
    order.worker = {"worker", 5};
    order.task = {"job", 0, 0, index};
    order.run = 1;
    jobs::StepSpec step;
    step.need = {1000, 1000, 0};
    step.estimate = milliseconds(60000);
    return m_worker.Start(order, step, 1, until, m_now);
  }

  milliseconds LeaseLeft() const {
    return std::chrono::duration_cast<milliseconds>(m_worker.LeaseEnd() -
                                                    m_now);
  }

  base::TimePoint m_now{milliseconds(1000)};
  NoObserver m_observer;
  WorkerModel m_worker{Entry(), m_now, m_observer};
};

TEST_F(WorkerModelTest, LeaseIsShortenedToItsMaximumAndNeverOtherwise) {
  Start(0, milliseconds(60000));
  EXPECT_EQ(LeaseLeft(), milliseconds(10000));
  m_now += milliseconds(1000);
  m_worker.ExtendLease({.fence = 1, .until = milliseconds(2000)}, m_now);
  EXPECT_EQ(LeaseLeft(), milliseconds(9000));
  // A start without room extends the lease as well.
  EXPECT_EQ(Start(1, milliseconds(60000)), jobs::StartResult::kNoRoom);
  EXPECT_EQ(LeaseLeft(), milliseconds(10000));
}

TEST_F(WorkerModelTest, StoppedRunGoesOnForAMoment) {
  Start(0, milliseconds(5000));
  m_worker.Stop({"job", 0, 0, 0}, 1, 1, m_now);
  m_now += milliseconds(149);
  m_worker.Advance(m_now);
  EXPECT_THAT(m_worker.Report(m_now).running, SizeIs(1));
  EXPECT_EQ(Start(1, milliseconds(5000)), jobs::StartResult::kNoRoom);
  m_now += milliseconds(1);
  m_worker.Advance(m_now);
  EXPECT_THAT(m_worker.Report(m_now).running, IsEmpty());
  ASSERT_THAT(m_worker.Report(m_now).ended, SizeIs(1));
  EXPECT_EQ(m_worker.Report(m_now).ended.front().how, jobs::RunEnd::kStopped);
}

}  // namespace
}  // namespace cassiastile::sim
