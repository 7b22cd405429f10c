#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/config/fleet.hpp"

namespace cassiastile::fleet {

// The maintenance cycle.
struct ScheduleOptions {
  // Every host is maintained once per cycle.
  std::chrono::hours cycle{24 * 35};
  std::chrono::seconds maintenance_time{900};  // Maintenance time of one host.
};

// When one pool is maintained within the cycle.
struct PoolSchedule {
  std::string pool;
  std::uint32_t hosts = 0;
  std::uint32_t concurrent_hosts = 0;  // Hosts under maintenance at once.
  base::WallTime start{};
  base::WallTime finish{};
  bool in_cycle = true;  // Whether all hosts are maintained within the cycle.
  std::string note;      // If not, why.
};

// A schedule for all pools, and the capacity that it takes out of service.
struct Schedule {
  std::vector<PoolSchedule> pools;
  std::uint32_t hosts = 0;
  std::uint32_t peak_out = 0;  // Most hosts out in any hour.
  double mean_out = 0;         // Mean number of hosts out over the cycle.
};

// Plans one maintenance of every host within the cycle. Each pool has as few
// hosts out at once as finish in time, and pools are spread over the cycle to
// lower the peak. A pool whose window, budget and parallelism don't suffice
// gets `in_cycle` = false and the date by which it would finish, or a note that
// its budget allows no host out.
Schedule PlanSchedule(const config::Fleet& fleet,
                      base::WallTime start,
                      const ScheduleOptions& options);

// Describes the pools that the wave can't finish within the cycle with its
// window and budgets, each with its note from PoolSchedule. Shown to operators
// before they start the wave.
std::vector<std::string> FindWaveObstacles(const config::Fleet& fleet,
                                           const config::Wave& wave,
                                           base::WallTime start,
                                           const ScheduleOptions& options);

}  // namespace cassiastile::fleet
