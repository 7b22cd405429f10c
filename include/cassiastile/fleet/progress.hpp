#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/fleet/host_view.hpp"
#include "cassiastile/fleet/records.hpp"
#include "cassiastile/platform/machines.hpp"

namespace cassiastile::fleet {

// How long the steps of maintenance may take.
struct ProgressOptions {
  std::chrono::seconds reboot_timeout{900};
  std::chrono::milliseconds probe_time{
      10000};  // Up all along before it is trusted.
};

// What is seen of a host.
struct HostObservation {
  // Nothing while the machine service does not answer.
  std::optional<platform::MachineStatus> status;
  bool machine_missing = false;  // The service does not know the machine.
  HostWork work;
  base::Duration in_state{};  // On this process's clock.
};

// What to do with a host next.
struct NoAction {};
struct BeginReboot {  // Commit that it reboots, then ask for it.
  std::uint64_t boots = 0;
  std::string cut;  // The work that is cut, where the document says so.
};
struct RetryReboot {  // Repeat the request for the reboot.
  std::uint64_t boots = 0;
};
struct BeginProbe {};
struct ReturnToService {
  std::string why;
};
struct MoveToPool {};
struct RemoveFromFleet {};
struct MarkFailed {
  std::string evidence;
};
struct ReportOverdue {  // Work runs past the drain deadline and goes on.
  std::string evidence;
};

using HostAction = std::variant<NoAction,
                                BeginReboot,
                                RetryReboot,
                                BeginProbe,
                                ReturnToService,
                                MoveToPool,
                                RemoveFromFleet,
                                MarkFailed,
                                ReportOverdue>;

// The drain deadline that holds for a host, and whether work past it is cut.
struct DrainPolicy {
  std::chrono::seconds deadline{3600};
  bool cut_at_deadline = false;
};

// The next step of one host. A host rebooted by a wave counts as back only once
// its machine has booted again; one that an operator holds is left alone.
HostAction NextAction(const HostRecord& host,
                      const HostObservation& seen,
                      const DrainPolicy& drain,
                      const ProgressOptions& options);

// Whether a host that its row says is in service can be counted on.
bool IsKnownUp(const HostObservation& seen);

}  // namespace cassiastile::fleet
