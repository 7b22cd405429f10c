#include "cassiastile/jobs/pool_plan.hpp"

#include <algorithm>
#include <cmath>

namespace cassiastile::jobs {

namespace {

constexpr double kMillicoresPerCore = 1000.0;

bool IsAnyPositive(const Resources& value) {
  return value.cpu > 0 || value.memory > 0 || value.gpus > 0;
}

Resources Scale(const Resources& value, double factor) {
  return {std::llround(static_cast<double>(value.cpu) * factor),
          std::llround(static_cast<double>(value.memory) * factor), value.gpus};
}

Resources AtMost(const Resources& value, const Resources& limit) {
  return {std::min(value.cpu, limit.cpu), std::min(value.memory, limit.memory),
          std::min(value.gpus, limit.gpus)};
}

Resources AtLeast(const Resources& value, const Resources& limit) {
  return {std::max(value.cpu, limit.cpu), std::max(value.memory, limit.memory),
          std::max(value.gpus, limit.gpus)};
}

// The part of `wanted` that is missing from `have`, of the scarcer resource.
double MissingPart(const Resources& wanted, const Resources& have) {
  const auto part = [](std::int64_t want, std::int64_t has) {
    return want <= has
               ? 0.0
               : static_cast<double>(want - has) / static_cast<double>(want);
  };
  return std::max({part(wanted.cpu, have.cpu), part(wanted.memory, have.memory),
                   part(wanted.gpus, have.gpus)});
}

// One round of planning.
class Planner {
 public:
  Planner(const std::vector<PoolMachine>& machines,
          const std::map<std::string, PoolDemand>& pools,
          const PoolPlanOptions& options,
          base::TimePoint now)
      : m_options(options), m_now(now) {
    for (const auto& [name, demand] : pools) {
      Pool& pool = m_pools[name];
      pool.is_spare = demand.is_spare;
      if (!demand.is_spare) {
        pool.min_machines = std::max(options.min_machines, demand.min_machines);
        pool.long_running = LongRunningDemand(demand);
        pool.accepted = AcceptedDemand(demand, options);
        pool.submitted =
            AtLeast(SubmittedDemand(demand, options) - pool.accepted, {});
      }
    }
    for (const PoolMachine& machine : machines) {
      AddMachine(machine);
    }
    for (auto& [name, pool] : m_pools) {
      // Those that are vacated already are taken first, so that plans do not
      // change with every task that ends.
      std::ranges::stable_sort(pool.idle, std::ranges::greater{},
                               &PoolMachine::vacating);
      std::ranges::stable_sort(
          pool.busy, [](const PoolMachine* left, const PoolMachine* right) {
            return std::pair(!left->vacating, left->finite_cpu) <
                   std::pair(!right->vacating, right->finite_cpu);
          });
    }
    ShareCapacity();
  }

  PoolPlan Plan() {
    while (Pool* pool = FindNeediest()) {
      if (!Fill(*pool)) {
        pool->is_done = true;
      }
    }
    ReleaseIdle();
    return std::move(m_plan);
  }

 private:
  struct Pool {
    bool is_spare = false;
    bool is_done = false;  // Nothing can be had for it.
    std::size_t min_machines = 0;
    Resources long_running;
    // For finite tasks: what accepted ones need, and what is submitted beyond.
    Resources accepted;
    Resources submitted;
    Resources target;
    // Including what this plan brings, without what it takes.
    Resources capacity;
    std::size_t machines = 0;
    std::vector<const PoolMachine*> idle;
    std::vector<const PoolMachine*> busy;
    std::size_t next_idle = 0;
    std::size_t next_busy = 0;
  };

  void AddMachine(const PoolMachine& machine) {
    Pool& pool = m_pools[machine.pool];
    pool.capacity += machine.capacity;
    ++pool.machines;
    const bool idle_long_enough =
        pool.is_spare || machine.vacating ||
        m_now - machine.idle_since >= m_options.idle_before_lending;
    if (machine.movable && idle_long_enough) {
      pool.idle.push_back(&machine);
    } else if (machine.can_be_vacated) {
      pool.busy.push_back(&machine);
    }
  }

  // Sets each pool's target and what it could get.
  void ShareCapacity() {
    Resources left;
    for (const auto& [name, pool] : m_pools) {
      left += pool.capacity;
    }
    for (const auto& [name, pool] : m_pools) {
      left -= pool.long_running;
    }
    left = AtLeast(left, {});
    // What was accepted comes before what is only being submitted: it could not
    // be done in time on less.
    const Resources taken = Share(left, &Pool::accepted);
    const Resources rest = AtLeast(left - taken, {});
    const Resources wanted = Share(rest, &Pool::submitted);
    for (auto& [name, pool] : m_pools) {
      const Resources finite = pool.accepted + pool.submitted;
      pool.target = pool.long_running + finite;
      m_plan.reachable[name] =
          AtLeast(finite, left - (taken + wanted - finite));
    }
  }

  // Limits one kind of demand of all pools to what there is, by the same factor
  // for each, and returns its sum.
  Resources Share(const Resources& left, Resources Pool::*demand) {
    Resources needed;
    for (auto& [name, pool] : m_pools) {
      // No pool's claim is above what there is, however much is submitted to
      // it.
      pool.*demand = AtMost(pool.*demand, left);
      needed += pool.*demand;
    }
    const auto part_of = [](std::int64_t have, std::int64_t need) {
      return need <= have
                 ? 1.0
                 : static_cast<double>(have) / static_cast<double>(need);
    };
    const double part = std::min(part_of(left.cpu, needed.cpu),
                                 part_of(left.memory, needed.memory));
    Resources sum;
    for (auto& [name, pool] : m_pools) {
      pool.*demand = Scale(pool.*demand, part);
      sum += pool.*demand;
    }
    return sum;
  }

