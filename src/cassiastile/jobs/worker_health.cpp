#include "cassiastile/jobs/worker_health.hpp"

#include <algorithm>

namespace cassiastile::jobs {

namespace {

// First quarantine; doubled with each that follows without a success.
constexpr std::chrono::milliseconds kFirstQuarantine{1000};
constexpr std::uint32_t kMaxDoublings = 2;
// A worker that is busy for a moment is asked again soon.
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
    m_until = std::max(m_until, now + kFirstQuarantine * factor);
    ++m_quarantines;
  }
}

void WorkerHealth::Refused(base::TimePoint now) {
  m_until = std::max(m_until, now + kRefusalPause);
}

bool WorkerHealth::IsQuarantined(base::TimePoint now) const {
  return now < m_until;
}

}  // namespace cassiastile::jobs
