#pragma once

#include <chrono>
#include <deque>
#include <string>

#include "cassiastile/base/clock.hpp"

namespace cassiastile::jobs {

// Work in resource-milliseconds.
struct Work {
  double cpu = 0;     // Core-milliseconds.
  double memory = 0;  // Megabyte-milliseconds.

  Work& operator+=(const Work& other);
  Work& operator-=(const Work& other);
};

// How much work callers hand in per time, refused jobs included. A job that is
// handed in again soon after counts once.
class ArrivalMeter {
 public:
  void Add(const std::string& job, const Work& work, base::TimePoint now);
  // Work per millisecond over the last moments: cores and megabytes in use if
  // all of it ran at once.
  Work Rate(base::TimePoint now);
  // Jobs over the last seconds.
  double JobsPerSecond(base::TimePoint now);

 private:
  struct Arrival {
    std::string job;
    Work work;
    base::TimePoint at{};
  };
  void Forget(base::TimePoint now);

  std::deque<Arrival> m_arrivals;
};

}  // namespace cassiastile::jobs
