#include "cassiastile/host/host_node.hpp"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <set>
#include <sstream>
#include <utility>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "virtual_world_bench.hpp"

namespace cassiastile::host {
namespace {

using std::chrono::milliseconds;
using testing::AnyOf;
using testing::Each;
using testing::Gt;
using testing::HasSubstr;
using testing::IsEmpty;
using testing::Not;

// Long enough for a new world to elect a leader that serves.
constexpr milliseconds kSettled{3000};

TEST(HostNodeTest, OneHostBecomesLeaderAndRunsAJob) {
  VirtualWorld world;
  world.RunFor(kSettled);
  ASSERT_TRUE(world.LeaderIndex().has_value());
  const std::string job = world.Submit(0, 2, 3, milliseconds(400));
  world.RunFor(milliseconds(100));
  EXPECT_EQ(world.SubmissionStatuses().at(job), 200);
  world.RunFor(milliseconds(1500));
  EXPECT_EQ(world.StateOf(job), "done");
  EXPECT_EQ(world.CountDoneTasks(job), 6U);
  EXPECT_THAT(world.Violations(), IsEmpty());
}

TEST(HostNodeTest, ResubmittedJobRunsOnce) {
  VirtualWorld world;
  world.RunFor(kSettled);
  const std::string job = world.Submit(0, 1, 1, milliseconds(300));
  world.RunFor(milliseconds(50));
  EXPECT_EQ(world.SubmitAgain(job), 200);
  world.RunFor(milliseconds(3000));
  EXPECT_EQ(world.SubmitAgain(job), 200);
  EXPECT_THAT(world.Violations(), IsEmpty());
}

TEST(HostNodeTest, KilledLeaderIsReplacedWithoutLosingWork) {
  VirtualWorld world;
  world.RunFor(kSettled);
  const std::string job = world.Submit(0, 3, 4, milliseconds(600));
  const std::string long_running_job = world.SubmitLongRunning(1, 3);
  world.RunFor(milliseconds(300));
  ASSERT_EQ(world.SubmissionStatuses().at(job), 200);
  world.KillHost(*world.LeaderIndex());
  world.RunFor(milliseconds(2000));
  ASSERT_TRUE(world.LeaderIndex().has_value());
  world.RunFor(milliseconds(3000));
  EXPECT_EQ(world.StateOf(job), "done");
  EXPECT_EQ(world.CountRuns(long_running_job), 3U);
  EXPECT_THAT(world.Violations(), IsEmpty());
}

TEST(HostNodeTest, AllHostsKilledAtOnceLoseNothingAccepted) {
  VirtualWorld world;
  world.RunFor(kSettled);
  const std::string job = world.Submit(0, 2, 4, milliseconds(500));
  world.RunFor(milliseconds(100));
  ASSERT_EQ(world.SubmissionStatuses().at(job), 200);
  for (std::size_t i = 0; i < 6; ++i) {
    world.KillHost(i);
  }
  world.RunFor(milliseconds(1500));
  for (std::size_t i = 0; i < 6; ++i) {
    world.StartHost(i);
  }
  world.RunFor(milliseconds(6000));
  EXPECT_EQ(world.StateOf(job), "done");
  EXPECT_THAT(world.Violations(), IsEmpty());
}

TEST(HostNodeTest, LearntDurationsSurviveALeaderChange) {
  VirtualWorld world;
  world.RunFor(kSettled);
  world.Submit(0, 1, 4, milliseconds(400));
  // Learnt durations are stored at most once every 3 s.
  world.RunFor(milliseconds(5000));
  world.KillHost(*world.LeaderIndex());
  world.RunFor(milliseconds(3000));
  ASSERT_TRUE(world.LeaderIndex().has_value());
  EXPECT_TRUE(world.LeaderScheduler().Durations().HasSamples("queue-0"));
}

// The table returns one page per read; a leader that read only the first would
// miss workers.
TEST(HostNodeTest, NewLeaderReadsAllPagesOfTheWorkerTable) {
  VirtualWorld world({.workers_per_service = 40});
  // Short enough that idle machines have not moved to other pools yet.
  world.RunFor(milliseconds(500));
  ASSERT_TRUE(world.LeaderIndex().has_value());
  world.KillHost(*world.LeaderIndex());
  while (!world.LeaderIndex()) {
    world.RunFor(milliseconds(10));
  }
  EXPECT_EQ(world.LeaderScheduler().Workers().size(), 80U);
}

TEST(HostNodeTest, StoppedLeaderHandsOverAtOnce) {
  VirtualWorld world;
  world.RunFor(kSettled);
  const std::size_t leader = *world.LeaderIndex();
  world.StopHost(leader);
  // Far less than the 1.8 s after which a leader's record may be taken over.
  world.RunFor(milliseconds(150));
  ASSERT_TRUE(world.LeaderIndex().has_value());
  EXPECT_NE(*world.LeaderIndex(), leader);
}

// Such a leader asks for a takeover in its gossip; waiting for its record to
// time out would take more than the 1.5 s given here.
TEST(HostNodeTest, LeaderWithoutStoreAccessIsReplaced) {
  VirtualWorld world;
  world.RunFor(kSettled);
  const std::size_t leader = *world.LeaderIndex();
  world.Faults().hosts_without_store.insert("host-" + std::to_string(leader));
  world.RunFor(milliseconds(1500));
  ASSERT_TRUE(world.LeaderIndex().has_value());
  EXPECT_NE(*world.LeaderIndex(), leader);
  const std::string job = world.Submit(0, 1, 2, milliseconds(300));
  world.RunFor(milliseconds(1000));
  EXPECT_EQ(world.SubmissionStatuses().at(job), 200);
  EXPECT_THAT(world.Violations(), IsEmpty());
}

TEST(HostNodeTest, StoreOutageRefusesNewJobsAndKeepsRunningTasks) {
  VirtualWorld world;
  world.RunFor(kSettled);
  const std::string long_running_job = world.SubmitLongRunning(0, 2);
  world.RunFor(milliseconds(500));
  world.Faults().store_down = true;
  world.RunFor(milliseconds(1000));
  const std::string refused = world.Submit(0, 1, 1, milliseconds(300));
  world.RunFor(milliseconds(3500));
  EXPECT_EQ(world.SubmissionStatuses().at(refused), 503);
  EXPECT_EQ(world.CountRuns(long_running_job), 2U);
  world.Faults().store_down = false;
  world.RunFor(milliseconds(3000));
  const std::string job = world.Submit(0, 1, 1, milliseconds(300));
  world.RunFor(milliseconds(1000));
  EXPECT_EQ(world.SubmissionStatuses().at(job), 200);
  EXPECT_EQ(world.CountRuns(long_running_job), 2U);
  EXPECT_THAT(world.Violations(), IsEmpty());
}

// Returns the names of the elected hosts, in order.
std::vector<std::string> ElectedHosts(const std::string& log) {
  std::vector<std::string> hosts;
  std::istringstream lines(log);
  for (std::string line; std::getline(lines, line);) {
    const auto fields = nlohmann::json::parse(line);
    if (fields.at("event") == "office.elected") {
      hosts.push_back(fields.at("host"));
    }
  }
  return hosts;
}

// After an outage no host has recently reached the store, so gossip can't tell
// whether a stronger host can. A weak host must still wait for it to try first.
TEST(HostNodeTest, StrongHostBecomesLeaderAfterAnOutage) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    VirtualWorld world(
        {.seed = seed, .hosts = 40, .strong_hosts = 3, .keep_log = true});
    world.RunFor(2 * kSettled);
    const auto before = ElectedHosts(world.Log()).size();
    world.Faults().store_silent = true;
    // Longer than the 2.5 s for which a store that answered counts as
    // reachable.
    world.RunFor(milliseconds(4200));
    // A leader that stays gets the store back without an election.
    world.KillHost(*world.LeaderIndex());
    world.Faults().store_silent = false;
    world.RunFor(milliseconds(3000));
    ASSERT_TRUE(world.LeaderIndex().has_value());
    auto elected = ElectedHosts(world.Log());
    ASSERT_GT(elected.size(), before);
    elected.erase(elected.begin(),
                  elected.begin() + static_cast<std::ptrdiff_t>(before));
    EXPECT_THAT(elected, Each(AnyOf("host-0", "host-1", "host-2")))
        << "seed " << seed;
  }
}

