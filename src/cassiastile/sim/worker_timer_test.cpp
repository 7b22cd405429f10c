#include "cassiastile/sim/worker_timer.hpp"

#include <utility>
#include <vector>

#include <gtest/gtest.h>

namespace cassiastile::sim {
namespace {

using std::chrono::milliseconds;

// Keeps the requested calls; the test runs them.
class FakeLoop final : public host::Loop {
 public:
  const base::Clock& GetClock() const override { return m_clock; }
  void After(base::Duration delay, std::function<void()> run) override {
    m_timers.emplace_back(m_clock.Now() + delay, std::move(run));
  }
  void RunFor(milliseconds time) {
    m_clock.Advance(time);
    for (std::size_t i = 0; i < m_timers.size(); ++i) {
      if (m_timers[i].second && m_timers[i].first <= m_clock.Now()) {
        std::exchange(m_timers[i].second, nullptr)();
      }
    }
  }
  std::size_t TimersSet() const { return m_timers.size(); }

 private:
  base::ManualClock m_clock;
  std::vector<std::pair<base::TimePoint, std::function<void()>>> m_timers;
};

class WorkerTimerTest : public testing::Test {
 protected:
  base::TimePoint In(int millis) {
    return m_loop.GetClock().Now() + milliseconds(millis);
  }

  FakeLoop m_loop;
  int m_calls = 0;
  WorkerTimer m_timer{m_loop, [this] { ++m_calls; }};
};

TEST_F(WorkerTimerTest, CallsOnceAtTheTime) {
  m_timer.Set(In(100));
  m_loop.RunFor(milliseconds(99));
  EXPECT_EQ(m_calls, 0);
  m_loop.RunFor(milliseconds(200));
  EXPECT_EQ(m_calls, 1);
}

TEST_F(WorkerTimerTest, LaterTimesSetNoFurtherTimer) {
  for (int i = 0; i < 100; ++i) {
    m_timer.Set(In(100 + i));
  }
  EXPECT_EQ(m_loop.TimersSet(), 1U);
}

TEST_F(WorkerTimerTest, EarlierTimeReplacesALaterOne) {
  m_timer.Set(In(100));
  m_timer.Set(In(50));
  m_loop.RunFor(milliseconds(60));
  EXPECT_EQ(m_calls, 1);
  m_loop.RunFor(milliseconds(60));
  EXPECT_EQ(m_calls, 1);
}

TEST_F(WorkerTimerTest, NothingIsSetWithoutATime) {
  m_timer.Set(std::nullopt);
  EXPECT_EQ(m_loop.TimersSet(), 0U);
}

}  // namespace
}  // namespace cassiastile::sim
