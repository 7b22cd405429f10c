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

// Time limits of the maintenance steps.
struct ProgressOptions {
  std::chrono::seconds reboot_timeout{900};
  // How long a machine must stay up before its host returns to service.
  std::chrono::milliseconds probe_time{10000};
};

// What is currently known about a host.
struct HostObservation {
  // Absent while the machine service does not answer.
  std::optional<platform::MachineStatus> status;
  bool machine_missing = false;  // The machine service does not know it.
  HostWork work;
  // Time in the current state, on this process's clock.
  base::Duration time_in_state{};
};

// The actions that a host may need next.
struct NoAction {};
struct BeginReboot {  // Commit the rebooting state, then request the reboot.
  std::uint64_t boots = 0;
  std::string stopped_work;  // The work stopped at the drain deadline, if any.
};
struct RetryReboot {  // Request the reboot again.
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
struct ReportOverdue {  // Work runs past the drain deadline; let it run.
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

// The drain deadline of a host, and whether work that runs past it is stopped.
struct DrainPolicy {
  std::chrono::seconds deadline{3600};
  bool cut_at_deadline = false;
};

// Decides the next action for one host. A host rebooted by a wave is probed
// only once its boot count has increased; an operator's drain is left alone.
HostAction NextAction(const HostRecord& host,
                      const HostObservation& seen,
                      const DrainPolicy& drain,
                      const ProgressOptions& options);

// Whether the host's machine is confirmed to be up.
bool IsKnownUp(const HostObservation& seen);

}  // namespace cassiastile::fleet
