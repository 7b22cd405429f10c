#pragma once

#include <chrono>
#include <deque>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "cassiastile/base/clock.hpp"

namespace cassiastile::jobs {

// Work in resource-milliseconds.
struct Work {
  double cpu = 0;     // Core-milliseconds.
  double memory = 0;  // Megabyte-milliseconds.

  Work& operator+=(const Work& other);
  Work& operator-=(const Work& other);
};

// When each job was first handed in. Callers that were turned away, or heard no
// answer, come back with the same job, and its objective counts from the first
// time. Old entries are forgotten, and the oldest when there are too many.
class FirstArrivals {
 public:
  base::TimePoint Note(const std::string& job, base::TimePoint now);

 private:
  std::unordered_map<std::string, base::TimePoint> m_first;
  std::deque<std::pair<base::TimePoint, std::string>> m_order;
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
  std::unordered_set<std::string> m_jobs;  // Of the arrivals.
};

}  // namespace cassiastile::jobs
