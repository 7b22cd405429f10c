#include "cassiastile/jobs/arrival_meter.hpp"

#include <algorithm>

namespace cassiastile::jobs {

namespace {

// Long enough for about ten jobs of a busy queue, short enough to see a queue's
// turn begin well before a machine could have come.
constexpr std::chrono::milliseconds kWindow{500};
// Callers that were refused come back within some seconds.
constexpr std::chrono::milliseconds kSameJob{3000};

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

void ArrivalMeter::Add(const std::string& job,
                       const Work& work,
                       base::TimePoint now) {
  Forget(now);
  if (std::ranges::find(m_arrivals, job, &Arrival::job) == m_arrivals.end()) {
    m_arrivals.push_back({job, work, now});
  }
}

Work ArrivalMeter::Rate(base::TimePoint now) {
  Forget(now);
  Work sum;
  for (const Arrival& arrival : m_arrivals) {
    if (now - arrival.at < kWindow) {
      sum += arrival.work;
    }
  }
  const auto window = static_cast<double>(kWindow.count());
  return {sum.cpu / window, sum.memory / window};
}

double ArrivalMeter::JobsPerSecond(base::TimePoint now) {
  Forget(now);
  return static_cast<double>(m_arrivals.size()) /
         std::chrono::duration<double>(kSameJob).count();
}

void ArrivalMeter::Forget(base::TimePoint now) {
  while (!m_arrivals.empty() && now - m_arrivals.front().at > kSameJob) {
    m_arrivals.pop_front();
  }
}

}  // namespace cassiastile::jobs
