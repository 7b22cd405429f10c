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

// Milliseconds until `work` is done, at the rate `now` first and `later` after
// a delay.
double WaitFor(double work, double now, double later, double delay_ms) {
  now = std::max(now, 0.0);
  later = std::max(now, later);
  if (work <= now * delay_ms || later <= 0) {
    return now > 0 ? work / now : 0;
  }
  return delay_ms + (work - now * delay_ms) / later;
}

}  // namespace

AdmissionVerdict Admit(const AdmissionInput& input) {
  const bool has_pool = input.pool.cpu > 0 && input.pool.memory > 0;
  const bool has_prospect =
      input.reachable.cpu > 0 && input.reachable.memory > 0;
  if (input.fits_now || (!has_pool && !has_prospect)) {
    return {};
  }
  // The scarcer resource decides.
  constexpr double kMillicoresPerCore = 1000.0;
  const auto delay_ms = static_cast<double>(input.reach_delay.count());
  const double wait_ms = std::max(
      WaitFor(input.backlog.cpu * kMillicoresPerCore,
              static_cast<double>(input.pool.cpu),
              static_cast<double>(input.reachable.cpu), delay_ms),
      WaitFor(input.backlog.memory, static_cast<double>(input.pool.memory),
              static_cast<double>(input.reachable.memory), delay_ms));
  AdmissionVerdict verdict;
  verdict.wait = std::chrono::milliseconds(std::llround(wait_ms));
  verdict.slack =
      std::max(kMinSlack, input.time_to_objective - input.critical_path);
  if (input.beyond_share) {
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
