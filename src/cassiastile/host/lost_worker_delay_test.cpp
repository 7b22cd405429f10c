// How long the tasks of a worker that is cut off wait for their start on
// another one, where no worker has restarted lately.
#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "cassiastile/host/worker_lease.hpp"
#include "virtual_world_bench.hpp"

namespace cassiastile::host {
namespace {

using std::chrono::milliseconds;
using testing::IsEmpty;

// Calls for a former life and their leases are over by then.
constexpr milliseconds kOldLives{40000};
constexpr milliseconds kTask{90000};
constexpr std::uint32_t kTasks = 9;
// Within this time after its submission a job runs.
constexpr milliseconds kStarted{400};

// The leader notices at the end of a call, which waits 1 s and has a timeout of
// 0.8 s. Until then it may extend the lease by starts. Runs are given up with
// the next plan, which at the latest the next report of another worker causes.
constexpr milliseconds kDetection{1800};
// To plan, store and send the starts.
constexpr milliseconds kPlanning{200};
// From the loss of a worker that its leader hears.
constexpr milliseconds kLongestDelay =
    std::chrono::duration_cast<milliseconds>(LeaseEnd({}).time_since_epoch()) +
    kDetection + kPlanning;
// From when a leader serves, for runs of its predecessor, which may extend
// leases for 8 s without a commit.
constexpr milliseconds kLongestTakeoverDelay =
    milliseconds(8000) + kLongestDelay;
// The same for a run that is not stored as listed: the start may be carried out
// 13 s late, with a lease of 10 s.
constexpr milliseconds kLongestUnlistedDelay =
    milliseconds(13000) + milliseconds(10000) + kDetection + kPlanning;

// What happens around the loss of a worker.
struct LossDay {
  // Empty: the leader stays.
  std::optional<milliseconds> loss_after_takeover;
  // The tasks were started by the former leader.
  bool recovered = false;
  // The successor never hears the worker.
  bool unheard = false;
  // The workers crashed this long before, and began under new ids, or restarted
  // under their ids; zero: neither.
  milliseconds crashed_before{0};
  milliseconds restarted_before{0};
};

// Times until the worker's tasks have started elsewhere.
struct Delays {
  milliseconds from_loss{0};
  // From when the last leader serves.
  milliseconds from_serving{0};
  // The same for the last task as well, whose start was stored last: nothing
  // has stored yet that it is listed.
  milliseconds last_from_serving{0};
};

Delays MeasureDelays(const LossDay& day, std::uint64_t seed) {
  VirtualWorld world({.seed = seed,
                      .services = 1,
                      .workers_per_service = 2,
                      .spare_machines = 0,
                      .heartbeat = milliseconds(1500)});
  world.RunFor(kOldLives + milliseconds(97 * seed));
  for (const std::string& worker : world.WorkerIds()) {
    if (day.crashed_before.count() > 0) {
      world.CrashWorker(worker, milliseconds(500));
    } else if (day.restarted_before.count() > 0) {
      world.RestartWorker(worker, milliseconds(500), milliseconds(50));
    }
  }
  world.RunFor(std::max(day.crashed_before, day.restarted_before));
  std::string job;
  const auto cut_off = [&world] {
    const std::string lost = std::ranges::max(
        world.WorkerIds(), {}, [&world](const std::string& worker) {
          return world.CountRunsOn(worker);
        });
    world.Faults().silent_workers = {lost};
    return world.Now();
  };
  base::TimePoint served = world.Now();
  base::TimePoint lost_at = world.Now();
  if (day.recovered) {
    world.Submit(0, 1, 24, milliseconds(1000));
    world.RunFor(milliseconds(100));
    // The last one has no room at first. With its start it is stored that the
    // others run.
    job = world.Submit(0, 1, kTasks, kTask);
    world.RunFor(milliseconds(1500));
  }
  if (day.loss_after_takeover) {
    if (day.unheard) {
      lost_at = cut_off();
    }
    world.KillHost(*world.LeaderIndex());
    while (!world.LeaderIndex()) {
      world.RunFor(milliseconds(1));
    }
    served = world.Now();
    world.RunFor(*day.loss_after_takeover -
                 (day.unheard ? milliseconds(0) : kStarted));
  }
  if (!day.recovered) {
    job = world.Submit(0, 1, kTasks, kTask);
  }
  world.RunFor(day.unheard ? milliseconds(0) : kStarted);
  EXPECT_EQ(world.CountRuns(job), kTasks);
  if (!day.unheard) {
    lost_at = cut_off();
  }
  const auto count_elsewhere = [&world] {
    std::size_t count = 0;
    for (const std::string& worker : world.WorkerIds()) {
      count += world.Faults().silent_workers.contains(worker)
                   ? 0
                   : world.CountRunsOn(worker);
    }
    return count;
  };
  EXPECT_LT(count_elsewhere(), kTasks - 1);
  const base::TimePoint limit = world.Now() + milliseconds(60000);
  const auto await_elsewhere = [&](std::size_t count) {
    while (count_elsewhere() < count && world.Now() < limit) {
      world.RunFor(milliseconds(10));
    }
    EXPECT_GE(count_elsewhere(), count);
    return world.Now();
  };
  const base::TimePoint most_at = await_elsewhere(kTasks - 1);
  const base::TimePoint all_at = await_elsewhere(kTasks);
  EXPECT_THAT(world.Violations(), IsEmpty());
  const auto millis = [](base::Duration time) {
    return std::chrono::duration_cast<milliseconds>(time);
  };
  return {millis(most_at - lost_at), millis(most_at - served),
          millis(all_at - served)};
}

// Requires that the tasks start elsewhere by one of the bounds.
void ExpectStartsWithin(const LossDay& day,
                        milliseconds from_loss,
                        milliseconds from_serving = milliseconds(0)) {
  constexpr std::uint64_t kSeeds = 10;
  milliseconds longest{0};
  milliseconds serving{0};
  milliseconds last{0};
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Delays delays = MeasureDelays(day, seed);
    longest = std::max(longest, delays.from_loss);
    serving = std::max(serving, delays.from_serving);
    EXPECT_TRUE(delays.from_loss <= from_loss ||
                delays.from_serving <= from_serving)
        << "seed " << seed << ": " << delays.from_loss.count()
        << " ms from the loss, " << delays.from_serving.count()
        << " ms from the takeover";
    EXPECT_LE(
        delays.last_from_serving,
        std::max(from_loss + day.loss_after_takeover.value_or(milliseconds(0)),
                 kLongestUnlistedDelay))
        << "seed " << seed;
    last = std::max(last, delays.last_from_serving);
  }
  testing::Test::RecordProperty("last_from_serving_ms",
                                static_cast<int>(last.count()));
  testing::Test::RecordProperty("from_serving_ms",
                                static_cast<int>(serving.count()));
  testing::Test::RecordProperty("longest_ms",
                                static_cast<int>(longest.count()));
}

TEST(LostWorkerDelayTest, LeaderStays) {
  ExpectStartsWithin({}, kLongestDelay);
}

TEST(LostWorkerDelayTest, WorkerThatRestartedLongAgo) {
  ExpectStartsWithin({.restarted_before = kOldLives}, kLongestDelay);
}

TEST(LostWorkerDelayTest, NewWorkerOfALeaderThatStays) {
  ExpectStartsWithin({.crashed_before = milliseconds(3000)}, kLongestDelay);
}

class LostWorkerTakeoverDelayTest : public testing::TestWithParam<int> {
 protected:
  static milliseconds LossAfterTakeover() { return milliseconds(GetParam()); }
};

TEST_P(LostWorkerTakeoverDelayTest, TasksThatTheSuccessorStarted) {
  ExpectStartsWithin({.loss_after_takeover = LossAfterTakeover()},
                     kLongestDelay);
}

TEST_P(LostWorkerTakeoverDelayTest, TasksOfAWorkerThatRestartedLongAgo) {
  ExpectStartsWithin({.loss_after_takeover = LossAfterTakeover(),
                      .restarted_before = kOldLives},
                     kLongestDelay);
}

// The former leader may have extended the leases until its unconfirmed term
// ended.
TEST_P(LostWorkerTakeoverDelayTest, TasksThatTheFormerLeaderStarted) {
  ExpectStartsWithin(
      {.loss_after_takeover = LossAfterTakeover(), .recovered = true},
      kLongestDelay, kLongestTakeoverDelay);
}

INSTANTIATE_TEST_SUITE_P(MillisAfterTakeover,
                         LostWorkerTakeoverDelayTest,
                         testing::Values(1000, 5000, 20000));

TEST(LostWorkerDelayTest, WorkerThatTheSuccessorNeverHears) {
  ExpectStartsWithin({.loss_after_takeover = milliseconds(0),
                      .recovered = true,
                      .unheard = true},
                     kLongestDelay, kLongestTakeoverDelay);
}

TEST(LostWorkerDelayTest, WorkerOfLongAgoThatTheSuccessorNeverHears) {
  ExpectStartsWithin({.loss_after_takeover = milliseconds(0),
                      .recovered = true,
                      .unheard = true,
                      .restarted_before = kOldLives},
                     kLongestDelay, kLongestTakeoverDelay);
}

}  // namespace
}  // namespace cassiastile::host