// A read that still hangs when the outage ends must not delay the leader. The
// outages differ in length so that they end at different points of a read.
TEST(HostNodeTest, LeaderServesSoonAfterASilentOutage) {
  VirtualWorld world;
  world.RunFor(kSettled);
  for (int i = 0; i < 10; ++i) {
    world.Faults().store_silent = true;
    world.RunFor(milliseconds(4000 + 170 * i));
    world.Faults().store_silent = false;
    // The longest read of the leader's record, and time to read the jobs.
    world.RunFor(milliseconds(1200));
    const std::string job = world.Submit(0, 1, 1, milliseconds(300));
    world.RunFor(milliseconds(300));
    EXPECT_EQ(world.SubmissionStatuses().at(job), 200) << "outage " << i;
  }
  EXPECT_THAT(world.Violations(), IsEmpty());
}

TEST(HostNodeTest, ConfigurationReachesAHostWithoutStoreAccess) {
  VirtualWorld world;
  world.RunFor(kSettled);
  world.Faults().hosts_without_store.insert("host-2");
  world.PublishNextConfig();
  world.RunFor(milliseconds(2000));
  EXPECT_EQ(world.ConfigVersionOf(2), world.ConfigVersionOf(3));
}

// A large configuration sent by several peers at once would fill a slow host's
// link while the table sends it too.
TEST(HostNodeTest, ConfigurationComesFromTheTableWhenItAnswers) {
  VirtualWorld world;
  world.RunFor(kSettled);
  // At most 300 ms, for host-5: less than the 400 ms that the table has before
  // peers are asked.
  world.Faults().feed_delay = milliseconds(60);
  for (int i = 0; i < 5; ++i) {
    world.PublishNextConfig();
    world.RunFor(milliseconds(700));
  }
  // Six configurations with the first; each raises the version by 2.
  EXPECT_EQ(world.ConfigVersionOf(0), 12U);
  EXPECT_EQ(world.ConfigsFromPeers(), 0U);
}

