#include "cassiastile/jobs/worker_health.hpp"

#include <algorithm>

namespace cassiastile::jobs {

namespace {

// Length of the first quarantine; doubled for each that follows without a
// success in between.
constexpr std::chrono::milliseconds kFirstQuarantine{1000};
constexpr std::uint32_t kMaxDoublings = 2;
// A worker that refused an order is tried again soon, since it may be busy just
// for a moment.
constexpr std::chrono::milliseconds kRefusalPause{300};

}  // namespace

void WorkerHealth::RunSucceeded() {
  m_failures_in_row = 0;
  m_quarantines = 0;
}

void WorkerHealth::RunFailed(base::TimePoint now) {
  ++m_failures_in_row;
  if (m_failures_in_row >= kProbationFailures) {
    const auto factor = 1U << std::min(m_quarantines, kMaxDoublings);
    m_quarantined_until =
        std::max(m_quarantined_until, now + kFirstQuarantine * factor);
    ++m_quarantines;
  }
}

void WorkerHealth::Refused(base::TimePoint now) {
  m_quarantined_until = std::max(m_quarantined_until, now + kRefusalPause);
}

bool WorkerHealth::IsQuarantined(base::TimePoint now) const {
  return now < m_quarantined_until;
}

}  // namespace cassiastile::jobs
