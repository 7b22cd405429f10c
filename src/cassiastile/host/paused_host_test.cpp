// Answers of hosts that stand still and go on, and requests that wait in them:
// what a caller was told must hold, whatever another host has said meanwhile
// and whatever is still on its way.
#include <memory>
#include <string>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "paused_host_bench.hpp"

namespace cassiastile::host {
namespace {

using std::chrono::milliseconds;
using testing::AllOf;
using testing::AnyOf;
using testing::IsEmpty;
using testing::Ne;

// The times of the rule on cancelled jobs, after a disruption.
constexpr milliseconds kUntilCancelled{8000};
constexpr std::size_t kHosts = 6;
constexpr int kOk = 200;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

class PausedHostTest : public PausedHostBench {
 protected:
  using PausedHostBench::PausedHostBench;
};

// A submission waits in a paused host, and its job is cancelled at another one
// before the host goes on.
TEST_F(PausedHostTest, CancelledBeforeItArrivedAtAPausedHostNeverRuns) {
  const std::size_t leader = WaitForLeader();
  const std::size_t paused = HostBeside(leader, leader);
  m_world.PauseHost(paused, milliseconds(4000));
  const std::string job = m_world.MakeJob(0, 1, 1, milliseconds(20000));
  m_world.Send(paused, "POST", job);
  m_world.RunFor(milliseconds(1500));
  Cancel(HostBeside(leader, paused), job);
  m_world.RunFor(milliseconds(2000));
  ExpectNeverRuns(job);
}

// The same with a submission that was passed on to a paused leader.
TEST_F(PausedHostTest, CancelledBeforeItArrivedAtAPausedLeaderNeverRuns) {
  const std::size_t leader = WaitForLeader();
  m_world.PauseHost(leader, milliseconds(900));
  const std::string job = m_world.MakeJob(0, 1, 1, milliseconds(20000));
  const std::size_t front = HostBeside(leader, leader);
  m_world.Send(front, "POST", job, milliseconds(400));
  // Another connection may be read first when the leader goes on.
  const Request cancel =
      m_world.Send(HostBeside(leader, front), "DELETE", job, milliseconds(300));
  m_world.RunFor(milliseconds(1600));
  if (!IsCancelAcknowledged(*cancel)) {
    Cancel(HostBeside(leader, front), job);
  }
  ExpectNeverRuns(job);
}

// A leader that goes on after another has taken over doesn't know its jobs.
TEST_F(PausedHostTest, CancelAcknowledgedByAFormerLeaderHolds) {
  const std::size_t former = ReplacePausedLeader();
  const std::size_t front = HostBeside(former, WaitForLeader());
  const std::string job = Accept(front);
  RunUntilPauseEnds();
  const Request cancel = m_world.Send(former, "DELETE", job);
  m_world.RunFor(kBeforeEnd + milliseconds(1600));
  if (!IsCancelAcknowledged(*cancel)) {
    Cancel(front, job);
  }
  m_world.RunFor(kUntilCancelled);
  EXPECT_EQ(m_world.CountRuns(job), 0U) << "answer " << cancel->status;
  EXPECT_THAT(m_world.Violations(), IsEmpty());
}

TEST_F(PausedHostTest, FormerLeaderDoesNotDenyAnAcceptedJob) {
  const std::size_t former = ReplacePausedLeader();
  const std::string job = Accept(HostBeside(former, WaitForLeader()));
  RunUntilPauseEnds();
  const Request state = m_world.Send(former, "GET", job);
  m_world.RunFor(kBeforeEnd + milliseconds(1600));
  EXPECT_THAT(state->status, AnyOf(kOk, kUnavailable, kGatewayTimeout));
  EXPECT_THAT(m_world.Violations(), IsEmpty());
}

TEST_F(PausedHostTest, FormerLeaderDoesNotShowACancelledJobAsRunning) {
  const std::string job = Accept(HostBeside(WaitForLeader(), WaitForLeader()));
  const std::size_t former = ReplacePausedLeader();
  Cancel(HostBeside(former, WaitForLeader()), job);
  RunUntilPauseEnds();
  const Request state = m_world.Send(former, "GET", job);
  m_world.RunFor(kBeforeEnd + milliseconds(1600));
  EXPECT_THAT(state->body, AllOf(Ne("running"), Ne("queued")));
  EXPECT_THAT(m_world.Violations(), IsEmpty());
}

// The former leader remembers a small pool that is busy.
class FullQueueTest : public PausedHostTest {
 protected:
  FullQueueTest()
      : PausedHostTest({.services = 1,
                        .workers_per_service = 1,
                        .tasks_per_worker = 2,
                        .spare_machines = 1}) {}

