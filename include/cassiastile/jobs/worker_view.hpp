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

// One life of a worker. A worker that starts again may keep its id; it then
// runs nothing and knows nothing of before.
struct WorkerId {
  std::string id;
  std::int64_t incarnation_ms =
      0;  // Start of this life, milliseconds since 1970.

  friend bool operator==(const WorkerId&, const WorkerId&) = default;
};

// What a worker says of itself in the platform's list.
struct WorkerEntry {
  WorkerId id;
  std::string service;
  std::string machine;  // Where it lives; one worker at a time.
  std::string endpoint;
  std::string availability_zone;
  std::string kind;
  std::string rack;
  Resources capacity;
  bool draining = false;
};

// How a run came to its end.
enum class RunEnd : std::uint8_t {
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired,    // The worker's lease ran out.
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
  kJobOver,     // Its job was cancelled, or has failed.
  kDoubtful,    // Its start was not answered and it is not listed.
  kUnanswered,  // Its start was not answered for long.
  kUnknown,     // The books do not hold it.
  kCopy,        // Another copy has ended successfully.
  kStuck,       // It stands still, or is far slower than expected.
  kDraining,    // Its worker is leaving.
  kEvacuated,   // Its machine is due for upkeep.
};

inline constexpr std::array<base::EnumName<StopReason>, 8> kStopReasonNames{{
    {StopReason::kJobOver, "job over"},
    {StopReason::kDoubtful, "doubtful"},
    {StopReason::kUnanswered, "unanswered"},
    {StopReason::kUnknown, "unknown run"},
    {StopReason::kCopy, "copy done"},
    {StopReason::kStuck, "stuck"},
    {StopReason::kDraining, "worker draining"},
    {StopReason::kEvacuated, "evacuated"},
}};

// A run that a worker lists as running.
struct ListedRun {
  TaskId task;
  std::uint32_t run = 0;
  std::string checkpoint;
  int percent = 0;
  // Milliseconds of latency tail for a task with a target, else thousandths of
  // a core in use. Rough, over the last half second.
  std::int64_t load = 0;
};

// A run that a worker lists as ended. Listed again until acknowledged.
struct ListedEnd {
  std::uint64_t sequence = 0;
  TaskId task;
  std::uint32_t run = 0;
  RunEnd how = RunEnd::kStopped;
  std::string checkpoint;
};

// What a worker answers when its lease is extended.
struct WorkerReport {
  std::int64_t incarnation_ms = 0;
  std::chrono::milliseconds clock{0};  // The worker's own steady clock.
  std::vector<ListedRun> running;
  std::vector<ListedEnd> ended;
};

// How a worker answered an order to start a run.
enum class StartResult : std::uint8_t {
  kRunning,
  kFenced,            // A newer scheduler has spoken to this worker.
  kStaleRun,          // This or a later run has already ended there.
  kTooLate,           // The lease in the order was over when it arrived.
  kNoRoom,            // The worker's capacity is in use.
  kNoTicket,          // The placement ticket is not valid there.
  kBusy,              // The worker is not healthy; it did nothing.
  kOtherIncarnation,  // Another life of the worker has the address now.
  kRejected,          // The worker can't read the order.
  kUnreachable,       // The connection was refused; nothing arrived.
  kUnknown,           // No answer; it may be carried out later.
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
