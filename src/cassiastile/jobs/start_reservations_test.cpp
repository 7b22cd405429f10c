#include "cassiastile/jobs/start_reservations.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "scheduler_bench.hpp"

namespace cassiastile::jobs {
namespace {

using std::chrono::milliseconds;
using testing::SizeIs;

constexpr base::TimePoint kNow{milliseconds(1000)};

base::TimePoint After(int millis) {
  return kNow + milliseconds(millis);
}

TEST(StartReservationsTest, EarliestStartIsWhenEnoughHasEnded) {
  const auto start = FindEarliestStart(
      {9000, 100, 0}, {2000, 1000, 0},
      {{After(900), {8000, 100, 0}}, {After(300), {4000, 100, 0}}}, kNow);
  ASSERT_TRUE(start.has_value());
  EXPECT_EQ(start->at, After(900));
  EXPECT_EQ(start->spare.cpu, 5000);
}

TEST(StartReservationsTest, WhatNeverFitsHasNoStart) {
  EXPECT_FALSE(FindEarliestStart({9000, 100, 0}, {2000, 1000, 0},
                                 {{After(300), {4000, 100, 0}}}, kNow));
}

// Guards against small tasks that take the capacity that a large one waits for.
TEST(StartReservationsTest, TaskLeavesAStartIfItEndsBeforeOrFitsBeside) {
  const ReservedStart start{After(500), {3000, 1000, 0}};
  EXPECT_TRUE(LeavesStart(start, {4000, 100, 0}, After(500)));
  EXPECT_FALSE(LeavesStart(start, {4000, 100, 0}, After(501)));
  EXPECT_TRUE(LeavesStart(start, {3000, 100, 0}, After(9000)));
}

class ReservedStartTest : public testing::Test {
 protected:
  explicit ReservedStartTest(std::size_t max_reserved_starts = 2)
      : m_bench(2, {.max_reserved_starts = max_reserved_starts}) {
    // Room for which every job is admitted; no task may run there.
    for (int i = 0; i < 8; ++i) {
      m_bench.AddWorker("idle" + std::to_string(i));
    }
  }

  // A job of one task with this estimate, for one worker.
  static JobSpec Task(std::int64_t cpu,
                      milliseconds estimate,
                      const std::string& worker = "a") {
    JobSpec spec = SchedulerBench::OneTask(cpu);
    spec.steps.front().estimate = estimate;
    spec.steps.front().required_label = "rack-" + worker;
    return spec;
  }
  void Pass(milliseconds time) {
    m_bench.Advance(time);
    for (const auto& [id, worker] : m_bench.GetScheduler().Workers()) {
      m_bench.Report(id, m_bench.Listing(id));
    }
  }
  // Cordons all other workers.
  void OnlyWorkers(const std::set<std::string>& ids) {
    for (const auto& [id, worker] : m_bench.GetScheduler().Workers()) {
      m_bench.GetScheduler().SetCordoned(id, !ids.contains(id));
    }
  }
  // The jobs that start now.
  std::vector<std::string> Started() {
    std::vector<std::string> jobs;
    for (const StartOrder& start : m_bench.StepAndStart()) {
      jobs.push_back(start.task.job);
      m_starts[start.task.job] = start;
    }
    std::ranges::sort(jobs);
    return jobs;
  }

