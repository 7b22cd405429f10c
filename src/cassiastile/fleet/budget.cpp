#include "cassiastile/fleet/budget.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

#include <fmt/format.h>

namespace cassiastile::fleet {

namespace {

bool IsReplaced(const PoolRecord& record,
                const OutEntry& entry,
                const std::set<std::string>& unresponsive) {
  return !entry.replaced_by.empty() &&
         !record.out.contains(entry.replaced_by) &&
         !unresponsive.contains(entry.replaced_by);
}

bool CanUndrain(const UndrainCandidate& candidate) {
  const HostRecord& record = candidate.record;
  return record.state == HostState::kDraining &&
         (record.reason == OutReason::kWave ||
          record.reason == OutReason::kMoving);
}

}  // namespace

BudgetCount CountBudget(const config::Pool* pool,
                        const PoolRecord& record,
                        const std::set<std::string>& unresponsive) {
  BudgetCount count;
  count.max_out = pool == nullptr ? std::numeric_limits<std::uint32_t>::max()
                                  : pool->budget.max_out;
  for (const auto& [host, entry] : record.out) {
    if (entry.reason != OutReason::kFailed) {
      ++count.planned;
    } else if (IsReplaced(record, entry, unresponsive)) {
      ++count.replaced;
    } else {
      ++count.failed;
    }
  }
  count.unresponsive = static_cast<std::uint32_t>(std::count_if(
      unresponsive.begin(), unresponsive.end(),
      [&](const auto& host) { return !record.out.contains(host); }));
  return count;
}

std::string Describe(const BudgetCount& count) {
  return fmt::format(
      "{} of {} out: {} planned, {} failed, {} replaced, {} not answering",
      count.Out(), count.max_out, count.planned, count.failed, count.replaced,
      count.unresponsive);
}

std::vector<std::string> ChooseHostsToUndrain(
    const BudgetCount& count,
    std::vector<UndrainCandidate> candidates) {
  std::erase_if(candidates, [](const auto& it) { return !CanUndrain(it); });
  std::sort(candidates.begin(), candidates.end(),
            [](const auto& left, const auto& right) {
              return std::tuple(right.work.longest_remaining,
                                right.work.running, left.host) <
                     std::tuple(left.work.longest_remaining, left.work.running,
                                right.host);
            });
  std::vector<std::string> hosts;
  for (const UndrainCandidate& candidate : candidates) {
    if (hosts.size() >= count.Excess()) {
      break;
    }
    hosts.push_back(candidate.host);
  }
  return hosts;
}

}  // namespace cassiastile::fleet
