#include "cassiastile/fleet/schedule.hpp"

#include <algorithm>
#include <numeric>

#include <fmt/format.h>

#include "cassiastile/fleet/window.hpp"

namespace cassiastile::fleet {

namespace {

using std::chrono::hours;

// The wave that covers a pool. A pool without one gets a default wave: open at
// all hours, one host at a time.
config::Wave WaveOf(const config::Fleet& fleet, const std::string& pool) {
  for (const config::Wave& wave : fleet.waves) {
    if (std::find(wave.pools.begin(), wave.pools.end(), pool) !=
        wave.pools.end()) {
      return wave;
    }
  }
  return {};
}

std::uint64_t BatchesOf(std::size_t hosts, std::uint32_t concurrent_hosts) {
  return (hosts + concurrent_hosts - 1) / concurrent_hosts;
}

// Schedules a pool with the fewest concurrent hosts that finish within the
// cycle, or with the most allowed if none do.
PoolSchedule FitPool(const config::Pool& pool,
                     const config::Wave& wave,
                     base::WallTime start,
                     const ScheduleOptions& options) {
  PoolSchedule fit;
  fit.pool = pool.name;
  fit.hosts = static_cast<std::uint32_t>(pool.hosts.size());
  fit.start = start;
  fit.finish = start;
  const std::uint32_t most = std::min(wave.parallel, pool.budget.max_out);
  if (most == 0 && fit.hosts > 0) {
    fit.in_cycle = false;
    fit.note = "its budget lets no host be taken";
    return fit;
  }
  const base::WallTime end = start + options.cycle;
  for (fit.concurrent_hosts = 1; fit.concurrent_hosts <= most;
       ++fit.concurrent_hosts) {
    fit.finish = FinishOfBatches(wave.window, start,
                                 BatchesOf(fit.hosts, fit.concurrent_hosts),
                                 options.maintenance_time);
    if (fit.finish <= end) {
      return fit;
    }
  }
  fit.concurrent_hosts = most;
  fit.in_cycle = false;
  fit.note =
      fmt::format("with {} at once, {}, it takes until {}", most,
                  Describe(wave.window), base::FormatWallTime(fit.finish));
  return fit;
}

// The number of hosts out of service in each hour of the cycle.
class HourlyLoad {
 public:
  HourlyLoad(base::WallTime start, hours cycle)
      : m_start(start), m_out(static_cast<std::size_t>(cycle.count()), 0) {}

  // The peak over the pool's hours if the pool were added, delayed by `shift`.
  std::uint32_t PeakWith(const PoolSchedule& pool, hours shift) const {
    const auto [first, last] = Range(pool, shift);
    std::uint32_t peak = 0;
    for (std::size_t hour = first; hour < last; ++hour) {
      peak = std::max(peak, m_out[hour] + pool.concurrent_hosts);
    }
    return peak;
  }

  void Add(const PoolSchedule& pool) {
    const auto [first, last] = Range(pool, hours(0));
    for (std::size_t hour = first; hour < last; ++hour) {
      m_out[hour] += pool.concurrent_hosts;
    }
  }

  std::uint32_t Peak() const {
    return m_out.empty() ? 0 : *std::max_element(m_out.begin(), m_out.end());
  }

 private:
  std::pair<std::size_t, std::size_t> Range(const PoolSchedule& pool,
                                            hours shift) const {
    const auto first = std::chrono::floor<hours>(pool.start - m_start) + shift;
    const auto last = std::chrono::ceil<hours>(pool.finish - m_start) + shift;
    const auto limit = static_cast<std::size_t>(m_out.size());
    return {std::min(static_cast<std::size_t>(first.count()), limit),
            std::min(static_cast<std::size_t>(last.count()), limit)};
  }

  base::WallTime m_start;
  std::vector<std::uint32_t> m_out;
};

// Delays a pool to when the fewest other hosts are out, by whole days so that
// its window stays the same.
void PlacePool(PoolSchedule& pool, const HourlyLoad& load, base::WallTime end) {
  constexpr hours kDay(24);
  hours best(0);
  std::uint32_t least = load.PeakWith(pool, best);
  for (hours shift = kDay; pool.finish + shift <= end; shift += kDay) {
    const std::uint32_t peak = load.PeakWith(pool, shift);
    if (peak < least) {
      least = peak;
      best = shift;
    }
  }
  pool.start += best;
  pool.finish += best;
}

}  // namespace

Schedule PlanSchedule(const config::Fleet& fleet,
                      base::WallTime start,
                      const ScheduleOptions& options) {
  Schedule schedule;
  for (const config::Pool& pool : fleet.pools) {
    schedule.pools.push_back(
        FitPool(pool, WaveOf(fleet, pool.name), start, options));
    schedule.hosts += schedule.pools.back().hosts;
  }
  std::stable_sort(schedule.pools.begin(), schedule.pools.end(),
                   [](const PoolSchedule& left, const PoolSchedule& right) {
                     return left.finish - left.start >
                            right.finish - right.start;
                   });
  HourlyLoad load(start, options.cycle);
  for (PoolSchedule& pool : schedule.pools) {
    PlacePool(pool, load, start + options.cycle);
    load.Add(pool);
  }
  schedule.peak_out = load.Peak();
  schedule.mean_out =
      schedule.hosts * static_cast<double>(options.maintenance_time.count()) /
      static_cast<double>(std::chrono::seconds(options.cycle).count());
  return schedule;
}

std::vector<std::string> FindWaveObstacles(const config::Fleet& fleet,
                                           const config::Wave& wave,
                                           base::WallTime start,
                                           const ScheduleOptions& options) {
  std::vector<std::string> obstacles;
  for (const std::string& name : wave.pools) {
    const config::Pool* pool = config::FindPool(fleet, name);
    if (pool == nullptr) {
      continue;
    }
    const PoolSchedule fit = FitPool(*pool, wave, start, options);
    if (!fit.in_cycle) {
      obstacles.push_back("pool " + name + ": " + fit.note);
    }
  }
  return obstacles;
}

}  // namespace cassiastile::fleet
