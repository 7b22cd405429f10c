#include "cassiastile/jobs/worker_speed.hpp"

#include <algorithm>

namespace cassiastile::jobs {

namespace {

// With fewer tasks, chance makes the median of some workers high: one task in
// ten takes twice as long as usual.
constexpr std::size_t kMinTasks = 7;
constexpr std::size_t kMaxEnded = 9;
constexpr std::chrono::milliseconds kMaxAge{5000};
constexpr double kSlowMultiple = 2.0;
// Hysteresis keeps a worker near the limit from changing with every task.
constexpr double kRecoveredMultiple = 1.4;
// Earlier percentages are too coarse to tell a duration.
constexpr int kTellingPercent = 10;

}  // namespace

void WorkerSpeed::TaskEnded(double multiple, base::TimePoint now) {
  m_ended.emplace_back(now, multiple);
  if (m_ended.size() > kMaxEnded) {
    m_ended.pop_front();
  }
}

bool WorkerSpeed::Update(const std::vector<double>& running,
                         base::TimePoint now) {
  while (!m_ended.empty() && now - m_ended.front().first > kMaxAge) {
    m_ended.pop_front();
  }
  std::vector<double> multiples = running;
  for (const auto& [at, multiple] : m_ended) {
    multiples.push_back(multiple);
  }
  const bool was_slow = m_slow;
  m_median = 1.0;
  if (multiples.size() >= kMinTasks) {
    const auto middle =
        multiples.begin() + static_cast<std::ptrdiff_t>(multiples.size() / 2);
    std::ranges::nth_element(multiples, middle);
    m_median = *middle;
    m_slow = m_median > (m_slow ? kRecoveredMultiple : kSlowMultiple);
  } else if (multiples.empty()) {
    m_slow = false;
  }
  return m_slow != was_slow;
}

std::optional<double> ExpectMultiple(base::Duration usual,
                                     base::Duration taken,
                                     base::Duration progressed,
                                     int percent) {
  using Seconds = std::chrono::duration<double>;
  if (usual <= base::Duration::zero()) {
    return std::nullopt;
  }
  const double so_far = Seconds(taken) / Seconds(usual);
  if (percent >= kTellingPercent && percent < 100) {
    constexpr double kWhole = 100.0;
    return std::max(so_far,
                    Seconds(progressed) / Seconds(usual) * kWhole / percent);
  }
  if (so_far > kSlowMultiple) {
    return so_far;
  }
  return std::nullopt;
}

}  // namespace cassiastile::jobs
