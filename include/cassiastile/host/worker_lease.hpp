#pragma once

#include <chrono>

#include "cassiastile/base/clock.hpp"

namespace cassiastile::host {

// How long a worker keeps running without contact with the leader. It must
// outlast a change of leader, and it delays the restart of a lost worker's
// tasks on other workers.
inline constexpr std::chrono::milliseconds kWorkerLease{5000};

// The longest that a time on a worker's clock, which may be 2 % slow, can take.
constexpr std::chrono::milliseconds WithSlowClock(
    std::chrono::milliseconds time) {
  return time * 103 / 100;
}

// Latest time at which a worker may still run after an extension sent at
// `sent_at`. `kMargin` covers the latency of one call, up to which the worker's
// clock is known.
constexpr base::TimePoint LeaseEnd(base::TimePoint sent_at) {
  constexpr std::chrono::milliseconds kMargin{400};
  return sent_at + WithSlowClock(kWorkerLease) + kMargin;
}

}  // namespace cassiastile::host
