#pragma once

#include <chrono>
#include <deque>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "cassiastile/base/clock.hpp"

namespace cassiastile::jobs {

// An amount of work: resources multiplied by time.
struct Work {
  double cpu = 0;     // Core-milliseconds.
  double memory = 0;  // Megabyte-milliseconds.

  Work& operator+=(const Work& other);
  Work& operator-=(const Work& other);
};

// Records when each job was first submitted: its objective counts from then,
// and callers that were refused or got no answer submit it again. Entries
// expire after 30 s, and the oldest are dropped beyond about 20,000.
class FirstArrivals {
 public:
  // Returns when the job was first submitted, which is `now` for a new job.
  base::TimePoint RecordArrival(const std::string& job, base::TimePoint now);

 private:
  std::unordered_map<std::string, base::TimePoint> m_arrival_of_job;
  std::deque<std::pair<base::TimePoint, std::string>> m_oldest_first;
};

// Measures the rate at which work is submitted, including refused jobs. A job
// that is submitted again within a few seconds counts once.
class ArrivalMeter {
 public:
  void Add(const std::string& job, const Work& work, base::TimePoint now);
  // Mean work submitted per millisecond over the last half second: the cores
  // and megabytes that would be in use if all of it ran as it arrived.
  Work Rate(base::TimePoint now);
  // Mean number of distinct jobs per second over the last 3 s.
  double JobsPerSecond(base::TimePoint now);

 private:
  struct Arrival {
    std::string job;
    Work work;
    base::TimePoint at{};
  };
  void RemoveExpired(base::TimePoint now);

  std::deque<Arrival> m_arrivals;
  std::unordered_set<std::string> m_jobs;  // Ids of the jobs in m_arrivals.
};

}  // namespace cassiastile::jobs
