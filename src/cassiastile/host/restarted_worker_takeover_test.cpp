// Workers that restart under their ids while calls for their former life are on
// their way, shortly before the leader is replaced and they are cut off.
#include <algorithm>
#include <functional>
#include <iterator>
#include <string>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "virtual_world_bench.hpp"

namespace cassiastile::host {
namespace {

using std::chrono::milliseconds;
using testing::IsEmpty;

// Until then the clocks of the first lives are ahead of those of the next ones
// by more than the longest lease.
constexpr milliseconds kLongLives{12000};
constexpr milliseconds kLongTask{12000};
constexpr std::size_t kHosts = 5;

// Runs until another leader serves, for 5 s at most.
void AwaitLeader(VirtualWorld& world) {
  const base::TimePoint limit = world.Now() + milliseconds(5000);
  while (!world.LeaderIndex() && world.Now() < limit) {
    world.RunFor(milliseconds(1));
  }
}

// The successor counts with its own extensions only, while the worker's lease
// is a longer one of the former clock.
TEST(RestartedWorkerTakeoverTest, LeaseOfTheFormerClockOutlastsTheLeader) {
  VirtualWorld world(
      {.services = 1, .workers_per_service = 2, .spare_machines = 0});
  world.RunFor(kLongLives);
  const std::string worker = world.WorkerIds().front();
  world.Faults().restarting_workers_are_silent = true;
  world.RestartWorker(worker, milliseconds(600), milliseconds(50));
  // Its starts reach the next life.
  const std::string former = world.Submit(0, 1, 32, milliseconds(300));
  world.RunFor(milliseconds(700));
  ASSERT_GT(world.CallsToNextIncarnations(), 0U);
  world.RunFor(milliseconds(2000));
  ASSERT_EQ(world.CountDoneTasks(former), 32U);
  world.KillHost(*world.LeaderIndex());
  AwaitLeader(world);
  ASSERT_TRUE(world.LeaderIndex());
  const std::string job = world.Submit(0, 1, 8, kLongTask);
  world.RunFor(milliseconds(500));
  ASSERT_GT(world.CountRunsOn(worker), 0U);
  world.Faults().silent_workers = {worker};
  world.RunFor(milliseconds(11000));
  world.Faults() = {};
  world.RunFor(milliseconds(30000));
  EXPECT_THAT(world.Violations(), IsEmpty());
  EXPECT_EQ(world.CountDoneTasks(job), 8U);
}

// A late extension for the former life makes the lease of the next one longer
// than any that the successor, which never hears the worker, counts with.
TEST(RestartedWorkerTakeoverTest, LateExtensionOutlastsAnUnheardSuccessor) {
  VirtualWorld world(
      {.services = 1, .workers_per_service = 2, .spare_machines = 0});
  world.RunFor(kLongLives);
  const std::vector<std::string> workers = world.WorkerIds();
  world.Faults().restarting_workers_are_silent = true;
  world.Faults().extension_delay = milliseconds(9000);
  world.RunFor(milliseconds(1050));
  world.Faults().extension_delay = {};
  for (const std::string& worker : workers) {
    world.RestartWorker(worker, milliseconds(600), milliseconds(50));
  }
  world.Submit(0, 1, 32, milliseconds(300));
  world.RunFor(milliseconds(1500));
  world.Submit(0, 1, 24, milliseconds(1000));
  world.RunFor(milliseconds(100));
  // Only some of its tasks have room at first. With the start of the others it
  // is stored that those run.
  const std::string job = world.Submit(0, 1, 12, milliseconds(26000));
  world.RunFor(milliseconds(1200));
  ASSERT_EQ(world.CountRuns(job), 12U);
  const std::string worker =
      world.CountRunsOn(workers[0]) >= world.CountRunsOn(workers[1])
          ? workers[0]
          : workers[1];
  const std::uint64_t calls = world.CallsToNextIncarnations();
  world.Faults().silent_workers = {worker};
  world.KillHost(*world.LeaderIndex());
  world.RunFor(milliseconds(25000));
  ASSERT_GT(world.CallsToNextIncarnations(), calls);
  world.Faults() = {};
  world.RunFor(milliseconds(60000));
  EXPECT_THAT(world.Violations(), IsEmpty());
  EXPECT_EQ(world.CountDoneTasks(job), 12U);
}

// The worker is listed as a new life before the successor lists it, and an
// extension that the former leader sent before the restart comes in between.
TEST(RestartedWorkerTakeoverTest, RestartThatNoLeaderSawLeavesALongLease) {
  VirtualWorld world(
      {.services = 1, .workers_per_service = 2, .spare_machines = 0});
  world.RunFor(kLongLives);
  const std::vector<std::string> workers = world.WorkerIds();
  const std::size_t leader = *world.LeaderIndex();
  world.Faults().restarting_workers_are_silent = true;
  world.Faults().extension_delay = milliseconds(1500);
  world.RunFor(milliseconds(1050));
  world.Faults().extension_delay = {};
  for (const std::string& worker : workers) {
    world.RestartWorker(worker, milliseconds(20), milliseconds(300));
  }
  world.RunFor(milliseconds(10));
  world.PauseHost(leader, milliseconds(20000));
  AwaitLeader(world);
  ASSERT_TRUE(world.LeaderIndex());
  ASSERT_GT(world.CallsToNextIncarnations(), 1U);
  const std::string job = world.Submit(0, 1, 8, kLongTask);
  world.RunFor(milliseconds(500));
  ASSERT_EQ(world.CountRuns(job), 8U);
  const std::string worker =
      world.CountRunsOn(workers[0]) > 0 ? workers[0] : workers[1];
  world.Faults().silent_workers = {worker};
  world.RunFor(milliseconds(11000));
  world.Faults() = {};
  world.RunFor(milliseconds(30000));
  EXPECT_THAT(world.Violations(), IsEmpty());
  EXPECT_EQ(world.CountDoneTasks(job), 8U);
}

// The life is older than calls may be late when the successor hears it first,
// and the lease from such a call still runs.
TEST(RestartedWorkerTakeoverTest, LateExtensionCameLongAfterTheRestart) {
  VirtualWorld world(
      {.services = 1, .workers_per_service = 2, .spare_machines = 0});
  world.RunFor(2 * kLongLives);
  const std::vector<std::string> workers = world.WorkerIds();
  world.Faults().extension_delay = milliseconds(12000);
  world.RunFor(milliseconds(1050));
  world.Faults().extension_delay = {};
  for (const std::string& worker : workers) {
    world.RestartWorker(worker, milliseconds(20), milliseconds(50));
  }
  world.RunFor(milliseconds(13150));
  ASSERT_GT(world.CallsToNextIncarnations(), 0U);
  world.KillHost(*world.LeaderIndex());
  AwaitLeader(world);
  ASSERT_TRUE(world.LeaderIndex());
  const std::string job = world.Submit(0, 1, 8, kLongTask);
  world.RunFor(milliseconds(400));
  ASSERT_EQ(world.CountRuns(job), 8U);
  world.Faults().silent_workers = {
      world.CountRunsOn(workers[0]) > 0 ? workers[0] : workers[1]};
  world.RunFor(milliseconds(11000));
  world.Faults() = {};
  world.RunFor(milliseconds(30000));
  EXPECT_THAT(world.Violations(), IsEmpty());
  EXPECT_EQ(world.CountDoneTasks(job), 8U);
}

enum class LeaderChange { kNone, kKilled, kResigns, kPaused, kTwoKilled };

// A random day: workers restart, the leader changes, and then they are cut off.
struct TakeoverDay {
  LeaderChange change = LeaderChange::kKilled;
  // From the restarts to the change.
  milliseconds restart_to_change{2000};
  // The workers are cut off with the change, so that the next leader does not
  // hear them; otherwise 0.2 to 0.8 s after it serves.
  bool unheard = false;
  milliseconds cut_off{10000};
  // When the table shows a restart at the latest.
  milliseconds latest_listing{600};
  bool restart_twice = false;
  bool relayed = false;
  bool long_running = false;
  bool wave = false;
  milliseconds task = kLongTask;
  // The entries of the workers that are cut off expire.
  bool expire = false;
  double slow_calls = 0;
  double slow_answers = 0;
  double late_starts = 0;
  double late_stops = 0;
  double late_extensions = 0;
  double clock_rate = 1;
};

// What became of a day.
struct DayResult {
  std::vector<std::string> faults;
  // Whether a start or a lease extension reached another life of its worker
  // than the intended one.
  bool reached_next_life = false;
};

void ChangeLeader(VirtualWorld& world,
                  LeaderChange change,
                  const std::function<std::size_t(std::size_t)>& pick) {
  const auto leader = world.LeaderIndex();
  if (!leader) {
    return;
  }
  switch (change) {
    case LeaderChange::kNone:
      return;
    case LeaderChange::kKilled:
      world.KillHost(*leader);
      return;
    case LeaderChange::kResigns:
      world.StopHost(*leader);
      return;
    case LeaderChange::kPaused:
      world.PauseHost(*leader, milliseconds(1500 + pick(5000)));
      return;
    case LeaderChange::kTwoKilled:
      world.KillHost(*leader);
      world.RunFor(milliseconds(200 + pick(700)));
      if (const auto next = world.LeaderIndex()) {
        world.KillHost(*next);
      }
      return;
  }
}

DayResult Play(const TakeoverDay& day, std::uint64_t seed) {
  VirtualWorld world({.seed = seed,
                      .hosts = kHosts,
                      .services = 1,
                      .workers_per_service = 6,
                      .tasks_per_worker = 4,
                      .spare_machines = 0,
                      .min_relayed_workers = day.relayed ? 1U : 100U,
                      .worker_clock_rate = day.clock_rate,
                      .heartbeat = milliseconds(1500)});
  base::Random& random = world.RandomSource();
  const auto pick = [&random](std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
  };
  std::vector<std::string> jobs;
  const auto submit = [&](std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      const bool is_short = pick(3) == 0;
      jobs.push_back(
          world.Submit(0, 1, 1 + pick(8),
                       is_short ? milliseconds(100 + pick(900)) : day.task));
    }
  };
  std::vector<std::string> long_running;
  const auto submit_long_running = [&] {
    if (day.long_running) {
      long_running.push_back(world.SubmitLongRunning(0, 1 + pick(4)));
    }
  };
  world.RunFor(kLongLives);
  submit_long_running();
  world.Faults().restarting_workers_are_silent = true;
  world.Faults().silent_workers_expire = day.expire;
  world.Faults().slow_call_chance = day.slow_calls;
  world.Faults().slow_answer_chance = day.slow_answers;
  world.Faults().late_start_chance = day.late_starts;
  world.Faults().late_stop_chance = day.late_stops;
  world.Faults().late_extension_chance = day.late_extensions;
  jobs.push_back(world.Submit(0, 1, 24, milliseconds(200 + pick(800))));
  world.RunFor(milliseconds(pick(1000)));
  std::vector<std::string> restarted = world.WorkerIds();
  std::ranges::shuffle(restarted, random);
  restarted.resize(3);
  const auto restart = [&] {
    for (const std::string& worker : restarted) {
      world.RestartWorker(worker, milliseconds(500 + pick(300)),
                          milliseconds(pick(day.latest_listing.count())));
    }
  };
  restart();
  // Starts are sent to them while they are down.
  world.RunFor(milliseconds(pick(400)));
  jobs.push_back(world.Submit(0, 1, 24, milliseconds(200 + pick(800))));
  if (day.restart_twice) {
    world.RunFor(milliseconds(1000 + pick(400)));
    restart();
    world.RunFor(milliseconds(pick(400)));
    jobs.push_back(world.Submit(0, 1, 24, milliseconds(200 + pick(800))));
  }
  if (day.unheard) {
    // That a run is listed is stored with a later change of its job.
    submit(4);
  }
  world.RunFor(day.restart_to_change - milliseconds(300) +
               milliseconds(pick(600)));
  submit(pick(2));
  submit_long_running();
  world.RunFor(milliseconds(pick(100)));
  if (day.unheard) {
    world.Faults().silent_workers = {restarted.begin(), restarted.end()};
  }
  ChangeLeader(world, day.change, pick);
  world.RunFor(milliseconds(600 + pick(300)));
  submit(2);
  AwaitLeader(world);
  submit(2);
  submit_long_running();
  if (day.wave) {
    world.RequestWave(world.MachineNames(), 2);
  }
  world.RunFor(milliseconds(200 + pick(600)));
  world.Faults().silent_workers = {restarted.begin(), restarted.end()};
  DayResult result;
  // Callers ask for the jobs' states meanwhile.
  const auto run_and_ask = [&](milliseconds time) {
    constexpr milliseconds kAskInterval{2000};
    for (milliseconds waited{0}; waited < time; waited += kAskInterval) {
      for (const std::string& job : jobs) {
        world.Send(seed % kHosts, "GET", job);
      }
      world.RunFor(kAskInterval);
    }
  };
  run_and_ask(day.cut_off);
  world.Faults() = {};
  // Longer than calls may be late.
  run_and_ask(milliseconds(14000));
  const auto list_unfinished = [&] {
    std::vector<std::string> unfinished;
    for (const std::string& job : jobs) {
      if (world.SubmissionStatuses().at(job) == 200 &&
          world.CountDoneTasks(job) != world.TaskCountOf(job)) {
        unfinished.push_back(job);
      }
    }
    return unfinished;
  };
  const base::TimePoint end = world.Now() + milliseconds(30000) + 2 * day.task;
  const auto is_wave_open = [&] { return day.wave && !world.WaveIsDone(1); };
  while ((!list_unfinished().empty() || is_wave_open()) && world.Now() < end) {
    run_and_ask(milliseconds(2000));
  }
  if (is_wave_open()) {
    result.faults.emplace_back("the wave is not done at the end");
  }
  std::ranges::copy(world.Violations(), std::back_inserter(result.faults));
  result.reached_next_life = world.CallsToNextIncarnations() > 0;
  for (const std::string& job : list_unfinished()) {
    if (world.StateOf(job) != "failed") {
      result.faults.push_back("accepted job " + job +
                              " is not done at the end");
    }
  }
  for (const std::string& job : long_running) {
    if (world.SubmissionStatuses().at(job) == 200 &&
        world.CountRuns(job) != world.TaskCountOf(job)) {
      result.faults.push_back("not all tasks of " + job + " run at the end");
    }
  }
  return result;
}

constexpr std::uint64_t kSeeds = 100;

bool IsAboutAcknowledgements(const std::string& fault) {
  return fault.find("acknowledge") != std::string::npos;
}

// Requires that nothing goes wrong on any day but what `is_other` says.
void ExpectRunsOnce(
    const TakeoverDay& day,
    const std::function<bool(const std::string&)>& is_other = nullptr) {
  std::uint64_t broken = 0;
  std::uint64_t reached = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    DayResult result = Play(day, seed);
    if (is_other) {
      std::erase_if(result.faults, is_other);
    }
    EXPECT_THAT(result.faults, IsEmpty()) << "seed " << seed;
    broken += result.faults.empty() ? 0 : 1;
    reached += result.reached_next_life ? 1 : 0;
  }
  EXPECT_EQ(broken, 0U) << "of " << kSeeds << " days";
  // Otherwise the days would not show what they are for.
  EXPECT_GT(reached, kSeeds / 4);
  testing::Test::RecordProperty("reached", static_cast<int>(reached));
}

