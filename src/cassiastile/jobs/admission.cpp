#include "cassiastile/jobs/admission.hpp"

#include <algorithm>
#include <cmath>

namespace cassiastile::jobs {

namespace {

// Estimates of single jobs are noisy, so a job is refused only when the
// expected wait clearly exceeds its slack.
constexpr double kTolerance = 1.15;
// Least slack of every job, so that a job that is already late, because its
// caller got no answer for a while, is still admitted where it hardly waits.
constexpr std::chrono::milliseconds kMinSlack{300};
constexpr std::chrono::milliseconds kMinRetryAfter{1000};
constexpr std::chrono::milliseconds kMaxRetryAfter{10000};

// Milliseconds until `work` is done by a pool that grows. `amount` chooses the
// resource, whose unit times milliseconds is that of `work`.
double WaitFor(double work,
               const AdmissionInput& input,
               std::int64_t Resources::*amount) {
  auto rate = std::max(0.0, static_cast<double>(input.pool.*amount));
  double at_ms = 0;
  for (const CapacityStep& step : input.growth) {
    const auto until_ms = static_cast<double>(step.after.count());
    const double done = rate * (until_ms - at_ms);
    if (work <= done) {
      break;
    }
    work -= done;
    at_ms = until_ms;
    rate += std::max(0.0, static_cast<double>(step.added.*amount));
  }
  return rate > 0 ? at_ms + work / rate : 0;
}

// Milliseconds until the backlog is done by this part of the pool. The scarcer
// resource decides.
double WaitBehind(const Work& backlog,
                  double part,
                  const AdmissionInput& input) {
  constexpr double kMillicoresPerCore = 1000.0;
  return std::max(
      WaitFor(backlog.cpu * kMillicoresPerCore / part, input, &Resources::cpu),
      WaitFor(backlog.memory / part, input, &Resources::memory));
}

bool HasCapacity(const Resources& value) {
  return value.cpu > 0 && value.memory > 0;
}

}  // namespace

AdmissionVerdict Admit(const AdmissionInput& input) {
  const bool will_have_capacity =
      HasCapacity(input.pool) ||
      std::ranges::any_of(input.growth, HasCapacity, &CapacityStep::added);
  const bool waits_for_room = !input.fits_now && will_have_capacity;
  if (!waits_for_room && input.advice_wait.count() == 0) {
    return {};
  }
  double wait_ms = 0;
  if (waits_for_room) {
    wait_ms = WaitBehind(input.backlog, 1.0, input);
    if (input.share) {
      wait_ms = std::min(
          wait_ms, WaitBehind(input.share->backlog, input.share->part, input));
    }
  }
  wait_ms = std::max(wait_ms, static_cast<double>(input.advice_wait.count()));
  AdmissionVerdict verdict;
  verdict.wait = std::chrono::milliseconds(std::llround(wait_ms));
  verdict.slack =
      std::max(kMinSlack, input.time_to_objective - input.critical_path);
  if (waits_for_room && input.beyond_share) {
    verdict.admitted = false;
    verdict.retry_after = kMinRetryAfter;
    return verdict;
  }
  const double excess_ms =
      wait_ms - kTolerance * static_cast<double>(verdict.slack.count());
  if (excess_ms > 0) {
    verdict.admitted = false;
    const std::chrono::milliseconds excess(std::llround(std::ceil(excess_ms)));
    verdict.retry_after = std::clamp(excess, kMinRetryAfter, kMaxRetryAfter);
  }
  return verdict;
}

}  // namespace cassiastile::jobs
