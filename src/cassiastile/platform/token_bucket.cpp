#include "cassiastile/platform/token_bucket.hpp"

#include <algorithm>

namespace cassiastile::platform {

using Seconds = std::chrono::duration<double>;

TokenBucket::TokenBucket(double rate, double burst)
    : m_rate(rate), m_burst(burst), m_tokens(burst) {}

base::Duration TokenBucket::Take(base::TimePoint now) {
  if (m_filled_at != base::TimePoint()) {
    const double elapsed = Seconds(now - m_filled_at).count();
    m_tokens = std::min(m_burst, m_tokens + elapsed * m_rate);
  }
  m_filled_at = now;
  if (m_tokens >= 1) {
    m_tokens -= 1;
    return base::Duration::zero();
  }
  return std::chrono::ceil<base::Duration>(Seconds((1 - m_tokens) / m_rate));
}

}  // namespace cassiastile::platform
