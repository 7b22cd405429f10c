#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "cassiastile/base/clock.hpp"

namespace cassiastile::jobs {

// Judges whether a worker is slower than others, by how long its tasks take as
// a multiple of what is usual for their queue. Uses the median, since single
// tasks may take many times as long on any worker.
class WorkerSpeed {
 public:
  // A task has ended that took `multiple` times as long as usual.
  void TaskEnded(double multiple, base::TimePoint now);
  // Judges again; `running` holds what the tasks that run will take. Returns
  // whether the worker has become slow or has recovered.
  bool Update(const std::vector<double>& running, base::TimePoint now);
  bool IsSlow() const { return m_slow; }
  // The median at the last judgement, or 1 without enough tasks.
  double Median() const { return m_median; }

 private:
  std::deque<std::pair<base::TimePoint, double>> m_ended;
  double m_median = 1.0;
  bool m_slow = false;
};

// What a running task will take as a multiple of the usual time, by its
// progress in percent that was last seen to change after `progressed`, or by
// the time taken so far; nothing if it is too early to tell.
std::optional<double> ExpectMultiple(base::Duration usual,
                                     base::Duration taken,
                                     base::Duration progressed,
                                     int percent);

}  // namespace cassiastile::jobs
