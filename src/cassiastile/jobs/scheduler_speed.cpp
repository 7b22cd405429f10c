// Workers that are slower than others.
#include <algorithm>

#include "cassiastile/jobs/scheduler.hpp"

namespace cassiastile::jobs {

namespace {

// A worker is judged by at least 7 tasks, which take about a second each, so
// more often tells little more.
constexpr std::chrono::milliseconds kMeasureInterval{200};
// If more of a pool's workers are slow, the work has changed, and those that
// are left could not do all of it.
constexpr std::size_t kMaxAvoidedPart = 4;

}  // namespace

std::optional<double> Scheduler::MultipleOf(const TaskRef& ref,
                                            const Run& run,
                                            const WorkerState& worker,
                                            base::TimePoint now) const {
  const StepSpec& spec = SpecOf(ref);
  const bool is_far =
      !spec.data_rack.empty() && spec.data_rack != worker.entry.rack;
  // A recovered run was not seen to begin.
  const bool is_measured =
      run.phase == RunPhase::kRunning && run.placed_at != base::TimePoint{} &&
      run.checkpoint.empty() && run.confirmed_at >= worker.cold_until;
  if (!m_options.avoid_slow_workers || !is_measured || is_far || spec.gang ||
      spec.long_running || spec.is_filler ||
      !m_durations.HasSamples(ref.job->queue)) {
    return std::nullopt;
  }
  const base::Duration usual =
      m_durations.Expect(ref.job->queue, spec.estimate);
  return ExpectMultiple(usual, now - run.confirmed_at,
                        run.progressed_at - run.confirmed_at, run.percent);
}

void Scheduler::MeasureSpeeds(base::TimePoint now) {
  if (!m_options.avoid_slow_workers ||
      now - m_speeds_measured_at < kMeasureInterval) {
    return;
  }
  m_speeds_measured_at = now;
  struct Count {
    std::size_t workers = 0;
    std::size_t slow = 0;
  };
  std::map<std::string, Count> counts;  // By service.
  std::vector<double> running;
  for (auto& [id, worker] : m_workers) {
    running.clear();
    for (const auto& [ref, number] : worker.runs) {
      const Run* run = FindRun(ref, number);
      const auto multiple =
          run == nullptr ? std::nullopt : MultipleOf(ref, *run, worker, now);
      if (multiple) {
        running.push_back(*multiple);
      }
    }
    if (worker.speed.Update(running, now)) {
      m_orders.speed_changes.push_back(
          {worker.entry.id, worker.speed.IsSlow(), worker.speed.Median()});
    }
    Count& count = counts[worker.entry.service];
    if (IsUsable(worker, now)) {
      ++count.workers;
      count.slow += worker.speed.IsSlow() ? 1 : 0;
    }
  }
  m_pools_avoiding_slow.clear();
  for (const auto& [service, count] : counts) {
    if (count.slow > 0 && count.slow * kMaxAvoidedPart <= count.workers) {
      m_pools_avoiding_slow.insert(service);
    }
  }
}

bool Scheduler::WouldBeLateOn(const WorkerState& worker,
                              const TaskRef& ref,
                              base::TimePoint now) const {
  const Job& job = *ref.job;
  if (ref.step >= job.critical_paths.size()) {
    return false;
  }
  const auto usual = m_durations.Expect(job.queue, SpecOf(ref).estimate);
  const auto ends_elsewhere = now + job.critical_paths[ref.step];
  const auto longer = std::chrono::duration_cast<base::Duration>(
      (worker.speed.Median() - 1.0) * usual);
  return ends_elsewhere <= job.objective &&
         ends_elsewhere + longer > job.objective;
}

}  // namespace cassiastile::jobs