TEST(RestartedWorkerTakeoverDaysTest, CallsThatHangUntilTheRestart) {
  ExpectRunsOnce({});
}

TEST(RestartedWorkerTakeoverDaysTest, SlowAndLateCalls) {
  ExpectRunsOnce({.slow_calls = 0.1,
                  .late_starts = 0.02,
                  .late_stops = 0.02,
                  .late_extensions = 0.02});
}

TEST(RestartedWorkerTakeoverDaysTest, LeaderStays) {
  ExpectRunsOnce({.change = LeaderChange::kNone});
}

TEST(RestartedWorkerTakeoverDaysTest, LeaderResigns) {
  ExpectRunsOnce({.change = LeaderChange::kResigns});
}

TEST(RestartedWorkerTakeoverDaysTest, LeaderStandsStillAndGoesOn) {
  ExpectRunsOnce({.change = LeaderChange::kPaused});
}

TEST(RestartedWorkerTakeoverDaysTest, TwoLeadersInARow) {
  ExpectRunsOnce({.change = LeaderChange::kTwoKilled});
}

TEST(RestartedWorkerTakeoverDaysTest, RelayedCalls) {
  ExpectRunsOnce({.relayed = true});
}

// Only a late call for the first life can make a lease of the third one long.
constexpr TakeoverDay kTwoRestarts{.restart_twice = true,
                                   .late_starts = 0.1,
                                   .late_extensions = 0.1};

