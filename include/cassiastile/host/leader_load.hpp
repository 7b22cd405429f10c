#pragma once

#include <cstddef>
#include <cstdint>

#include "cassiastile/base/clock.hpp"

namespace cassiastile::host {

// What a leader has done since the last line of the log about it, and how late
// its loop was. A leader whose processor time runs short is late itself, while
// commits and workers that are slow leave its loop on time.
struct LeaderLoad {
  base::Duration longest_delay{};  // Of a tick, behind its time.
  base::Duration planning{};       // Spent in planning rounds.
  std::size_t plans = 0;
  std::size_t commits = 0;
  std::size_t rows = 0;     // Of jobs, in these commits.
  std::size_t reports = 0;  // Of workers.
  std::size_t starts = 0;   // Ordered.
  std::size_t submissions = 0;
  std::size_t direct_calls = 0;  // To workers, without a relay.
};

// The processor time that this process has used since its start.
base::Duration ProcessorTime();

}  // namespace cassiastile::host
