// Long-running tasks that withdrawn starts bind to workers that can't take
// them, while another worker is empty.
#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "cassiastile/jobs/scheduler.hpp"
#include "scheduler_bench.hpp"

namespace cassiastile::jobs {
namespace {

using std::chrono::milliseconds;
using testing::SizeIs;

constexpr char kJob[] = "5c0e7a21d94b36f8";
// Users allow a long-running task to be without a run for 6 s.
constexpr milliseconds kMaxWait{6000};
constexpr milliseconds kStep{100};

class BoundTaskTest : public testing::Test {
 protected:
  static JobSpec LargeTask() {
    JobSpec spec = SchedulerBench::LongRunning(1, 1);
    spec.steps.front().need.cpu = 9000;
    return spec;
  }

  // How long the task waits for a start while all these workers report, or
  // nothing if it is longer than users allow.
  std::optional<milliseconds> WaitForStart(
      const std::vector<std::string>& workers) {
    for (milliseconds waited{0}; waited <= kMaxWait; waited += kStep) {
      for (const std::string& worker : workers) {
        m_bench.Report(worker, m_bench.Listing(worker));
      }
      const auto starts = m_bench.Step().starts;
      const bool started = std::ranges::any_of(
          starts,
          [](const StartOrder& start) { return start.task.job == kJob; });
      if (started) {
        return waited;
      }
      m_bench.Advance(kStep);
    }
    return std::nullopt;
  }

  SchedulerBench m_bench;
};

TEST_F(BoundTaskTest, TaskWithWithdrawnStartsOnTwoWorkersRunsAgain) {
  m_bench.AddWorker("a");
  m_bench.Submit(kJob, SchedulerBench::LongRunning(1, 1));
  const auto first = m_bench.Step().starts;
  ASSERT_THAT(first, SizeIs(1));
  m_bench.Withdraw(first.front());
  m_bench.GetScheduler().SetCordoned("a", true);
  m_bench.AddWorker("b");
  const auto second = m_bench.Step().starts;
  ASSERT_THAT(second, SizeIs(1));
  ASSERT_EQ(second.front().worker.id, "b");
  m_bench.Withdraw(second.front());
  m_bench.GetScheduler().SetCordoned("a", false);
  m_bench.AddWorker("c");
  EXPECT_TRUE(WaitForStart({"a", "b", "c"}).has_value());
}

TEST_F(BoundTaskTest, TaskWhoseCapacityWasTakenWhileItRanElsewhereRunsAgain) {
  m_bench.AddWorker("a");
  m_bench.Submit(kJob, LargeTask());
  const auto first = m_bench.Step().starts;
  ASSERT_THAT(first, SizeIs(1));
  m_bench.Withdraw(first.front());
  m_bench.GetScheduler().SetCordoned("a", true);
  m_bench.AddWorker("b");
  const auto second = m_bench.StepAndStart();
  ASSERT_THAT(second, SizeIs(1));
  ASSERT_EQ(second.front().worker.id, "b");
  m_bench.GetScheduler().SetCordoned("a", false);
  m_bench.Submit("other", LargeTask());
  m_bench.Report("a", m_bench.Listing("a"));
  const auto other = m_bench.StepAndStart();
  ASSERT_THAT(other, SizeIs(1));
  ASSERT_EQ(other.front().worker.id, "a");
  m_bench.End(second.front(), RunEnd::kFailed, 1);
  m_bench.AddWorker("c");
  EXPECT_TRUE(WaitForStart({"a", "b", "c"}).has_value());
}

TEST_F(BoundTaskTest, TaskWhoseWorkerComesBackTooSmallRunsAgain) {
  m_bench.AddWorker("a");
  m_bench.Submit(kJob, LargeTask());
  const auto first = m_bench.Step().starts;
  ASSERT_THAT(first, SizeIs(1));
  m_bench.Withdraw(first.front());
  m_bench.AddWorker("a", 2);
  m_bench.SetCapacity("a", {500, 65536, 0});
  for (const StopOrder& stop : m_bench.Step().stops) {
    m_bench.GetScheduler().StopAnswered(stop.worker, stop.task, stop.run,
                                        m_bench.Now());
  }
  m_bench.AddWorker("b");
  EXPECT_TRUE(WaitForStart({"a", "b"}).has_value());
}

}  // namespace
}  // namespace cassiastile::jobs
