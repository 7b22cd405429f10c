#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/config/fleet.hpp"

namespace cassiastile::fleet {

// The states of a host in the maintenance cycle.
enum class HostState : std::uint8_t {
  kInService,
  kDraining,  // Gets no new work; running work continues.
  kRebooting,
  kProbing,  // Up again, but gets no work yet.
  kFailed,   // Out of service by a failure, not by plan.
};

std::string_view NameOf(HostState state);
std::optional<HostState> FindHostState(std::string_view name);

// What schedulers need to know about a host to place work on it.
struct HostView {
  config::Host host;
  std::string pool;
  HostState state = HostState::kInService;
  // When a wave is expected to drain the host, if known. Work that would run
  // longer should not be placed on it.
  std::optional<base::TimePoint> drain_expected;
};

// The hosts of a pool according to the table. Thread-safe.
class PoolView {
 public:
  virtual ~PoolView() = default;
  virtual std::vector<HostView> Hosts(const std::string& pool) const = 0;
};

// The work on a host, as known to the scheduler.
struct HostWork {
  std::uint32_t running = 0;
  // Of the running tasks, those that can't be checkpointed and so should not be
  // stopped.
  std::uint32_t without_checkpoint = 0;
  // An upper estimate, learned from past runs. While there are too few of them,
  // it is derived from the declared run time.
  base::Duration longest_remaining{};
};

// Reports to waves what runs on a host, and requests checkpoints before the
// host is stopped. Thread-safe.
class HostWorkSource {
 public:
  virtual ~HostWorkSource() = default;
  virtual HostWork WorkOn(const std::string& host) const = 0;
  // Requests that the tasks that can be checkpointed leave the host.
  virtual void RequestEvacuation(const std::string& host) = 0;
};

}  // namespace cassiastile::fleet