// The machines of the spare pool are off. While a version lacks that pool, they
// counted as ones that work, and were given to no pool in need.
TEST(HostNodeTest, SpareMachinesAreUsedWhileAVersionLacksTheirPool) {
  VirtualWorld world(
      {.services = 1, .workers_per_service = 2, .spare_machines = 2});
  world.RunFor(kSettled);
  world.PublishNextConfig(1, false);
  world.RunFor(milliseconds(2000));
  const std::size_t before = world.LeaderScheduler().Workers().size();
  for (int i = 0; i < 12; ++i) {
    world.Submit(0, 1, 32, milliseconds(2000));
    world.RunFor(milliseconds(500));
  }
  EXPECT_GT(world.LeaderScheduler().Workers().size(), before);
}

// Any host may become the leader of jobs whose queue the version in force
// lacks.
TEST(HostNodeTest, HostsKnowWhatFormerVersionsHad) {
  VirtualWorld world;
  world.RunFor(milliseconds(2000));
  for (const std::size_t services : {std::size_t{1}, std::size_t{0}}) {
    world.PublishNextConfig(services);
    world.RunFor(milliseconds(2000));
    for (std::size_t host = 0; host < 6; ++host) {
      const auto config = world.ConfigOf(host);
      ASSERT_NE(config, nullptr);
      EXPECT_EQ(config->FindQueue("queue-1"), nullptr);
      const jobs::QueueConfig* last = config->LastQueue("queue-1");
      ASSERT_NE(last, nullptr);
      EXPECT_EQ(last->max_attempts, 3U);
      EXPECT_NE(config->LastService("service-1"), nullptr);
    }
  }
  world.PublishNextConfig();
  world.RunFor(milliseconds(2000));
  EXPECT_NE(world.ConfigOf(0)->FindQueue("queue-1"), nullptr);
  EXPECT_TRUE(world.ConfigOf(0)->FormerServices().empty());
}

// A key may have been withdrawn while the host was down. It takes no request
// before it has a configuration, and the first one that it gets is the newest.
TEST(HostNodeTest, RestartedHostStartsWithTheNewestConfiguration) {
  VirtualWorld world;
  world.RunFor(kSettled);
  const std::uint64_t first = world.ConfigVersionOf(2);
  world.KillHost(2);
  world.PublishNextConfig();
  world.RunFor(milliseconds(1000));
  world.StartHost(2);
  for (int i = 0; i < 200; ++i) {
    world.RunFor(milliseconds(10));
    const std::uint64_t version = world.ConfigVersionOf(2);
    ASSERT_TRUE(version == 0 || version > first) << version;
  }
  EXPECT_GT(world.ConfigVersionOf(2), first);
}

TEST(HostNodeTest, RestartedHostWithoutStoreAccessGetsTheNewestConfiguration) {
  VirtualWorld world;
  world.RunFor(kSettled);
  const std::uint64_t first = world.ConfigVersionOf(2);
  world.KillHost(2);
  world.PublishNextConfig();
  world.RunFor(milliseconds(1000));
  world.Faults().hosts_without_store = {"host-2"};
  world.StartHost(2);
  world.RunFor(milliseconds(3000));
  EXPECT_THAT(world.ConfigVersionOf(2), AnyOf(0U, Gt(first)));
}

TEST(HostNodeTest, NewLeaderDoesNotUseAWorkerThatHasLeft) {
  VirtualWorld world;
  world.RunFor(kSettled);
  const std::string gone = world.WorkerIds().front();
  world.CrashWorker(gone, milliseconds(60000));
  world.RunFor(milliseconds(8000));
  world.KillHost(*world.LeaderIndex());
  world.RunFor(milliseconds(4000));
  ASSERT_TRUE(world.LeaderIndex().has_value());
  const auto& workers = world.LeaderScheduler().Workers();
  const auto found = workers.find(gone);
  EXPECT_TRUE(found == workers.end() || !found->second.listed);
  const std::string job = world.Submit(0, 1, 8, milliseconds(300));
  world.RunFor(milliseconds(2000));
  EXPECT_EQ(world.CountDoneTasks(job), 8U);
  EXPECT_THAT(world.Violations(), IsEmpty());
}

TEST(HostNodeTest, LostWorkersTasksStartElsewhere) {
  VirtualWorld world;
  world.RunFor(kSettled);
  const std::string job = world.Submit(0, 1, 4, milliseconds(2000));
  world.RunFor(milliseconds(300));
  // Crashes workers until one was hit that ran a task of the job.
  for (const std::string& id : world.WorkerIds()) {
    if (world.CountRuns(job) == 4) {
      world.CrashWorker(id, milliseconds(8000));
    }
  }
  world.RunFor(milliseconds(5000));
  EXPECT_EQ(world.StateOf(job), "done");
  EXPECT_THAT(world.Violations(), IsEmpty());
}

// The platform lists machines in pages of different moments.
TEST(HostNodeTest, MachineMissingFromOneListIsNotTakenAsRemoved) {
  VirtualWorld world;
  world.RunFor(kSettled);
  world.Submit(0, 1, 1, milliseconds(8000));
  world.RunFor(milliseconds(300));
  std::string id;
  for (const auto& [each, worker] : world.LeaderScheduler().Workers()) {
    if (!worker.runs.empty()) {
      id = each;
    }
  }
  ASSERT_FALSE(id.empty());
  world.Faults().silent_workers.insert(id);
  const jobs::WorkerState& worker = world.LeaderScheduler().Workers().at(id);
  for (int i = 0; i < 40 && !worker.silent; ++i) {
    world.RunFor(milliseconds(50));
  }
  ASSERT_TRUE(worker.silent);
  world.Faults().unlisted_machines[worker.entry.machine] = 1;
  world.RunFor(milliseconds(3000));
  EXPECT_THAT(world.Violations(), IsEmpty());
}

