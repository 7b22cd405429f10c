#pragma once

#include <chrono>

#include "cassiastile/base/clock.hpp"

namespace cassiastile::host {

// How long a worker keeps running without contact with the leader. It must
// outlast a change of leader, and it delays the restart of a lost worker's
// tasks on other workers.
inline constexpr std::chrono::milliseconds kWorkerLease{5000};

// Latest time at which a worker may still run after an extension sent at
// `sent_at`. `kClockSlack` covers a worker's clock that is 2 % slow, and
// `kMargin` the latency of one call, up to which that clock is known.
constexpr base::TimePoint LeaseEnd(base::TimePoint sent_at) {
  constexpr std::chrono::milliseconds kClockSlack = kWorkerLease * 3 / 100;
  constexpr std::chrono::milliseconds kMargin{400};
  return sent_at + kWorkerLease + kClockSlack + kMargin;
}

}  // namespace cassiastile::host