  SchedulerBench m_bench;
  std::map<std::string, StartOrder> m_starts;
};

// Guards against gaps that are kept empty until a large task starts although
// small tasks would be over by then.
TEST_F(ReservedStartTest, SmallTaskThatEndsBeforeFillsTheGap) {
  m_bench.AddWorker("a");
  m_bench.Submit("running0", Task(12000, milliseconds(2500)));
  ASSERT_THAT(Started(), SizeIs(1));
  m_bench.Submit("large000", Task(16000, milliseconds(1000)));
  EXPECT_THAT(Started(), SizeIs(0));
  // Later jobs rank behind it.
  Pass(milliseconds(1800));
  m_bench.Submit("long0000", Task(4000, milliseconds(3000)));
  m_bench.Submit("short000", Task(4000, milliseconds(200)));
  EXPECT_THAT(Started(), testing::ElementsAre("short000"));
}

// Guards against a large task that small ones overtake for as long as they
// come.
TEST_F(ReservedStartTest, LargeTaskIsNotStarved) {
  m_bench.AddWorker("a");
  m_bench.Submit("running0", Task(12000, milliseconds(1000)));
  ASSERT_THAT(Started(), SizeIs(1));
  m_bench.Submit("large000", Task(16000, milliseconds(1000)));
  std::map<std::string, base::TimePoint> ends;
  std::uint64_t sequence = 0;
  milliseconds waited{0};
  for (int i = 0; !m_starts.contains("large000"); ++i) {
    ASSERT_LT(i, 100);
    m_bench.Submit("small" + std::to_string(100 + i),
                   Task(4000, milliseconds(300)));
    for (const std::string& job : Started()) {
      // Small tasks take three times as long as they are expected to.
      ends[job] = m_bench.Now() + milliseconds(900);
    }
    m_bench.Advance(milliseconds(100));
    waited += milliseconds(100);
    if (waited == milliseconds(1000)) {
      m_bench.End(m_starts.at("running0"), RunEnd::kDone, ++sequence);
    }
    for (const auto& [job, at] : std::map(ends)) {
      if (at <= m_bench.Now()) {
        ends.erase(job);
        m_bench.End(m_starts.at(job), RunEnd::kDone, ++sequence);
      }
    }
    m_bench.Report("a", m_bench.Listing("a"));
  }
  // It may be overtaken for 2 s, and then waits for the longest that runs.
  EXPECT_LE(waited, milliseconds(2000 + 1000 + 100));
}

// A reservation is remade in every round, so it moves when a run takes longer
// than expected.
TEST_F(ReservedStartTest, ReservationMovesToTheWorkerThatIsFreeFirst) {
  m_bench.AddWorker("a");
  m_bench.AddWorker("b");
  m_bench.Submit("running0", Task(12000, milliseconds(500), "a"));
  m_bench.Submit("running1", Task(12000, milliseconds(1500), "b"));
  ASSERT_THAT(Started(), SizeIs(2));
  OnlyWorkers({"a", "b"});
  JobSpec large = Task(16000, milliseconds(1000));
  large.steps.front().required_label.clear();
  m_bench.Submit("large000", large);
  EXPECT_THAT(Started(), SizeIs(0));
  // The first has not ended; by now the second is expected earlier.
  m_bench.Advance(milliseconds(1900));
  for (const char* id : {"a", "b"}) {
    WorkerReport report = m_bench.Listing(id);
    const bool is_first = m_starts.at("running0").worker.id == id;
    report.running.front().percent = is_first ? 40 : 95;
    m_bench.Report(id, report);
  }
  EXPECT_THAT(Started(), SizeIs(0));
  const auto& workers = m_bench.GetScheduler().Workers();
  EXPECT_TRUE(workers.at(m_starts.at("running1").worker.id).reserved_start);
  EXPECT_FALSE(workers.at(m_starts.at("running0").worker.id).reserved_start);
}

TEST_F(ReservedStartTest, NumberOfReservationsIsBounded) {
  for (const char* id : {"a", "b", "c", "d"}) {
    m_bench.AddWorker(id);
    m_bench.Submit(std::string("running") + id,
                   Task(12000, milliseconds(1000), id));
  }
  ASSERT_THAT(Started(), SizeIs(4));
  for (const char* id : {"a", "b", "c", "d"}) {
    m_bench.Submit(std::string("large") + id,
                   Task(16000, milliseconds(1000), id));
  }
  Started();
  const auto& workers = m_bench.GetScheduler().Workers();
  EXPECT_EQ(
      std::ranges::count_if(workers,
                            [](const auto& entry) {
                              return entry.second.reserved_start.has_value();
                            }),
      2);
}

// Guards against a gang whose members' places are taken one by one.
TEST_F(ReservedStartTest, MembersOfAGangHaveTheirStartsReservedTogether) {
  for (const char* id : {"a", "b"}) {
    m_bench.AddWorker(id);
    m_bench.Submit(std::string("running") + id,
                   Task(12000, milliseconds(1000), id));
  }
  ASSERT_THAT(Started(), SizeIs(2));
  JobSpec gang = Task(10000, milliseconds(1000));
  gang.steps.front().required_label.clear();
  gang.steps.front().count = 2;
  OnlyWorkers({"a", "b"});
  gang.steps.front().gang = true;
  m_bench.Submit("gang0000", gang);
  m_bench.Submit("long0000", Task(4000, milliseconds(9000)));
  EXPECT_THAT(Started(), testing::ElementsAre("long0000"));
  const auto& workers = m_bench.GetScheduler().Workers();
  ASSERT_TRUE(workers.at("a").reserved_start);
  ASSERT_TRUE(workers.at("b").reserved_start);
  EXPECT_EQ(workers.at("a").reserved_start->at,
            workers.at("b").reserved_start->at);
}

class NoReservedStartTest : public ReservedStartTest {
 protected:
  NoReservedStartTest() : ReservedStartTest(0) {}
};

TEST_F(NoReservedStartTest, WithoutTheSettingCapacityIsKeptFreeAsBefore) {
  m_bench.AddWorker("a");
  m_bench.Submit("running0", Task(12000, milliseconds(2500)));
  ASSERT_THAT(Started(), SizeIs(1));
  m_bench.Submit("large000", Task(16000, milliseconds(1000)));
  Pass(milliseconds(1800));
  m_bench.Submit("short000", Task(4000, milliseconds(200)));
  EXPECT_THAT(Started(), SizeIs(0));
}

}  // namespace
}  // namespace cassiastile::jobs
