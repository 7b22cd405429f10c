#include "cassiastile/jobs/job_spec.hpp"

#include <fmt/format.h>

namespace cassiastile::jobs {

namespace {

// Limits on the memory that one job takes in the scheduler.
constexpr std::uint32_t kMaxTasksOfStep = 10000;
constexpr std::uint32_t kMaxRepeats = 100000;

tl::unexpected<base::Error> Invalid(std::string message) {
  return base::Fail(base::ErrorCode::kInvalid, std::move(message));
}

}  // namespace

base::Result<void> CheckSpec(const JobSpec& spec) {
  if (spec.steps.empty() || spec.steps.size() > kMaxSteps) {
    return Invalid(fmt::format("steps: 1 to {} are allowed, there are {}",
                               kMaxSteps, spec.steps.size()));
  }
  if (spec.repeats > kMaxRepeats) {
    return Invalid(fmt::format("repeats: at most {} are allowed", kMaxRepeats));
  }
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    const StepSpec& step = spec.steps[i];
    if (step.count == 0 || step.count > kMaxTasksOfStep) {
      return Invalid(fmt::format("steps[{}].count: 1 to {} are allowed", i,
                                 kMaxTasksOfStep));
    }
    for (const std::uint32_t before : step.after) {
      if (before >= i) {
        return Invalid(fmt::format("steps[{}].after: {} is not an earlier step",
                                   i, before));
      }
    }
  }
  return {};
}

base::Result<void> CheckSize(const JobSpec& spec) {
  // What the encoding takes for a step without its texts and its list, and for
  // the length of a text or a list.
  constexpr std::size_t kStepBytes = 128;
  constexpr std::size_t kLengthBytes = 8;
  std::size_t bytes = kStepBytes + spec.payload.size();
  std::uint64_t tasks = 0;
  for (const StepSpec& step : spec.steps) {
    bytes += kStepBytes + 4 * kLengthBytes + step.required_label.size() +
             step.data_rack.size() + step.image.size() +
             sizeof(std::uint32_t) * step.after.size();
    tasks += step.count;
  }
  if (bytes > kMaxStoredSpecBytes) {
    return Invalid(fmt::format("the job takes {} bytes, at most {} are allowed",
                               bytes, kMaxStoredSpecBytes));
  }
  if (tasks > kMaxTasksOfOccurrence) {
    return Invalid(
        fmt::format("the steps have {} tasks, at most {} are allowed", tasks,
                    kMaxTasksOfOccurrence));
  }
  return {};
}

}  // namespace cassiastile::jobs