  // Hands the former leader, which still stands still, a job that was accepted
  // meanwhile, and expects that it doesn't say that the job never runs.
  void ExpectNotRefused(std::size_t former) {
    RunUntilPauseEnds();
    const std::string job =
        Accept(HostBeside(former, WaitForLeader()), 1, milliseconds(250));
    const Request again = m_world.Send(former, "POST", job);
    m_world.RunFor(kBeforeEnd + milliseconds(1600));
    EXPECT_THAT(again->body, AllOf(Ne(R"({"error":"overload"})"),
                                   Ne(R"({"error":"store away"})"),
                                   Ne(R"({"error":"leader busy"})")));
    EXPECT_NE(again->status, kTooMany);
    EXPECT_THAT(m_world.Violations(), IsEmpty());
  }
};

TEST_F(FullQueueTest, FormerLeaderDoesNotRefuseAnAcceptedJobForItsBacklog) {
  const std::size_t front = HostBeside(WaitForLeader(), WaitForLeader());
  const std::string busy = Accept(front, 80, milliseconds(6000));
  const Request refused =
      m_world.Send(front, "POST", m_world.MakeJob(0, 1, 1, milliseconds(250)));
  m_world.RunFor(milliseconds(100));
  ASSERT_EQ(refused->status, kTooMany);
  const std::size_t former = ReplacePausedLeader();
  Cancel(HostBeside(former, WaitForLeader()), busy);
  ExpectNotRefused(former);
}

// Its last commit got no answer before it stood still.
TEST_F(FullQueueTest, FormerLeaderDoesNotRefuseAnAcceptedJobForTheStore) {
  m_world.Faults().lost_answer_chance = 1;
  m_world.RunFor(milliseconds(600));
  const std::size_t former = ReplacePausedLeader();
  ExpectNotRefused(former);
}

// The count may be 2 s old.
TEST_F(FullQueueTest, FormerLeaderDoesNotTellTheLengthOfALongPastQueue) {
  const std::size_t front = HostBeside(WaitForLeader(), WaitForLeader());
  for (int i = 0; i < 12; ++i) {
    m_world.Send(front, "POST", m_world.MakeJob(0, 1, 1, milliseconds(1000)));
  }
  m_world.RunFor(milliseconds(100));
  const Request before = m_world.AskQueueLength(front, 0);
  m_world.RunFor(milliseconds(100));
  ASSERT_EQ(before->status, kOk);
  ASSERT_NE(before->body, "0");
  const std::size_t former = ReplacePausedLeader();
  RunUntilPauseEnds();
  const Request length = m_world.AskQueueLength(former, 0);
  m_world.RunFor(kBeforeEnd + milliseconds(1600));
  EXPECT_THAT(length->status, AnyOf(kOk, kUnavailable, kGatewayTimeout));
  EXPECT_THAT(m_world.Violations(), IsEmpty());
}

// A submission that comes late and out of order: after the cancelling of its
// job, which the leader did not know.
TEST_F(PausedHostTest, SubmissionAfterItsCancelNeverRuns) {
  const std::string job = m_world.MakeJob(0, 1, 1, milliseconds(20000));
  m_world.Send(0, "POST", job, milliseconds(5000));
  Cancel(1, job);
  m_world.RunFor(milliseconds(5000));
  ExpectNeverRuns(job);
}

TEST_F(PausedHostTest, SubmissionAfterItsCancelAndATakeoverNeverRuns) {
  const std::size_t leader = WaitForLeader();
  const std::size_t front = HostBeside(leader, leader);
  const std::string job = m_world.MakeJob(0, 1, 1, milliseconds(20000));
  m_world.Send(front, "POST", job, milliseconds(7000));
  Cancel(front, job);
  m_world.KillHost(leader);
  EXPECT_NE(WaitForLeader(), leader);
  m_world.RunFor(milliseconds(7000));
  ExpectNeverRuns(job);
}

TEST_F(PausedHostTest, SubmissionAfterItsCancelAndTheEndOfAllHostsNeverRuns) {
  const std::string job = m_world.MakeJob(0, 1, 1, milliseconds(20000));
  const Request submission = m_world.Send(0, "POST", job, milliseconds(8000));
  Cancel(1, job);
  for (std::size_t host = 0; host < kHosts; ++host) {
    m_world.KillHost(host);
  }
  m_world.RunFor(milliseconds(500));
  for (std::size_t host = 0; host < kHosts; ++host) {
    m_world.StartHost(host);
  }
  WaitForLeader();
  m_world.RunFor(milliseconds(8000));
  EXPECT_NE(submission->status, 0);
  ExpectNeverRuns(job);
}

// A host that stands still for longer than cancels are remembered.
TEST_F(PausedHostTest, SubmissionThatWaitedLongerThanItsCancelIsKeptNeverRuns) {
  constexpr milliseconds kLongPause{140000};
  const std::size_t leader = WaitForLeader();
  const std::size_t paused = HostBeside(leader, leader);
  const std::string job = m_world.MakeJob(0, 1, 1, milliseconds(20000));
  m_world.PauseHost(paused, kLongPause);
  const Request submission = m_world.Send(paused, "POST", job);
  Cancel(HostBeside(leader, paused), job);
  m_world.RunFor(kLongPause);
  EXPECT_EQ(submission->status, kGatewayTimeout);
  ExpectNeverRuns(job);
}

// A host that goes on has an old configuration until the store or a peer tells
// it the new one.
TEST_F(PausedHostTest, QueueThatWasAddedDuringAPauseIsNotDenied) {
  const std::size_t leader = WaitForLeader();
  const std::size_t paused = HostBeside(leader, leader);
  m_world.PublishNextConfig(1);
  m_world.RunFor(milliseconds(2500));
  m_world.PauseHost(paused, milliseconds(6000));
  m_world.PublishNextConfig(2);
  const std::string job = m_world.MakeJob(1, 1, 1, milliseconds(300));
  const Request submission = m_world.Send(paused, "POST", job);
  m_world.RunFor(milliseconds(9000));
  EXPECT_NE(submission->status, kNotFound);
  const Request later = m_world.Send(paused, "POST", job);
  m_world.RunFor(milliseconds(1600));
  EXPECT_EQ(later->status, kOk);
  EXPECT_THAT(m_world.Violations(), IsEmpty());
}

// Ids are the customers' own: a cancel keeps no other customer from using one.
TEST_F(PausedHostTest, CancelOfOneCustomerKeepsNoOtherFromItsId) {
  const std::string job = m_world.MakeJob(0, 1, 1, milliseconds(300), "key-0");
  const Request cancel = m_world.SendAs("key-1", 1, "DELETE", job);
  m_world.RunFor(milliseconds(1600));
  EXPECT_TRUE(IsCancelAcknowledged(*cancel)) << cancel->status;
  const Request submission = m_world.Send(2, "POST", job);
  m_world.RunFor(milliseconds(3000));
  EXPECT_EQ(submission->status, kOk);
  EXPECT_EQ(m_world.CountDoneTasks(job), 1U);
  EXPECT_THAT(m_world.Violations(), IsEmpty());
}

// An id names one job: what another customer hands in under it is not stored.
TEST_F(PausedHostTest, IdOfAnotherCustomersJobIsNotAccepted) {
  const std::string job = m_world.MakeJob(0, 1, 1, milliseconds(300), "key-0");
  const Request own = m_world.Send(2, "POST", job);
  m_world.RunFor(milliseconds(300));
  const Request other = m_world.SendAs("key-1", 2, "POST", job);
  m_world.RunFor(milliseconds(2000));
  const Request later = m_world.SendAs("key-1", 2, "POST", job);
  m_world.RunFor(milliseconds(1600));
  EXPECT_EQ(own->status, kOk);
  EXPECT_EQ(other->status, kForbidden);
  EXPECT_EQ(later->status, kForbidden);
  EXPECT_THAT(m_world.Violations(), IsEmpty());
}

TEST_F(PausedHostTest, FinishedJobStaysItsCustomersAfterATakeover) {
  const std::string job = m_world.MakeJob(0, 1, 1, milliseconds(300), "key-0");
  m_world.Send(2, "POST", job);
  m_world.RunFor(milliseconds(3000));
  ASSERT_EQ(m_world.CountDoneTasks(job), 1U);
  const std::size_t leader = WaitForLeader();
  m_world.KillHost(leader);
  const std::size_t front = HostBeside(leader, WaitForLeader());
  for (const std::string method : {"GET", "DELETE", "POST"}) {
    const Request other = m_world.SendAs("key-1", front, method, job);
    m_world.RunFor(milliseconds(1600));
    EXPECT_EQ(other->status, kForbidden) << method;
  }
  const Request own = m_world.Send(front, "GET", job);
  m_world.RunFor(milliseconds(1600));
  EXPECT_EQ(own->body, "done");
  EXPECT_THAT(m_world.Violations(), IsEmpty());
}

// A finished job is forgotten before its rows are removed, and a new leader
// reads those that are left.
TEST_F(PausedHostTest, FinishedJobIsNotShownAgainOnceItWasDenied) {
  const std::size_t leader = WaitForLeader();
  const std::size_t front = HostBeside(leader, leader);
  const std::string job = Accept(front, 1, milliseconds(300));
  m_world.RunFor(milliseconds(119500));
  m_world.Faults().commit_delay = milliseconds(800);
  bool is_denied = false;
  for (int i = 0; i < 60 && !is_denied; ++i) {
    const Request state = m_world.Send(front, "GET", job);
    m_world.RunFor(milliseconds(50));
    is_denied = state->status == kGone;
  }
  m_world.Faults().commit_delay = {};
  // Before the commit that removes the rows is applied.
  TakeOver(leader, front);
  m_world.KillHost(leader);
  EXPECT_EQ(WaitForLeader(), front);
  const Request state = m_world.Send(front, "GET", job);
  m_world.RunFor(milliseconds(1600));
  EXPECT_EQ(state->status, is_denied ? kGone : kOk) << state->body;
}

// A cancel leaves nothing that callers are told of as a job.
TEST_F(PausedHostTest, CancelOfAnIdThatNobodySubmittedShowsNoJob) {
  const std::string job = m_world.MakeJob(0, 1, 1, milliseconds(300), "key-0");
  const Request cancel = m_world.Send(1, "DELETE", job);
  const Request other = m_world.SendAs("key-1", 1, "DELETE", job);
  m_world.RunFor(milliseconds(1600));
  EXPECT_TRUE(IsCancelAcknowledged(*cancel)) << cancel->status;
  EXPECT_TRUE(IsCancelAcknowledged(*other)) << other->status;
  for (const std::string key : {"key-0", "key-1"}) {
    const Request state = m_world.SendAs(key, 2, "GET", job);
    m_world.RunFor(milliseconds(1600));
    EXPECT_EQ(state->status, kGone);
  }
  const Request length = m_world.AskQueueLength(3, 0);
  m_world.RunFor(milliseconds(1600));
  EXPECT_EQ(length->body, "0");
  EXPECT_THAT(m_world.Violations(), IsEmpty());
}

}  // namespace
}  // namespace cassiastile::host
