#include "cassiastile/jobs/pool_plan.hpp"

#include <algorithm>
#include <set>

namespace cassiastile::jobs {

namespace {

bool IsStandby(const std::map<std::string, PoolDemand>& pools,
               const std::string& pool) {
  const auto found = pools.find(pool);
  return found != pools.end() && found->second.standby;
}

bool IsPressed(const std::map<std::string, PoolDemand>& pools,
               const std::string& pool) {
  const auto found = pools.find(pool);
  return found != pools.end() && found->second.waiting_cpu > 0;
}

}  // namespace

std::vector<MachineMove> PlanMoves(
    const std::vector<PoolMachine>& machines,
    const std::map<std::string, PoolDemand>& pools,
    const PoolPlanOptions& options,
    base::TimePoint now) {
  std::vector<MachineMove> moves;
  std::set<std::string> taken;
  std::map<std::string, std::int64_t> arriving_cpu;
  for (const PoolMachine& machine : machines) {
    if (machine.arriving) {
      arriving_cpu[machine.pool] += machine.cpu;
    }
  }
  std::vector<const PoolMachine*> donors;
  for (const PoolMachine& machine : machines) {
    if (machine.movable && !IsPressed(pools, machine.pool)) {
      donors.push_back(&machine);
    }
  }
  // Those of the spare pool first: no other pool misses them.
  std::ranges::stable_sort(donors, [&pools](const auto* left,
                                            const auto* right) {
    const bool left_spare = IsStandby(pools, left->pool);
    const bool right_spare = IsStandby(pools, right->pool);
    return left_spare != right_spare ? left_spare
                                     : left->idle_since < right->idle_since;
  });
  for (const auto& [pool, demand] : pools) {
    std::int64_t missing = demand.waiting_cpu - arriving_cpu[pool];
    for (const PoolMachine* donor : donors) {
      if (demand.standby || missing <= 0) {
        break;
      }
      if (donor->pool == pool || taken.contains(donor->name)) {
        continue;
      }
      taken.insert(donor->name);
      moves.push_back({donor->name, donor->pool, pool});
      missing -= donor->cpu;
    }
  }
  const auto spare = std::ranges::find_if(
      pools, [](const auto& row) { return row.second.standby; });
  if (spare == pools.end()) {
    return moves;
  }
  std::map<std::string, std::int64_t> leaving_cpu;
  for (const PoolMachine* donor : donors) {
    const auto found = pools.find(donor->pool);
    if (found == pools.end() || found->second.standby ||
        taken.contains(donor->name) ||
        now - donor->idle_since < options.idle_before_leaving) {
      continue;
    }
    std::int64_t& leaving = leaving_cpu[donor->pool];
    const std::int64_t left =
        found->second.capacity_cpu - leaving - donor->cpu;
    const double needed = static_cast<double>(found->second.used_cpu) +
                          options.reserve *
                              static_cast<double>(found->second.capacity_cpu);
    if (static_cast<double>(left) >= needed) {
      leaving += donor->cpu;
      moves.push_back({donor->name, donor->pool, spare->first});
    }
  }
  return moves;
}

}  // namespace cassiastile::jobs
