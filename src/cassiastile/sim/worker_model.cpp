#include "cassiastile/sim/worker_model.hpp"

#include <algorithm>
#include <utility>

namespace cassiastile::sim {

namespace {

using std::chrono::milliseconds;

// Time that a long-running task takes to start up before it serves.
constexpr milliseconds kStartupTime{300};
// From a stop's answer to the run's end; shorter than kStopTime.
constexpr milliseconds kStopDuration{150};
// A longer lease is shortened to this.
constexpr milliseconds kMaxLease{10000};
// Ends in one report, oldest first.
constexpr std::size_t kMaxEndsInReport = 500;

}  // namespace

WorkerModel::WorkerModel(jobs::WorkerEntry entry,
                         base::TimePoint started,
                         RunObserver& observer,
                         double clock_rate)
    : m_entry(std::move(entry)),
      m_started(started),
      m_observer(observer),
      m_clock_rate(clock_rate) {}

milliseconds WorkerModel::Clock(base::TimePoint now) const {
  return std::chrono::duration_cast<milliseconds>((now - m_started) *
                                                  m_clock_rate);
}

base::TimePoint WorkerModel::LeaseEnd() const {
  return m_started + std::chrono::duration_cast<base::Duration>(m_lease_until /
                                                                m_clock_rate);
}

jobs::StartResult WorkerModel::Start(const jobs::StartOrder& order,
                                     const jobs::StepSpec& step,
                                     std::uint64_t fence,
                                     milliseconds lease_until,
                                     base::TimePoint now) {
  if (fence < m_fence) {
    return jobs::StartResult::kFenced;
  }
  m_fence = fence;
  if (lease_until <= Clock(now)) {
    return jobs::StartResult::kTooLate;
  }
  HoldUntil(lease_until, now);
  if (const auto same = m_running.find(order.task); same != m_running.end()) {
    return same->second.number == order.run ? jobs::StartResult::kRunning
                                            : jobs::StartResult::kStaleRun;
  }
  if (const auto refused = m_refused_up_to.find(order.task);
      refused != m_refused_up_to.end() && order.run <= refused->second) {
    return jobs::StartResult::kStaleRun;
  }
  const jobs::Resources need = jobs::CapacityNeed(step);
  if (!jobs::Fits(m_used + need, m_entry.capacity)) {
    return jobs::StartResult::kNoRoom;
  }
  m_used += need;
  Run& run = m_running[order.task];
  run = {order.run, now, {}, {}, need};
  if (!step.long_running) {
    run.ends = now + step.estimate;
  }
  m_observer.RunStarted(m_entry.id, order);
  return jobs::StartResult::kRunning;
}

bool WorkerModel::Stop(const jobs::TaskId& task,
                       std::uint32_t run,
                       std::uint64_t fence,
                       base::TimePoint now) {
  if (fence < m_fence) {
    return false;
  }
  m_fence = fence;
  Advance(now);
  m_refused_up_to[task] = std::max(m_refused_up_to[task], run);
  const auto found = m_running.find(task);
  if (found != m_running.end() && found->second.number <= run &&
      found->second.stops == base::TimePoint{}) {
    found->second.stops = now + kStopDuration;
  }
  return true;
}

bool WorkerModel::ExtendLease(const host::LeaseExtension& extension,
                              base::TimePoint now) {
  if (extension.fence < m_fence) {
    return false;
  }
  m_fence = extension.fence;
  Advance(now);
  NoteExpiry(now);
  if (extension.until) {
    HoldUntil(*extension.until, now);
  }
  std::erase_if(m_ended, [this, &extension](const jobs::ListedEnd& end) {
    if (end.sequence > extension.acknowledged_end) {
      return false;
    }
    if (end.how == jobs::RunEnd::kDone) {
      m_observer.EndAcknowledged(end.task, end.run,
                                 end.sequence > m_expired_up_to);
    }
    return true;
  });
  return true;
}

jobs::WorkerReport WorkerModel::Report(base::TimePoint now) const {
  jobs::WorkerReport report;
  report.incarnation_ms = m_entry.id.incarnation_ms;
  report.clock = Clock(now);
  for (const auto& [task, run] : m_running) {
    jobs::ListedRun& listed = report.running.emplace_back();
    listed.task = task;
    listed.run = run.number;
    const auto age = now - run.began;
    if (run.ends == base::TimePoint{}) {
      listed.percent = age > kStartupTime ? 100 : 0;
    } else {
      listed.percent = static_cast<int>(100 * age / (run.ends - run.began));
    }
  }
  const std::size_t ends = std::min(m_ended.size(), kMaxEndsInReport);
  report.ended.assign(m_ended.begin(),
                      m_ended.begin() + static_cast<std::ptrdiff_t>(ends));
  report.ends_cut = ends == kMaxEndsInReport;
  return report;
}

base::TimePoint WorkerModel::EndOf(const Run& run) const {
  base::TimePoint at = LeaseEnd();
  for (const base::TimePoint end : {run.ends, run.stops}) {
    at = end == base::TimePoint{} ? at : std::min(at, end);
  }
  return at;
}

void WorkerModel::Advance(base::TimePoint now) {
  // Ends of runs and the end of the lease take effect in the order of their
  // times.
  std::vector<std::pair<base::TimePoint, jobs::TaskId>> due;
  for (const auto& [task, run] : m_running) {
    const base::TimePoint at = EndOf(run);
    if (at <= now) {
      due.emplace_back(at, task);
    }
  }
  std::ranges::sort(due);
  for (const auto& [at, task] : due) {
    const Run& run = m_running.at(task);
    Finish(task, run.ends == at    ? jobs::RunEnd::kDone
                 : run.stops == at ? jobs::RunEnd::kStopped
                                   : jobs::RunEnd::kLeaseExpired);
  }
}

std::optional<base::TimePoint> WorkerModel::NextEvent() const {
  std::optional<base::TimePoint> next;
  for (const auto& [task, run] : m_running) {
    const base::TimePoint at = EndOf(run);
    next = next ? std::min(*next, at) : at;
  }
  return next;
}

void WorkerModel::Crash() {
  for (const auto& [task, run] : std::exchange(m_running, {})) {
    m_observer.RunEnded(m_entry.id, task, run.number,
                        jobs::RunEnd::kLeaseExpired);
  }
}

void WorkerModel::NoteExpiry(base::TimePoint now) {
  if (Clock(now) > m_lease_until) {
    m_expired_up_to = m_sequence;
  }
}

void WorkerModel::HoldUntil(milliseconds until, base::TimePoint now) {
  NoteExpiry(now);
  m_lease_until =
      std::max(m_lease_until, std::min(until, Clock(now) + kMaxLease));
}

void WorkerModel::Finish(const jobs::TaskId& task, jobs::RunEnd how) {
  const auto found = m_running.find(task);
  const Run run = found->second;
  m_running.erase(found);
  m_used -= run.need;
  m_refused_up_to[task] = std::max(m_refused_up_to[task], run.number);
  m_ended.push_back({++m_sequence, task, run.number, how, ""});
  m_observer.RunEnded(m_entry.id, task, run.number, how);
}

}  // namespace cassiastile::sim
