#include "cassiastile/platform/circuit_breaker.hpp"

#include <algorithm>

#include "cassiastile/base/enum_names.hpp"

namespace cassiastile::platform {

namespace {

constexpr std::array<base::EnumName<BreakerState>, 3> kBreakerNames{{
    {BreakerState::kClosed, "closed"},
    {BreakerState::kOpen, "open"},
    {BreakerState::kHalfOpen, "half-open"},
}};

}  // namespace

std::string_view NameOf(BreakerState state) {
  return base::FindName(kBreakerNames, state);
}

CircuitBreaker::CircuitBreaker(CircuitBreakerOptions options,
                               std::uint64_t seed)
    : m_options(options), m_random(seed) {}

bool CircuitBreaker::Allow(base::TimePoint now) {
  if (m_state == BreakerState::kClosed) {
    return true;
  }
  if (m_state == BreakerState::kOpen && now >= m_open_until) {
    m_state = BreakerState::kHalfOpen;
    return true;
  }
  return false;
}

void CircuitBreaker::RecordSuccess() {
  m_state = BreakerState::kClosed;
  m_failures = 0;
  m_open_time = base::Duration::zero();
}

void CircuitBreaker::RecordFailure(base::TimePoint now) {
  ++m_failures;
  const bool probe_failed = m_state == BreakerState::kHalfOpen;
  if (probe_failed || m_failures >= m_options.failures_to_open) {
    Open(now);
  }
}

BreakerState CircuitBreaker::State() const {
  return m_state;
}

void CircuitBreaker::Open(base::TimePoint now) {
  m_open_time = std::clamp(2 * m_open_time, m_options.min_open_time,
                           m_options.max_open_time);
  std::uniform_int_distribution<base::Duration::rep> jitter(
      0, m_open_time.count() / 2);
  m_open_until = now + m_open_time + base::Duration(jitter(m_random));
  m_state = BreakerState::kOpen;
}

}  // namespace cassiastile::platform
