#pragma once

#include <chrono>

#include "cassiastile/base/clock.hpp"

namespace cassiastile::host {

// How long a worker goes on without hearing from the office. It outlasts a
// change of office, and a lost worker's tasks start elsewhere after it.
inline constexpr std::chrono::milliseconds kWorkerLease{5000};

// Until when a worker may go on that was sent an extension at a time: its clock
// may be 2 % slow, and its own clock is known but for a call's way.
constexpr base::TimePoint LeaseEnd(base::TimePoint sent_at) {
  constexpr std::chrono::milliseconds kClockSlack = kWorkerLease * 3 / 100;
  constexpr std::chrono::milliseconds kMargin{400};
  return sent_at + kWorkerLease + kClockSlack + kMargin;
}

}  // namespace cassiastile::host
