// Requests that wait in hosts that stand still, come late and out of order, and
// cancels of jobs whose acceptance their callers don't know; on all verbs.
#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "virtual_world_bench.hpp"

namespace cassiastile::host {
namespace {

using std::chrono::milliseconds;
using testing::IsEmpty;

constexpr milliseconds kSettled{3000};
constexpr std::size_t kHosts = 6;
constexpr std::size_t kServices = 2;
constexpr int kRounds = 40;
constexpr std::size_t kLongestPause = 8000;
constexpr std::size_t kLongestDelay = 6000;
constexpr int kOk = 200;
constexpr int kGone = 410;

// The requests about one job.
struct Calls {
  std::string job;
  std::vector<std::shared_ptr<const CallerRequest>> submissions;
  std::vector<std::shared_ptr<const CallerRequest>> cancels;
};

class LateRequests {
 public:
  explicit LateRequests(std::uint64_t seed) : m_world({.seed = seed}) {}

  std::vector<std::string> Play() {
    m_world.RunFor(kSettled);
    for (int round = 0; round < kRounds; ++round) {
      // The store's faults come and go, so that some starts are by hosts in
      // touch.
      const bool faulty = round % 20 < 10;
      m_world.Faults().lost_answer_chance = faulty ? 0.1 : 0;
      m_world.Faults().late_commit_chance = faulty ? 0.03 : 0;
      Call();
      m_world.RunFor(milliseconds(100 + Pick(500)));
      Disrupt();
    }
    m_world.Faults() = {};
    StartHosts();
    // Until the last pause and the last delayed request are over, and then for
    // the calm after which no cancelled job runs.
    m_world.RunFor(milliseconds(kLongestPause) + milliseconds(8000));
    for (const Calls& calls : m_calls) {
      if (!calls.cancels.empty()) {
        m_last_calls.push_back(m_world.Send(Pick(kHosts), "DELETE", calls.job));
      }
      m_last_calls.push_back(
          m_world.Send(Pick(kHosts), "GET", calls.job, milliseconds(2000)));
    }
    m_world.RunFor(milliseconds(30000));
    return Outcome();
  }

 private:
  std::size_t Pick(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(
        0, count - 1)(m_world.RandomSource());
  }
  milliseconds PickDelay() {
    // Most requests come at once.
    return Pick(3) == 0 ? milliseconds(Pick(kLongestDelay)) : milliseconds(0);
  }
  // Half of the requests go to a host that stands still, if there is one.
  std::size_t PickHost() { return Pick(2) == 0 ? m_last_paused : Pick(kHosts); }

  void Submit(Calls& calls, milliseconds delay) {
    calls.submissions.push_back(
        m_world.Send(PickHost(), "POST", calls.job, delay));
  }
  void Cancel(Calls& calls, milliseconds delay) {
    calls.cancels.push_back(
        m_world.Send(PickHost(), "DELETE", calls.job, delay));
  }

  // Begins some jobs, and goes on with some of the former ones.
  void Call() {
    for (int i = 0; i < 2; ++i) {
      Calls calls;
      calls.job = m_world.MakeJob(Pick(kServices), 1, 1 + Pick(2),
                                  milliseconds(300 + Pick(6000)));
      Submit(calls, PickDelay());
      if (Pick(3) == 0) {
        Cancel(calls, PickDelay());
      }
      m_calls.push_back(std::move(calls));
    }
    for (int i = 0; i < 4; ++i) {
      const std::size_t recent = std::min<std::size_t>(m_calls.size(), 20);
      Calls& calls = m_calls[m_calls.size() - 1 - Pick(recent)];
      switch (Pick(4)) {
        case 0:
          Submit(calls, PickDelay());
          break;
        case 1:
          // Most callers cancel a job again rather than another one, so that
          // enough are left that nobody cancels.
          if (!calls.cancels.empty() || Pick(3) == 0) {
            Cancel(calls, PickDelay());
          }
          break;
        default:
          m_world.Send(PickHost(), "GET", calls.job, PickDelay());
          break;
      }
    }
    m_world.AskQueueLength(PickHost(), Pick(kServices), PickDelay());
  }

  void StartHosts() {
    for (std::size_t host = 0; host < kHosts; ++host) {
      m_world.StartHost(host);
    }
  }

  void Pause(std::size_t host) {
    m_last_paused = host;
    m_world.PauseHost(host, milliseconds(500 + Pick(kLongestPause - 500)));
  }

  // A message of the leader that asks for a takeover is read late: it is taken
  // for gone while it works on, and hears of that only by the store.
  void ReadOldTakeoverRequest() {
    const auto leader = m_world.LeaderIndex();
    const std::size_t reader = Pick(kHosts);
    if (!leader || reader == *leader || m_world.ConfigVersionOf(reader) == 0) {
      return;
    }
    GossipMessage old;
    old.host = "host-" + std::to_string(*leader);
    old.endpoint = "10.0.0.1:1";
    old.is_leader = true;
    old.requests_takeover = true;
    m_world.Faults().hosts_without_peers = {old.host};
    m_world.Gossip(reader, old);
  }

  void Disrupt() {
    m_world.Faults().hosts_without_peers.clear();
    switch (Pick(10)) {
      case 0:
      case 1:
        if (m_world.LeaderIndex()) {
          Pause(*m_world.LeaderIndex());
        }
        break;
      case 2:
      case 3:
        Pause(Pick(kHosts));
        break;
      case 4:
        if (m_world.LeaderIndex()) {
          m_world.KillHost(*m_world.LeaderIndex());
        }
        break;
      case 5:
        m_world.KillHost(Pick(kHosts));
        break;
      case 6:
        StartHosts();
        break;
      case 7:
        ReadOldTakeoverRequest();
        break;
      default:
        break;
    }
  }

  // What was violated, and what accepted job isn't done.
  std::vector<std::string> Outcome() {
    std::vector<std::string> faults = m_world.Violations();
    for (const Calls& calls : m_calls) {
      const bool accepted = std::ranges::any_of(
          calls.submissions,
          [](const auto& submission) { return submission->status == kOk; });
      if (accepted && calls.cancels.empty() &&
          m_world.CountDoneTasks(calls.job) != m_world.TaskCountOf(calls.job)) {
        faults.push_back("accepted job " + calls.job + " is not done");
      }
    }
    for (const auto& call : m_last_calls) {
      const bool is_final = call->method == "DELETE"
                                ? IsCancelAcknowledged(*call)
                                : call->status == kOk || call->status == kGone;
      if (!is_final) {
        faults.push_back(
            call->method + " of job " + call->job +
            " has no answer in the end: " + std::to_string(call->status));
      }
    }
    return faults;
  }

  VirtualWorld m_world;
  std::vector<Calls> m_calls;
  // Sent once all faults are over.
  std::vector<std::shared_ptr<const CallerRequest>> m_last_calls;
  std::size_t m_last_paused = 0;
};

// What a caller was told of a job holds.
TEST(LateRequestFaultsTest, AnswersHold) {
  constexpr std::uint64_t kSeeds = 200;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    EXPECT_THAT(LateRequests(seed).Play(), IsEmpty()) << "seed " << seed;
  }
}

}  // namespace
}  // namespace cassiastile::host
