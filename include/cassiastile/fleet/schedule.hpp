#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/config/fleet.hpp"

namespace cassiastile::fleet {

struct ScheduleOptions {
  std::chrono::hours cycle{24 * 35};  // Each host is maintained once in it.
  std::chrono::seconds service{900};  // What one host takes.
};

// When one pool is maintained within the cycle.
struct PoolSchedule {
  std::string pool;
  std::uint32_t hosts = 0;
  std::uint32_t concurrent_hosts = 0;  // Hosts out at once.
  base::WallTime start{};
  base::WallTime finish{};
  bool in_cycle = true;  // Whether all hosts are done within the cycle.
  std::string note;      // Where not: what stands against it.
};

// A schedule for all pools, and the capacity that it costs.
struct Schedule {
  std::vector<PoolSchedule> pools;
  std::uint32_t hosts = 0;
  std::uint32_t peak_out = 0;  // Most hosts out at once, by the hour.
  double mean_out = 0;         // Hosts out on average over the cycle.
};

// Plans one maintenance of every host within the cycle: each pool with the
// fewest hosts out at once that make it in time, pools one after another where
// there is room. A pool whose window, budget and parallelism can't make it is
// given the date that they can.
Schedule PlanSchedule(const config::Fleet& fleet,
                      base::WallTime start,
                      const ScheduleOptions& options);

// What an operator should know of a wave before it starts: pools that its
// window and budget can't finish within the cycle, with the date that they can.
std::vector<std::string> FindWaveObstacles(const config::Fleet& fleet,
                                           const config::Wave& wave,
                                           base::WallTime start,
                                           const ScheduleOptions& options);

}  // namespace cassiastile::fleet
