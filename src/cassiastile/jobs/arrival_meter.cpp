#include "cassiastile/jobs/arrival_meter.hpp"

#include <algorithm>

namespace cassiastile::jobs {

namespace {

// Long enough for about ten jobs of a busy queue, short enough to see its load
// rise well before a machine could be moved.
constexpr std::chrono::milliseconds kRateWindow{500};
// Callers that were refused submit the job again within some seconds.
constexpr std::chrono::milliseconds kRetryWindow{3000};
// Longer than any caller was seen to keep retrying.
constexpr std::chrono::milliseconds kMaxAge{30000};
// A few megabytes; a few hundred arrivals per second are usual.
constexpr std::size_t kMaxEntries = 20000;

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

base::TimePoint FirstArrivals::Note(const std::string& job,
                                    base::TimePoint now) {
  while (!m_order.empty() && (now - m_order.front().first > kMaxAge ||
                              m_order.size() > kMaxEntries)) {
    m_first.erase(m_order.front().second);
    m_order.pop_front();
  }
  const auto [found, is_new] = m_first.emplace(job, now);
  if (is_new) {
    m_order.emplace_back(now, job);
  }
  return found->second;
}

void ArrivalMeter::Add(const std::string& job,
                       const Work& work,
                       base::TimePoint now) {
  Forget(now);
  if (m_jobs.insert(job).second) {
    m_arrivals.push_back({job, work, now});
  }
}

Work ArrivalMeter::Rate(base::TimePoint now) {
  Forget(now);
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
  Forget(now);
  return static_cast<double>(m_arrivals.size()) /
         std::chrono::duration<double>(kRetryWindow).count();
}

void ArrivalMeter::Forget(base::TimePoint now) {
  while (!m_arrivals.empty() && now - m_arrivals.front().at > kRetryWindow) {
    m_jobs.erase(m_arrivals.front().job);
    m_arrivals.pop_front();
  }
}

}  // namespace cassiastile::jobs
