#include "cassiastile/fleet/progress.hpp"

#include <fmt/format.h>

namespace cassiastile::fleet {

namespace {

using platform::MachineState;

bool IsUp(const HostObservation& seen) {
  return seen.status && seen.status->state == MachineState::kUp;
}

bool IsDown(const HostObservation& seen) {
  return seen.machine_missing ||
         (seen.status && seen.status->state == MachineState::kDown);
}

bool IsDrained(const HostObservation& seen) {
  return seen.status && seen.status->draining &&
         seen.status->running_requests == 0 && seen.work.running == 0;
}

std::string DescribeMachine(const HostObservation& seen) {
  if (seen.machine_missing) {
    return "the platform does not know the machine";
  }
  if (!seen.status) {
    return "the machine service does not answer";
  }
  return fmt::format("the machine is {} after {} boots",
                     platform::NameOf(seen.status->state), seen.status->boots);
}

std::string DescribeWork(const HostObservation& seen) {
  return fmt::format("{} tasks ({} without checkpoint) and {} requests run",
                     seen.work.running, seen.work.without_checkpoint,
                     seen.status ? seen.status->running_requests : 0);
}

HostAction ActionInService(const HostObservation& seen) {
  if (IsDown(seen)) {
    return MarkFailed{DescribeMachine(seen)};
  }
  if (seen.status && seen.status->state == MachineState::kRebooting) {
    return MarkFailed{"the machine reboots without having been asked to"};
  }
  return NoAction{};
}

HostAction ActionWhenDrained(const HostRecord& host,
                             const HostObservation& seen,
                             std::string stopped_work) {
  switch (host.reason.value_or(OutReason::kOperator)) {
    case OutReason::kWave:
      return BeginReboot{seen.status->boots, std::move(stopped_work)};
    case OutReason::kMoving:
      return MoveToPool{};
    case OutReason::kRemoving:
      return RemoveFromFleet{};
    case OutReason::kOperator:
    case OutReason::kFailed:
      return NoAction{};
  }
  return NoAction{};
}

HostAction ActionWhileDraining(const HostRecord& host,
                               const HostObservation& seen,
                               const DrainPolicy& drain) {
  if (host.reason == OutReason::kOperator) {
    return NoAction{};
  }
  if (IsDown(seen)) {
    return MarkFailed{DescribeMachine(seen) + " while it drained"};
  }
  if (IsDrained(seen)) {
    return ActionWhenDrained(host, seen, {});
  }
  if (!seen.status || seen.time_in_state <= drain.deadline) {
    return NoAction{};
  }
  if (drain.cut_at_deadline && seen.status->draining) {
    return ActionWhenDrained(host, seen, DescribeWork(seen));
  }
  return ReportOverdue{DescribeWork(seen) + " past the drain deadline"};
}

HostAction ActionWhileRebooting(const HostRecord& host,
                                const HostObservation& seen,
                                const ProgressOptions& options) {
  const std::uint64_t boots = host.boots.value_or(0);
  if (IsUp(seen) && seen.status->boots > boots) {
    return BeginProbe{};
  }
  if (seen.time_in_state > options.reboot_timeout) {
    return MarkFailed{
        fmt::format("not back {} s after its reboot was asked for: {}",
                    options.reboot_timeout.count(), DescribeMachine(seen))};
  }
  return IsUp(seen) ? HostAction(RetryReboot{boots}) : HostAction(NoAction{});
}

HostAction ActionWhileProbing(const HostObservation& seen,
                              const ProgressOptions& options) {
  if (!seen.status && !seen.machine_missing) {
    return NoAction{};
  }
  if (!IsUp(seen)) {
    return MarkFailed{DescribeMachine(seen) + " while it was probed"};
  }
  if (seen.time_in_state < options.probe_time) {
    return NoAction{};
  }
  return ReturnToService{
      fmt::format("up for {} ms of probing", options.probe_time.count())};
}

HostAction ActionWhenFailed(const HostRecord& host,
                            const HostObservation& seen) {
  const bool booted =
      !host.boots || (seen.status && seen.status->boots > *host.boots);
  return IsUp(seen) && booted ? HostAction(BeginProbe{})
                              : HostAction(NoAction{});
}

}  // namespace

HostAction NextAction(const HostRecord& host,
                      const HostObservation& seen,
                      const DrainPolicy& drain,
                      const ProgressOptions& options) {
  switch (host.state) {
    case HostState::kInService:
      return ActionInService(seen);
    case HostState::kDraining:
      return ActionWhileDraining(host, seen, drain);
    case HostState::kRebooting:
      return ActionWhileRebooting(host, seen, options);
    case HostState::kProbing:
      return ActionWhileProbing(seen, options);
    case HostState::kFailed:
      return ActionWhenFailed(host, seen);
  }
  return NoAction{};
}

bool IsKnownUp(const HostObservation& seen) {
  return IsUp(seen);
}

}  // namespace cassiastile::fleet
