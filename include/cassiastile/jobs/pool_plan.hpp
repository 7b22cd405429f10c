#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"

namespace cassiastile::jobs {

// A machine that the pools' planner may move.
struct PoolMachine {
  std::string name;
  std::string pool;
  std::int64_t cpu = 0;  // Thousandths of a core.
  bool movable = false;  // Up, in no wave and without any run.
  bool arriving = false; // On its way into the pool.
  base::TimePoint idle_since{};
};

struct PoolDemand {
  bool standby = false;
  std::int64_t waiting_cpu = 0;   // Of tasks that found no room.
  std::int64_t used_cpu = 0;
  std::int64_t capacity_cpu = 0;
};

struct MachineMove {
  std::string machine;
  std::string from;
  std::string to;
};

struct PoolPlanOptions {
  // A machine that has been idle for so long is not needed where it is. Twice
  // the time of a move: it could be fetched back in as much.
  std::chrono::milliseconds idle_before_leaving{3000};
  // Share of a pool's capacity that is kept free of moves to the spare pool.
  double reserve = 0.35;
};

// Answers queues that take turns at several times their mean: a pool whose
// tasks find no room gets the idle machines of pools whose turn is over, then
// those of the spare pool; what stands idle for long goes back to the spare
// pool, where it costs nothing.
std::vector<MachineMove> PlanMoves(
    const std::vector<PoolMachine>& machines,
    const std::map<std::string, PoolDemand>& pools,
    const PoolPlanOptions& options,
    base::TimePoint now);

}  // namespace cassiastile::jobs
