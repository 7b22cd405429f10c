#include "cassiastile/jobs/pool_plan.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace cassiastile::jobs {

namespace {

bool IsPositive(const Resources& value) {
  return value.cpu > 0 || value.memory > 0 || value.gpus > 0;
}

// One round of planning.
class Planner {
 public:
  Planner(const std::vector<PoolMachine>& machines,
          const std::map<std::string, PoolDemand>& pools,
          const PoolPlanOptions& options,
          base::TimePoint now)
      : m_machines(machines), m_pools(pools), m_options(options), m_now(now) {
    for (const PoolMachine& machine : machines) {
      m_have[machine.pool] += machine.capacity;
      ++m_count[machine.pool];
    }
    for (const auto& [pool, demand] : pools) {
      m_want[pool] = DesiredCapacity(demand, options);
    }
  }

  std::vector<MachineMove> Plan() {
    for (const auto& [pool, demand] : m_pools) {
      if (!demand.standby) {
        Fetch(pool);
      }
    }
    ReleaseIdle();
    return std::move(m_moves);
  }

 private:
  bool IsStandby(const std::string& pool) const {
    const auto found = m_pools.find(pool);
    return found != m_pools.end() && found->second.standby;
  }

  std::size_t MinMachines(const std::string& pool) const {
    const auto found = m_pools.find(pool);
    return found == m_pools.end() || found->second.standby
               ? 0
               : std::max(m_options.min_machines, found->second.min_machines);
  }

  // Whether the machine's pool has enough without it.
  bool IsSurplus(const PoolMachine& machine) {
    if (IsStandby(machine.pool)) {
      return true;
    }
    const Resources left = m_have[machine.pool] - machine.capacity;
    return Fits(m_want[machine.pool], left) &&
           m_count[machine.pool] > MinMachines(machine.pool);
  }

  // The machine to give away next, or null.
  const PoolMachine* FindDonor(const std::string& pool) {
    const PoolMachine* best = nullptr;
    for (const PoolMachine& machine : m_machines) {
      const bool standby = IsStandby(machine.pool);
      const bool idle = standby || m_now - machine.idle_since >=
                                       m_options.idle_before_lending;
      if (!machine.movable || machine.pool == pool || !idle ||
          m_taken.contains(machine.name) || !IsSurplus(machine)) {
        continue;
      }
      // One that runs anyway costs no more in its new pool.
      if (best == nullptr || (IsStandby(best->pool) && !standby)) {
        best = &machine;
      }
    }
    return best;
  }

  void Move(const PoolMachine& machine, const std::string& to) {
    m_taken.insert(machine.name);
    m_have[machine.pool] -= machine.capacity;
    m_have[to] += machine.capacity;
    --m_count[machine.pool];
    ++m_count[to];
    m_moves.push_back({machine.name, machine.pool, to});
  }

  void Fetch(const std::string& pool) {
    while (IsPositive(m_want[pool] - m_have[pool]) ||
           m_count[pool] < MinMachines(pool)) {
      const PoolMachine* donor = FindDonor(pool);
      if (donor == nullptr) {
        return;
      }
      Move(*donor, pool);
    }
  }

  void ReleaseIdle() {
    const auto spare = std::ranges::find_if(
        m_pools, [](const auto& row) { return row.second.standby; });
    if (spare == m_pools.end()) {
      return;
    }
    for (const PoolMachine& machine : m_machines) {
      const bool long_idle =
          m_now - machine.idle_since >= m_options.idle_before_leaving;
      if (machine.movable && long_idle && !IsStandby(machine.pool) &&
          !m_taken.contains(machine.name) && IsSurplus(machine)) {
        Move(machine, spare->first);
      }
    }
  }

  const std::vector<PoolMachine>& m_machines;
  const std::map<std::string, PoolDemand>& m_pools;
  const PoolPlanOptions& m_options;
  base::TimePoint m_now;
  std::map<std::string, Resources> m_have;
  std::map<std::string, std::size_t> m_count;
  std::map<std::string, Resources> m_want;
  std::set<std::string> m_taken;
  std::vector<MachineMove> m_moves;
};

}  // namespace

Resources DesiredCapacity(const PoolDemand& demand,
                          const PoolPlanOptions& options) {
  constexpr double kPerCore = 1000.0;
  const auto need = [&options](double arriving, std::int64_t running,
                               std::int64_t unplaced) {
    const double waiting =
        options.unplaced_share * static_cast<double>(unplaced);
    const double now = static_cast<double>(running) + waiting;
    return std::llround(std::max(options.headroom * arriving, now));
  };
  const Resources running = demand.used - demand.long_running_used;
  Resources wanted = demand.long_running_used;
  wanted.cpu +=
      need(demand.arriving.cpu * kPerCore, running.cpu, demand.unplaced.cpu);
  wanted.memory +=
      need(demand.arriving.memory, running.memory, demand.unplaced.memory);
  wanted.gpus += running.gpus + demand.unplaced.gpus;
  return wanted;
}

std::vector<MachineMove> PlanMoves(
    const std::vector<PoolMachine>& machines,
    const std::map<std::string, PoolDemand>& pools,
    const PoolPlanOptions& options,
    base::TimePoint now) {
  return Planner(machines, pools, options, now).Plan();
}

}  // namespace cassiastile::jobs
