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

}  // namespace

AdmissionVerdict Admit(const AdmissionInput& input) {
  if (input.fits_now || input.pool.cpu <= 0 || input.pool.memory <= 0) {
    // A pool without capacity may be getting machines; the job waits for them.
    return {};
  }
  // The scarcer resource decides.
  constexpr double kMillicoresPerCore = 1000.0;
  const double wait_ms =
      std::max(input.backlog.cpu * kMillicoresPerCore /
                   static_cast<double>(input.pool.cpu),
               input.backlog.memory / static_cast<double>(input.pool.memory));
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
