#pragma once

#include <cstdint>

#include "cassiastile/base/clock.hpp"

namespace cassiastile::jobs {

// Decides whether a worker gets new tasks, from how its runs ended. Without it,
// a worker that fails everything it starts would be idle most of the time and
// attract ever more tasks.
class WorkerHealth {
 public:
  void RunSucceeded();
  void RunFailed(base::TimePoint now);
  // Call it when the worker refused an order though it seemed to have room, or
  // gave no answer.
  void Refused(base::TimePoint now);

  // While quarantined, a worker gets no new tasks.
  bool IsQuarantined(base::TimePoint now) const;
  // On probation, after three failed runs in a row, a worker gets at most one
  // task at a time. Long-running tasks that work count no longer: they have no
  // end that could show whether the worker is healthy.
  bool IsOnProbation() const { return m_failures_in_row >= kProbationFailures; }

 private:
  // Two failures in a row happen by chance when tasks fail through their own
  // fault; three in a row on one worker rarely do.
  static constexpr std::uint32_t kProbationFailures = 3;

  std::uint32_t m_failures_in_row = 0;
  std::uint32_t m_quarantines = 0;
  base::TimePoint m_quarantined_until{};
};

}  // namespace cassiastile::jobs
