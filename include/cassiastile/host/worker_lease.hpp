#pragma once

#include <chrono>

#include "cassiastile/base/clock.hpp"

namespace cassiastile::host {

// How long a worker keeps running without contact with the leader. It must
// outlast a change of leader, and it delays the restart of a lost worker's
// tasks on other workers.
inline constexpr std::chrono::milliseconds kWorkerLease{5000};

// Latest time at which a worker may still run after an extension sent at
// `sent_at`. Its clock may be 2 % slow, which 3 % of the lease cover, and is
// known only up to the latency of one call.
constexpr base::TimePoint LeaseEnd(base::TimePoint sent_at) {
  constexpr std::chrono::milliseconds kClockSlack = kWorkerLease * 3 / 100;
  constexpr std::chrono::milliseconds kMargin{400};
  return sent_at + kWorkerLease + kClockSlack + kMargin;
}

}  // namespace cassiastile::host
