// What waits in the scheduler, for logs.
#include <algorithm>

#include "cassiastile/jobs/scheduler.hpp"

namespace cassiastile::jobs {

namespace {

StallReason ReasonOf(RunPhase phase) {
  switch (phase) {
    case RunPhase::kPlanned:
      return StallReason::kNotCommitted;
    case RunPhase::kStarting:
      return StallReason::kStarting;
    case RunPhase::kStartUnknown:
      return StallReason::kStartUnknown;
    case RunPhase::kRecovered:
      return StallReason::kNotConfirmed;
    case RunPhase::kRunning:
    case RunPhase::kStopping:
      return StallReason::kStopping;
  }
  return StallReason::kStopping;
}

}  // namespace

std::vector<StalledTask> Scheduler::FindStalledTasks(base::Duration at_least,
                                                     base::TimePoint now) {
  std::vector<StalledTask> stalled;
  for (const auto& [id, job] : m_unfinished) {
    for (Occurrence& occurrence : job->occurrences) {
      for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
        if (!job->spec.steps[s].long_running || !job->accepted) {
          continue;
        }
        for (std::uint32_t i = 0; i < occurrence.steps[s].tasks.size(); ++i) {
          const TaskRef ref{job, occurrence.number, s, i};
          if (UpdateStall(ref, now) >= at_least) {
            stalled.push_back(DescribeStall(ref, now));
          }
        }
      }
    }
  }
  return stalled;
}

base::Duration Scheduler::UpdateStall(const TaskRef& ref, base::TimePoint now) {
  Task& task = *FindTask(ref);
  const bool confirmed = std::ranges::any_of(task.runs, [](const Run& run) {
    return run.phase == RunPhase::kRunning;
  });
  if (confirmed) {
    task.stalled_since = {};
    return {};
  }
  if (task.stalled_since == base::TimePoint{}) {
    task.stalled_since = now;
  }
  return now - task.stalled_since;
}

StalledTask Scheduler::DescribeStall(const TaskRef& ref,
                                     base::TimePoint now) const {
  const Task& task = *FindTask(ref);
  StalledTask stall{IdOf(ref), StallReason::kNotPlaced,
                    now - task.stalled_since, ""};
  if (!task.runs.empty()) {
    stall.reason = ReasonOf(task.runs.front().phase);
    stall.worker = task.runs.front().worker.id;
  } else if (IsBound(ref)) {
    stall.reason = StallReason::kBound;
    stall.worker = task.withdrawn.front().worker.id;
  } else if (!IsWithinLimit(*ref.job, SpecOf(ref).need)) {
    stall.reason = StallReason::kOverLimit;
  }
  return stall;
}

Scheduler::RowBacklog Scheduler::GetRowBacklog(base::TimePoint now) const {
  RowBacklog backlog{m_urgent.size(), m_deferred.size(), m_planned.size(), {}};
  for (const auto& [ref, number] : m_planned) {
    const Task* task = FindTask(ref);
    const auto run = std::ranges::find(task->runs, number, &Run::number);
    if (run != task->runs.end()) {
      backlog.oldest_start =
          std::max(backlog.oldest_start, now - run->placed_at);
    }
  }
  return backlog;
}

}  // namespace cassiastile::jobs
