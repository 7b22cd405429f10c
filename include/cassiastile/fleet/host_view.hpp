#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/config/fleet.hpp"

namespace cassiastile::fleet {

// Where a host is between service and maintenance.
enum class HostState : std::uint8_t {
  kInService,
  kDraining,  // Takes no new work; what runs goes on.
  kRebooting,
  kProbing,  // Back up, not yet trusted with work.
  kFailed,   // Out without our doing.
};

std::string_view NameOf(HostState state);
std::optional<HostState> FindHostState(std::string_view name);

// What those who place work need to know of a host.
struct HostView {
  config::Host host;
  std::string pool;
  HostState state = HostState::kInService;
  // When a wave means to drain the host, as far as is known. Nothing longer
  // should be placed on it.
  std::optional<base::TimePoint> drain_expected;
};

// The hosts of a pool as the table says they are. Safe for use by several
// threads.
class PoolView {
 public:
  virtual ~PoolView() = default;
  virtual std::vector<HostView> Hosts(const std::string& pool) const = 0;
};

// What runs on a host, as those who place work know it.
struct HostWork {
  std::uint32_t running = 0;
  std::uint32_t without_checkpoint = 0;  // Of these, not to be stopped.
  base::Duration longest_remaining{};    // Learnt, not declared.
};

// Tells waves what a host is busy with, and asks for checkpoints before a stop.
// Safe for use by several threads.
class HostWorkSource {
 public:
  virtual ~HostWorkSource() = default;
  virtual HostWork WorkOn(const std::string& host) const = 0;
  // Asks that tasks which can be checkpointed leave the host.
  virtual void RequestEvacuation(const std::string& host) = 0;
};

}  // namespace cassiastile::fleet
