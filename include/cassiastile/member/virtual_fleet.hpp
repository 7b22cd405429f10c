#pragma once

#include <cstdint>
#include <string>

#include "cassiastile/member/virtual_network.hpp"

namespace cassiastile::member {

// The size of a virtual fleet. On each host the first process is an entry
// process and the others are control processes.
struct VirtualFleetShape {
  std::uint32_t hosts = 7;
  std::uint32_t zones = 3;
  std::uint32_t processes_per_host = 2;
};

// The name of a process of a virtual fleet, such as "h03-1".
std::string VirtualName(std::uint32_t host, std::uint32_t process);

// Adds the processes of a fleet to a network, each with the same two seeds.
void AddFleet(VirtualNetwork& network, VirtualFleetShape shape);

// Commits a version to the simulated table, as accepting an edit does.
void CommitVersion(VirtualNetwork& network, std::uint64_t version);

// Whether every member has the version, or a newer one, in force.
bool IsInForceEverywhere(VirtualNetwork& network, std::uint64_t version);

}  // namespace cassiastile::member
