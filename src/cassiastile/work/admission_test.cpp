#include "cassiastile/work/admission.hpp"

#include <set>

#include <gtest/gtest.h>

namespace cassiastile::work {
namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};
// Ten requests a second.
constexpr ServiceRate kRate{1, std::chrono::milliseconds(100)};

class AdmissionTest : public testing::Test {
 protected:
  RequestTicket MakeTicket(
      const std::string& team,
      std::chrono::milliseconds timeout = std::chrono::milliseconds(60000)) {
    RequestTicket ticket;
    ticket.id = ++m_last_id;
    ticket.team = team;
    ticket.arrived = kStart;
    ticket.deadline = kStart + timeout;
    return ticket;
  }

  std::vector<Refusal> Offer(const RequestTicket& ticket) {
    return m_queue.Offer(ticket, kRate, kStart, m_random);
  }

  AdmissionOptions m_options{.queue_limit = 100};
  AdmissionQueue m_queue{m_options};
  base::Random m_random{1};
  RequestId m_last_id = 0;
};

TEST_F(AdmissionTest, TeamsTakeTurnsByWeight) {
  m_queue.SetQuota("large", {.weight = 3, .concurrency_limit = {}});
  m_queue.SetQuota("small", {.weight = 1, .concurrency_limit = {}});
  for (int i = 0; i < 40; ++i) {
    EXPECT_TRUE(Offer(MakeTicket("large")).empty());
    EXPECT_TRUE(Offer(MakeTicket("small")).empty());
  }
  std::map<std::string, int> started;
  for (int i = 0; i < 40; ++i) {
    ++started[m_queue.TakeNext()->team];
  }
  EXPECT_NEAR(started["large"], 30, 1);
  EXPECT_NEAR(started["small"], 10, 1);
}

TEST_F(AdmissionTest, LongRequestsAreChargedToTheirTeam) {
  for (int i = 0; i < 40; ++i) {
    Offer(MakeTicket("long"));
    Offer(MakeTicket("short"));
  }
  std::map<std::string, int> started;
  // A long request costs as much as ten short ones, so about 40 short and four
  // long ones start.
  for (int i = 0; i < 44; ++i) {
    const std::string team = m_queue.TakeNext()->team;
    ++started[team];
    m_queue.Release(team, team == "long" ? 10 : 1);
  }
  EXPECT_NEAR(started["short"], 10 * started["long"], 10);
}

TEST_F(AdmissionTest, UrgentLeadOverOtherTeamsIsBounded) {
  for (int i = 0; i < 40; ++i) {
    Offer(MakeTicket("calm"));
    RequestTicket urgent = MakeTicket("pushy");
    urgent.urgent = true;
    Offer(urgent);
  }
  std::map<std::string, int> started;
  for (int i = 0; i < 10; ++i) {
    ++started[m_queue.TakeNext()->team];
  }
  EXPECT_EQ(started["pushy"], 10);
  for (int i = 0; i < 40; ++i) {
    ++started[m_queue.TakeNext()->team];
  }
  // urgent_lead is 16; the other 34 of the 50 starts are shared equally.
  EXPECT_GE(started["calm"], 15);
}

TEST_F(AdmissionTest, RefusesOnArrivalWhatWouldMissItsDeadline) {
  for (int i = 0; i < 50; ++i) {
    EXPECT_TRUE(Offer(MakeTicket("t")).empty());
  }
  // The 50 requests before it take 5 s at kRate.
  const auto refusals = Offer(MakeTicket("t", std::chrono::seconds(3)));
  ASSERT_EQ(refusals.size(), 1U);
  EXPECT_EQ(refusals[0].not_run.reason, RefusalReason::kWaitTooLong);
  EXPECT_GT(refusals[0].not_run.retry_after, base::Duration::zero());
}

// A request waits for its own team's queue and, by weight, for other teams, not
// for the whole queue.
TEST_F(AdmissionTest, SmallTeamIsNotRefusedForTheQueueOfALargeOne) {
  for (int i = 0; i < 90; ++i) {
    Offer(MakeTicket("large"));
  }
  EXPECT_TRUE(Offer(MakeTicket("small", std::chrono::seconds(2))).empty());
}

TEST_F(AdmissionTest, RefusesQueuedRequestsThatCannotMeetTheirDeadline) {
  for (int i = 0; i < 50; ++i) {
    Offer(MakeTicket("t", std::chrono::seconds(20)));
  }
  // The runners become ten times slower, so about 17 of the requests can start
  // within 90 % of the time that is left (keep_fraction).
  const ServiceRate slow{1, std::chrono::seconds(1)};
  const auto refusals = m_queue.RefuseLate(slow, kStart, m_random);
  EXPECT_GE(refusals.size(), 30U);
  EXPECT_EQ(refusals.size() + m_queue.Size(), 50U);
}

TEST_F(AdmissionTest, FullQueueEvictsFromTheTeamWithMostQueued) {
  for (int i = 0; i < 100; ++i) {
    EXPECT_TRUE(Offer(MakeTicket("large")).empty());
  }
  const auto evicted = Offer(MakeTicket("small"));
  ASSERT_EQ(evicted.size(), 1U);
  EXPECT_EQ(evicted[0].ticket.team, "large");
  EXPECT_EQ(evicted[0].not_run.reason, RefusalReason::kQueueFull);
  const auto refused = Offer(MakeTicket("large"));
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].ticket.id, m_last_id);
  EXPECT_EQ(m_queue.Size(), 100U);
}

TEST_F(AdmissionTest, TeamStaysWithinItsConcurrencyLimit) {
  m_queue.SetQuota("t", {.weight = 1, .concurrency_limit = 2});
  for (int i = 0; i < 3; ++i) {
    Offer(MakeTicket("t"));
  }
  EXPECT_TRUE(m_queue.TakeNext());
  EXPECT_TRUE(m_queue.TakeNext());
  EXPECT_FALSE(m_queue.TakeNext());
  EXPECT_FALSE(m_queue.StartRetry("t"));
  m_queue.Release("t", 1);
  EXPECT_TRUE(m_queue.TakeNext());
}

TEST_F(AdmissionTest, RetryAfterIsSpreadWithinItsBounds) {
  std::set<std::int64_t> seconds;
  for (int i = 0; i < 50; ++i) {
    Offer(MakeTicket("t"));
  }
  for (int i = 0; i < 200; ++i) {
    const auto after = m_queue.DrawRetryAfter(kRate, m_random);
    EXPECT_GE(after, m_options.min_retry_after);
    EXPECT_LE(after, m_options.max_retry_after);
    seconds.insert(base::Milliseconds(after) / 1000);
  }
  // 50 requests at kRate take 5 s, so the times are drawn from the 10 s after
  // min_retry_after.
  EXPECT_GE(seconds.size(), 8U);
}

TEST(RetryBudgetTest, RetriesStayAFractionOfAnswers) {
  RetryBudget budget(0.1, 2);
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    retries += budget.Spend() ? 1 : 0;
    budget.Earn();
  }
  // The bucket starts with 2 tokens and earns 0.1 for each of 1000 answers.
  EXPECT_NEAR(retries, 102, 2);
}

}  // namespace
}  // namespace cassiastile::work
