#include <algorithm>
#include <map>

#include "check_context.hpp"

namespace cassiastile::config {

namespace {

// Returns the number of hosts in the zone with the most hosts of the pool.
std::size_t LargestZoneSize(const Pool& pool) {
  std::map<std::string, std::size_t> hosts;
  std::size_t largest = 0;
  for (const Host& host : pool.hosts) {
    largest = std::max(largest, ++hosts[host.zone]);
  }
  return largest;
}

bool HasFaultyBudget(std::size_t row, const CheckContext& context) {
  return context.HasFieldFinding(RowPath(SectionName::kPools, row, "max_out"));
}

void CheckBudget(const Pool& pool, std::size_t row, CheckContext& context) {
  if (pool.hosts.empty()) {
    context.Report(RowPath(SectionName::kPools, row, "hosts"),
                   "a pool needs at least one host");
    return;
  }
  if (pool.budget.max_out >= pool.hosts.size()) {
    context.Report(RowPath(SectionName::kPools, row, "max_out"),
                   fmt::format("{} of {} hosts may be out, which leaves none; "
                               "at most {} may be",
                               pool.budget.max_out, pool.hosts.size(),
                               pool.hosts.size() - 1));
  }
}

void CheckZoneLoss(const Pool& pool, std::size_t row, CheckContext& context) {
  if (!pool.survive_zone_loss || pool.hosts.empty() ||
      HasFaultyBudget(row, context)) {
    return;
  }
  const std::size_t largest = LargestZoneSize(pool);
  const std::size_t needed = largest + pool.budget.max_out + 1;
  if (needed <= pool.hosts.size()) {
    return;
  }
  context.Report(
      RowPath(SectionName::kPools, row, "survive_zone_loss"),
      fmt::format("with {} out, the loss of a zone with {} of the {} hosts "
                  "leaves none; spread the hosts over more zones or lower "
                  "max_out",
                  pool.budget.max_out, largest, pool.hosts.size()));
}

void CheckPoolOfWave(const Wave& wave,
                     std::size_t row,
                     std::size_t index,
                     const Pool& pool,
                     CheckContext& context) {
  const std::string path = fmt::format("waves[{}].pools[{}]", row, index);
  if (pool.budget.max_out == 0) {
    context.Report(path,
                   fmt::format("pool \"{}\" has max_out 0, so no wave can take "
                               "a host; give it a budget of at least 1",
                               pool.name));
  } else if (wave.parallel > pool.budget.max_out) {
    context.Report(
        RowPath(SectionName::kWaves, row, "parallel"),
        fmt::format("is {}, but pool \"{}\" may miss only {} hosts at once",
                    wave.parallel, pool.name, pool.budget.max_out));
  }
  if (wave.canaries > pool.hosts.size()) {
    context.Report(RowPath(SectionName::kWaves, row, "canaries"),
                   fmt::format("is {}, but pool \"{}\" has only {} hosts",
                               wave.canaries, pool.name, pool.hosts.size()));
  }
}

}  // namespace

void CheckPools(const Fleet& fleet, CheckContext& context) {
  for (std::size_t i = 0; i < fleet.pools.size(); ++i) {
    CheckBudget(fleet.pools[i], i, context);
    CheckZoneLoss(fleet.pools[i], i, context);
  }
  const bool has_spare =
      std::any_of(fleet.pools.begin(), fleet.pools.end(),
                  [](const Pool& pool) { return pool.spare; });
  if (!has_spare) {
    context.Report("pools",
                   "no pool is the spare; mark one with \"spare\": true");
  }
}

void CheckWaves(const Fleet& fleet, CheckContext& context) {
  for (std::size_t i = 0; i < fleet.waves.size(); ++i) {
    const Wave& wave = fleet.waves[i];
    if (wave.pools.empty()) {
      context.Report(RowPath(SectionName::kWaves, i, "pools"),
                     "a wave covers at least one pool");
    }
    if (wave.per_rack > wave.parallel) {
      context.Report(RowPath(SectionName::kWaves, i, "per_rack"),
                     fmt::format("is {}, but the wave takes only {} hosts at "
                                 "once; lower it or raise parallel",
                                 wave.per_rack, wave.parallel));
    }
    for (std::size_t j = 0; j < wave.pools.size(); ++j) {
      const Pool* pool = FindPool(fleet, wave.pools[j]);
      if (pool != nullptr &&
          !HasFaultyBudget(pool - fleet.pools.data(), context)) {
        CheckPoolOfWave(wave, i, j, *pool, context);
      }
    }
  }
}

}  // namespace cassiastile::config
