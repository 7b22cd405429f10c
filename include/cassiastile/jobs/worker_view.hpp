#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cassiastile/base/enum_names.hpp"
#include "cassiastile/jobs/job_spec.hpp"
#include "cassiastile/jobs/resources.hpp"

namespace cassiastile::jobs {

// One incarnation of a worker. A worker that restarts may keep its id, but
// keeps no runs and no state.
struct WorkerId {
  std::string id;
  // When this incarnation started, in milliseconds since 1970.
  std::int64_t incarnation_ms = 0;

  friend bool operator==(const WorkerId&, const WorkerId&) = default;
};

// A worker's entry in the platform's list.
struct WorkerEntry {
  WorkerId id;
  std::string service;
  std::string machine;   // Runs one worker at a time.
  std::string endpoint;  // HOST:PORT.
  std::string availability_zone;
  std::string kind;
  std::string rack;
  Resources capacity;
  bool draining = false;
  // How much longer the worker is slow after its start, when this was written.
  std::chrono::milliseconds cold_for{0};

  // Whether it is of this kind or in this rack; true for an empty label.
  bool HasLabel(const std::string& label) const {
    return label.empty() || kind == label || rack == label;
  }
  friend bool operator==(const WorkerEntry&, const WorkerEntry&) = default;
};

// How a run ended.
enum class RunEnd : std::uint8_t {
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired,    // The worker's lease expired.
  kGangBroken,      // Another member of the gang ended.
  kGangIncomplete,  // The gang was not complete in time.
};

inline constexpr std::array<base::EnumName<RunEnd>, 6> kRunEndNames{{
    {RunEnd::kDone, "done"},
    {RunEnd::kFailed, "failed"},
    {RunEnd::kStopped, "stopped"},
    {RunEnd::kLeaseExpired, "lapsed"},
    {RunEnd::kGangBroken, "broken"},
    {RunEnd::kGangIncomplete, "alone"},
}};

// Why a run is stopped.
enum class StopReason : std::uint8_t {
  kJobOver,  // Its job is done, failed or cancelled.
  // The outcome of its start is unknown and its worker does not list it.
  kStartUnknown,
  kUnanswered,  // Its start was not answered in time.
  kUnknown,     // The scheduler does not know it.
  kDuplicate,   // Another run of the task has succeeded.
  kStuck,       // It makes no progress or is far too slow.
  kDraining,    // Its worker is draining.
  kEvacuated,   // Its machine is due for maintenance.
  kEndAtRisk,   // Its worker may forget its end before it is read.
};

inline constexpr std::array<base::EnumName<StopReason>, 9> kStopReasonNames{{
    {StopReason::kJobOver, "job over"},
    {StopReason::kStartUnknown, "doubtful"},
    {StopReason::kUnanswered, "unanswered"},
    {StopReason::kUnknown, "unknown run"},
    {StopReason::kDuplicate, "copy done"},
    {StopReason::kStuck, "stuck"},
    {StopReason::kDraining, "worker draining"},
    {StopReason::kEvacuated, "evacuated"},
    {StopReason::kEndAtRisk, "end at risk"},
}};

// Why the scheduler gave up a run whose end its worker has not listed.
enum class DropReason : std::uint8_t {
  kNone,
  kIncarnationOver,  // The worker runs a newer incarnation.
  kLeaseOver,        // The worker's lease has expired.
  kWorkerGone,       // The platform's list of machines says that it ended.
  kTerminated,       // The worker ended by the leader's own order.
  kMissing,          // The worker's report does not list the run.
  kRefused,          // The start was not carried out.
  kNotOrdered,       // Its worker or its gang could not take it.
  kNoRoom,           // The worker shrank before the start was ordered.
};

inline constexpr std::array<base::EnumName<DropReason>, 9> kDropReasonNames{{
    {DropReason::kNone, "none"},
    {DropReason::kIncarnationOver, "incarnation over"},
    {DropReason::kLeaseOver, "lease over"},
    {DropReason::kWorkerGone, "worker gone"},
    {DropReason::kTerminated, "worker terminated"},
    {DropReason::kMissing, "missing"},
    {DropReason::kRefused, "refused"},
    {DropReason::kNotOrdered, "not ordered"},
    {DropReason::kNoRoom, "no room"},
}};

// A run that a worker lists as running.
struct ListedRun {
  TaskId task;
  std::uint32_t run = 0;
  std::string checkpoint;
  // Progress; a long-running task serves users once it is 100.
  int percent = 0;
  // Tail latency in milliseconds for a task with a target, otherwise CPU use in
  // thousandths of a core. Approximate, over the last half second.
  std::int64_t load = 0;
};

// A run that a worker lists as ended, in every report until it is acknowledged.
struct ListedEnd {
  std::uint64_t sequence = 0;  // Increases with each end of an incarnation.
  TaskId task;
  std::uint32_t run = 0;
  RunEnd how = RunEnd::kStopped;
  std::string checkpoint;
};

// A worker's answer to a lease extension: all its runs, and the ends that are
// not acknowledged, oldest first.
struct WorkerReport {
  std::int64_t incarnation_ms = 0;
  std::chrono::milliseconds clock{0};  // The worker's own steady clock.
  std::vector<ListedRun> running;
  std::vector<ListedEnd> ended;
  // Whether there may be further ends, for which the report has no room.
  bool ends_cut = false;
};

// How a worker answered an order to start a run.
enum class StartResult : std::uint8_t {
  kRunning,
  kFenced,    // The worker has seen a newer fencing token.
  kStaleRun,  // This or a later run has already ended there.
  kTooLate,   // The lease in the order had expired on arrival.
  kNoRoom,    // The worker's capacity is in use.
  kNoTicket,  // The placement ticket is not valid there.
  kBusy,      // The worker takes no orders now; it did nothing.
  // Another incarnation of the worker has the address now.
  kOtherIncarnation,
  kRejected,     // The worker can't read the order.
  kUnreachable,  // The connection was refused; nothing arrived.
  kUnknown,      // No answer; it may still be carried out.
};

inline constexpr std::array<base::EnumName<StartResult>, 11> kStartResultNames{{
    {StartResult::kRunning, "running"},
    {StartResult::kFenced, "fenced"},
    {StartResult::kStaleRun, "stale run"},
    {StartResult::kTooLate, "too late"},
    {StartResult::kNoRoom, "no room"},
    {StartResult::kNoTicket, "no ticket"},
    {StartResult::kBusy, "busy"},
    {StartResult::kOtherIncarnation, "other life"},
    {StartResult::kRejected, "rejected"},
    {StartResult::kUnreachable, "unreachable"},
    {StartResult::kUnknown, "unknown"},
}};

}  // namespace cassiastile::jobs