TEST(RestartedWorkerTakeoverDaysTest, WorkersThatRestartTwice) {
  ExpectRunsOnce(kTwoRestarts, IsAboutAcknowledgements);
}

TEST(RestartedWorkerTakeoverDaysTest, AcknowledgementsOfTwoRestarts) {
  ExpectRunsOnce(kTwoRestarts, std::not_fn(IsAboutAcknowledgements));
}

// On many days the leader does not learn of the restart, and calls that it sent
// before reach the next life.
TEST(RestartedWorkerTakeoverDaysTest, RestartsShortlyBeforeTheChange) {
  ExpectRunsOnce({.restart_to_change = milliseconds(300),
                  .latest_listing = milliseconds(3000),
                  .slow_calls = 0.2});
}

TEST(RestartedWorkerTakeoverDaysTest, SuccessorNeverHearsTheWorkers) {
  ExpectRunsOnce({.unheard = true});
}

TEST(RestartedWorkerTakeoverDaysTest, UnheardWorkersGetLateExtensions) {
  ExpectRunsOnce({.unheard = true,
                  .cut_off = milliseconds(25000),
                  .task = milliseconds(26000),
                  .late_extensions = 0.5});
}

TEST(RestartedWorkerTakeoverDaysTest, LateExtensions) {
  ExpectRunsOnce({.late_extensions = 0.2});
}

