#pragma once

#include <cstdint>
#include <string>

#include "cassiastile/member/virtual_network.hpp"

namespace cassiastile::member {

// The shape of a virtual fleet: an entry and a control process on each host.
struct VirtualFleetShape {
  std::uint32_t hosts = 7;
  std::uint32_t zones = 3;
  std::uint32_t processes_per_host = 2;
};

// The name of a process of a virtual fleet, such as "h03-1".
std::string VirtualName(std::uint32_t host, std::uint32_t process);

// Adds a fleet's processes to a network, each with two seeds.
void AddFleet(VirtualNetwork& network, VirtualFleetShape shape);

// Commits a version to the table's stand-in, as the acceptance of an edit does.
void CommitVersion(VirtualNetwork& network, std::uint64_t version);

// Whether every running member has a version in force.
bool IsInForceEverywhere(VirtualNetwork& network, std::uint64_t version);

}  // namespace cassiastile::member
