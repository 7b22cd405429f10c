#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"

namespace cassiastile::jobs {

// A machine of a maintenance wave as the planner sees it.
struct WaveMachine {
  std::string name;
  bool begun = false;  // Its maintenance has begun or is done.
  bool down = false;   // In maintenance, or an order for it is pending.
  // It is down since a former leader may have ordered it for this wave. It may
  // be ordered again, which settles that.
  bool may_repeat = false;
  bool cannot_be_ordered = false;  // Moving, not up, or may get no order now.
  // Whether all its runs may end now; see Scheduler::CanDrainMachine.
  bool can_drain = true;
  bool idle = true;       // Has no runs.
  bool needed = false;    // Its pool has no capacity to spare now.
  bool cordoned = false;  // Gets no new tasks and is being drained.
  base::TimePoint cordoned_at{};
  // Used by finite tasks, in thousandths of a core.
  std::int64_t finite_cpu = 0;
};

// The next actions of a wave, as names of machines.
struct WavePlan {
  // Machines to cordon and to move tasks off.
  std::vector<std::string> cordon;
  // Machines to order maintenance for.
  std::vector<std::string> maintain;
};

// Limits of a wave.
struct WaveLimits {
  std::uint32_t max_down = 1;
  // Longest time that a machine is drained before its maintenance. Tasks that
  // still run then are restarted elsewhere.
  std::chrono::milliseconds max_drain_time{1500};
  // Time left for the whole wave, and the duration of one maintenance including
  // the drain.
  std::chrono::milliseconds time_left{0};
  std::chrono::milliseconds time_per_machine{4000};
};

// Chooses the next machines of a wave: those with the least running work first,
// never more at once than `max_down`, and each after a short drain. Machines
// that their pools need are put off as long as the remaining time allows.
WavePlan PlanWave(const std::vector<WaveMachine>& machines,
                  const WaveLimits& limits,
                  base::TimePoint now);

}  // namespace cassiastile::jobs
