#pragma once

#include <map>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/jobs/arrival_meter.hpp"
#include "cassiastile/jobs/resources.hpp"

namespace cassiastile::jobs {

// A machine as the pool planner sees it.
struct PoolMachine {
  std::string name;
  std::string pool;
  Resources capacity;
  bool movable = false;          // Up and without runs.
  bool arriving = false;         // Being moved into the pool.
  base::TimePoint idle_since{};  // Used only if the machine is movable.
};

// The demand on one pool.
struct PoolDemand {
  bool is_spare = false;        // The spare pool.
  Resources used;               // By all tasks.
  Resources long_running_used;  // By long-running tasks.
  Resources unplaced;           // Needed by tasks that could not be placed.
  Work arriving_work;           // Submitted per millisecond.
  // Least number of machines, if above PoolPlanOptions::min_machines.
  std::size_t min_machines = 0;
};

// A planned move of a machine from one pool to another.
struct MachineMove {
  std::string machine;
  std::string from;
  std::string to;
};

// Parameters of the pool planner.
struct PoolPlanOptions {
  // Capacity as a factor of the mean rate of arriving work, since machines are
  // never filled completely.
  double headroom = 1.2;
  // Share of the unplaced tasks for which a pool gets capacity at once; the
  // others are placed as running tasks end.
  double unplaced_share = 0.6;
  // Least number of machines of a pool, so that an unused pool can start the
  // next job at once, even after losing a machine.
  std::size_t min_machines = 2;
  // A machine is taken for another pool only after a short idle time. It goes
  // to the spare pool when keeping it would cost more than two moves.
  std::chrono::milliseconds idle_before_lending{300};
  std::chrono::milliseconds idle_before_release{2000};
};

// The capacity that a pool should have: that of its long-running tasks, plus
// the larger of what arriving work needs and what running and unplaced tasks
// need.
Resources DesiredCapacity(const PoolDemand& demand,
                          const PoolPlanOptions& options);

// Plans moves of machines between pools, for queues whose load rises in turn to
// several times its mean. A pool that needs capacity gets idle surplus machines
// of other pools at once, then machines of the spare pool. Surplus machines
// that stay idle go back to the spare pool, where they cost nothing.
std::vector<MachineMove> PlanMoves(
    const std::vector<PoolMachine>& machines,
    const std::map<std::string, PoolDemand>& pools,
    const PoolPlanOptions& options,
    base::TimePoint now);

}  // namespace cassiastile::jobs
