#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "cassiastile/config/fleet.hpp"
#include "cassiastile/fleet/records.hpp"
#include "cassiastile/fleet/state.hpp"

namespace cassiastile::fleet {

// What a pool misses and what may still be taken from it.
struct BudgetCount {
  std::uint32_t max_out = 0;
  std::uint32_t planned = 0;   // Taken by waves, operators, moves, removals.
  std::uint32_t failed = 0;    // Failed hosts that nothing stands in for.
  std::uint32_t replaced = 0;  // Failed hosts that the spare stands in for.
  std::uint32_t unresponsive = 0;  // Not in the row, yet not known to be up.

  std::uint32_t Out() const { return planned + failed + unresponsive; }
  // Hosts that may be taken now; unplanned loss has come off first.
  std::uint32_t Free() const { return Out() < max_out ? max_out - Out() : 0; }
  // Hosts that are out beyond the budget.
  std::uint32_t Excess() const { return Out() > max_out ? Out() - max_out : 0; }
};

// Counts what is out of a pool, whatever the cause. `unseen` holds the pool's
// hosts that are in service by their rows but not known to be up. A pool that
// the document no longer has has no budget to keep.
BudgetCount CountBudget(const config::Pool* pool,
                        const PoolRecord& record,
                        const std::set<std::string>& unresponsive);

// "2 of 3 out: 1 planned, 1 failed, 0 replaced, 0 not answering".
std::string Describe(const BudgetCount& count);

// A host that could be given back to a pool that is short.
struct UndrainCandidate {
  std::string host;
  HostRecord record;
  HostWork work;
};

// The hosts to give back undrained when a pool misses more than its budget:
// those that waves and moves are draining, the busiest first, as many as are
// out in excess. Operators' own drains are left alone.
std::vector<std::string> ChooseHostsToUndrain(
    const BudgetCount& count,
    std::vector<UndrainCandidate> candidates);

}  // namespace cassiastile::fleet
