#include "cassiastile/platform/store_guard.hpp"

#include <gtest/gtest.h>

#include "cassiastile/platform/memory_platform.hpp"

namespace cassiastile::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A StoreGuard over an in-memory table, in virtual time.
class StoreGuardTest : public testing::Test {
 protected:
  StoreGuard MakeGuard(StoreGuardOptions options = {}) {
    return StoreGuard(
        m_table, m_clock, [this](base::Duration by) { m_clock.Advance(by); }, 1,
        options);
  }

  static Transaction Insert(const std::string& nonce) {
    return {nonce, {{"row", 0}}, {{"row", nonce}}};
  }

  MemoryTable m_table;
  base::ManualClock m_clock;
};

// Inserts a hundred rows under faults, then checks each answer against the
// table once no transaction is in flight any more.
class StoreGuardAnswersTest : public StoreGuardTest,
                              public testing::WithParamInterface<MemoryFaults> {
};

TEST_P(StoreGuardAnswersTest, MatchTheTable) {
  constexpr int kRows = 100;
  StoreGuard guard = MakeGuard();
  m_table.SetFaults(GetParam());
  std::vector<base::Result<Commit>> answers;
  for (int i = 0; i < kRows; ++i) {
    const std::string key = std::to_string(i);
    answers.push_back(guard.Apply({key, {{key, 0}}, {{key, "once"}}}));
    // Longer than the breaker stays open, so that each call is attempted.
    m_clock.Advance(seconds(5));
  }
  m_table.SetFaults({});
  for (int i = 0; i < kRows; ++i) {
    const base::Result<Commit>& answer = answers[i];
    const auto row = m_table.Get(std::to_string(i)).value();
    if (answer) {
      EXPECT_TRUE(row.has_value());
    } else if (answer.error().code != base::ErrorCode::kUnknown) {
      EXPECT_EQ(answer.error().code, base::ErrorCode::kUnavailable);
      EXPECT_FALSE(row.has_value());
    }
  }
  EXPECT_GT(guard.Counts().resolved, 0U);
}

INSTANTIATE_TEST_SUITE_P(Faults,
                         StoreGuardAnswersTest,
                         testing::Values(MemoryFaults{.lose_answer = 0.5},
                                         MemoryFaults{.delay_apply = 0.5},
                                         MemoryFaults{.fail_before = 0.3,
                                                      .lose_answer = 0.2,
                                                      .delay_apply = 0.2}));

// The lost answer opens the breaker, so the retry is not sent. That failure
// must not hide that the first attempt may have been applied.
TEST_F(StoreGuardTest, FailureAfterALostAnswerStaysUnknown) {
  StoreGuardOptions options;
  options.breaker.failures_to_open = 1;
  StoreGuard guard = MakeGuard(options);
  m_table.SetFaults({.lose_answer = 1});
  const auto commit = guard.Apply(Insert("a"));
  ASSERT_FALSE(commit.has_value());
  EXPECT_EQ(commit.error().code, base::ErrorCode::kUnknown);
}

TEST_F(StoreGuardTest, ConflictIsNotRetried) {
  StoreGuard guard = MakeGuard();
  ASSERT_TRUE(guard.Apply(Insert("a")).has_value());
  EXPECT_EQ(guard.Apply(Insert("b")).error().code, base::ErrorCode::kConflict);
  EXPECT_EQ(m_table.Counts().writes, 2U);
}

TEST_F(StoreGuardTest, FewCallsReachTheStoreDuringAnOutage) {
  StoreGuard guard = MakeGuard();
  m_table.SetFaults({.down = true});
  constexpr int kCalls = 600;
  for (int i = 0; i < kCalls; ++i) {
    EXPECT_FALSE(guard.Get("row").has_value());
    m_clock.Advance(milliseconds(100));
  }
  // One minute of outage: after the first calls, a probe every 2 s or more.
  EXPECT_LT(m_table.Counts().reads, 60U);
}

TEST_F(StoreGuardTest, RecoversSoonAfterAnOutage) {
  StoreGuard guard = MakeGuard();
  m_table.SetFaults({.down = true});
  for (int i = 0; i < 100; ++i) {
    static_cast<void>(guard.Get("row"));
    m_clock.Advance(milliseconds(100));
  }
  EXPECT_FALSE(guard.IsReachable());
  m_table.SetFaults({});
  const base::TimePoint back = m_clock.Now();
  while (!guard.Get("row").has_value()) {
    m_clock.Advance(milliseconds(100));
  }
  EXPECT_TRUE(guard.IsReachable());
  // The longest open time, its jitter and one step.
  EXPECT_LE(m_clock.Now() - back, milliseconds(3100));
}

TEST_F(StoreGuardTest, KeepsToItsWriteRate) {
  StoreGuardOptions options;
  options.writes_per_second = 10;
  options.call_timeout = seconds(60);
  StoreGuard guard = MakeGuard(options);
  const base::TimePoint start = m_clock.Now();
  constexpr int kWrites = 110;
  for (int i = 0; i < kWrites; ++i) {
    ASSERT_TRUE(guard.Apply({std::to_string(i), {}, {}}).has_value());
  }
  // A burst of ten doesn't wait; the hundred after it take ten seconds.
  EXPECT_GE(m_clock.Now() - start, milliseconds(9900));
}

TEST(CircuitBreakerTest, FailedProbeOpensForLonger) {
  CircuitBreakerOptions options;
  options.failures_to_open = 1;
  CircuitBreaker breaker(options, 1);
  base::ManualClock clock;
  ASSERT_TRUE(breaker.Allow(clock.Now()));
  breaker.RecordFailure(clock.Now());
  EXPECT_FALSE(breaker.Allow(clock.Now()));
  // The first open time with its longest jitter; the second open time is 1 to
  // 1.5 s.
  clock.Advance(milliseconds(750));
  EXPECT_TRUE(breaker.Allow(clock.Now()));
  EXPECT_FALSE(breaker.Allow(clock.Now()));
  breaker.RecordFailure(clock.Now());
  clock.Advance(milliseconds(750));
  EXPECT_FALSE(breaker.Allow(clock.Now()));
  clock.Advance(milliseconds(750));
  EXPECT_TRUE(breaker.Allow(clock.Now()));
  breaker.RecordSuccess();
  EXPECT_EQ(breaker.State(), BreakerState::kClosed);
}

}  // namespace
}  // namespace cassiastile::platform
