#include "cassiastile/jobs/arrival_meter.hpp"

#include <algorithm>

namespace cassiastile::jobs {

namespace {

// The rate of arriving work is averaged over this time: long enough for about
// ten jobs of a busy queue, short enough to see its load rise well before a
// machine could be moved.
constexpr std::chrono::milliseconds kRateWindow{500};
// A job that is submitted again within this time counts once, since callers
// that were refused retry within some seconds. JobsPerSecond averages over it.
constexpr std::chrono::milliseconds kRetryWindow{3000};
// Longer than any caller was seen to keep retrying.
constexpr std::chrono::milliseconds kMaxFirstArrivalAge{30000};
// Takes a few megabytes; a few hundred arrivals per second are usual.
constexpr std::size_t kMaxFirstArrivals = 20000;

}  // namespace

Work& Work::operator+=(const Work& other) {
  cpu += other.cpu;
  memory += other.memory;
  return *this;
}

Work& Work::operator-=(const Work& other) {
  cpu -= other.cpu;
  memory -= other.memory;
  return *this;
}

base::TimePoint FirstArrivals::RecordArrival(const std::string& job,
                                             base::TimePoint now) {
  while (!m_oldest_first.empty() &&
         (now - m_oldest_first.front().first > kMaxFirstArrivalAge ||
          m_oldest_first.size() > kMaxFirstArrivals)) {
    m_arrival_of_job.erase(m_oldest_first.front().second);
    m_oldest_first.pop_front();
  }
  const auto [found, is_new] = m_arrival_of_job.emplace(job, now);
  if (is_new) {
    m_oldest_first.emplace_back(now, job);
  }
  return found->second;
}

void ArrivalMeter::Add(const std::string& job,
                       const Work& work,
                       base::TimePoint now) {
  RemoveExpired(now);
  if (m_jobs.insert(job).second) {
    m_arrivals.push_back({job, work, now});
  }
}

Work ArrivalMeter::Rate(base::TimePoint now) {
  RemoveExpired(now);
  Work sum;
  for (const Arrival& arrival : m_arrivals) {
    if (now - arrival.at < kRateWindow) {
      sum += arrival.work;
    }
  }
  const auto window = static_cast<double>(kRateWindow.count());
  return {sum.cpu / window, sum.memory / window};
}

double ArrivalMeter::JobsPerSecond(base::TimePoint now) {
  RemoveExpired(now);
  return static_cast<double>(m_arrivals.size()) /
         std::chrono::duration<double>(kRetryWindow).count();
}

void ArrivalMeter::RemoveExpired(base::TimePoint now) {
  while (!m_arrivals.empty() && now - m_arrivals.front().at > kRetryWindow) {
    m_jobs.erase(m_arrivals.front().job);
    m_arrivals.pop_front();
  }
}

}  // namespace cassiastile::jobs
