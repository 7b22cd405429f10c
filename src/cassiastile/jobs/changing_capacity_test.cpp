// Workers whose capacity shrinks and grows while they run.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "cassiastile/jobs/scheduler.hpp"
#include "scheduler_bench.hpp"

namespace cassiastile::jobs {
namespace {

using std::chrono::milliseconds;
using testing::IsEmpty;
using testing::SizeIs;

constexpr char kJob[] = "5c0e7a21d94b36f8";
constexpr char kOther[] = "93ab10c2d4e5f607";
constexpr Resources kSmall{4000, 65536, 0};
constexpr Resources kFull{16000, 65536, 0};

// Plans, and changes the capacity of a worker while the rows are committed.
Orders StepWhileShrinking(SchedulerBench& bench, const std::string& worker) {
  Scheduler& scheduler = bench.GetScheduler();
  scheduler.Plan(bench.Now(), {});
  constexpr std::size_t kMaxRows = 80;
  const Batch batch = scheduler.TakeBatch(kMaxRows, bench.Now());
  bench.SetCapacity(worker, kSmall);
  scheduler.Confirm(batch, bench.Now());
  return scheduler.TakeOrders();
}

TEST(ChangingCapacityTest, PlacedStartIsNotSentToAWorkerThatHasShrunk) {
  SchedulerBench bench;
  bench.AddWorker("a");
  bench.Submit(kJob, SchedulerBench::OneTask(8000));
  EXPECT_THAT(StepWhileShrinking(bench, "a").starts, IsEmpty());
  bench.AddWorker("b");
  const auto starts = bench.Step().starts;
  ASSERT_THAT(starts, SizeIs(1));
  EXPECT_EQ(starts.front().worker.id, "b");
}

TEST(ChangingCapacityTest, PlacedStartsAreSentAsFarAsTheyStillFit) {
  SchedulerBench bench;
  bench.AddWorker("a");
  JobSpec spec = SchedulerBench::OneTask(1500);
  spec.steps.front().count = 4;
  bench.Submit(kJob, spec);
  EXPECT_THAT(StepWhileShrinking(bench, "a").starts, SizeIs(2));
}

TEST(ChangingCapacityTest, GangIsSentWholeOrNotAtAll) {
  SchedulerBench bench;
  bench.AddWorker("a");
  JobSpec spec = SchedulerBench::OneTask(1500);
  spec.steps.front().count = 4;
  spec.steps.front().gang = true;
  bench.Submit(kJob, spec);
  EXPECT_THAT(StepWhileShrinking(bench, "a").starts, IsEmpty());
}

TEST(ChangingCapacityTest, RunsOfAWorkerThatHasShrunkGoOnAndItGetsNoMore) {
  SchedulerBench bench;
  bench.AddWorker("a");
  bench.Submit(kJob, SchedulerBench::OneTask(8000));
  ASSERT_THAT(bench.StepAndStart(), SizeIs(1));
  bench.SetCapacity("a", kSmall);
  bench.Submit(kOther, SchedulerBench::OneTask(1000));
  const Orders orders = bench.Step();
  EXPECT_THAT(orders.starts, IsEmpty());
  EXPECT_THAT(orders.stops, IsEmpty());
  bench.SetCapacity("a", kFull);
  EXPECT_THAT(bench.Step().starts, SizeIs(1));
}

TEST(ChangingCapacityTest, JobThatFitsOnceTheWorkersGrowAgainIsAccepted) {
  SchedulerBench bench;
  bench.AddWorker("a");
  bench.SetCapacity("a", kSmall);
  EXPECT_EQ(bench.Submit(kJob, SchedulerBench::OneTask(8000)).reason,
            RefusalReason::kNone);
  EXPECT_THAT(bench.Step().starts, IsEmpty());
  bench.SetCapacity("a", kFull);
  EXPECT_THAT(bench.Step().starts, SizeIs(1));
}

TEST(ChangingCapacityTest, JobThatNeverFitsIsRefused) {
  SchedulerBench bench;
  bench.AddWorker("a");
  EXPECT_EQ(bench.Submit(kJob, SchedulerBench::OneTask(17000)).reason,
            RefusalReason::kTooLarge);
}

// After a change of leader, the runs of a cancelled job are known only by the
// reports that list them; they count until they have ended.
TEST(ChangingCapacityTest, RunsThatAreUnknownToTheNextLeaderCountUntilTheyEnd) {
  SchedulerBench former;
  former.AddWorker("a");
  former.Submit(kJob, SchedulerBench::OneTask(10000));
  const auto runs = former.StepAndStart();
  ASSERT_THAT(runs, SizeIs(1));
  former.GetScheduler().Cancel(kJob, former.Now());
  former.Step();

  SchedulerBench bench = former.Successor(milliseconds(0));
  bench.Report("a", bench.Listing("a"));
  bench.Submit(kOther, SchedulerBench::OneTask(10000));
  EXPECT_THAT(bench.Step().starts, IsEmpty());
  bench.Advance(milliseconds(10));
  bench.Report("a", bench.Listing("a"));
  EXPECT_THAT(bench.Step().starts, IsEmpty());
  bench.Advance(milliseconds(10));
  bench.End(runs.front(), RunEnd::kStopped, 1);
  EXPECT_THAT(bench.Step().starts, SizeIs(1));
}

}  // namespace
}  // namespace cassiastile::jobs
