#include "cassiastile/jobs/admission.hpp"

#include <algorithm>
#include <cmath>

namespace cassiastile::jobs {

namespace {

// Estimates of single jobs are noisy, so a job is turned away only when the
// wait is clearly more than it can bear.
constexpr double kTolerance = 1.15;
// A job that is late already, since its caller heard no answer for a while, is
// still taken where it waits for no others.
constexpr std::chrono::milliseconds kLeastSlack{300};
constexpr std::chrono::milliseconds kMinRetryAfter{1000};
constexpr std::chrono::milliseconds kMaxRetryAfter{10000};

}  // namespace

AdmissionVerdict Admit(const AdmissionInput& input) {
  if (input.fits_now || input.pool.cpu <= 0 || input.pool.memory <= 0) {
    // Without cores, workers may be on their way; the job waits for them.
    return {};
  }
  // The scarcer resource decides.
  constexpr double kPerCore = 1000.0;
  const double wait_ms = std::max(
      input.backlog.cpu * kPerCore / static_cast<double>(input.pool.cpu),
      input.backlog.memory / static_cast<double>(input.pool.memory));
  AdmissionVerdict verdict;
  verdict.wait = std::chrono::milliseconds(std::llround(wait_ms));
  verdict.slack = std::max(kLeastSlack, input.objective - input.critical_path);
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
