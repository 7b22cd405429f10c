#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cassiastile::work {

// Who may hold credits: an entry host under its incarnation ("e1#3") or a
// pool's shard ("shard/push").
using HolderName = std::string;

// What one holder has of one resource.
struct Holding {
  std::uint32_t granted = 0;
  std::uint32_t wanted = 0;  // What it last said that it could use.
};

// How a limited resource (the slots of a runner, a team's upper limit) is
// split among its holders. A holder runs work only within what it was granted,
// so that the sum of what runs stays within the capacity even when holders
// can't reach each other or the store.
struct Ledger {
  std::uint32_t capacity = 0;
  std::map<HolderName, Holding> holdings;
};

// The sum of all grants. May exceed the capacity only after the capacity was
// lowered, until holders have given back what is over.
std::uint32_t TotalGranted(const Ledger& ledger);

// The holder states what it wants and how much it has in use. It gives back
// what it neither uses nor is due, then takes what is free and due. A holder's
// grant never sinks below what it has in use. Returns the ledger to be written
// with the version it was decided from as the precondition.
Ledger Rebalance(const Ledger& ledger,
                 const HolderName& holder,
                 std::uint32_t in_use,
                 std::uint32_t wanted);

// Removes a holder that is known to have nothing running any more.
Ledger RemoveHolder(const Ledger& ledger, const HolderName& holder);

}  // namespace cassiastile::work
