#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "cassiastile/base/error.hpp"

namespace cassiastile::platform {

// The state of a machine.
enum class MachineState : std::uint8_t {
  kUp,
  kRebooting,
  kDown,
};

std::string_view NameOf(MachineState state);

// The platform's view of one machine, which lags behind like the host list.
struct MachineStatus {
  MachineState state = MachineState::kUp;
  bool draining = false;
  std::uint64_t boots = 0;             // Increases with every boot.
  std::uint32_t running_requests = 0;  // On its runners.
};

// The platform's machine service, which drains and reboots hosts on request.
// While a machine drains, the host list shows its runners as leaving; its
// workers keep running until they get other orders. Calls block; errors are
// those of Table.
class Machines {
 public:
  virtual ~Machines() = default;

  // Starts or ends draining.
  virtual base::Result<void> SetDraining(const std::string& host,
                                         bool draining) = 0;

  // Reboots the machine if its boot count is still `boots`, so that a repeated
  // call reboots it only once. Fails with kConflict if it has booted since.
  virtual base::Result<void> Reboot(const std::string& host,
                                    std::uint64_t boots) = 0;

  // Fails with kNotFound for an unknown machine.
  virtual base::Result<MachineStatus> Status(const std::string& host) = 0;
};

}  // namespace cassiastile::platform
