#include "cassiastile/work/worker_health.hpp"

#include <algorithm>

#include <fmt/core.h>

namespace cassiastile::work {

namespace {

// With two, at least one differs from the worker whose failure is judged.
constexpr std::size_t kWorkersPerKind = 2;
// Bounds the memory: each further kind replaces another one.
constexpr std::size_t kMaxKinds = 4096;

}  // namespace

WorkerHealthTracker::WorkerHealthTracker(WorkerHealthOptions options)
    : m_options(options) {}

bool WorkerHealthTracker::RecordEnd(const std::string& worker,
                                    const std::string& kind,
                                    bool succeeded,
                                    base::TimePoint now) {
  if (succeeded) {
    RecordSuccess(worker, kind, now);
    return false;
  }
  Health& health = m_workers[worker];
  ++health.failures;
  health.kinds.insert(kind);
  if (SucceedsElsewhere(kind, worker, now)) {
    ++health.failures_with_evidence;
  }
  const bool proven =
      health.failures_with_evidence >= m_options.failures_with_evidence;
  const bool suspect = health.failures >= m_options.failures_without_evidence &&
                       health.kinds.size() >= m_options.kinds_without_evidence;
  if (!health.was_quarantined && !proven && !suspect) {
    return false;
  }
  health.evidence = fmt::format(
      "{} runs of {} kinds failed in a row, {} of them of kinds that succeeded "
      "on other workers",
      health.failures, health.kinds.size(), health.failures_with_evidence);
  Quarantine(health, now);
  return true;
}

WorkerHealthState WorkerHealthTracker::HealthOf(const std::string& worker,
                                                base::TimePoint now) const {
  const auto found = m_workers.find(worker);
  if (found == m_workers.end() || !found->second.was_quarantined) {
    return WorkerHealthState::kHealthy;
  }
  return now < found->second.quarantined_until ? WorkerHealthState::kQuarantined
                                               : WorkerHealthState::kProbing;
}

std::string WorkerHealthTracker::Evidence(const std::string& worker) const {
  const auto found = m_workers.find(worker);
  return found == m_workers.end() ? "" : found->second.evidence;
}

bool WorkerHealthTracker::SucceedsElsewhere(const std::string& kind,
                                            const std::string& worker,
                                            base::TimePoint now) const {
  const auto found = m_successes.find(kind);
  if (found == m_successes.end()) {
    return false;
  }
  return std::any_of(found->second.begin(), found->second.end(),
                     [&](const Success& success) {
                       return success.worker != worker &&
                              now - success.at <= m_options.evidence_age;
                     });
}

void WorkerHealthTracker::RecordSuccess(const std::string& worker,
                                        const std::string& kind,
                                        base::TimePoint now) {
  m_workers.erase(worker);
  if (m_successes.size() >= kMaxKinds && !m_successes.contains(kind)) {
    m_successes.erase(m_successes.begin());
  }
  auto& successes = m_successes[kind];
  std::erase_if(successes, [&](const Success& success) {
    return success.worker == worker;
  });
  if (successes.size() >= kWorkersPerKind) {
    successes.erase(successes.begin());
  }
  successes.push_back({worker, now});
}

void WorkerHealthTracker::Quarantine(Health& health,
                                     base::TimePoint now) const {
  health.quarantine_length =
      health.was_quarantined
          ? std::min(health.quarantine_length * 2, m_options.longest_quarantine)
          : m_options.first_quarantine;
  health.was_quarantined = true;
  health.quarantined_until = now + health.quarantine_length;
}

}  // namespace cassiastile::work
