#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"

namespace cassiastile::jobs {

// A machine of a wave as the planner sees it.
struct WaveMachine {
  std::string name;
  bool begun = false;     // Its upkeep of this wave has begun or is over.
  bool down = false;      // In upkeep, or an order for it is not settled.
  bool busy = false;      // Moving, not up, or not to be touched now.
  bool can_drain = true;  // Ending all that runs there takes nothing too far.
  bool idle = true;       // Without any run.
  bool needed = false;    // Its pool has no capacity to spare now.
  bool cordoned = false;  // Gets no new tasks and is being emptied.
  base::TimePoint cordoned_at{};
  std::int64_t finite_cpu = 0;  // In use by tasks that will end by themselves.
};

struct WavePlan {
  // Give these nothing new from now on and move off what may be moved off.
  std::vector<std::string> cordon;
  std::vector<std::string> maintain;  // Order the upkeep of these.
};

struct WaveLimits {
  std::uint32_t max_down = 1;
  // A machine is emptied for at most so long before its upkeep; what still runs
  // then starts again elsewhere.
  std::chrono::milliseconds max_drain_time{1500};
  // Time left for the whole wave, and what one upkeep takes with emptying.
  std::chrono::milliseconds left{0};
  std::chrono::milliseconds each{4000};
};

// Which machines go next: those with the least work under way first, never more
// at once than the wave allows, each emptied for a moment before. Machines of
// pools that need them wait as long as the wave's time allows.
WavePlan PlanWave(const std::vector<WaveMachine>& machines,
                  const WaveLimits& limits,
                  base::TimePoint now);

}  // namespace cassiastile::jobs
