#include "paused_host_bench.hpp"

namespace cassiastile::host {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kSettled{3000};
constexpr milliseconds kStep{10};
constexpr milliseconds kTakeover{60};
// The times of the rule on cancelled jobs, after a disruption.
constexpr milliseconds kUntilCancelled{8000};
constexpr int kOk = 200;

}  // namespace

PausedHostBench::PausedHostBench(const WorldOptions& options)
    : m_world(options) {
  m_world.RunFor(kSettled);
}

std::size_t PausedHostBench::WaitForLeader() {
  for (int i = 0; i < 1000 && !m_world.LeaderIndex(); ++i) {
    m_world.RunFor(kStep);
  }
  EXPECT_TRUE(m_world.LeaderIndex().has_value());
  return m_world.LeaderIndex().value_or(0);
}

std::size_t PausedHostBench::HostBeside(std::size_t first, std::size_t second) {
  std::size_t host = 0;
  while (host == first || host == second) {
    ++host;
  }
  return host;
}

std::size_t PausedHostBench::ReplacePausedLeader() {
  const std::size_t former = WaitForLeader();
  m_world.PauseHost(former, kPause);
  m_world.Faults() = {};
  m_paused_until = m_world.Now() + kPause;
  EXPECT_NE(WaitForLeader(), former);
  return former;
}

void PausedHostBench::TakeOver(std::size_t leader, std::size_t successor) {
  GossipMessage old;
  old.host = "host-" + std::to_string(leader);
  old.endpoint = "10.0.0.1:1";
  old.is_leader = true;
  old.requests_takeover = true;
  m_world.Gossip(successor, old);
  m_world.RunFor(kTakeover);
}

void PausedHostBench::RunUntilPauseEnds() {
  m_world.RunFor(std::chrono::duration_cast<milliseconds>(
      m_paused_until - m_world.Now() - kBeforeEnd));
}

std::string PausedHostBench::Accept(std::size_t host,
                                    std::uint32_t tasks,
                                    milliseconds task_time) {
  std::string job = m_world.MakeJob(0, 1, tasks, task_time);
  const Request request = m_world.Send(host, "POST", job);
  m_world.RunFor(milliseconds(300));
  EXPECT_EQ(request->status, kOk);
  return job;
}

void PausedHostBench::Cancel(std::size_t host, const std::string& job) {
  Request request;
  for (int i = 0; i < 5; ++i) {
    request = m_world.Send(host, "DELETE", job);
    m_world.RunFor(milliseconds(1600));
    if (IsCancelAcknowledged(*request)) {
      return;
    }
  }
  ADD_FAILURE() << "no acknowledgement: " << request->status;
}

void PausedHostBench::ExpectNeverRuns(const std::string& job) {
  m_world.RunFor(kUntilCancelled);
  EXPECT_EQ(m_world.CountRuns(job), 0U);
  EXPECT_EQ(m_world.CountDoneTasks(job), 0U);
  EXPECT_THAT(m_world.Violations(), testing::IsEmpty());
}

}  // namespace cassiastile::host
