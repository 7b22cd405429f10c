#include "cassiastile/jobs/zone_evacuations.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "scheduler_bench.hpp"

namespace cassiastile::jobs {
namespace {

using std::chrono::milliseconds;
using testing::IsEmpty;
using testing::SizeIs;

constexpr char kZone[] = "zone-a";
constexpr base::TimePoint kStart{milliseconds(1000)};

// Guards against starts by a list of evacuations that may lack a new one.
TEST(ZoneEvacuationsTest, AreCurrentUpToTheirGreatestAge) {
  ZoneEvacuations evacuations(milliseconds(4000));
  EXPECT_FALSE(evacuations.IsCurrent(kStart));
  evacuations.Update({}, kStart);
  EXPECT_TRUE(evacuations.IsCurrent(kStart + milliseconds(4000)));
  EXPECT_FALSE(evacuations.IsCurrent(kStart + milliseconds(4001)));
  evacuations.Update({}, kStart + milliseconds(4001));
  EXPECT_TRUE(evacuations.IsCurrent(kStart + milliseconds(4001)));
}

TEST(ZoneEvacuationsTest, OlderReadingChangesNothing) {
  ZoneEvacuations evacuations(milliseconds(4000));
  EXPECT_TRUE(evacuations.Update({kZone}, kStart));
  EXPECT_FALSE(evacuations.Update({}, kStart - milliseconds(1)));
  EXPECT_TRUE(evacuations.Contains(kZone));
  EXPECT_TRUE(evacuations.Update({}, kStart));
  EXPECT_TRUE(evacuations.IsEmpty());
}

TEST(ZoneEvacuationsTest, WithoutAnAgeAreAlwaysCurrent) {
  EXPECT_TRUE(ZoneEvacuations(milliseconds(0)).IsCurrent(kStart));
}

class ZoneEvacuationSchedulerTest : public testing::Test {
 protected:
  void AddWorkerIn(const std::string& id, const std::string& zone) {
    m_bench.AddWorker(id);
    m_bench.SetZone(id, zone);
  }
  void Evacuate(const std::set<std::string>& zones) {
    m_bench.GetScheduler().Evacuations().Update(zones, m_bench.Now());
  }
  // Reports all runs of a worker as serving.
  void ReportServing(const std::string& worker) {
    WorkerReport report = m_bench.Listing(worker);
    for (ListedRun& run : report.running) {
      run.percent = 100;
    }
    m_bench.Report(worker, report);
  }
  // The stop orders of two seconds in which all workers report.
  std::vector<StopOrder> StopsWithin2s(
      const std::vector<std::string>& workers) {
    std::vector<StopOrder> stops;
    for (int i = 0; i < 20; ++i) {
      m_bench.Advance(milliseconds(100));
      for (const std::string& worker : workers) {
        ReportServing(worker);
      }
      for (const StopOrder& stop : m_bench.Step().stops) {
        stops.push_back(stop);
      }
    }
    return stops;
  }

