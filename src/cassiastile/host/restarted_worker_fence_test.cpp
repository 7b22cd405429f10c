// Orders for a former incarnation of a worker that arrive late: the next one
// refuses them once a leader has called it.
#include <optional>
#include <string>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "virtual_world_bench.hpp"

namespace cassiastile::host {
namespace {

using std::chrono::milliseconds;
using testing::HasSubstr;
using testing::IsEmpty;

// Long enough for a new world to elect a leader that serves.
constexpr milliseconds kSettled{3000};

class RestartedWorkerFenceTest : public testing::Test {
 protected:
  // Makes a world in which the start of a job's only task is on its way for
  // `delay`, and returns the worker that it was sent to.
  std::string MakeLateStart(WorldOptions options, milliseconds delay) {
    options.services = 1;
    options.workers_per_service = 2;
    options.spare_machines = 0;
    options.keep_log = true;
    m_world.emplace(options);
    m_world->RunFor(kSettled);
    m_world->Faults().start_delay = delay;
    const std::uint64_t sent = m_world->StartsSent();
    m_job = m_world->Submit(0, 1, 1, milliseconds(1000));
    while (m_world->StartsSent() == sent) {
      m_world->RunFor(milliseconds(1));
    }
    m_world->Faults() = {};
    for (const auto& [id, worker] : m_world->LeaderScheduler().Workers()) {
      if (!worker.runs.empty()) {
        return id;
      }
    }
    return "";
  }

  // Requires that the late start is refused and its job done.
  void ExpectStartRefused() {
    m_world->RunFor(milliseconds(30000));
    EXPECT_THAT(m_world->Violations(), IsEmpty());
    EXPECT_EQ(m_world->StateOf(m_job), "done");
    EXPECT_EQ(m_world->FencedStarts(), 1U);
  }

  std::optional<VirtualWorld> m_world;
  std::string m_job;
};

// The order of events of review/7: the task ran a second time after its end was
// acknowledged and its job shown as done.
TEST_F(RestartedWorkerFenceTest, StartOfADoneTaskIsRefused) {
  const std::string worker = MakeLateStart({}, milliseconds(10000));
  m_world->RunFor(milliseconds(2500));
  m_world->RestartWorker(worker, milliseconds(3000), milliseconds(100));
  ExpectStartRefused();
}

// The same through relays.
TEST_F(RestartedWorkerFenceTest, StartOfADoneTaskIsRefusedBehindARelay) {
  const std::string worker =
      MakeLateStart({.min_relayed_workers = 1}, milliseconds(10000));
  m_world->RunFor(milliseconds(2500));
  m_world->RestartWorker(worker, milliseconds(3000), milliseconds(100));
  ExpectStartRefused();
  EXPECT_GT(m_world->RelayBatches(), 0U);
}

// Each incarnation is called with a newer token than the one before it.
TEST_F(RestartedWorkerFenceTest, StartIsRefusedAfterEachFurtherRestart) {
  const std::string worker = MakeLateStart({}, milliseconds(9000));
  for (int restart = 0; restart < 4; ++restart) {
    m_world->RestartWorker(worker, milliseconds(100), milliseconds(50));
    m_world->RunFor(milliseconds(1500));
  }
  ExpectStartRefused();
}

// Between its restarts the store takes no commit, so the leader has no newer
// token for the last incarnation until the store is back.
TEST_F(RestartedWorkerFenceTest, WorkerIsNotCalledWithoutANewerToken) {
  const std::string worker = MakeLateStart({}, milliseconds(9000));
  m_world->RunFor(milliseconds(2500));
  m_world->Faults().store_down = true;
  m_world->RestartWorker(worker, milliseconds(100), milliseconds(50));
  m_world->RunFor(milliseconds(1000));
  m_world->RestartWorker(worker, milliseconds(100), milliseconds(50));
  m_world->RunFor(milliseconds(2000));
  m_world->Faults().store_down = false;
  m_world->RunFor(milliseconds(1000));
  EXPECT_THAT(m_world->Log(), HasSubstr("worker.fence_raised"));
  ExpectStartRefused();
  // The worker is used again.
  const std::string job = m_world->Submit(0, 1, 32, milliseconds(500));
  m_world->RunFor(milliseconds(300));
  EXPECT_GT(m_world->CountRunsOn(worker), 0U);
  m_world->RunFor(milliseconds(5000));
  EXPECT_EQ(m_world->StateOf(job), "done");
}

}  // namespace
}  // namespace cassiastile::host
