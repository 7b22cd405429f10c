// Tasks that may crash the workers that start them.
#include <algorithm>

#include "cassiastile/jobs/scheduler.hpp"

namespace cassiastile::jobs {

namespace {

// A run that is listed this long after its start is proven.
constexpr std::chrono::milliseconds kProvenAfter{200};
// A suspected run that works for this long is no longer kept apart, and a
// long-running task that does is cleared.
constexpr std::chrono::milliseconds kClearedAfter{5000};
// A job is given up only if this many workers have certainly crashed under one
// of its tasks.
constexpr std::size_t kMinCertainCrashes = 3;
// After this many crashes, certain or not, a task is started kLastStarts times
// at most.
constexpr std::size_t kMaxCrashes = 3;
constexpr std::uint32_t kLastStarts = 2;
// With so many, fewer certain ones are enough for that.
constexpr std::size_t kLikelyCrashes = 4;
constexpr std::size_t kMinCertainOfLikely = 2;
// A task that has waited for this long may run next to others.
constexpr std::chrono::milliseconds kMaxIsolationWait{1500};

// Whether the run is suspected and may yet crash its worker.
bool IsOnTrial(const Run& run) {
  const bool may_run = run.phase == RunPhase::kPlanned ||
                       run.phase == RunPhase::kStarting ||
                       run.phase == RunPhase::kRunning;
  return run.suspicion != Suspicion::kNone && !run.proven && may_run;
}

std::size_t CountCertain(const Task& task) {
  return static_cast<std::size_t>(
      std::ranges::count_if(task.crashes, &Crash::certain));
}

}  // namespace

Suspicion SuspicionOf(const Task& task) {
  const std::size_t crashes = task.crashes.size();
  if (crashes == 0) {
    return Suspicion::kNone;
  }
  const auto at_start = static_cast<std::size_t>(std::ranges::count_if(
      task.crashes, [](const Crash& crash) { return !crash.proven; }));
  if (crashes >= kMaxCrashes || at_start > 1) {
    return Suspicion::kIsolated;
  }
  return crashes > 1 || at_start > 0 ? Suspicion::kSuspected : Suspicion::kNone;
}

bool Scheduler::RecordCrash(const TaskRef& ref,
                            const Run& run,
                            DropReason reason) {
  const bool ended_unasked = reason == DropReason::kIncarnationOver ||
                             reason == DropReason::kWorkerGone ||
                             reason == DropReason::kLeaseOver;
  // A long-running task that works for long may see many workers end.
  const bool is_no_sign = SpecOf(ref).long_running && run.proven;
  if (!ended_unasked || is_no_sign || run.phase == RunPhase::kPlanned) {
    return false;
  }
  const WorkerState* worker = FindWorker(run.worker.id);
  if (worker != nullptr && IsEndPlanned(*worker, run)) {
    return false;
  }
  const bool out_of_reach = reason == DropReason::kLeaseOver;
  const bool started = run.listed || run.answered_at != base::TimePoint{};
  // A worker that ended before this leader knew of it may have left as planned
  // or by an order of a former leader, unless it came back under its id.
  const bool may_have_left = reason == DropReason::kWorkerGone &&
                             worker != nullptr && !worker->has_reported &&
                             worker->described_ms != run.worker.incarnation_ms;
  const Crash crash{.run = run.number,
                    .certain = started && !out_of_reach && !may_have_left,
                    .proven = run.proven || out_of_reach || may_have_left};
  Task& task = *FindTask(ref);
  const auto known = std::ranges::find(task.crashes, run.number, &Crash::run);
  if (known == task.crashes.end()) {
    task.crashes.push_back(crash);
  } else {
    known->certain = known->certain || crash.certain;
  }
  return crash.certain && run.alone && run.suspicion != Suspicion::kNone &&
         !run.proven && CountCertain(task) >= kMinCertainCrashes;
}

bool Scheduler::IsEndPlanned(const WorkerState& worker, const Run& run) const {
  return worker.entry.draining || worker.is_ending ||
         m_known_incarnations.IsDraining(run.worker.id,
                                         run.worker.incarnation_ms);
}

bool Scheduler::IsStartLimitReached(const Task& task) {
  const std::size_t certain = CountCertain(task);
  const bool likely =
      task.crashes.size() >= kLikelyCrashes && certain >= kMinCertainOfLikely;
  return task.crashes.size() >= kMaxCrashes &&
         (likely || certain >= kMinCertainCrashes) &&
         task.last_run >= task.crashes[kMaxCrashes - 1].run + kLastStarts;
}

bool Scheduler::GiveUp(const TaskRef& ref, base::TimePoint now) {
  // The stops of the job's other runs are not within its max_unavailable.
  const auto& tasks =
      FindOccurrence(*ref.job, ref.occurrence)->steps[ref.step].tasks;
  const bool serves = std::ranges::any_of(tasks, [this](const Task& task) {
    return std::ranges::any_of(
        task.runs, [this](const Run& run) { return IsServing(run); });
  });
  if (SpecOf(ref).long_running && serves) {
    return false;
  }
  m_orders.given_up.push_back({IdOf(ref), FindTask(ref)->crashes});
  Finish(*ref.job, JobPhase::kFailed, now);
  return true;
}

bool Scheduler::IsIsolationSought(const TaskRef& ref, base::TimePoint now) {
  Task& task = *FindTask(ref);
  if (SuspicionOf(task) != Suspicion::kIsolated) {
    return false;
  }
  if (task.isolation_sought == base::TimePoint{}) {
    task.isolation_sought = now;
  }
  return now - task.isolation_sought < kMaxIsolationWait;
}

void Scheduler::ProveRun(const TaskRef& ref, Run& run, base::TimePoint now) {
  if (run.phase != RunPhase::kRunning ||
      run.confirmed_at == base::TimePoint{}) {
    return;
  }
  run.proven = run.proven || now - run.confirmed_at >= kProvenAfter;
  if (now - run.confirmed_at < kClearedAfter) {
    return;
  }
  Task& task = *FindTask(ref);
  if (run.suspicion != Suspicion::kNone) {
    run.suspicion = Suspicion::kNone;
    --m_suspected_runs;
  }
  if (SpecOf(ref).long_running && !task.crashes.empty()) {
    task.crashes.clear();
    MarkDirty(ref, false);
  }
}

void Scheduler::RequestProof(WorkerState& worker, base::TimePoint now) {
  if (m_suspected_runs == 0) {
    return;
  }
  for (const auto& [ref, number] : worker.runs) {
    const Run* run = FindRun(ref, number);
    worker.wants_report =
        worker.wants_report ||
        (run != nullptr && run->suspicion == Suspicion::kSuspected &&
         !run->proven && run->phase == RunPhase::kRunning &&
         now - run->confirmed_at >= kProvenAfter);
  }
}

bool Scheduler::IsKeptApart(const WorkerState& worker,
                            const TaskRef& ref) const {
  const bool isolated = FindTask(ref)->must_be_isolated;
  if (m_suspected_runs == 0 && !isolated) {
    return false;
  }
  return std::ranges::any_of(worker.runs, [&](const auto& entry) {
    const auto& [other, number] = entry;
    if (other.job == ref.job) {
      // It would be given up as a whole.
      return false;
    }
    const Task& task = *FindTask(other);
    const auto run = std::ranges::find(task.runs, number, &Run::number);
    if (run == task.runs.end()) {
      return false;
    }
    return run->suspicion == Suspicion::kIsolated || IsOnTrial(*run) ||
           (isolated && !SpecOf(other).long_running);
  });
}

bool Scheduler::HasTrial(const WorkerState& worker) {
  return std::ranges::any_of(worker.runs, [](const auto& entry) {
    const auto& [ref, number] = entry;
    const Task& task = *FindTask(ref);
    const auto run = std::ranges::find(task.runs, number, &Run::number);
    return run != task.runs.end() &&
           (run->suspicion == Suspicion::kIsolated || IsOnTrial(*run));
  });
}

bool Scheduler::HasUnprovenRun(const WorkerState& worker, const Job& other) {
  return std::ranges::any_of(worker.runs, [&other](const auto& entry) {
    const auto& [ref, number] = entry;
    const Task& task = *FindTask(ref);
    const auto run = std::ranges::find(task.runs, number, &Run::number);
    return ref.job != &other && run != task.runs.end() && !run->proven;
  });
}

std::int64_t Scheduler::CrashCost(const WorkerState& worker, const Job& job) {
  constexpr std::int64_t kPerRun = 10000;
  constexpr std::int64_t kUnproven = 1000000;
  // Tasks of one job go together: one crash tells of all of them.
  const auto others = std::ranges::count_if(
      worker.runs,
      [&job](const auto& entry) { return entry.first.job != &job; });
  return kPerRun * others + (HasUnprovenRun(worker, job) ? kUnproven : 0);
}

bool Scheduler::ReserveWorker(const TaskRef& ref,
                              const std::vector<WorkerState*>& workers,
                              const Advice* advice) {
  WorkerState* best = nullptr;
  for (WorkerState* worker : workers) {
    if (worker->reserved != Resources{} || !IsSuitable(*worker, ref, advice) ||
        !Fits(worker->long_running_used + CapacityNeed(SpecOf(ref)),
              worker->entry.capacity)) {
      continue;
    }
    if (best == nullptr || worker->runs.size() < best->runs.size()) {
      best = worker;
    }
  }
  if (best != nullptr) {
    ReserveOn(*best, best->entry.capacity);
  }
  return best != nullptr;
}

}  // namespace cassiastile::jobs
