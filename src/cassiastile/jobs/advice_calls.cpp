#include "cassiastile/jobs/advice_calls.hpp"

#include <algorithm>
#include <cmath>

namespace cassiastile::jobs {

namespace {

// An outcome is told shortly after the time allowed for the answer.
constexpr std::chrono::milliseconds kOverdueMargin{1000};
// Weight of a new call in averages.
constexpr double kGain = 0.1;
// What was said of a worker counts as so many calls at most, since policies of
// steps differ and change.
constexpr double kMaxCount = 20;
// Workers that are known by name; more belong to former fleets.
constexpr std::size_t kMaxWorkers = 8192;
constexpr double kMinSuccess = 0.1;

}  // namespace

AdviceCalls::AdviceCalls(AdviceCallOptions options) : m_options(options) {}

bool AdviceCalls::MayCall(base::TimePoint now) const {
  const std::size_t most = m_pause.count() > 0 ? 1 : m_options.max_calls;
  return now >= m_paused_until && m_calls.size() < most;
}

bool AdviceCalls::IsUnderWay(const std::string& step) const {
  return m_calls.contains(step);
}

std::chrono::milliseconds AdviceCalls::Begin(const std::string& step,
                                             std::chrono::milliseconds expected,
                                             base::TimePoint now) {
  std::chrono::milliseconds ahead = expected;
  for (const auto& [other, call] : m_calls) {
    ahead += call.expected;
  }
  const auto allowed = m_options.slow_factor * ahead + m_options.answer_margin;
  m_calls[step] = {expected, now + allowed + kOverdueMargin};
  return allowed;
}

void AdviceCalls::Answered(const std::string& step) {
  if (m_calls.erase(step) > 0) {
    m_pause = {};
  }
}

std::chrono::milliseconds AdviceCalls::Failed(const std::string& step,
                                              base::TimePoint now) {
  if (m_calls.erase(step) == 0) {
    return {};
  }
  m_pause = std::clamp(2 * m_pause, m_options.min_pause, m_options.max_pause);
  m_paused_until = now + m_pause;
  return m_pause;
}

std::vector<std::string> AdviceCalls::FindOverdue(base::TimePoint now) const {
  std::vector<std::string> overdue;
  for (const auto& [step, call] : m_calls) {
    if (now > call.due) {
      overdue.push_back(step);
    }
  }
  return overdue;
}

void AdviceHistory::Add(const std::vector<std::string>& named,
                        const std::vector<std::string>& allowed,
                        std::chrono::milliseconds cost) {
  if (m_by_worker.size() + named.size() > kMaxWorkers) {
    m_by_worker.clear();
  }
  const auto add = [](Count& count, double is_allowed) {
    count.named += 1;
    count.allowed += is_allowed;
  };
  const auto limit = [](Count& count, double most) {
    if (count.named > most) {
      count.allowed *= most / count.named;
      count.named = most;
    }
  };
  constexpr double kMaxCountOfAll = 1000;
  for (const std::string& worker : named) {
    const bool is_allowed = std::ranges::find(allowed, worker) != allowed.end();
    add(m_by_worker[worker], is_allowed ? 1 : 0);
    limit(m_by_worker[worker], kMaxCount);
    add(m_all, is_allowed ? 1 : 0);
  }
  limit(m_all, kMaxCountOfAll);
  const auto cost_ms = static_cast<double>(cost.count());
  const double gain = m_calls == 0 ? 1.0 : kGain;
  m_cost_ms += gain * (cost_ms - m_cost_ms);
  m_success += kGain * ((allowed.empty() ? 0.0 : 1.0) - m_success);
  ++m_calls;
}

double AdviceHistory::ChanceOf(const std::string& worker) const {
  // As if one more worker had been asked about that is allowed or not alike.
  const double chance = (m_all.allowed + 0.5) / (m_all.named + 1.0);
  const auto found = m_by_worker.find(worker);
  if (found == m_by_worker.end()) {
    return chance;
  }
  return (found->second.allowed + chance) / (found->second.named + 1.0);
}

std::chrono::milliseconds AdviceHistory::CostOfStep(
    std::chrono::milliseconds first) const {
  if (m_calls == 0) {
    return first;
  }
  return std::chrono::milliseconds(
      std::llround(m_cost_ms / std::max(kMinSuccess, m_success)));
}

}  // namespace cassiastile::jobs
