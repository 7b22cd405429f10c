#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "cassiastile/base/error.hpp"

namespace cassiastile::platform {

enum class MachineState : std::uint8_t {
  kUp,
  kRebooting,
  kDown,
};

std::string_view NameOf(MachineState state);

// What the platform says of one machine, with its usual lag.
struct MachineStatus {
  MachineState state = MachineState::kUp;
  bool draining = false;
  std::uint64_t boots = 0;             // Grows with every boot.
  std::uint32_t running_requests = 0;  // On the runners that it hosts.
};

// The platform's machine service: it drains and reboots hosts on request. While
// a machine drains, the host list shows its runners as leaving and its workers
// go on until they are told otherwise. Calls block; errors are those of Table.
class Machines {
 public:
  virtual ~Machines() = default;

  virtual base::Result<void> SetDraining(const std::string& host,
                                         bool draining) = 0;

  // Reboots the machine if it has still booted `boots` times, so that a
  // repeated call reboots it once. kConflict when it has booted since.
  virtual base::Result<void> Reboot(const std::string& host,
                                    std::uint64_t boots) = 0;

  virtual base::Result<MachineStatus> Status(const std::string& host) = 0;
};

}  // namespace cassiastile::platform
