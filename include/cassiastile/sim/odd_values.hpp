#pragma once

#include <cstdint>
#include <string>

#include "cassiastile/base/random.hpp"

// Values that another program might write where a host reads them, drawn
// instead of listed, so that tests also meet those that nobody thought of.
namespace cassiastile::sim {

// What should be "ADDRESS:PORT": names, IPv6 and IPv4 addresses, with and
// without a port, ports out of range, control characters, and mixtures of
// these. A few are valid; those are addresses of this machine.
std::string DrawEndpoint(base::Random& random);
// The same, but nothing that a call can go to, also not with a path behind it.
std::string DrawNoDestination(base::Random& random);
// A text of up to 40 bytes, with control characters, quotes and UTF-8.
std::string DrawText(base::Random& random);
// A JSON value of any type; numbers are often at or beyond the limits of their
// types.
std::string DrawJson(base::Random& random);
// A JSON number, often at or beyond the limits of the integer types.
std::string DrawJsonNumber(base::Random& random);

}  // namespace cassiastile::sim
