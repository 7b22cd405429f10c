#pragma once

#include <cstdint>
#include <string_view>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/random.hpp"

namespace cassiastile::platform {

enum class BreakerState : std::uint8_t {
  kClosed,    // Calls go through.
  kOpen,      // Calls fail at once.
  kHalfOpen,  // One call goes through to try the service.
};

std::string_view NameOf(BreakerState state);

struct CircuitBreakerOptions {
  std::uint32_t failures_to_open = 5;  // In a row.
  // How long the breaker stays open: doubled after each failed probe, up to the
  // longest, and spread by half of it at random so that hosts don't return
  // together.
  base::Duration shortest_open = std::chrono::milliseconds(500);
  base::Duration longest_open = std::chrono::seconds(2);
};

// Keeps calls away from a service that fails. Not safe for use by several
// threads.
class CircuitBreaker {
 public:
  CircuitBreaker(CircuitBreakerOptions options, std::uint64_t seed);

  // Whether a call may be made now. A call let through in the half-open state
  // must be followed by Succeed or Fail.
  bool Allow(base::TimePoint now);
  void Succeed();
  void Fail(base::TimePoint now);

  BreakerState State() const;

 private:
  void Open(base::TimePoint now);

  CircuitBreakerOptions m_options;
  base::Random m_random;
  BreakerState m_state = BreakerState::kClosed;
  std::uint32_t m_failures = 0;
  base::Duration m_open_for{};
  base::TimePoint m_open_until{};
};

}  // namespace cassiastile::platform
