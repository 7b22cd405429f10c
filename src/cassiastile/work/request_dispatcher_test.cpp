#include "cassiastile/work/request_dispatcher.hpp"

#include <gtest/gtest.h>

namespace cassiastile::work {
namespace {

// Above zero, which stands for "never" in the dispatcher.
constexpr base::TimePoint kStart{std::chrono::hours(1)};
constexpr std::chrono::seconds kTimeout{10};

class RequestDispatcherTest : public testing::Test {
 protected:
  void SetUp() override {
    std::vector<ListedRunner> listed;
    std::map<std::string, std::uint32_t> slots;
    for (const char* name : {"r0", "r1", "r2", "r3"}) {
      listed.push_back({name, "", "z0", 1, false});
      slots[name] = 1;
    }
    // Ignored, as the runners are not listed yet.
    m_dispatcher.SetSlots(slots, m_now);
    m_dispatcher.SetRunners(listed, m_now);
    m_dispatcher.SetSlots(slots, m_now);
  }

  RequestActions Arrive(bool idempotent, const std::string& key = "") {
    RequestTicket ticket;
    ticket.id = ++m_last_id;
    ticket.idempotent = idempotent;
    ticket.key_id = key;
    ticket.arrived = m_now;
    ticket.deadline = m_now + kTimeout;
    return m_dispatcher.Arrive(ticket, m_now);
  }

  // Returns the only action, which must be of the given type.
  template <typename Action>
  static Action Only(const RequestActions& actions) {
    EXPECT_EQ(actions.size(), 1U);
    return std::get<Action>(actions.at(0));
  }

  RequestActions End(const SendTry& send, const TryResult& result) {
    return m_dispatcher.EndTry(send.try_id, result, m_now);
  }

  RequestActions TickAfter(std::chrono::milliseconds length) {
    constexpr std::chrono::milliseconds kTick{100};
    RequestActions all;
    for (auto passed = kTick; passed <= length; passed += kTick) {
      m_now += kTick;
      for (RequestAction& action : m_dispatcher.Tick(m_now)) {
        all.push_back(std::move(action));
      }
    }
    return all;
  }

  RequestDispatcher m_dispatcher{{}, 1};
  base::TimePoint m_now = kStart;
  RequestId m_last_id = 0;
};

TEST_F(RequestDispatcherTest, NonIdempotentRequestUsesAFreshConnection) {
  EXPECT_TRUE(Only<SendTry>(Arrive(false)).fresh_connection);
  EXPECT_FALSE(Only<SendTry>(Arrive(true)).fresh_connection);
}

TEST_F(RequestDispatcherTest, LostNonIdempotentRequestIsNotRetried) {
  const auto send = Only<SendTry>(Arrive(false));
  const auto end = Only<FinishRequest>(End(send, TryLost{}));
  EXPECT_TRUE(std::holds_alternative<MaybeRan>(end.outcome));
}

TEST_F(RequestDispatcherTest, UnsentNonIdempotentRequestIsRetriedElsewhere) {
  const auto send = Only<SendTry>(Arrive(false));
  const auto again = Only<SendTry>(End(send, TryNotSent{}));
  EXPECT_NE(again.runner, send.runner);
}

TEST_F(RequestDispatcherTest, LostIdempotentRequestIsRetriedAndThenUnknown) {
  auto send = Only<SendTry>(Arrive(true));
  send = Only<SendTry>(End(send, TryLost{}));
  send = Only<SendTry>(End(send, TryLost{}));
  // The last try did not reach the runner, but the earlier ones may have.
  const auto end = Only<FinishRequest>(End(send, TryNotSent{}));
  EXPECT_TRUE(std::holds_alternative<MaybeRan>(end.outcome));
}

// The runner was told to stop at the deadline. The slot is held for 200 ms more
// (stop_margin).
TEST_F(RequestDispatcherTest, SlotOfALostRequestIsHeldUntilItsRunnerStops) {
  const auto send = Only<SendTry>(Arrive(false));
  End(send, TryLost{});
  const auto in_use = [&] {
    std::uint32_t sum = 0;
    for (const Runner& runner : m_dispatcher.AllRunners()) {
      sum += runner.in_use;
    }
    return sum;
  };
  TickAfter(kTimeout);
  EXPECT_EQ(in_use(), 1U);
  TickAfter(std::chrono::milliseconds(300));
  EXPECT_EQ(in_use(), 0U);
}

TEST_F(RequestDispatcherTest, SilentRunnerIsEjectedAndIdempotentRequestHedged) {
  const auto send = Only<SendTry>(Arrive(true));
  // Longer than the silence limit, which is min_silence (500 ms) here.
  const auto actions = TickAfter(std::chrono::milliseconds(600));
  const auto again = Only<SendTry>(actions);
  EXPECT_NE(again.runner, send.runner);
  EXPECT_TRUE(again.fresh_connection);
  for (const Runner& runner : m_dispatcher.AllRunners()) {
    EXPECT_EQ(IsUsable(runner), runner.name != send.runner);
  }
}

TEST_F(RequestDispatcherTest, RequestsBeyondTheSlotsWait) {
  for (int i = 0; i < 4; ++i) {
    EXPECT_EQ(Arrive(false).size(), 1U);
  }
  EXPECT_TRUE(Arrive(false).empty());
  EXPECT_EQ(m_dispatcher.Queued(), 1U);
}

TEST_F(RequestDispatcherTest, RequestOfARevokedKeyIsNotSent) {
  for (int i = 0; i < 4; ++i) {
    Arrive(false, "k1");
  }
  // All four slots are in use, so this request is queued.
  Arrive(false, "k1");
  const auto end = Only<FinishRequest>(
      m_dispatcher.RefuseInvalidKeys({"k2"}, RefusalReason::kUnknownKey));
  EXPECT_TRUE(std::holds_alternative<NotRun>(end.outcome));
  EXPECT_EQ(m_dispatcher.Queued(), 0U);
}

// While the process is paused for more than 5 s (longest_pause), its slots may
// be granted to others. Requests sent to them would exceed the runners' slots.
TEST_F(RequestDispatcherTest, NothingIsSentAfterAPauseUntilSlotsAreReread) {
  const base::TimePoint before = m_now;
  m_dispatcher.Tick(m_now);
  m_now += std::chrono::minutes(2);
  EXPECT_TRUE(Arrive(false).empty());
  // Slots read before the pause don't count.
  m_dispatcher.SetSlots({{"r0", 1}}, before);
  EXPECT_TRUE(m_dispatcher.Tick(m_now).empty());
  m_now += std::chrono::milliseconds(20);
  m_dispatcher.SetSlots({{"r0", 1}}, m_now);
  Only<SendTry>(m_dispatcher.Tick(m_now));
}

TEST_F(RequestDispatcherTest, StalledRequestEndsAtItsDeadline) {
  Arrive(false);
  std::size_t ends = 0;
  for (const RequestAction& action :
       TickAfter(kTimeout + std::chrono::milliseconds(200))) {
    ends += std::holds_alternative<FinishRequest>(action) ? 1 : 0;
  }
  EXPECT_EQ(ends, 1U);
}

}  // namespace
}  // namespace cassiastile::work