TEST(HostNodeTest, WaveWaitsForAMachineMissingFromOneList) {
  VirtualWorld world;
  world.RunFor(kSettled);
  const std::string machine = world.MachineNames().front();
  world.Faults().unlisted_machines[machine] = 1;
  world.RequestWave({machine}, 1);
  world.RunFor(milliseconds(700));
  EXPECT_FALSE(world.WaveIsDone(1));
  world.RunFor(milliseconds(5000));
  EXPECT_TRUE(world.WaveIsDone(1));
}

// It is in maintenance or about to be, whatever the list lacks.
TEST(HostNodeTest, MachineMissingFromOneListStillCountsAsDown) {
  for (int after = 100; after <= 3600; after += 100) {
    VirtualWorld world;
    world.RunFor(milliseconds(3000));
    const std::vector<std::string> machines = world.MachineNames();
    world.RequestWave(machines, 1);
    world.RunFor(milliseconds(after));
    world.Faults().unlisted_machines[machines.front()] = 1;
    world.RunFor(milliseconds(6000));
    EXPECT_THAT(world.Violations(), IsEmpty())
        << "unlisted " << after << " ms after the request";
  }
}

// The next call may reach another incarnation of the worker.
TEST(HostNodeTest, NoStartIsSentToAWorkerThatDoesNotAnswer) {
  VirtualWorld world({.hosts = 1,
                      .services = 1,
                      .workers_per_service = 1,
                      .spare_machines = 0,
                      .keep_log = true});
  world.RunFor(milliseconds(6000));
  ASSERT_TRUE(world.LeaderIndex().has_value());
  // The start is planned before the worker falls silent and recorded after.
  world.Faults().lost_answer_chance = 1;
  world.Submit(0, 1, 1, milliseconds(300));
  world.RunFor(milliseconds(100));
  world.Faults().silent_workers.insert("worker-1");
  world.Faults().lost_answer_chance = 0;
  world.RunFor(milliseconds(3000));
  EXPECT_THAT(world.Log(), Not(HasSubstr("run.start")));
  EXPECT_THAT(world.Log(), HasSubstr("run.dropped"));
}

// The next incarnation of a worker may keep its id and numbers its ends anew.
TEST(HostNodeTest, EndsAreNotAcknowledgedToAWorkerThatMayHaveRestarted) {
  VirtualWorld world;
  world.RunFor(kSettled);
  world.Submit(0, 1, 8, milliseconds(300));
  world.RunFor(milliseconds(2000));
  for (const std::string& id : world.WorkerIds()) {
    world.Faults().silent_workers.insert(id);
  }
  world.RunFor(milliseconds(3000));
  world.Faults().silent_workers.clear();
  world.RunFor(milliseconds(3000));
  EXPECT_THAT(world.Violations(), IsEmpty());
}

// A report lists the oldest 500 ends; the runs of the others are missing from
// it.
TEST(HostNodeTest, RunsWhoseEndsAreNotListedYetAreNotGivenUp) {
  constexpr std::uint32_t kTasks = 1200;
  VirtualWorld world({.services = 1,
                      .workers_per_service = 2,
                      .tasks_per_worker = kTasks / 2,
                      .spare_machines = 0});
  // Short enough that idle machines have not moved to other pools yet.
  world.RunFor(milliseconds(500));
  const auto ids = world.WorkerIds();
  ASSERT_EQ(ids.size(), 2U);
  const std::string job = world.Submit(0, 1, kTasks, milliseconds(2000));
  world.RunFor(milliseconds(1000));
  ASSERT_EQ(world.CountRuns(job), kTasks);
  world.Faults().silent_workers = {ids.front()};
  world.RunFor(milliseconds(2000));
  ASSERT_EQ(world.CountDoneTasks(job), kTasks);
  world.Faults().silent_workers.clear();
  world.RunFor(milliseconds(10000));
  EXPECT_THAT(world.Violations(), IsEmpty());
  EXPECT_EQ(world.StateOf(job), "done");
}

TEST(HostNodeTest, WaveOfAllMachinesIsDoneWithinItsTime) {
  VirtualWorld world;
  world.RunFor(kSettled);
  const std::string long_running_job = world.SubmitLongRunning(0, 2);
  world.RunFor(milliseconds(1000));
  world.RequestWave(world.MachineNames(), 2);
  world.RunFor(milliseconds(25000));
  EXPECT_TRUE(world.WaveIsDone(1));
  EXPECT_EQ(world.CountRuns(long_running_job), 2U);
}

