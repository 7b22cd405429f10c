#pragma once

#include <optional>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/jobs/resources.hpp"

namespace cassiastile::jobs {

// Capacity of a worker that is expected to become free when a run ends.
struct ExpectedRelease {
  base::TimePoint at{};
  Resources amount;
};

// A start that is reserved on a worker for a task that fits nowhere now.
struct ReservedStart {
  base::TimePoint at{};
  // What is left at that time beside the task, for tasks that still run then.
  Resources spare;
};

// The earliest time at which `need` fits on a worker with `free` capacity now,
// which may be negative, and what is left then; nothing if it does not fit when
// all of `releases`, in any order, have ended.
std::optional<ReservedStart> FindEarliestStart(
    const Resources& need,
    const Resources& free,
    std::vector<ExpectedRelease> releases,
    base::TimePoint now);

// Whether a task that fits on the worker now and surely ends by `ends_by`
// leaves a reserved start untouched.
bool LeavesStart(const ReservedStart& start,
                 const Resources& need,
                 base::TimePoint ends_by);

// Whether the first start is the better one to reserve: the earlier, or that
// which leaves less unused.
bool IsBetterStart(const ReservedStart& left, const ReservedStart& right);

}  // namespace cassiastile::jobs
