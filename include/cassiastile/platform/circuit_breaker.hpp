#pragma once

#include <cstdint>
#include <string_view>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/random.hpp"

namespace cassiastile::platform {

// The usual states of a circuit breaker.
enum class BreakerState : std::uint8_t {
  kClosed,    // Calls go through.
  kOpen,      // Calls fail at once.
  kHalfOpen,  // One call goes through as a probe.
};

std::string_view NameOf(BreakerState state);

// Settings of a CircuitBreaker.
struct CircuitBreakerOptions {
  std::uint32_t failures_to_open = 5;  // Consecutive failures.
  // How long the breaker stays open. The time doubles after each failed probe,
  // up to `max_open_time`; random jitter adds up to half of it, so that hosts
  // don't return together.
  base::Duration min_open_time = std::chrono::milliseconds(500);
  base::Duration max_open_time = std::chrono::seconds(2);
};

// Stops calls to a service that keeps failing. Not thread-safe.
class CircuitBreaker {
 public:
  CircuitBreaker(CircuitBreakerOptions options, std::uint64_t seed);

  // Whether a call may be made now. A call let through in the half-open state
  // must be followed by RecordSuccess or RecordFailure.
  bool Allow(base::TimePoint now);
  // Closes the breaker after an allowed call succeeded.
  void RecordSuccess();
  // Counts an allowed call that failed; may open the breaker.
  void RecordFailure(base::TimePoint now);

  BreakerState State() const;

 private:
  void Open(base::TimePoint now);

  CircuitBreakerOptions m_options;
  base::Random m_random;
  BreakerState m_state = BreakerState::kClosed;
  std::uint32_t m_failures = 0;
  base::Duration m_open_time{};
  base::TimePoint m_open_until{};
};

}  // namespace cassiastile::platform
