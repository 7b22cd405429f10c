#include "cassiastile/jobs/advice_calls.hpp"

#include <gtest/gtest.h>

namespace cassiastile::jobs {
namespace {

using std::chrono::milliseconds;

class AdviceCallsTest : public testing::Test {
 protected:
  base::TimePoint Now() const { return m_clock.Now(); }

  base::ManualClock m_clock;
  AdviceCalls m_calls;
};

TEST_F(AdviceCallsTest, TwoCallsAreUnderWayAtMost) {
  ASSERT_TRUE(m_calls.MayCall(Now()));
  m_calls.Begin("a", milliseconds(100), Now());
  ASSERT_TRUE(m_calls.MayCall(Now()));
  m_calls.Begin("b", milliseconds(100), Now());
  EXPECT_FALSE(m_calls.MayCall(Now()));
  EXPECT_TRUE(m_calls.IsUnderWay("a"));
  m_calls.Answered("a");
  EXPECT_FALSE(m_calls.IsUnderWay("a"));
  EXPECT_TRUE(m_calls.MayCall(Now()));
}

TEST_F(AdviceCallsTest, TimeAllowedCoversTheCallsAhead) {
  const auto first = m_calls.Begin("a", milliseconds(1000), Now());
  const auto second = m_calls.Begin("b", milliseconds(1000), Now());
  EXPECT_GT(first, milliseconds(1000));
  EXPECT_GE(second - first, milliseconds(1000));
}

TEST_F(AdviceCallsTest, FailuresPauseForLongerAndAnAnswerEndsThat) {
  milliseconds before{0};
  for (int i = 0; i < 10; ++i) {
    m_calls.Begin("a", milliseconds(100), Now());
    const auto pause = m_calls.Failed("a", Now());
    EXPECT_GE(pause, before);
    EXPECT_LE(pause, AdviceCallOptions{}.max_pause);
    before = pause;
    EXPECT_FALSE(m_calls.MayCall(Now()));
    m_clock.Advance(pause);
    EXPECT_TRUE(m_calls.MayCall(Now()));
  }
  // One call finds out whether the advisor is back.
  m_calls.Begin("a", milliseconds(100), Now());
  EXPECT_FALSE(m_calls.MayCall(Now()));
  m_calls.Answered("a");
  m_calls.Begin("a", milliseconds(100), Now());
  EXPECT_TRUE(m_calls.MayCall(Now()));
  EXPECT_EQ(m_calls.Failed("a", Now()), AdviceCallOptions{}.min_pause);
}

TEST_F(AdviceCallsTest, CallsWithoutAnOutcomeAreOverdue) {
  const auto allowed = m_calls.Begin("a", milliseconds(100), Now());
  m_clock.Advance(allowed);
  EXPECT_TRUE(m_calls.FindOverdue(Now()).empty());
  m_clock.Advance(milliseconds(2000));
  EXPECT_EQ(m_calls.FindOverdue(Now()).size(), 1U);
}

TEST(AdviceHistoryTest, LearnsWhichWorkersAreAllowed) {
  AdviceHistory history;
  EXPECT_TRUE(history.IsEmpty());
  EXPECT_DOUBLE_EQ(history.ChanceOf("a"), 0.5);
  for (int i = 0; i < 10; ++i) {
    history.Add({"a", "b"}, {"a"}, milliseconds(100));
  }
  EXPECT_GT(history.ChanceOf("a"), 0.9);
  EXPECT_LT(history.ChanceOf("b"), 0.1);
  EXPECT_NEAR(history.ChanceOf("c"), 0.5, 0.01);
  EXPECT_EQ(history.CostOfStep(milliseconds(7)), milliseconds(100));
}

TEST(AdviceHistoryTest, CallsThatAllowNoneMakeStepsDearer) {
  AdviceHistory history;
  EXPECT_EQ(history.CostOfStep(milliseconds(7)), milliseconds(7));
  for (int i = 0; i < 100; ++i) {
    history.Add({"a"}, {}, milliseconds(100));
  }
  EXPECT_EQ(history.CostOfStep(milliseconds(7)), milliseconds(1000));
}

}  // namespace
}  // namespace cassiastile::jobs
