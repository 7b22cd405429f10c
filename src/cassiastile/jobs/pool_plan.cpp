#include "cassiastile/jobs/pool_plan.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace cassiastile::jobs {

namespace {

bool IsAnyPositive(const Resources& value) {
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
      m_capacity[machine.pool] += machine.capacity;
      ++m_machine_count[machine.pool];
    }
    for (const auto& [pool, demand] : pools) {
      m_wanted[pool] = DesiredCapacity(demand, options);
    }
  }

  std::vector<MachineMove> Plan() {
    for (const auto& [pool, demand] : m_pools) {
      if (!demand.is_spare) {
        FillPool(pool);
      }
    }
    ReleaseIdle();
    return std::move(m_moves);
  }

 private:
  bool IsSparePool(const std::string& pool) const {
    const auto found = m_pools.find(pool);
    return found != m_pools.end() && found->second.is_spare;
  }

  std::size_t MinMachines(const std::string& pool) const {
    const auto found = m_pools.find(pool);
    return found == m_pools.end() || found->second.is_spare
               ? 0
               : std::max(m_options.min_machines, found->second.min_machines);
  }

  // Whether the machine's pool has enough capacity and machines without it;
  // true for every machine of the spare pool.
  bool IsSurplus(const PoolMachine& machine) {
    if (IsSparePool(machine.pool)) {
      return true;
    }
    const Resources left = m_capacity[machine.pool] - machine.capacity;
    return Fits(m_wanted[machine.pool], left) &&
           m_machine_count[machine.pool] > MinMachines(machine.pool);
  }

  // The machine to move into `pool` next, or null.
  const PoolMachine* FindDonor(const std::string& pool) {
    const PoolMachine* best = nullptr;
    for (const PoolMachine& machine : m_machines) {
      const bool is_spare = IsSparePool(machine.pool);
      const bool idle = is_spare || m_now - machine.idle_since >=
                                        m_options.idle_before_lending;
      if (!machine.movable || machine.pool == pool || !idle ||
          m_moved.contains(machine.name) || !IsSurplus(machine)) {
        continue;
      }
      // A machine that is already running costs no more in its new pool.
      if (best == nullptr || (IsSparePool(best->pool) && !is_spare)) {
        best = &machine;
      }
    }
    return best;
  }

  void Move(const PoolMachine& machine, const std::string& to) {
    m_moved.insert(machine.name);
    m_capacity[machine.pool] -= machine.capacity;
    m_capacity[to] += machine.capacity;
    --m_machine_count[machine.pool];
    ++m_machine_count[to];
    m_moves.push_back({machine.name, machine.pool, to});
  }

  // Moves machines into a pool until it has enough or there is no donor.
  void FillPool(const std::string& pool) {
    while (IsAnyPositive(m_wanted[pool] - m_capacity[pool]) ||
           m_machine_count[pool] < MinMachines(pool)) {
      const PoolMachine* donor = FindDonor(pool);
      if (donor == nullptr) {
        return;
      }
      Move(*donor, pool);
    }
  }

  // Moves surplus machines that stay idle to the spare pool.
  void ReleaseIdle() {
    const auto spare = std::ranges::find_if(
        m_pools, [](const auto& row) { return row.second.is_spare; });
    if (spare == m_pools.end()) {
      return;
    }
    for (const PoolMachine& machine : m_machines) {
      const bool long_idle =
          m_now - machine.idle_since >= m_options.idle_before_release;
      if (machine.movable && long_idle && !IsSparePool(machine.pool) &&
          !m_moved.contains(machine.name) && IsSurplus(machine)) {
        Move(machine, spare->first);
      }
    }
  }

  const std::vector<PoolMachine>& m_machines;
  const std::map<std::string, PoolDemand>& m_pools;
  const PoolPlanOptions& m_options;
  base::TimePoint m_now;
  std::map<std::string, Resources> m_capacity;
  std::map<std::string, std::size_t> m_machine_count;
  std::map<std::string, Resources> m_wanted;
  std::set<std::string> m_moved;
  std::vector<MachineMove> m_moves;
};

}  // namespace

Resources DesiredCapacity(const PoolDemand& demand,
                          const PoolPlanOptions& options) {
  constexpr double kMillicoresPerCore = 1000.0;
  const auto need = [&options](double arriving, std::int64_t running,
                               std::int64_t unplaced) {
    const double waiting =
        options.unplaced_share * static_cast<double>(unplaced);
    const double now = static_cast<double>(running) + waiting;
    return std::llround(std::max(options.headroom * arriving, now));
  };
  const Resources running = demand.used - demand.long_running_used;
  Resources wanted = demand.long_running_used;
  wanted.cpu += need(demand.arriving_work.cpu * kMillicoresPerCore, running.cpu,
                     demand.unplaced.cpu);
  wanted.memory +=
      need(demand.arriving_work.memory, running.memory, demand.unplaced.memory);
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