  // The pool that lacks most of its target, or null. Pools without room for
  // their long-running tasks come first.
  Pool* FindNeediest() {
    Pool* neediest = nullptr;
    double most = 0;
    for (auto& [name, pool] : m_pools) {
      if (pool.is_spare || pool.is_done) {
        continue;
      }
      constexpr double kLongRunningFirst = 10;
      double missing = MissingPart(pool.target, pool.capacity);
      if (IsShort(pool)) {
        missing += kLongRunningFirst;
      }
      if (missing > most) {
        most = missing;
        neediest = &pool;
      }
    }
    return neediest;
  }

  // Whether the pool has no room for its long-running tasks, or is below its
  // minimum.
  static bool IsShort(const Pool& pool) {
    return pool.machines < pool.min_machines ||
           IsAnyPositive(pool.long_running - pool.capacity);
  }

  // Whether the pool has enough without the machine; true for the spare pool.
  // A pool that is short takes what another has for finite tasks.
  static bool IsSurplus(const Pool& pool,
                        const PoolMachine& machine,
                        bool for_short_pool) {
    const Resources& wanted = for_short_pool ? pool.long_running : pool.target;
    return pool.is_spare || (Fits(wanted, pool.capacity - machine.capacity) &&
                             pool.machines > pool.min_machines);
  }

  const std::string& NameOf(const Pool& pool) const {
    return std::ranges::find_if(
               m_pools,
               [&pool](const auto& entry) { return &entry.second == &pool; })
        ->first;
  }

  static void Take(Pool& from, Pool& to, const PoolMachine& machine) {
    from.capacity -= machine.capacity;
    to.capacity += machine.capacity;
    --from.machines;
    ++to.machines;
  }

  // Gives the pool one machine. Returns false if there is none for it.
  bool Fill(Pool& pool) {
    for (const bool from_spare : {false, true}) {
      for (auto& [name, donor] : m_pools) {
        if (&donor == &pool || donor.is_spare != from_spare ||
            donor.next_idle == donor.idle.size() ||
            !IsSurplus(donor, *donor.idle[donor.next_idle], IsShort(pool))) {
          continue;
        }
        const PoolMachine& machine = *donor.idle[donor.next_idle++];
        Take(donor, pool, machine);
        m_plan.moves.push_back({machine.name, name, NameOf(pool)});
        return true;
      }
    }
    return Vacate(pool);
  }

  // Has a machine vacated for the pool, from the one with the most surplus.
  bool Vacate(Pool& pool) {
    Pool* richest = nullptr;
    std::int64_t most = 0;
    for (auto& [name, donor] : m_pools) {
      if (&donor == &pool || donor.is_spare ||
          donor.next_busy == donor.busy.size() ||
          !IsSurplus(donor, *donor.busy[donor.next_busy], IsShort(pool))) {
        continue;
      }
      const std::int64_t surplus = donor.capacity.cpu - donor.target.cpu;
      if (richest == nullptr || surplus > most) {
        richest = &donor;
        most = surplus;
      }
    }
    if (richest == nullptr) {
      return false;
    }
    const PoolMachine& machine = *richest->busy[richest->next_busy++];
    Take(*richest, pool, machine);
    m_plan.vacate.push_back(machine.name);
    return true;
  }

  // Moves surplus machines that stay idle to the spare pool.
  void ReleaseIdle() {
    const auto spare = std::ranges::find_if(
        m_pools, [](const auto& row) { return row.second.is_spare; });
    if (spare == m_pools.end()) {
      return;
    }
    for (auto& [name, pool] : m_pools) {
      if (pool.is_spare) {
        continue;
      }
      for (; pool.next_idle < pool.idle.size(); ++pool.next_idle) {
        const PoolMachine& machine = *pool.idle[pool.next_idle];
        if (m_now - machine.idle_since >= m_options.idle_before_release &&
            IsSurplus(pool, machine, false)) {
          Take(pool, spare->second, machine);
          m_plan.moves.push_back({machine.name, name, spare->first});
        }
      }
    }
  }

  const PoolPlanOptions& m_options;
  base::TimePoint m_now;
  std::map<std::string, Pool> m_pools;
  PoolPlan m_plan;
};

}  // namespace

Resources LongRunningDemand(const PoolDemand& demand) {
  if (IsAnyPositive(demand.unplaced_long_running)) {
    return demand.long_running_capacity + demand.unplaced_long_running +
           demand.evacuating;
  }
  return demand.long_running_used + demand.evacuating;
}

Resources AcceptedDemand(const PoolDemand& demand,
                         const PoolPlanOptions& options) {
  const auto need = [&options](std::int64_t running, std::int64_t unplaced) {
    return running +
           std::llround(options.unplaced_share * static_cast<double>(unplaced));
  };
  const Resources running = demand.used - demand.long_running_used;
  const Resources unplaced = demand.unplaced - demand.unplaced_long_running;
  return {need(running.cpu, unplaced.cpu),
          need(running.memory, unplaced.memory), running.gpus + unplaced.gpus};
}

Resources SubmittedDemand(const PoolDemand& demand,
                          const PoolPlanOptions& options) {
  return {std::llround(options.headroom * demand.arriving_work.cpu *
                       kMillicoresPerCore),
          std::llround(options.headroom * demand.arriving_work.memory), 0};
}

PoolPlan PlanPools(const std::vector<PoolMachine>& machines,
                   const std::map<std::string, PoolDemand>& pools,
                   const PoolPlanOptions& options,
                   base::TimePoint now) {
  return Planner(machines, pools, options, now).Plan();
}

}  // namespace cassiastile::jobs
