// What each answer to a caller rests on; docs/design/answers.md has a row for
// each of them.
#include <string>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "paused_host_bench.hpp"

namespace cassiastile::host {
namespace {

using std::chrono::milliseconds;
using testing::AnyOf;
using testing::IsEmpty;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kForbidden = 403;
constexpr int kNotAllowed = 405;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr milliseconds kLongestAnswer{1600};

class AnswersTest : public PausedHostBench {
 protected:
  Request Ask(std::size_t host,
              const std::string& method,
              const std::string& job) {
    Request request = m_world.Send(host, method, job);
    m_world.RunFor(kLongestAnswer);
    return request;
  }
};

TEST_F(AnswersTest, CancelIsAcknowledgedOnlyOnceItIsStored) {
  const std::size_t leader = WaitForLeader();
  const std::size_t front = HostBeside(leader, leader);
  const std::string known = Accept(front);
  const std::string unknown = m_world.MakeJob(0, 1, 1, milliseconds(300));
  m_world.Faults().store_silent = true;
  for (const std::string& job : {known, unknown}) {
    const Request cancel = Ask(front, "DELETE", job);
    EXPECT_THAT(cancel->status, AnyOf(kUnavailable, kGatewayTimeout));
  }
  m_world.Faults() = {};
  Cancel(front, known);
  Cancel(front, unknown);
  ExpectNeverRuns(unknown);
}

TEST_F(AnswersTest, CopyOfASubmissionIsAcceptedOnlyOnceItIsStored) {
  const std::size_t leader = WaitForLeader();
  const std::size_t front = HostBeside(leader, leader);
  m_world.Faults().lost_answer_chance = 1;
  const std::string job = m_world.MakeJob(0, 1, 1, milliseconds(300));
  const Request first = m_world.Send(front, "POST", job);
  const Request copy = m_world.Send(front, "POST", job, milliseconds(100));
  m_world.RunFor(milliseconds(1000));
  EXPECT_NE(first->status, kOk);
  EXPECT_NE(copy->status, kOk);
  m_world.Faults() = {};
  m_world.RunFor(milliseconds(4000));
  EXPECT_EQ(Ask(front, "POST", job)->status, kOk);
  EXPECT_EQ(m_world.CountDoneTasks(job), 1U);
  EXPECT_THAT(m_world.Violations(), IsEmpty());
}

// What is stored for good needs no confirmation of the term.
TEST_F(AnswersTest, FormerLeaderTellsWhatIsStoredForGood) {
  const std::size_t first = WaitForLeader();
  const std::string done =
      Accept(HostBeside(first, first), 1, milliseconds(300));
  m_world.RunFor(milliseconds(2000));
  const std::string cancelled = Accept(HostBeside(first, first));
  Cancel(HostBeside(first, first), cancelled);
  const std::size_t former = ReplacePausedLeader();
  RunUntilPauseEnds();
  const Request state = m_world.Send(former, "GET", done);
  const Request again = m_world.Send(former, "POST", done);
  const Request end = m_world.Send(former, "GET", cancelled);
  const Request copy = m_world.Send(former, "POST", cancelled);
  m_world.RunFor(kBeforeEnd + kLongestAnswer);
  EXPECT_EQ(state->body, "done");
  EXPECT_EQ(again->status, kOk);
  EXPECT_EQ(end->body, "cancelled");
  EXPECT_EQ(copy->status, kOk);
  m_world.RunFor(milliseconds(8000));
  EXPECT_EQ(m_world.CountRuns(cancelled), 0U);
  EXPECT_THAT(m_world.Violations(), IsEmpty());
}

TEST_F(AnswersTest, OtherCustomersGetNothingOfAJobAlsoFromAFormerLeader) {
  const std::size_t first = WaitForLeader();
  const std::string job =
      m_world.MakeJob(0, 1, 1, milliseconds(20000), "key-0");
  ASSERT_EQ(Ask(HostBeside(first, first), "POST", job)->status, kOk);
  const std::size_t former = ReplacePausedLeader();
  RunUntilPauseEnds();
  std::vector<Request> requests;
  for (const std::string method : {"GET", "DELETE", "POST"}) {
    requests.push_back(m_world.SendAs("key-1", former, method, job));
  }
  m_world.RunFor(kBeforeEnd + kLongestAnswer);
  for (const Request& request : requests) {
    EXPECT_THAT(request->status,
                AnyOf(kForbidden, kUnavailable, kGatewayTimeout))
        << request->method;
  }
  const Request state = Ask(HostBeside(former, former), "GET", job);
  EXPECT_EQ(state->body, "running");
}

TEST_F(AnswersTest, UnreadableRequestsAreRefusedForThemselves) {
  const std::size_t leader = WaitForLeader();
  const std::string job = Accept(HostBeside(leader, leader));
  EXPECT_EQ(Ask(leader, "PUT", job)->status, kNotAllowed);
  const Request prefix = m_world.SendPath(leader, "DELETE", "/0/");
  const Request odd = m_world.SendPath(leader, "GET", "/0/no-id");
  m_world.RunFor(kLongestAnswer);
  EXPECT_EQ(prefix->status, kNotAllowed);
  EXPECT_EQ(odd->status, kBadRequest);
  EXPECT_EQ(Ask(leader, "GET", job)->body, "running");
}

// A host without a configuration can't know of any job.
TEST(AnswersOfANewHostTest, HostWithoutAConfigurationPassesNothingOn) {
  VirtualWorld world;
  const std::string job = world.MakeJob(0, 1, 1, milliseconds(300));
  world.Faults().store_silent = true;
  const Request submission = world.Send(0, "POST", job);
  world.RunFor(milliseconds(1000));
  EXPECT_EQ(submission->status, kUnavailable);
  world.Faults() = {};
  world.RunFor(milliseconds(8000));
  EXPECT_EQ(world.CountDoneTasks(job), 0U);
  EXPECT_THAT(world.Violations(), IsEmpty());
}

}  // namespace
}  // namespace cassiastile::host