// Operators read the state of a wave in the table.
TEST(HostNodeTest, WaveThatIsDoneStaysDoneAfterATakeover) {
  VirtualWorld world;
  world.RunFor(kSettled);
  world.RequestWave({world.MachineNames().front()}, 1);
  for (int i = 0; i < 2000 && !world.WaveIsDone(1); ++i) {
    world.RunFor(milliseconds(5));
  }
  ASSERT_TRUE(world.WaveIsDone(1));
  ASSERT_TRUE(world.LeaderIndex().has_value());
  world.KillHost(world.LeaderIndex().value_or(0));
  for (int i = 0; i < 2000; ++i) {
    world.RunFor(milliseconds(5));
    ASSERT_TRUE(world.WaveIsDone(1)) << 5 * i << " ms after the takeover";
  }
  EXPECT_TRUE(world.LeaderIndex().has_value());
}

TEST(HostNodeTest, LateWriteOfARunningWaveDoesNotHideItsEnd) {
  constexpr std::uint64_t kSeeds = 12;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    VirtualWorld world({.seed = seed});
    world.RunFor(kSettled);
    world.Faults().late_commit_chance = 1;
    world.RequestWave({world.MachineNames().front()}, 1);
    world.RunFor(milliseconds(400));
    world.Faults().late_commit_chance = 0;
    world.RunFor(milliseconds(30000));
    EXPECT_TRUE(world.WaveIsDone(1)) << "seed " << seed;
  }
}

// The leader that resigned must leave its stronger peers time, in each term.
TEST(HostNodeTest, WeakLeaderThatResignsDoesNotTakeOverAgainAtOnce) {
  VirtualWorld world({.hosts = 2, .strong_hosts = 1, .keep_log = true});
  world.RunFor(kSettled);
  world.KillHost(0);
  world.RunFor(milliseconds(8000));
  ASSERT_EQ(world.LeaderIndex(), 1U);
  const auto before = ElectedHosts(world.Log()).size();
  world.StartHost(0);
  world.RunFor(milliseconds(10000));
  EXPECT_EQ(world.LeaderIndex(), 0U);
  EXPECT_EQ(ElectedHosts(world.Log()).size(), before + 1);
}

// A resignation waits for a commit, which fails if another host takes over
// meanwhile.
TEST(HostNodeTest, LeaderWhoseResignationFailedYieldsInALaterTerm) {
  constexpr std::size_t kHosts = 6;
  for (const int before : {1200, 1400, 1600, 1800, 2000}) {
    VirtualWorld world({.strong_hosts = 1});
    world.RunFor(kSettled);
    world.KillHost(0);
    world.RunFor(milliseconds(5000));
    ASSERT_TRUE(world.LeaderIndex().has_value());
    const std::size_t weak = world.LeaderIndex().value_or(0);
    world.StartHost(0);
    world.RunFor(milliseconds(before));
    world.Faults().lost_answer_chance = 1;
    world.RunFor(milliseconds(900));
    world.Faults().lost_answer_chance = 0;
    world.RunFor(milliseconds(5000));
    for (std::size_t host = 0; host < kHosts; ++host) {
      if (host != weak) {
        world.KillHost(host);
      }
    }
    world.RunFor(milliseconds(8000));
    ASSERT_EQ(world.LeaderIndex(), weak);
    world.StartHost(0);
    world.RunFor(milliseconds(8000));
    EXPECT_EQ(world.LeaderIndex(), 0U) << before << " ms";
  }
}

// Two workers of one pool; a task that no longer runs on one can start on the
// other.
class WorkerRestartTest : public testing::Test {
 protected:
  static constexpr milliseconds kTaskTime{6000};

  WorkerRestartTest() { m_world.RunFor(kSettled); }

  // Submits a job of one task whose start order arrives `delay` after it was
  // sent, and returns once it is sent.
  void SubmitWithSlowStart(milliseconds delay,
                           milliseconds task_time = kTaskTime) {
    m_world.Faults().start_delay = delay;
    const std::uint64_t sent = m_world.StartsSent();
    m_job = m_world.Submit(0, 1, 1, task_time);
    for (int i = 0; i < 500 && m_world.StartsSent() == sent; ++i) {
      m_world.RunFor(milliseconds(1));
    }
    ASSERT_EQ(m_world.StartsSent(), sent + 1);
    m_world.Faults() = {};
    for (const auto& [id, worker] : m_world.LeaderScheduler().Workers()) {
      if (!worker.runs.empty()) {
        m_worker = id;
      }
    }
    ASSERT_FALSE(m_worker.empty());
  }

  // Requires that the job is done within 30 s and nothing was violated.
  void ExpectDoneWithoutViolation() {
    m_world.RunFor(milliseconds(30000));
    EXPECT_THAT(m_world.Violations(), IsEmpty());
    EXPECT_EQ(m_world.CountDoneTasks(m_job), m_world.TaskCountOf(m_job));
    EXPECT_EQ(m_world.StateOf(m_job), "done");
  }

  VirtualWorld m_world{
      {.services = 1, .workers_per_service = 2, .spare_machines = 0}};
  std::string m_job;
  std::string m_worker;  // To which the start was sent.
};

TEST_F(WorkerRestartTest, UnansweredStartArrivesAtTheNextIncarnation) {
  SubmitWithSlowStart(milliseconds(4000));
  // The start counts as unanswered after 0.8 s.
  m_world.RunFor(milliseconds(790));
  m_world.RestartWorker(m_worker, milliseconds(200), milliseconds(500));
  ExpectDoneWithoutViolation();
}

