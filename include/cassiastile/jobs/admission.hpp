#pragma once

#include <array>
#include <chrono>
#include <cstdint>

#include "cassiastile/base/enum_names.hpp"
#include "cassiastile/jobs/arrival_meter.hpp"
#include "cassiastile/jobs/resources.hpp"

namespace cassiastile::jobs {

enum class RefusalReason : std::uint8_t {
  kNone,
  kOverload,          // It could not be done in time behind the work before it.
  kStoreUnavailable,  // Jobs can't be recorded now.
  kNoScheduler,       // No host is in office.
  kTooLarge,          // No worker of the pool is large enough.
};

inline constexpr std::array<base::EnumName<RefusalReason>, 5> kRefusalNames{{
    {RefusalReason::kNone, "none"},
    {RefusalReason::kOverload, "overload"},
    {RefusalReason::kStoreUnavailable, "store away"},
    {RefusalReason::kNoScheduler, "no scheduler"},
    {RefusalReason::kTooLarge, "too large"},
}};

// What admission knows of a pool and of the job at its door.
struct AdmissionInput {
  Work backlog;    // Ahead of the job, not yet done.
  Resources pool;  // What jobs can use, with what is on its way.
  // Its customer hands in more jobs a second than its weight.
  bool beyond_share = false;
  bool fits_now = false;  // Its first step finds room at once.
  std::chrono::milliseconds critical_path{0};  // Longest chain of the job.
  std::chrono::milliseconds objective{0};      // From its first request on.
};

struct AdmissionVerdict {
  bool admitted = true;
  std::chrono::milliseconds retry_after{0};
  // What was weighed: the wait behind the work ahead against what the job can
  // bear.
  std::chrono::milliseconds wait{0};
  std::chrono::milliseconds slack{0};
};

// Answers one customer that sends many times its usual: what goes beyond its
// share is taken only while there is room at once, so that the others' jobs
// find theirs. Answers demand of several times the pool: a job that could not
// meet its objective behind the work already taken is turned away at once, with
// the time after which it could. Taking it would make it and those behind it
// late.
AdmissionVerdict Admit(const AdmissionInput& input);

}  // namespace cassiastile::jobs
