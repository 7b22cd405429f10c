#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "cassiastile/base/enum_names.hpp"
#include "cassiastile/jobs/arrival_meter.hpp"
#include "cassiastile/jobs/resources.hpp"

namespace cassiastile::jobs {

// Why a submitted job, or a cancel, was refused.
enum class RefusalReason : std::uint8_t {
  kNone,
  // It would miss its objective behind the backlog, or its customer is beyond
  // its share and there is no free capacity.
  kOverload,
  kStoreUnavailable,  // The store can't record jobs now.
  kNoScheduler,       // No host is the leader.
  kTooLarge,          // A task exceeds every worker of the pool.
  kLeaderBusy,  // The leader can't store jobs as fast as they are submitted.
  kCancelled,   // The job was cancelled before its submission arrived.
  kTooManyCancels,  // No room to note the cancel of an unknown job.
};

inline constexpr std::array<base::EnumName<RefusalReason>, 8> kRefusalNames{{
    {RefusalReason::kNone, "none"},
    {RefusalReason::kOverload, "overload"},
    {RefusalReason::kStoreUnavailable, "store away"},
    {RefusalReason::kNoScheduler, "no scheduler"},
    {RefusalReason::kTooLarge, "too large"},
    {RefusalReason::kLeaderBusy, "leader busy"},
    {RefusalReason::kCancelled, "cancelled"},
    {RefusalReason::kTooManyCancels, "too many cancels"},
}};

// Capacity that a pool gets after a time.
struct CapacityStep {
  std::chrono::milliseconds after{0};
  Resources added;
};

// What a customer has in a pool that is divided by weight.
struct CustomerShare {
  Work backlog;
  double part = 1.0;
};

// A job to be admitted to a pool, and the state of that pool.
struct AdmissionInput {
  // Remaining work of the pool's jobs whose result still has value.
  Work backlog;
  // Capacity usable by finite tasks now.
  Resources pool;
  // What it gets, in the order of time: machines on their way, and what
  // machines of other pools would bring if it needed them.
  std::vector<CapacityStep> growth;
  // Whether the job's customer submits more jobs per second than its weight.
  bool beyond_share = false;
  // For a customer within its share of the pool: its part of the backlog and
  // the part of the pool, above 0 and up to 1, that it can count on.
  std::optional<CustomerShare> share;
  bool fits_now = false;  // There is free capacity for the job's first step.
  // The wait for placement advice behind other steps.
  std::chrono::milliseconds advice_wait{0};
  // Expected duration of the job's longest chain of steps.
  std::chrono::milliseconds critical_path{0};
  // Time left until the job's objective, which counts from its first request;
  // negative when the objective has passed.
  std::chrono::milliseconds time_to_objective{0};
};

// The decision on one job, with the values behind it.
struct AdmissionVerdict {
  bool admitted = true;
  // For a refused job: the time after which a retry can succeed, 1 s to 10 s.
  std::chrono::milliseconds retry_after{0};
  // The expected wait behind the backlog, which is compared with `slack`. Both
  // are zero for a job that fits now or whose pool has no capacity.
  std::chrono::milliseconds wait{0};
  // The longest wait with which the job still meets its objective, but at least
  // 300 ms.
  std::chrono::milliseconds slack{0};
};

// Decides whether a job is admitted. A customer beyond its share gets only free
// capacity, so that its burst doesn't displace the jobs of others; any other
// job is refused if it would miss its objective behind the backlog, since it
// would be late and make the jobs behind it late. Jobs of a customer within its
// share are placed before those of others beyond theirs, so it is admitted as
// well if it is in time behind its customer's own backlog.
//
// A queue whose turn begins finds a small pool, which grows to most of the
// fleet within seconds. Jobs are admitted that can still be in time by then,
// and no others: what is admitted because machines are on their way, but starts
// only when they have come, is late and makes the whole turn late. A pool that
// has no capacity and will get none admits every job, since machines may be on
// their way to it.
AdmissionVerdict Admit(const AdmissionInput& input);

}  // namespace cassiastile::jobs
