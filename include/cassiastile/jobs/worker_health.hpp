#pragma once

#include <cstdint>

#include "cassiastile/base/clock.hpp"

namespace cassiastile::jobs {

// Whether a worker is worth new tasks, judged by how its runs ended. Answers
// the load where one worker fails all that it starts and, being idle, would
// draw ever more tasks.
class WorkerHealth {
 public:
  void RunSucceeded();
  void RunFailed(base::TimePoint now);
  // The worker refused an order though it seemed to have room.
  void Refused(base::TimePoint now);

  // At most one task at a time while it is on probation.
  bool IsQuarantined(base::TimePoint now) const;
  bool IsOnProbation() const { return m_failures_in_row >= kProbationFailures; }

 private:
  // Two failures in a row happen by chance among tasks that fail by their own
  // fault; three on one worker seldom do.
  static constexpr std::uint32_t kProbationFailures = 3;

  std::uint32_t m_failures_in_row = 0;
  std::uint32_t m_quarantines = 0;
  base::TimePoint m_until{};
};

}  // namespace cassiastile::jobs
