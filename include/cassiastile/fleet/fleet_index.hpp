#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cassiastile/config/fleet.hpp"

namespace cassiastile::fleet {

// The pool and definition that the document gives a host.
struct DeclaredHost {
  const config::Pool* pool = nullptr;
  const config::Host* host = nullptr;
  std::size_t position = 0;  // Among all hosts, in the document's order.
};

// A document's pools and hosts by name. Points into the fleet, which must
// outlive the index.
struct FleetIndex {
  std::map<std::string, const config::Pool*> pools;
  std::map<std::string, DeclaredHost> hosts;
  std::map<std::string, std::vector<std::string>> racks;  // Hosts by RackKey.
};

FleetIndex MakeFleetIndex(const config::Fleet& fleet);

// Returns the pool of that name, or null.
const config::Pool* FindPool(const FleetIndex& index, const std::string& pool);

// Returns the declared host of that name, or null.
const DeclaredHost* FindHost(const FleetIndex& index, const std::string& host);

}  // namespace cassiastile::fleet