TEST_F(WorkerRestartTest, NextIncarnationAnswersAStartSentToTheFormerOne) {
  SubmitWithSlowStart(milliseconds(500));
  m_world.RestartWorker(m_worker, milliseconds(100), milliseconds(500));
  ExpectDoneWithoutViolation();
}

TEST_F(WorkerRestartTest, StoppedStartArrivesAtTheNextIncarnation) {
  SubmitWithSlowStart(milliseconds(4000));
  // The former incarnation answers the stop.
  m_world.RunFor(milliseconds(3000));
  m_world.RestartWorker(m_worker, milliseconds(200), milliseconds(100));
  ExpectDoneWithoutViolation();
}

// The next incarnation has not seen the new leader's fencing token yet.
TEST_F(WorkerRestartTest, FormerLeadersStartArrivesAtTheNextIncarnation) {
  SubmitWithSlowStart(milliseconds(6000));
  m_world.KillHost(*m_world.LeaderIndex());
  m_world.RunFor(milliseconds(5000));
  ASSERT_TRUE(m_world.LeaderIndex().has_value());
  m_world.RestartWorker(m_worker, milliseconds(990), milliseconds(100));
  ExpectDoneWithoutViolation();
}

// The task's second run has ended when the first start arrives; the next
// incarnation knows neither the end nor the stop of the first run.
TEST_F(WorkerRestartTest, StartArrivesAtTheNextIncarnationAfterTheTasksEnd) {
  for (const milliseconds restart_after :
       {milliseconds(2000), milliseconds(4000)}) {
    SubmitWithSlowStart(milliseconds(8000), milliseconds(1500));
    m_world.RunFor(restart_after);
    m_world.RestartWorker(m_worker, milliseconds(200), milliseconds(100));
    ExpectDoneWithoutViolation();
  }
}

// No order is late. The next incarnation answers starts before the leader has
// heard of it, and lists their runs in its first report.
TEST_F(WorkerRestartTest, RunsStartedBeforeTheFirstReportAreNotGivenUp) {
  constexpr std::uint32_t kTasks = 8;
  // The leader learns of the next incarnation from its entry or by its report.
  for (const milliseconds listed_after :
       {milliseconds(500), milliseconds(2000)}) {
    VirtualWorld world(
        {.services = 1, .workers_per_service = 2, .spare_machines = 0});
    // Short enough that idle machines have not moved to other pools yet.
    world.RunFor(milliseconds(500));
    const auto ids = world.WorkerIds();
    ASSERT_EQ(ids.size(), 2U);
    // The leader's second call to this one hangs until 1.7 s.
    world.Faults().silent_workers = {ids[0]};
    world.RestartWorker(ids[0], milliseconds(1150), listed_after);
    // Gets no starts until its report at 1.6 s.
    world.RestartWorker(ids[1], milliseconds(1250), milliseconds(0));
    world.RunFor(milliseconds(1200));
    world.Faults() = {};
    const std::string job = world.Submit(0, 1, kTasks, milliseconds(2000));
    world.RunFor(milliseconds(30000));
    EXPECT_THAT(world.Violations(), IsEmpty());
    EXPECT_EQ(world.CountDoneTasks(job), kTasks);
  }
}

// Ends are numbered from 1 in each incarnation, so an acknowledgement makes the
// next one forget an end that the leader has not read.
TEST_F(WorkerRestartTest, AcknowledgementArrivesAtTheNextIncarnation) {
  VirtualWorld world(
      {.services = 1, .workers_per_service = 1, .spare_machines = 0});
  world.RunFor(kSettled);
  const std::string worker = world.WorkerIds().front();
  const std::string first = world.Submit(0, 1, 1, milliseconds(200));
  while (world.CountDoneTasks(first) == 0) {
    world.RunFor(milliseconds(5));
  }
  // The call with the acknowledgement is sent within this time.
  world.Faults().extension_delay = milliseconds(4000);
  world.RunFor(milliseconds(300));
  world.Faults().extension_delay = milliseconds(0);
  world.RunFor(milliseconds(2700));
  world.RestartWorker(worker, milliseconds(100), milliseconds(100));
  world.RunFor(milliseconds(500));
  const std::string second = world.Submit(0, 1, 1, milliseconds(300));
  world.RunFor(milliseconds(150));
  // The task ends unread while its worker is silent, and the acknowledgement
  // arrives then, unless the start is held back until it can't any more.
  world.Faults().silent_workers = {worker};
  world.RunFor(milliseconds(850));
  world.Faults().silent_workers.clear();
  world.RunFor(milliseconds(30000));
  EXPECT_THAT(world.Violations(), IsEmpty());
  EXPECT_EQ(world.StateOf(second), "done");
}

// By the time the answer arrives, the next leader may have ordered the machine.
TEST(HostNodeTest, FrozenLeaderOrdersNoMachineThatItsSuccessorHasOrdered) {
  VirtualWorld world;
  world.RunFor(kSettled);
  world.Faults().freeze_at_order = milliseconds(6000);
  world.RequestWave(world.MachineNames(), 2);
  world.RunFor(milliseconds(25000));
  EXPECT_TRUE(world.WaveIsDone(1));
  EXPECT_THAT(world.Violations(), IsEmpty());
}

