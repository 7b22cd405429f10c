// Starts that are placed before their worker leaves and committed after that.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "cassiastile/jobs/scheduler.hpp"
#include "scheduler_bench.hpp"

namespace cassiastile::jobs {
namespace {

using std::chrono::milliseconds;
using testing::IsEmpty;
using testing::SizeIs;

constexpr std::size_t kMaxRows = 80;
constexpr milliseconds kListAge = SchedulerOptions{}.max_list_age;

class DrainingStartTest : public testing::Test {
 protected:
  // Places all waiting tasks and takes the rows, which are not committed yet.
  Batch PlaceWithoutCommit() {
    Scheduler& scheduler = m_bench.GetScheduler();
    scheduler.Plan(m_bench.Now(), base::WallTime{});
    return scheduler.TakeBatch(kMaxRows, m_bench.Now());
  }

  Orders Commit(const Batch& batch) {
    m_bench.GetScheduler().Confirm(batch, m_bench.Now());
    return m_bench.GetScheduler().TakeOrders();
  }

  // Expects that the only task, placed on worker "a" and not ordered, is
  // started on worker "b".
  void ExpectStartOnOtherWorker() {
    m_bench.AddWorker("b");
    const auto starts = m_bench.Step().starts;
    ASSERT_THAT(starts, SizeIs(1));
    EXPECT_EQ(starts.front().worker.id, "b");
    EXPECT_GT(starts.front().run, 1U);
  }

  SchedulerBench m_bench;
};

TEST_F(DrainingStartTest, WorkerThatDrainsBeforeTheCommitGetsNoStart) {
  m_bench.AddWorker("a");
  m_bench.Submit("1", SchedulerBench::OneTask());
  const Batch batch = PlaceWithoutCommit();
  m_bench.SetDraining("a");
  EXPECT_THAT(Commit(batch).starts, IsEmpty());
  ExpectStartOnOtherWorker();
}

TEST_F(DrainingStartTest, HeartbeatWrittenLateDoesNotEndTheDraining) {
  m_bench.AddWorker("a");
  const WorkerEntry earlier = m_bench.GetScheduler().FindWorker("a")->entry;
  m_bench.SetDraining("a");
  m_bench.GetScheduler().WorkersListed({earlier}, m_bench.Now());
  m_bench.Submit("1", SchedulerBench::OneTask());
  EXPECT_THAT(m_bench.Step().starts, IsEmpty());
}

// The successor's list has only the late heartbeat.
TEST_F(DrainingStartTest,
       HeartbeatWrittenLateDoesNotEndTheDrainingAtATakeover) {
  m_bench.AddWorker("a");
  m_bench.SetDraining("a");
  m_bench.Step();
  m_bench.AddWorker("a");
  SchedulerBench next = m_bench.Successor(milliseconds(8000));
  next.Report("a", next.Listing("a"));
  next.Submit("1", SchedulerBench::OneTask());
  EXPECT_THAT(next.Step().starts, IsEmpty());
  // And the same for its own successor.
  SchedulerBench second = next.Successor(milliseconds(8000));
  second.Report("a", second.Listing("a"));
  EXPECT_THAT(second.Step().starts, IsEmpty());
  second.AddWorker("a", 2);
  second.AddWorker("a", 2);  // Its entry counts once it has reported.
  EXPECT_THAT(second.Step().starts, SizeIs(1));
}

TEST_F(DrainingStartTest, CordonedWorkerGetsNoStart) {
  m_bench.AddWorker("a");
  m_bench.Submit("1", SchedulerBench::OneTask());
  const Batch batch = PlaceWithoutCommit();
  m_bench.GetScheduler().SetCordoned("a", true);
  EXPECT_THAT(Commit(batch).starts, IsEmpty());
  ExpectStartOnOtherWorker();
}

TEST_F(DrainingStartTest, WorkerThatLeftTheListGetsNoStart) {
  m_bench.AddWorker("a");
  m_bench.Submit("1", SchedulerBench::OneTask());
  const Batch batch = PlaceWithoutCommit();
  m_bench.RemoveWorker("a");
  EXPECT_THAT(Commit(batch).starts, IsEmpty());
  ExpectStartOnOtherWorker();
}

// The others would wait for the missing member until they are given up.
TEST_F(DrainingStartTest, GangIsPlacedAgainAsAWhole) {
  m_bench.AddWorker("a");
  m_bench.AddWorker("b");
  JobSpec gang = SchedulerBench::OneTask(9000);
  gang.steps.front().count = 2;
  gang.steps.front().gang = true;
  m_bench.Submit("1", gang);
  const Batch batch = PlaceWithoutCommit();
  ASSERT_THAT(batch.starts, SizeIs(2));
  m_bench.SetDraining("a");
  EXPECT_THAT(Commit(batch).starts, IsEmpty());
  EXPECT_THAT(m_bench.Step().starts, IsEmpty());
  m_bench.AddWorker("c");
  const auto starts = m_bench.Step().starts;
  ASSERT_THAT(starts, SizeIs(2));
  EXPECT_EQ(starts[0].run, starts[1].run);
}

TEST_F(DrainingStartTest, OtherStartsOfTheCommitAreOrdered) {
  m_bench.AddWorker("a");
  m_bench.Submit("1", SchedulerBench::OneTask(16000));
  m_bench.AddWorker("b");
  m_bench.Submit("2", SchedulerBench::OneTask(16000));
  const Batch batch = PlaceWithoutCommit();
  ASSERT_THAT(batch.starts, SizeIs(2));
  m_bench.SetDraining("a");
  const auto starts = Commit(batch).starts;
  ASSERT_THAT(starts, SizeIs(1));
  EXPECT_EQ(starts.front().worker.id, "b");
}

TEST_F(DrainingStartTest, GangWithoutAMemberThatWasDroppedBeforeIsNotOrdered) {
  m_bench.AddWorker("a");
  m_bench.AddWorker("b");
  JobSpec gang = SchedulerBench::OneTask(9000);
  gang.steps.front().count = 2;
  gang.steps.front().gang = true;
  m_bench.Submit("1", gang);
  m_bench.GetScheduler().Plan(m_bench.Now(), {});
  m_bench.AddWorker("a", 2);
  const Batch batch = m_bench.GetScheduler().TakeBatch(80, m_bench.Now());
  EXPECT_THAT(batch.starts, SizeIs(1));
  EXPECT_THAT(Commit(batch).starts, IsEmpty());
}

// A slow or frozen leader goes on with a list that lacks the newest reports of
// its workers, while other hosts send its orders in time.
TEST_F(DrainingStartTest, ListThatMayBeOutOfDateOrdersNoStart) {
  m_bench.AddWorker("a");
  m_bench.Submit("1", SchedulerBench::OneTask());
  const Batch batch = PlaceWithoutCommit();
  m_bench.Advance(kListAge + milliseconds(1));
  EXPECT_THAT(Commit(batch).starts, IsEmpty());
  EXPECT_THAT(PlaceWithoutCommit().starts, IsEmpty());
  m_bench.GetScheduler().ListConfirmed(m_bench.Now());
  EXPECT_THAT(m_bench.Step().starts, SizeIs(1));
}

TEST_F(DrainingStartTest, ListThatIsConfirmedOrdersStarts) {
  m_bench.AddWorker("a");
  m_bench.Submit("1", SchedulerBench::OneTask());
  const Batch batch = PlaceWithoutCommit();
  m_bench.Advance(kListAge);
  EXPECT_THAT(Commit(batch).starts, SizeIs(1));
}

}  // namespace
}  // namespace cassiastile::jobs
