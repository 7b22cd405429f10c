#include "cassiastile/jobs/worker_speed.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "scheduler_bench.hpp"

namespace cassiastile::jobs {
namespace {

using std::chrono::milliseconds;

constexpr base::TimePoint kNow{milliseconds(1000)};

// Guards against taking a worker for slow because of the one task in 33 that
// takes seven times as long on any worker.
TEST(WorkerSpeedTest, FewLongTasksMakeNoWorkerSlow) {
  WorkerSpeed speed;
  EXPECT_FALSE(speed.Update({7, 7, 7, 1, 1, 1, 1}, kNow));
  EXPECT_FALSE(speed.IsSlow());
  // Nor do a few tasks that all take long.
  EXPECT_FALSE(speed.Update({7, 7, 7, 7, 7, 7}, kNow));
}

TEST(WorkerSpeedTest, IsSlowUntilItsTasksAreClearlyFaster) {
  WorkerSpeed speed;
  EXPECT_TRUE(speed.Update(std::vector<double>(7, 2.5), kNow));
  EXPECT_TRUE(speed.IsSlow());
  EXPECT_FALSE(speed.Update(std::vector<double>(7, 1.8), kNow));
  EXPECT_TRUE(speed.IsSlow());
  EXPECT_TRUE(speed.Update(std::vector<double>(7, 1.2), kNow));
  EXPECT_FALSE(speed.IsSlow());
}

// Guards against a worker that is never used again because nothing is measured
// on it.
TEST(WorkerSpeedTest, CountsAsAnyOtherOnceItsTasksAreOld) {
  WorkerSpeed speed;
  for (int i = 0; i < 7; ++i) {
    speed.TaskEnded(5, kNow);
  }
  EXPECT_TRUE(speed.Update({}, kNow));
  EXPECT_FALSE(speed.Update({}, kNow + milliseconds(5000)));
  EXPECT_TRUE(speed.Update({}, kNow + milliseconds(5001)));
  EXPECT_FALSE(speed.IsSlow());
}

TEST(WorkerSpeedTest, RunningTaskIsJudgedByItsProgressOrWhenOverdue) {
  const milliseconds usual(1000);
  EXPECT_DOUBLE_EQ(
      *ExpectMultiple(usual, milliseconds(500), milliseconds(400), 20), 2.0);
  EXPECT_FALSE(ExpectMultiple(usual, milliseconds(500), milliseconds(400), 9));
  EXPECT_DOUBLE_EQ(
      *ExpectMultiple(usual, milliseconds(2500), milliseconds(0), 0), 2.5);
  EXPECT_FALSE(ExpectMultiple(milliseconds(0), usual, usual, 50));
}

// Twelve workers of 16 cores and tasks of 2 cores that usually take 1 s. Some
// of the workers take seven times as long.
class SlowWorkerTest : public testing::Test {
 protected:
  static constexpr milliseconds kTick{50};
  static constexpr milliseconds kUsual{1000};
  static constexpr int kSlowBy = 7;
  static constexpr int kWorkers = 12;

  explicit SlowWorkerTest(bool avoid_slow_workers = true)
      : m_bench(2, {.avoid_slow_workers = avoid_slow_workers}) {
    for (int i = 0; i < kWorkers; ++i) {
      m_bench.AddWorker(NameOf(i));
    }
    // Ends with the queue's usual duration known.
    Play(milliseconds(4000), 3);
    m_jobs.clear();
  }

  static std::string NameOf(int worker) { return "w" + std::to_string(worker); }

  // Submits a job of 8 tasks every `ticks_per_job` ticks.
  void Play(milliseconds time, int ticks_per_job) {
    for (auto tick = time / kTick; tick > 0; --tick) {
      if (tick % ticks_per_job == 0) {
        JobSpec spec = SchedulerBench::OneTask(2000);
        spec.steps.front().count = 8;
        spec.steps.front().estimate = kUsual;
        const std::string id = std::to_string(1000000 + ++m_number);
        if (m_bench.Submit(id, spec).verdict == Submission::Verdict::kNew) {
          m_jobs[id] = m_bench.Now();
        }
      }
      const Orders orders = m_bench.Step();
      for (const SpeedChange& change : orders.speed_changes) {
        (change.slow ? m_became_slow : m_recovered)
            .emplace(change.worker.id, m_bench.Now());
      }
      for (const StartOrder& start : m_bench.Answer(orders)) {
        m_runs.emplace_back(start, Progress{});
        ++m_starts[start.worker.id];
      }
      Advance();
    }
  }

  struct Progress {
    double done_ms = 0;
    base::TimePoint at{};
  };

