#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cassiastile::work {

// A holder of credits: an entry host with its incarnation ("e1#3") or the shard
// of a pool ("shard/push").
using HolderName = std::string;

// One holder's credits for one resource.
struct Holding {
  std::uint32_t granted = 0;
  // The demand that it last reported, at least its use at that time.
  std::uint32_t wanted = 0;
};

// Splits a limited resource (a runner's slots, a team's upper limit) among its
// holders. A holder runs no more than it was granted, so the total stays within
// the capacity even when holders can't reach each other or the store.
struct Ledger {
  std::uint32_t capacity = 0;
  std::map<HolderName, Holding> holdings;
};

// The sum of all grants. It exceeds the capacity only after the capacity was
// lowered, until the holders have returned the excess.
std::uint32_t TotalGranted(const Ledger& ledger);

// Updates the holder's entry from its current use and demand. A holder with
// more than its fair share returns the excess that it does not use; any other
// takes free credits up to its fair share. Its grant never drops below what it
// has in use. An entry without grant and demand is removed.
//
// Write the returned ledger only if the table still has the version it was
// computed from.
Ledger Rebalance(const Ledger& ledger,
                 const HolderName& holder,
                 std::uint32_t in_use,
                 std::uint32_t wanted);

// Removes a holder. Its work must be known to have stopped.
Ledger RemoveHolder(const Ledger& ledger, const HolderName& holder);

}  // namespace cassiastile::work
