#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "cassiastile/config/fleet.hpp"
#include "cassiastile/fleet/records.hpp"
#include "cassiastile/fleet/state.hpp"

namespace cassiastile::fleet {

// How many hosts of a pool are out of service, and how many more its budget
// allows.
struct BudgetCount {
  std::uint32_t max_out = 0;
  // Out for waves, operators' drains, moves and removals.
  std::uint32_t planned = 0;
  std::uint32_t failed = 0;    // Failed and not replaced.
  std::uint32_t replaced = 0;  // Failed and replaced by a spare host.
  // In service by the pool's row, but not confirmed to be up.
  std::uint32_t unresponsive = 0;

  std::uint32_t Out() const { return planned + failed + unresponsive; }
  // Hosts that may be drained now; unplanned losses are already subtracted.
  std::uint32_t Free() const { return Out() < max_out ? max_out - Out() : 0; }
  // Hosts that are out of service beyond the budget.
  std::uint32_t Excess() const { return Out() > max_out ? Out() - max_out : 0; }
};

// Counts a pool's hosts that are out of service for any cause, where
// `unresponsive` holds those in service by their rows but not confirmed to be
// up. A null `pool`, one that is no longer in the document, has no budget
// limit.
BudgetCount CountBudget(const config::Pool* pool,
                        const PoolRecord& record,
                        const std::set<std::string>& unresponsive);

// "2 of 3 out: 1 planned, 1 failed, 0 replaced, 0 not answering".
std::string Describe(const BudgetCount& count);

// A host that could be undrained while its pool exceeds its budget.
struct UndrainCandidate {
  std::string host;
  HostRecord record;
  HostWork work;
};

// Chooses the hosts to undrain when more hosts of a pool are out of service
// than its budget allows: hosts that waves or moves are draining, the busiest
// first, at most as many as the excess. Operators' drains are never undone.
std::vector<std::string> ChooseHostsToUndrain(
    const BudgetCount& count,
    std::vector<UndrainCandidate> candidates);

}  // namespace cassiastile::fleet