// A worker that has restarted meanwhile would carry such a start out, since it
// has seen no fencing token.
TEST(HostNodeTest, FrozenLeaderSendsNoStartThatItsSuccessorMayRepeat) {
  VirtualWorld world;
  world.RunFor(kSettled);
  world.Faults().freeze_at_progress = milliseconds(4000);
  const std::string job = world.Submit(0, 1, 2, milliseconds(300));
  world.RunFor(milliseconds(5000));
  EXPECT_EQ(world.StateOf(job), "done");
  EXPECT_EQ(world.FencedStarts(), 0U);
  EXPECT_THAT(world.Violations(), IsEmpty());
}

// A worker's clock may be 2 % slow, so what the leader knew of it before an
// outage is far ahead of it afterwards.
TEST(HostNodeTest, LeaseAfterALongOutageIsOverBeforeItsTasksStartElsewhere) {
  VirtualWorld world({.hosts = 1,
                      .services = 1,
                      .workers_per_service = 3,
                      .spare_machines = 0,
                      .worker_clock_rate = 0.98});
  world.RunFor(kSettled);
  const std::string job = world.SubmitLongRunning(0, 2);
  world.RunFor(milliseconds(100));
  world.Faults().store_down = true;
  world.RunFor(milliseconds(60000));
  ASSERT_EQ(world.CountRuns(job), 0U);
  world.Faults().store_down = false;
  for (int i = 0; i < 200 && world.CountRuns(job) < 2; ++i) {
    world.RunFor(milliseconds(5));
  }
  ASSERT_EQ(world.CountRuns(job), 2U);
  for (const auto& [id, worker] : world.LeaderScheduler().Workers()) {
    if (!worker.runs.empty() && world.Faults().silent_workers.empty()) {
      world.Faults().silent_workers.insert(id);
    }
  }
  world.RunFor(milliseconds(8000));
  EXPECT_EQ(world.CountRuns(job), 2U);
  EXPECT_THAT(world.Violations(), IsEmpty());
}

// Random mixes of killed hosts, crashed and silent workers, late orders, and a
// store that hosts can't reach, that loses answers or applies writes late; one
// seed per test.
// Random mixes of killed hosts, crashed and silent workers, hosts without the
// store, starts that come late and a store that loses answers; with `pauses`
// also of hosts that stand still.
void RunWithFaults(const WorldOptions& options, bool pauses) {
  VirtualWorld world(options);
  base::Random& random = world.RandomSource();
  const auto pick = [&random](std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
  };
  world.RunFor(kSettled);
  world.Faults().late_start_chance = 0.05;
  world.Faults().lost_answer_chance = 0.05;
  world.Faults().late_commit_chance = 0.02;
  std::vector<std::string> jobs;
  for (int round = 0; round < 30; ++round) {
    for (int i = 0; i < 2; ++i) {
      jobs.push_back(world.Submit(pick(2), 1 + pick(2), 1 + pick(4),
                                  milliseconds(200 + 100 * pick(8))));
    }
    world.RunFor(milliseconds(250));
    switch (pick(8)) {
      case 0:
        world.KillHost(pick(6));
        break;
      case 1:
        if (world.LeaderIndex()) {
          world.KillHost(*world.LeaderIndex());
        }
        break;
      case 2: {
        const auto ids = world.WorkerIds();
        if (!ids.empty()) {
          world.CrashWorker(ids[pick(ids.size())], milliseconds(3000));
        }
        break;
      }
      case 3: {
        const auto ids = world.WorkerIds();
        if (!ids.empty()) {
          world.Faults().silent_workers.insert(ids[pick(ids.size())]);
        }
        break;
      }
      case 4:
        world.Faults().silent_workers.clear();
        break;
      case 5:
        world.Faults().hosts_without_store = {"host-" +
                                              std::to_string(pick(6))};
        break;
      case 6:
        world.Faults().hosts_without_store.clear();
        break;
      default:
        world.StartHost(pick(6));
        break;
    }
    if (pauses && pick(3) == 0) {
      world.PauseHost(pick(6), milliseconds(300 + pick(4000)));
    }
  }
  const std::string violations = testing::PrintToString(world.Violations());
  EXPECT_THAT(world.Violations(), IsEmpty()) << violations;
  world.Faults() = {};
  for (std::size_t i = 0; i < 6; ++i) {
    world.StartHost(i);
  }
  world.RunFor(milliseconds(30000));
  for (const std::string& job : jobs) {
    if (world.SubmissionStatuses().at(job) == 200) {
      EXPECT_EQ(world.CountDoneTasks(job), world.TaskCountOf(job)) << job;
      EXPECT_EQ(world.StateOf(job), "done") << job;
    }
  }
  EXPECT_THAT(world.Violations(), IsEmpty());
}

class HostFaultsTest : public testing::TestWithParam<int> {};

TEST_P(HostFaultsTest, NothingRunsTwiceAndNothingAcceptedIsLost) {
  RunWithFaults({.seed = static_cast<std::uint64_t>(GetParam())}, false);
}

INSTANTIATE_TEST_SUITE_P(Seeds, HostFaultsTest, testing::Range(1, 201));

class RelayFaultsTest : public testing::TestWithParam<int> {};