  SchedulerBench m_bench;
};

TEST_F(ZoneEvacuationSchedulerTest, NothingStartsInTheZone) {
  AddWorkerIn("a", kZone);
  Evacuate({kZone});
  m_bench.Submit("1111111111111111", SchedulerBench::OneTask());
  EXPECT_THAT(m_bench.Step().starts, IsEmpty());
  AddWorkerIn("b", "zone-b");
  const auto starts = m_bench.Step().starts;
  ASSERT_THAT(starts, SizeIs(1));
  EXPECT_EQ(starts.front().worker.id, "b");
}

TEST_F(ZoneEvacuationSchedulerTest, ZoneThatIsTakenBackGetsTasksAgain) {
  AddWorkerIn("a", kZone);
  Evacuate({kZone});
  m_bench.Submit("1111111111111111", SchedulerBench::OneTask());
  m_bench.Step();
  Evacuate({});
  EXPECT_THAT(m_bench.Step().starts, SizeIs(1));
}

// Guards against the start of a task that was placed before the evacuation was
// known, and committed after.
TEST_F(ZoneEvacuationSchedulerTest, StartThatIsBeingCommittedIsNotOrdered) {
  AddWorkerIn("a", kZone);
  m_bench.Submit("1111111111111111", SchedulerBench::OneTask());
  Scheduler& scheduler = m_bench.GetScheduler();
  scheduler.Plan(m_bench.Now(), {});
  const Batch batch = scheduler.TakeBatch(80, m_bench.Now());
  ASSERT_THAT(batch.starts, SizeIs(1));
  Evacuate({kZone});
  scheduler.Confirm(batch, m_bench.Now());
  EXPECT_THAT(scheduler.TakeOrders().starts, IsEmpty());
}

TEST_F(ZoneEvacuationSchedulerTest, LongRunningTasksLeaveAsTheirLimitAllows) {
  AddWorkerIn("a", kZone);
  m_bench.Submit("1111111111111111", SchedulerBench::LongRunning(3, 1));
  ASSERT_THAT(m_bench.StepAndStart(), SizeIs(3));
  ReportServing("a");
  Evacuate({kZone});
  // There is no room elsewhere yet.
  EXPECT_THAT(StopsWithin2s({"a"}), IsEmpty());
  AddWorkerIn("b", "zone-b");
  // The stopped one is not serving elsewhere before the end of this.
  const auto stops = StopsWithin2s({"a", "b"});
  ASSERT_FALSE(stops.empty());
  for (const StopOrder& stop : stops) {
    EXPECT_EQ(stop.task, stops.front().task);
    EXPECT_EQ(stop.reason, StopReason::kEvacuated);
  }
}

TEST_F(ZoneEvacuationSchedulerTest, TasksWithoutALimitLeaveOneAtATime) {
  AddWorkerIn("a", kZone);
  m_bench.Submit("1111111111111111", SchedulerBench::LongRunning(3, 0));
  ASSERT_THAT(m_bench.StepAndStart(), SizeIs(3));
  ReportServing("a");
  Evacuate({kZone});
  AddWorkerIn("b", "zone-b");
  const auto stops = StopsWithin2s({"a", "b"});
  ASSERT_FALSE(stops.empty());
  for (const StopOrder& stop : stops) {
    EXPECT_EQ(stop.task, stops.front().task);
  }
}

TEST_F(ZoneEvacuationSchedulerTest, FiniteTasksEndWhereTheyRun) {
  AddWorkerIn("a", kZone);
  m_bench.Submit("1111111111111111", SchedulerBench::OneTask());
  ASSERT_THAT(m_bench.StepAndStart(), SizeIs(1));
  Evacuate({kZone});
  AddWorkerIn("b", "zone-b");
  WorkerReport report = m_bench.Listing("a");
  for (int i = 1; i <= 10; ++i) {
    m_bench.Advance(milliseconds(100));
    report.running.front().percent = i;
    m_bench.Report("a", report);
    EXPECT_THAT(m_bench.Step().stops, IsEmpty());
  }
}

TEST_F(ZoneEvacuationSchedulerTest, PoolsDoNotCountOnItsWorkers) {
  AddWorkerIn("a", kZone);
  m_bench.Submit("1111111111111111", SchedulerBench::LongRunning(1, 1));
  ASSERT_THAT(m_bench.StepAndStart(), SizeIs(1));
  Evacuate({kZone});
  const auto loads = m_bench.GetScheduler().GetPoolLoads(m_bench.Now());
  EXPECT_EQ(loads.at("service").workers, 0U);
  EXPECT_EQ(loads.at("service").evacuating.cpu, 1000);
}

// Guards against work that goes to a worker which has just come back slow
// while a warm one is free.
TEST_F(ZoneEvacuationSchedulerTest, ColdWorkerIsUsedAfterOthers) {
  WorkerEntry cold{.id = {"a", 1},
                   .service = "service",
                   .machine = "machine-a",
                   .endpoint = "a:1",
                   .availability_zone = {},
                   .kind = {},
                   .rack = {},
                   .capacity = {8000, 65536, 0},
                   .draining = false,
                   .cold_for = milliseconds(3000)};
  WorkerEntry warm = cold;
  warm.id.id = "b";
  warm.machine = "machine-b";
  warm.capacity.cpu = 16000;
  warm.cold_for = {};
  Scheduler& scheduler = m_bench.GetScheduler();
  const auto start_one = [&](const std::string& job) {
    scheduler.WorkersListed({cold, warm}, m_bench.Now());
    scheduler.ListConfirmed(m_bench.Now());
    for (const char* id : {"a", "b"}) {
      WorkerReport report;
      report.incarnation_ms = 1;
      scheduler.WorkerReported(id, report, m_bench.Now(), m_bench.Now());
    }
    m_bench.Submit(job, SchedulerBench::OneTask());
    const auto starts = m_bench.Step().starts;
    return starts.empty() ? std::string() : starts.front().worker.id;
  };
  EXPECT_EQ(start_one("1111111111111111"), "b");
  m_bench.Advance(milliseconds(3001));
  EXPECT_EQ(start_one("2222222222222222"), "a");
}

}  // namespace
}  // namespace cassiastile::jobs
