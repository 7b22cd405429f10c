// Tasks that crash the workers that start them, and tasks that only ran there.
#include <algorithm>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "cassiastile/jobs/scheduler.hpp"
#include "scheduler_bench.hpp"

namespace cassiastile::jobs {
namespace {

using std::chrono::milliseconds;
using testing::SizeIs;

constexpr char kJob[] = "5c0e7a21d94b36f8";
constexpr char kOther[] = "93ab10c2d4e5f607";

// No task is started more often than this: three crashes and two starts.
constexpr std::size_t kMostStarts = 5;
constexpr int kManyRounds = 20;

class CrashingTaskTest : public testing::Test {
 protected:
  CrashingTaskTest() {
    for (const char* id : {"a", "b", "c", "d"}) {
      m_bench.AddWorker(id);
      m_incarnations[id] = 1;
    }
  }

  // The worker starts again under its id, and knows nothing of before.
  void Crash(const std::string& worker) {
    m_bench.AddWorker(worker, ++m_incarnations[worker]);
  }

  // Another worker takes the place of one that has crashed, as the list of
  // machines says.
  void Replace(const std::string& worker) {
    const WorkerId id{worker, m_incarnations[worker]};
    m_bench.GetScheduler().WorkerReplaced(id, m_bench.Now());
    m_bench.RemoveWorker(worker);
    m_incarnations.erase(worker);
    const std::string next = worker + "+";
    m_incarnations[next] = 1;
    m_bench.AddWorker(next);
  }

  void ReportAll() {
    for (const auto& [id, worker] : m_bench.GetScheduler().Workers()) {
      if (m_incarnations.contains(id)) {
        m_reported.push_back(id);
      }
    }
    for (const std::string& id : std::exchange(m_reported, {})) {
      m_bench.Report(id, m_bench.Listing(id));
    }
  }

  // Lets the only waiting task start and returns its worker.
  std::string StartOnce() {
    for (int round = 0; round < kManyRounds; ++round) {
      const auto starts = m_bench.StepStartAndStop();
      if (!starts.empty()) {
        return starts.front().worker.id;
      }
      m_bench.Advance(milliseconds(250));
      ReportAll();
    }
    ADD_FAILURE() << "no task was started";
    return "";
  }

  void LeaveAfterStart() {
    const std::string worker = StartOnce();
    ReportAll();
    m_bench.SetDraining(worker);
    Replace(worker);
  }

  void CrashAfterStart() {
    const std::string worker = StartOnce();
    ReportAll();
    Crash(worker);
    ReportAll();
  }

  JobPhase PhaseOf(const std::string& job) {
    return m_bench.GetScheduler().FindJob(job)->phase;
  }

  // Runs the job's only task until it is not started any more; each of its
  // workers crashes `after` its start. Returns the number of its starts.
  std::size_t CrashEachWorkerOf(const std::string& job, milliseconds after) {
    std::size_t starts = 0;
    for (int round = 0; round < kManyRounds; ++round) {
      for (const StartOrder& start : m_bench.StepStartAndStop()) {
        if (start.task.job != job) {
          continue;
        }
        ++starts;
        m_bench.Advance(after);
        if (after > milliseconds(100)) {
          ReportAll();
        }
        Crash(start.worker.id);
        break;
      }
      m_bench.Advance(milliseconds(250));
      ReportAll();
    }
    return starts;
  }

