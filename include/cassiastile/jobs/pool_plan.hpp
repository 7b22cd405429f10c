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
  // Up and with finite runs only, so that it will be idle soon if it gets no
  // further ones.
  bool can_be_vacated = false;
  bool vacating = false;        // Gets no further runs, by an earlier plan.
  std::int64_t finite_cpu = 0;  // Used by finite tasks.
};

// The demand on one pool.
struct PoolDemand {
  bool is_spare = false;        // The spare pool.
  Resources used;               // By all tasks.
  Resources long_running_used;  // By long-running tasks.
  Resources unplaced;           // Needed by tasks that could not be placed.
  // The part of `unplaced` for long-running tasks, and what those use that
  // must leave their machine.
  Resources unplaced_long_running;
  Resources evacuating;
  // Capacity of the machines that have long-running tasks.
  Resources long_running_capacity;
  Work arriving_work;  // Submitted per millisecond.
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

// The capacity that a pool should have for its long-running tasks, which serve
// users as long as they run. If some fit nowhere, what is free beside the
// others is too small for them.
Resources LongRunningDemand(const PoolDemand& demand);

// The capacity that a pool should have for the finite tasks that run or could
// not be placed, and for the work that is being submitted to it.
Resources AcceptedDemand(const PoolDemand& demand,
                         const PoolPlanOptions& options);
Resources SubmittedDemand(const PoolDemand& demand,
                          const PoolPlanOptions& options);

// What is to be done with machines, and what pools can count on.
struct PoolPlan {
  std::vector<MachineMove> moves;
  // Machines that should get no further runs, to be moved once they are idle.
  // One that is not named any more may get runs again.
  std::vector<std::string> vacate;
  // The capacity for finite tasks that each pool would get if it needed it,
  // once machines have moved.
  std::map<std::string, Resources> reachable;
};

// Plans moves of machines between pools, for queues whose load rises in turn to
// several times its mean, so that one pool at a time needs most of the fleet.
//
// Long-running tasks are provided for first, then accepted finite ones, then
// what is being submitted; of what is not enough for all, each pool gets the
// same share. The pool that lacks most is filled first, with idle surplus
// machines of other pools, then with machines of the spare pool. If there are
// none, busy machines of pools that have more than their share are vacated: at
// the end of its turn a pool's tasks would otherwise keep all of its machines
// half used for as long as they take. Surplus machines that stay idle go back
// to the spare pool, where they cost nothing.
PoolPlan PlanPools(const std::vector<PoolMachine>& machines,
                   const std::map<std::string, PoolDemand>& pools,
                   const PoolPlanOptions& options,
                   base::TimePoint now);

}  // namespace cassiastile::jobs
