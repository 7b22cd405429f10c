#pragma once

#include "cassiastile/base/clock.hpp"

namespace cassiastile::platform {

// A rate limiter that allows short bursts. Not thread-safe.
class TokenBucket {
 public:
  // `rate` is in tokens a second; the bucket starts full with `burst` tokens.
  TokenBucket(double rate, double burst);

  // Takes a token and returns zero, or takes none and returns how long until
  // one is available.
  base::Duration Take(base::TimePoint now);

 private:
  double m_rate;
  double m_burst;
  double m_tokens;
  base::TimePoint m_filled_at{};
};

}  // namespace cassiastile::platform
