#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace cassiastile::base {

// The random engine of all decisions. It is always passed in, so that a test or
// simulation can repeat a run from its seed.
using Random = std::mt19937_64;

// Returns an engine seeded from the system's entropy, for daemons.
Random MakeRandom();

// Returns a random 128-bit identifier as 32 hexadecimal digits. Used for
// request ids, decision ids and transaction nonces.
std::string MakeId(Random& random);

}  // namespace cassiastile::base
