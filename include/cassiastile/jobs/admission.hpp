#pragma once

#include <array>
#include <chrono>
#include <cstdint>

#include "cassiastile/base/enum_names.hpp"
#include "cassiastile/jobs/arrival_meter.hpp"
#include "cassiastile/jobs/resources.hpp"

namespace cassiastile::jobs {

// Why a submitted job was refused.
enum class RefusalReason : std::uint8_t {
  kNone,
  // It would miss its objective behind the backlog, or its customer is beyond
  // its share and there is no free capacity.
  kOverload,
  kStoreUnavailable,  // The store can't record jobs now.
  kNoScheduler,       // No host is the leader.
  kTooLarge,          // A task exceeds every worker of the pool.
};

inline constexpr std::array<base::EnumName<RefusalReason>, 5> kRefusalNames{{
    {RefusalReason::kNone, "none"},
    {RefusalReason::kOverload, "overload"},
    {RefusalReason::kStoreUnavailable, "store away"},
    {RefusalReason::kNoScheduler, "no scheduler"},
    {RefusalReason::kTooLarge, "too large"},
}};

// A job to be admitted to a pool, and the state of that pool.
struct AdmissionInput {
  // Remaining work of the pool's jobs whose result still has value.
  Work backlog;
  // Capacity usable by finite tasks, including machines being moved
  // into the pool.
  Resources pool;
  // What it would grow to if it needed it, at least `pool`, and after which
  // time: machines of other pools finish their tasks and are moved.
  Resources reachable;
  std::chrono::milliseconds reach_delay{2000};
  // Whether the job's customer submits more jobs per second than its weight.
  bool beyond_share = false;
  bool fits_now = false;  // There is free capacity for the job's first step.
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
// would be late and make the jobs behind it late.
//
// A queue whose turn begins finds a small pool, which grows to most of the
// fleet within seconds: the jobs that it can finish in time by then are
// admitted, not only those for which it has capacity now. A pool that has no
// capacity and can get none admits every job, since machines may be on their
// way to it.
AdmissionVerdict Admit(const AdmissionInput& input);

}  // namespace cassiastile::jobs
