#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cassiastile/base/error.hpp"

namespace cassiastile::platform {

// The role of a listed process.
enum class ListedRole : std::uint8_t {
  kRunner,  // Serves requests of one service.
  kWorker,  // Runs tasks of one pool.
  kEntry,   // Entry process of one of this system's hosts.
};

// Whether a listed process stays or is leaving, as on a draining machine.
enum class ListedState : std::uint8_t {
  kLive,
  kLeaving,
};

std::string_view NameOf(ListedRole role);
std::string_view NameOf(ListedState state);

// A process in the platform's host list. The list lags behind and may be wrong.
struct ListedHost {
  std::string name;
  ListedRole role = ListedRole::kRunner;
  ListedState state = ListedState::kLive;
  std::string zone;
  std::string rack;
  std::string machine;  // The host that it runs on.
  std::string service;  // For runners.
  std::string address;  // IP:PORT of its HTTP endpoint.
  // Increases with each start of the process.
  std::uint64_t incarnation = 0;

  bool operator==(const ListedHost&) const = default;
};

// The platform's list of processes. Calls block; errors are those of Table.
class HostList {
 public:
  virtual ~HostList() = default;
  virtual base::Result<std::vector<ListedHost>> List() = 0;
};

}  // namespace cassiastile::platform
