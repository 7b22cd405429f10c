#pragma once

#include <map>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/jobs/arrival_meter.hpp"
#include "cassiastile/jobs/resources.hpp"

namespace cassiastile::jobs {

// A machine that the pools' planner may move.
struct PoolMachine {
  std::string name;
  std::string pool;
  Resources capacity;
  bool movable = false;   // Up and without any run.
  bool arriving = false;  // On its way into the pool.
  base::TimePoint idle_since{};
};

struct PoolDemand {
  bool standby = false;
  Resources used;               // By all tasks.
  Resources long_running_used;  // By long-running tasks.
  Resources unplaced;           // Needed by tasks that found no room.
  Work arriving;                // Handed in per millisecond.
  std::size_t min_machines = 0;
};

struct MachineMove {
  std::string machine;
  std::string from;
  std::string to;
};

struct PoolPlanOptions {
  // Room above the mean of arriving work, since machines are never filled to
  // the brim.
  double headroom = 1.2;
  // Share of the tasks without room that a pool should get room for at once;
  // the others follow as tasks end.
  double unplaced_share = 0.6;
  // A pool that nothing asks for still answers the next job at once, and can
  // lose a machine meanwhile.
  std::size_t min_machines = 2;
  // A machine is fetched from another pool only when it has been idle for a
  // moment, and leaves for the spare pool when staying would cost more than two
  // moves.
  std::chrono::milliseconds idle_before_lending{300};
  std::chrono::milliseconds idle_before_leaving{2000};
};

// What a pool should have: room for its long-running tasks, and for work as it
// comes in or, when that is more, for what runs and waits.
Resources DesiredCapacity(const PoolDemand& demand,
                          const PoolPlanOptions& options);

// Answers queues that take turns at several times their mean: a pool that needs
// more gets at once the idle machines that other pools have too many of, then
// those of the spare pool; what stands idle beyond the need goes back to the
// spare pool, where it costs nothing.
std::vector<MachineMove> PlanMoves(
    const std::vector<PoolMachine>& machines,
    const std::map<std::string, PoolDemand>& pools,
    const PoolPlanOptions& options,
    base::TimePoint now);

}  // namespace cassiastile::jobs