  // Has all tasks work for a tick, and all workers report.
  void Advance() {
    m_bench.Advance(kTick);
    std::map<std::string, std::map<std::string, int>> percents;
    std::erase_if(m_runs, [&](auto& each) {
      auto& [start, progress] = each;
      const bool slow = m_slow.contains(start.worker.id);
      progress.done_ms +=
          static_cast<double>(kTick.count()) / (slow ? kSlowBy : 1);
      percents[start.worker.id]
              [start.task.job + "." + std::to_string(start.task.index)] =
                  static_cast<int>(progress.done_ms * 100 / kUsual.count());
      if (progress.done_ms < static_cast<double>(kUsual.count())) {
        return false;
      }
      m_bench.End(start, RunEnd::kDone, ++m_sequences[start.worker.id]);
      return true;
    });
    for (int i = 0; i < kWorkers; ++i) {
      WorkerReport report = m_bench.Listing(NameOf(i));
      for (ListedRun& run : report.running) {
        run.percent = percents[NameOf(i)][run.task.job + "." +
                                          std::to_string(run.task.index)];
      }
      m_bench.Report(NameOf(i), report);
    }
  }

  // The share of the jobs submitted that end within their objective of 2.6 s,
  // or may yet do so.
  double InTime() {
    const milliseconds objective = 2 * kUsual + milliseconds(600);
    std::size_t late = 0;
    for (const auto& [id, at] : m_jobs) {
      const Job* job = m_bench.GetScheduler().FindJob(id);
      const auto end =
          IsFinished(job->phase) ? job->finished_at : m_bench.Now();
      late += end - at > objective ? 1 : 0;
    }
    return 1 - static_cast<double>(late) / static_cast<double>(m_jobs.size());
  }

  SchedulerBench m_bench;
  std::set<std::string> m_slow;
  std::map<std::string, int> m_starts;  // By worker.
  std::map<std::string, base::TimePoint> m_became_slow;
  std::map<std::string, base::TimePoint> m_recovered;

 private:
  std::vector<std::pair<StartOrder, Progress>> m_runs;
  std::map<std::string, std::uint64_t> m_sequences;
  std::map<std::string, base::TimePoint> m_jobs;
  int m_number = 0;
};

// Guards against jobs that are late because one of their tasks is on a slow
// worker that would be found out only when it ends.
TEST_F(SlowWorkerTest, GetsNothingWhileOthersHaveRoom) {
  m_slow = {NameOf(0)};
  Play(milliseconds(1500), 3);
  EXPECT_TRUE(m_became_slow.contains(NameOf(0)));
  EXPECT_EQ(m_became_slow.size(), 1U);
  m_starts.clear();
  Play(milliseconds(3000), 3);
  EXPECT_EQ(m_starts[NameOf(0)], 0);
}

TEST_F(SlowWorkerTest, ComesBackWhenItHasRecovered) {
  m_slow = {NameOf(0)};
  Play(milliseconds(1500), 3);
  ASSERT_TRUE(m_became_slow.contains(NameOf(0)));
  m_slow.clear();
  Play(milliseconds(7000), 3);
  EXPECT_TRUE(m_recovered.contains(NameOf(0)));
  m_starts.clear();
  Play(milliseconds(2000), 2);
  EXPECT_GT(m_starts[NameOf(0)], 0);
}

// Guards against a pool without workers when its work takes longer than before.
TEST_F(SlowWorkerTest, NoneIsAvoidedWhenManyAreSlow) {
  for (int i = 0; i < kWorkers / 2; ++i) {
    m_slow.insert(NameOf(i));
  }
  Play(milliseconds(3000), 2);
  m_starts.clear();
  // Until tasks that began while they were slow have ended there.
  Play(milliseconds(7000), 2);
  int started = 0;
  for (const std::string& worker : m_slow) {
    started += m_starts[worker];
  }
  EXPECT_GT(started, 0);
}

// Guards against measuring runs whose beginning the new leader does not know.
TEST_F(SlowWorkerTest, NewLeaderMeasuresAnew) {
  m_slow = {NameOf(0)};
  Play(milliseconds(1500), 3);
  m_bench = m_bench.Successor(milliseconds(3000));
  m_became_slow.clear();
  Play(milliseconds(4000), 3);
  EXPECT_EQ(m_became_slow.size(), 1U);
  EXPECT_TRUE(m_became_slow.contains(NameOf(0)));
}

class KeptSlowWorkerTest : public SlowWorkerTest {
 protected:
  KeptSlowWorkerTest() : SlowWorkerTest(false) {}
};

TEST_F(KeptSlowWorkerTest, WithoutTheSettingNoneIsAvoided) {
  m_slow = {NameOf(0)};
  Play(milliseconds(1500), 3);
  m_starts.clear();
  Play(milliseconds(3000), 3);
  EXPECT_TRUE(m_became_slow.empty());
  EXPECT_GT(m_starts[NameOf(0)], 0);
}

}  // namespace
}  // namespace cassiastile::jobs