TEST_P(RelayFaultsTest, NothingRunsTwiceAndNothingAcceptedIsLost) {
  RunWithFaults({.seed = static_cast<std::uint64_t>(GetParam()),
                 .min_relayed_workers = 1},
                true);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RelayFaultsTest, testing::Range(1, 101));

TEST(RelayWorldTest, OtherHostsCallTheWorkersOfALargeFleet) {
  VirtualWorld world({.min_relayed_workers = 4});
  world.RunFor(kSettled);
  const std::string job = world.Submit(0, 2, 6, milliseconds(400));
  world.RunFor(milliseconds(2500));
  EXPECT_EQ(world.StateOf(job), "done");
  EXPECT_GT(world.RelayBatches(), 20U);
  EXPECT_THAT(world.Violations(), IsEmpty());
}

TEST(RelayWorldTest, KilledRelayHoldsUpItsWorkersForASecondOnly) {
  VirtualWorld world({.min_relayed_workers = 4});
  world.RunFor(kSettled);
  const std::size_t leader = *world.LeaderIndex();
  for (std::size_t host = 0; host < 6; ++host) {
    if (host != leader) {
      world.KillHost(host);
    }
  }
  const std::string job = world.Submit(0, 1, 6, milliseconds(400));
  world.RunFor(milliseconds(1500));
  EXPECT_EQ(world.CountDoneTasks(job), 6U);
  EXPECT_THAT(world.Violations(), IsEmpty());
}

// Random mixes of workers that restart under their ids, calls to workers that
// come late, killed, stopped and paused hosts, silent workers, and a store that
// loses answers or applies writes late.
std::vector<std::string> RunWithRestarts(std::uint64_t seed) {
  VirtualWorld world({.seed = seed});
  base::Random& random = world.RandomSource();
  const auto pick = [&random](std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
  };
  const auto pick_worker = [&world, &pick] {
    const auto ids = world.WorkerIds();
    return ids.empty() ? std::string() : ids[pick(ids.size())];
  };
  world.RunFor(kSettled);
  world.Faults().late_start_chance = 0.05;
  world.Faults().late_stop_chance = 0.05;
  world.Faults().late_extension_chance = 0.02;
  world.Faults().slow_call_chance = 0.05;
  world.Faults().lost_answer_chance = 0.05;
  world.Faults().late_commit_chance = 0.02;
  std::vector<std::string> jobs;
  std::set<std::size_t> stopped;
  const auto kill_stopped = [&world, &stopped] {
    for (const std::size_t host : std::exchange(stopped, {})) {
      world.KillHost(host);
    }
  };
  for (int round = 0; round < 40; ++round) {
    for (int i = 0; i < 2; ++i) {
      jobs.push_back(world.Submit(pick(2), 1 + pick(2), 1 + pick(4),
                                  milliseconds(200 + 300 * pick(8))));
    }
    world.RunFor(milliseconds(300));
    kill_stopped();
    switch (pick(11)) {
      case 0:
        world.KillHost(pick(6));
        break;
      case 1:
        if (world.LeaderIndex()) {
          world.KillHost(*world.LeaderIndex());
        }
        break;
      case 2:
        if (world.LeaderIndex()) {
          stopped.insert(*world.LeaderIndex());
          world.StopHost(*world.LeaderIndex());
        }
        break;
      case 3:
        world.Faults().silent_workers.insert(pick_worker());
        break;
      case 4:
        world.Faults().silent_workers.clear();
        break;
      case 5:
        world.CrashWorker(pick_worker(), milliseconds(3000));
        break;
      case 7:
        if (world.LeaderIndex()) {
          world.PauseHost(*world.LeaderIndex(), milliseconds(500 + pick(5500)));
        }
        break;
      case 6:
        world.StartHost(pick(6));
        break;
      default:
        world.RestartWorker(pick_worker(), milliseconds(100 + pick(2900)),
                            milliseconds(pick(1000)));
        break;
    }
  }
  world.Faults() = {};
  kill_stopped();
  for (std::size_t i = 0; i < 6; ++i) {
    world.StartHost(i);
  }
  world.RunFor(milliseconds(30000));
  std::vector<std::string> faults = world.Violations();
  for (const std::string& job : jobs) {
    if (world.SubmissionStatuses().at(job) == 200 &&
        world.CountDoneTasks(job) != world.TaskCountOf(job)) {
      faults.push_back("accepted job " + job + " is not done after 30 s");
    }
  }
  return faults;
}

// The last seed of WorkerRestartFaultsTest. Counts by hand set a higher one.
std::uint64_t LastRestartSeed() {
  constexpr std::uint64_t kSeeds = 200;
  const char* more = std::getenv("WORKER_RESTART_SEEDS");
  return more == nullptr ? kSeeds
                         : std::max<std::uint64_t>(
                               kSeeds, std::strtoull(more, nullptr, 10));
}

TEST(WorkerRestartFaultsTest, NothingRunsTwiceAndNothingAcceptedIsLost) {
  const std::uint64_t last = LastRestartSeed();
  for (std::uint64_t seed = 1; seed <= last; ++seed) {
    EXPECT_THAT(RunWithRestarts(seed), IsEmpty()) << "seed " << seed;
  }
}

}  // namespace
}  // namespace cassiastile::host