TEST(RestartedWorkerTakeoverDaysTest, LateStarts) {
  ExpectRunsOnce({.late_starts = 0.1});
}

TEST(RestartedWorkerTakeoverDaysTest, LateStops) {
  ExpectRunsOnce({.late_stops = 0.3});
}

TEST(RestartedWorkerTakeoverDaysTest, SlowAnswers) {
  ExpectRunsOnce({.slow_answers = 0.3});
}

TEST(RestartedWorkerTakeoverDaysTest, EntriesThatExpire) {
  ExpectRunsOnce({.expire = true});
}

TEST(RestartedWorkerTakeoverDaysTest, EntriesThatExpireUnderTheSameLeader) {
  ExpectRunsOnce({.change = LeaderChange::kNone, .expire = true});
}

TEST(RestartedWorkerTakeoverDaysTest, EntriesOfUnheardWorkersExpire) {
  ExpectRunsOnce({.unheard = true, .expire = true});
}

TEST(RestartedWorkerTakeoverDaysTest, SlowClocks) {
  ExpectRunsOnce({.clock_rate = 0.98});
}

TEST(RestartedWorkerTakeoverDaysTest, LongRunningTasks) {
  ExpectRunsOnce({.long_running = true});
}

TEST(RestartedWorkerTakeoverDaysTest, LongRunningTasksAndAWave) {
  ExpectRunsOnce({.long_running = true, .wave = true});
}

}  // namespace
}  // namespace cassiastile::host