  SchedulerBench m_bench;
  std::map<std::string, std::int64_t> m_incarnations;
  std::vector<std::string> m_reported;
};

TEST_F(CrashingTaskTest, IsNotStartedOnEveryWorkerInTurn) {
  m_bench.Submit(kJob, SchedulerBench::OneTask());
  EXPECT_LE(CrashEachWorkerOf(kJob, milliseconds(10)), kMostStarts);
  EXPECT_EQ(PhaseOf(kJob), JobPhase::kFailed);
}

TEST_F(CrashingTaskTest, ThatCrashesLateIsNotStartedOnEveryWorkerInTurn) {
  m_bench.Submit(kJob, SchedulerBench::OneTask());
  EXPECT_LE(CrashEachWorkerOf(kJob, milliseconds(600)), kMostStarts);
  EXPECT_EQ(PhaseOf(kJob), JobPhase::kFailed);
}

TEST_F(CrashingTaskTest, LongRunningOneIsNotStartedOnEveryWorkerInTurn) {
  m_bench.Submit(kJob, SchedulerBench::LongRunning(1, 1));
  EXPECT_LE(CrashEachWorkerOf(kJob, milliseconds(10)), kMostStarts);
  EXPECT_EQ(PhaseOf(kJob), JobPhase::kFailed);
}

TEST_F(CrashingTaskTest,
       IsGivenUpWhenOtherWorkersTakeThePlaceOfThoseItCrashed) {
  m_bench.Submit(kJob, SchedulerBench::OneTask());
  std::size_t starts = 0;
  for (int round = 0; round < kManyRounds; ++round) {
    for (const StartOrder& start : m_bench.StepStartAndStop()) {
      ++starts;
      m_bench.Advance(milliseconds(10));
      Replace(start.worker.id);
    }
    m_bench.Advance(milliseconds(250));
  }
  EXPECT_LE(starts, kMostStarts);
  EXPECT_EQ(PhaseOf(kJob), JobPhase::kFailed);
}

TEST_F(CrashingTaskTest, CrashesCountAcrossChangesOfLeader) {
  m_bench.Submit(kJob, SchedulerBench::OneTask());
  std::size_t starts = 0;
  for (int round = 0; round < kManyRounds; ++round) {
    for (const StartOrder& start : m_bench.StepStartAndStop()) {
      ++starts;
      m_bench.Advance(milliseconds(10));
      ReportAll();
      m_bench.Step();
      Crash(start.worker.id);
    }
    m_bench.Step();
    m_bench = m_bench.Successor(milliseconds(18000));
    m_bench.Advance(milliseconds(250));
    ReportAll();
  }
  EXPECT_LE(starts, kMostStarts);
  EXPECT_EQ(PhaseOf(kJob), JobPhase::kFailed);
}

TEST_F(CrashingTaskTest, CrashJustBeforeAChangeOfLeaderCounts) {
  m_bench.Submit(kJob, SchedulerBench::OneTask());
  std::size_t starts = 0;
  for (int round = 0; round < kManyRounds; ++round) {
    for (const StartOrder& start : m_bench.StepStartAndStop()) {
      ++starts;
      m_bench.Advance(milliseconds(10));
      ReportAll();
      m_bench.Step();
      // The leader ends before it learns of the crash.
      m_bench = m_bench.Successor(milliseconds(18000));
      Crash(start.worker.id);
    }
    m_bench.Advance(milliseconds(250));
    ReportAll();
  }
  EXPECT_LE(starts, kMostStarts);
  EXPECT_EQ(PhaseOf(kJob), JobPhase::kFailed);
}

TEST_F(CrashingTaskTest, TasksThatRanNextToItAreDone) {
  JobSpec many = SchedulerBench::OneTask();
  many.steps.front().count = 12;
  m_bench.Submit(kOther, many);
  m_bench.Submit(kJob, SchedulerBench::OneTask());
  std::map<std::string, std::uint64_t> sequences;
  std::vector<StartOrder> running;
  for (int round = 0; round < kManyRounds; ++round) {
    const auto starts = m_bench.StepStartAndStop();
    running.insert(running.end(), starts.begin(), starts.end());
    const auto deadly = std::ranges::find(
        starts, std::string(kJob),
        [](const StartOrder& start) { return start.task.job; });
    m_bench.Advance(milliseconds(10));
    if (deadly != starts.end()) {
      const std::string worker = deadly->worker.id;
      std::erase_if(running, [&worker](const StartOrder& start) {
        return start.worker.id == worker;
      });
      Crash(worker);
      sequences[worker] = 0;
    }
    m_bench.Advance(milliseconds(250));
    ReportAll();
    m_bench.Advance(milliseconds(250));
    for (const StartOrder& start : std::exchange(running, {})) {
      m_bench.End(start, RunEnd::kDone, ++sequences[start.worker.id]);
    }
  }
  EXPECT_EQ(PhaseOf(kJob), JobPhase::kFailed);
  EXPECT_EQ(PhaseOf(kOther), JobPhase::kDone);
}

TEST_F(CrashingTaskTest, CrashesOfAllWorkersTogetherFailNoJob) {
  JobSpec many = SchedulerBench::OneTask();
  many.steps.front().count = 40;
  m_bench.Submit(kOther, many);
  for (int crash = 0; crash < 3; ++crash) {
    for (int round = 0; round < kManyRounds; ++round) {
      m_bench.StepStartAndStop();
      m_bench.Advance(milliseconds(250));
      ReportAll();
    }
    for (const char* id : {"a", "b", "c", "d"}) {
      Crash(id);
    }
  }
  m_bench.Step();
  EXPECT_EQ(PhaseOf(kOther), JobPhase::kRunning);
}

TEST_F(CrashingTaskTest, DrainingWorkerThatLeavesIsNoEvidence) {
  m_bench.Submit(kJob, SchedulerBench::OneTask());
  for (int round = 0; round < 2; ++round) {
    const auto starts = m_bench.StepStartAndStop();
    ASSERT_THAT(starts, SizeIs(1));
    m_bench.SetDraining(starts.front().worker.id);
    Replace(starts.front().worker.id);
  }
  const auto starts = m_bench.StepStartAndStop();
  ASSERT_THAT(starts, SizeIs(1));
  EXPECT_EQ(PhaseOf(kJob), JobPhase::kRunning);
}

// The order of ends of review/9: the job was shown as failed after one crash.
TEST_F(CrashingTaskTest, PlannedLeavesBeforeACrashFailNoJob) {
  m_bench.Submit(kJob, SchedulerBench::OneTask());
  for (int leave = 0; leave < 6; ++leave) {
    LeaveAfterStart();
  }
  CrashAfterStart();
  LeaveAfterStart();
  EXPECT_THAT(m_bench.StepStartAndStop(), SizeIs(1));
  EXPECT_EQ(PhaseOf(kJob), JobPhase::kRunning);
}

// Leaves count neither as crashes nor towards the starts after them.
TEST_F(CrashingTaskTest, PlannedLeavesAmongTwoCrashesFailNoJob) {
  for (int first = 0; first < 5; ++first) {
    for (int second = first + 1; second < 6; ++second) {
      const std::string job =
          "5c0e7a21d94b36" + std::to_string(first) + std::to_string(second);
      m_bench.Submit(job, SchedulerBench::OneTask());
      for (int end = 0; end < 6; ++end) {
        if (end == first || end == second) {
          CrashAfterStart();
        } else {
          LeaveAfterStart();
        }
      }
      EXPECT_EQ(PhaseOf(job), JobPhase::kRunning) << first << ", " << second;
      m_bench.GetScheduler().Cancel(job, m_bench.Now());
      m_bench.StepStartAndStop();
    }
  }
}

// The leader that sees the worker end is not the one that saw it drain.
TEST_F(CrashingTaskTest, PlannedLeavesOverChangesOfLeaderFailNoJob) {
  m_bench.Submit(kJob, SchedulerBench::OneTask());
  for (int leave = 0; leave < 6; ++leave) {
    const std::string worker = StartOnce();
    ReportAll();
    m_bench.SetDraining(worker);
    m_bench.Step();
    m_bench = m_bench.Successor(milliseconds(18000));
    Replace(worker);
  }
  CrashAfterStart();
  EXPECT_THAT(m_bench.StepStartAndStop(), SizeIs(1));
  EXPECT_EQ(PhaseOf(kJob), JobPhase::kRunning);
}

// It drained, left and was removed from the list while there was no leader.
TEST_F(CrashingTaskTest, WorkersThatEndedBetweenLeadersFailNoJob) {
  m_bench.Submit(kJob, SchedulerBench::OneTask());
  for (int leave = 0; leave < 6; ++leave) {
    const std::string worker = StartOnce();
    ReportAll();
    m_bench.Step();
    const WorkerId id{worker, m_incarnations[worker]};
    m_bench.RemoveWorker(worker);
    m_incarnations.erase(worker);
    m_bench = m_bench.Successor(milliseconds(18000));
    m_bench.GetScheduler().WorkerReplaced(id, m_bench.Now());
    m_incarnations[worker + "+"] = 1;
    m_bench.AddWorker(worker + "+");
    ReportAll();
  }
  EXPECT_THAT(m_bench.StepStartAndStop(), SizeIs(1));
  EXPECT_EQ(PhaseOf(kJob), JobPhase::kRunning);
}

// The order to end the worker had no answer; its next incarnation is heard of.
TEST_F(CrashingTaskTest, EndsByAnOrderOfTheLeaderFailNoJob) {
  m_bench.Submit(kJob, SchedulerBench::OneTask());
  for (int order = 0; order < 6; ++order) {
    const std::string worker = StartOnce();
    ReportAll();
    m_bench.GetScheduler().CordonAndMarkUnavailable(worker, m_bench.Now());
    Crash(worker);
    m_bench.GetScheduler().SetCordoned(worker, false);
    ReportAll();
  }
  EXPECT_THAT(m_bench.StepStartAndStop(), SizeIs(1));
  EXPECT_EQ(PhaseOf(kJob), JobPhase::kRunning);
}

TEST_F(CrashingTaskTest, IsNotStartedOnEveryWorkerInTurnAmongPlannedLeaves) {
  m_bench.Submit(kJob, SchedulerBench::OneTask());
  std::size_t starts_after_third_crash = 0;
  std::size_t crashes = 0;
  for (int round = 0; round < kManyRounds && PhaseOf(kJob) != JobPhase::kFailed;
       ++round) {
    const std::string worker = StartOnce();
    ASSERT_FALSE(worker.empty());
    starts_after_third_crash += crashes >= 3 ? 1 : 0;
    if (round % 3 == 0) {
      m_bench.SetDraining(worker);
      Replace(worker);
    } else {
      Crash(worker);
      ++crashes;
      m_bench.Advance(milliseconds(250));
      ReportAll();
    }
  }
  EXPECT_EQ(PhaseOf(kJob), JobPhase::kFailed);
  EXPECT_LE(starts_after_third_crash, 2U);
}

TEST_F(CrashingTaskTest, WorkerThatCrashedIsUsedSoon) {
  m_bench.Submit(kJob, SchedulerBench::OneTask());
  const auto starts = m_bench.StepStartAndStop();
  ASSERT_THAT(starts, SizeIs(1));
  for (const char* id : {"a", "b", "c", "d"}) {
    Crash(id);
  }
  std::size_t started = 0;
  for (int report = 0; report < 3; ++report) {
    m_bench.Advance(milliseconds(10));
    ReportAll();
    started += m_bench.StepStartAndStop().size();
  }
  EXPECT_EQ(started, 1U);
}

TEST_F(CrashingTaskTest, LongRunningTaskThatServedIsCleared) {
  m_bench.Submit(kJob, SchedulerBench::LongRunning(1, 1));
  for (int round = 0; round < kManyRounds; ++round) {
    const auto starts = m_bench.StepStartAndStop();
    ASSERT_THAT(starts, SizeIs(1)) << round;
    m_bench.Advance(milliseconds(6000));
    ReportAll();
    Crash(starts.front().worker.id);
  }
  EXPECT_EQ(PhaseOf(kJob), JobPhase::kRunning);
}

}  // namespace
}  // namespace cassiastile::jobs
