// State changes of runs: reports of workers, answers to orders, expiry.
#include <algorithm>
#include <utility>

#include "cassiastile/jobs/scheduler.hpp"

namespace cassiastile::jobs {

namespace {

// A run whose start order is not answered for this long is stopped, even when
// the connection has not failed.
constexpr std::chrono::milliseconds kStartTimeout{3000};
// A healthy worker reports at least once a second. One that has not reported
// for this long was silent.
constexpr std::chrono::milliseconds kMaxReportGap{1500};

// Longer texts are not stored: the task resumes from the checkpoint before.
constexpr std::size_t kMaxCheckpointBytes = 4096;

// Keeps what a run has saved, unless a later run has saved something.
void KeepCheckpoint(Task& task,
                    std::uint32_t run,
                    const std::string& checkpoint) {
  if (checkpoint.empty() || checkpoint.size() > kMaxCheckpointBytes ||
      run < task.checkpoint_run) {
    return;
  }
  task.checkpoint = checkpoint;
  task.checkpoint_run = run;
}

}  // namespace

Run* Scheduler::FindRun(const TaskRef& ref, std::uint32_t number) {
  Task* task = FindTask(ref);
  if (task == nullptr) {
    return nullptr;
  }
  const auto found = std::ranges::find(task->runs, number, &Run::number);
  return found == task->runs.end() ? nullptr : &*found;
}

std::optional<TaskRef> Scheduler::FindTaskRef(const TaskId& id) {
  const auto found = m_jobs.find(id.job);
  if (found == m_jobs.end()) {
    return std::nullopt;
  }
  const TaskRef ref{found->second.get(), id.occurrence, id.step, id.index};
  if (FindTask(ref) == nullptr) {
    return std::nullopt;
  }
  return ref;
}

void Scheduler::BeginRun(const TaskRef& ref,
                         WorkerState& worker,
                         base::TimePoint now) {
  Task& task = *FindTask(ref);
  if (task.runs.empty() && worker.Binds(ref)) {
    worker.withheld -= CapacityNeed(SpecOf(ref));
  }
  Run& run = task.runs.emplace_back();
  run.number = ++task.last_run;
  run.worker = worker.entry.id;
  run.machine = worker.entry.machine;
  run.placed_at = now;
  run.ordered_at = now;
  run.start_ordered_at = now;
  run.progressed_at = now;
  run.checkpoint = task.checkpoint;
  run.suspicion = SuspicionOf(task);
  if (run.suspicion == Suspicion::kIsolated && !task.must_be_isolated) {
    run.suspicion = Suspicion::kSuspected;
  }
  run.alone =
      run.suspicion != Suspicion::kNone && !HasUnprovenRun(worker, *ref.job);
  task.isolation_sought = {};
  m_suspected_runs += run.suspicion != Suspicion::kNone ? 1 : 0;
  const StepSpec& spec = SpecOf(ref);
  worker.Use(spec);
  m_free.Update(worker);
  worker.runs.emplace_back(ref, run.number);
  m_used_by_customer[ref.job->customer] += spec.need;
  ++ref.job->live_runs;
  if (ref.job->phase == JobPhase::kQueued) {
    ref.job->phase = JobPhase::kRunning;
    MarkDirty(*ref.job, true);
  }
  m_planned.emplace_back(ref, run.number);
  ++m_work.placed;
  MarkDirty(ref, true);
  for (WithdrawnStart& start : task.withdrawn) {
    if (start.worker.id != run.worker.id) {
      start.has_left = true;
      m_orders.left.push_back({IdOf(ref), run.number, run.worker, start.worker,
                               start.run, start.ordered_at});
    }
  }
}

void Scheduler::DropRun(const TaskRef& ref,
                        std::uint32_t number,
                        DropReason reason,
                        base::TimePoint now) {
  Task* task = FindTask(ref);
  const Run* run = FindRun(ref, number);
  if (task == nullptr || run == nullptr) {
    return;
  }
  const StepSpec& spec = SpecOf(ref);
  const WorkerId where = run->worker;
  const bool was_serving = run->serving_since != base::TimePoint{};
  if (WorkerState* worker = FindWorker(where.id)) {
    const auto erased = std::erase(worker->runs, std::pair(ref, number));
    if (erased > 0) {
      worker->Release(spec);
    }
  }
  bool to_blame = false;
  if (reason != DropReason::kNone) {
    to_blame = RecordCrash(ref, *run, reason);
    task->dropped_run = number;
    task->drop_reason = reason;
    m_orders.dropped.push_back(DescribeDrop(ref, *run, reason));
  }
  m_used_by_customer[ref.job->customer] -= spec.need;
  --ref.job->live_runs;
  if (run->has_saved) {
    KeepCheckpoint(*task, number, run->checkpoint);
  }
  if (run->phase == RunPhase::kPlanned || run->phase == RunPhase::kStopping) {
    std::erase_if(m_planned, [&](const auto& planned) {
      return planned.first == ref && planned.second == number;
    });
  }
  if (reason == DropReason::kMissing && MayStartLater(ref, *run, now)) {
    Withdraw(ref, *run);
  }
  m_suspected_runs -= run->suspicion != Suspicion::kNone ? 1 : 0;
  std::erase_if(task->runs,
                [number](const Run& each) { return each.number == number; });
  if (IsFinished(ref.job->phase) || task->done) {
    return;
  }
  const bool give_up =
      to_blame || (reason != DropReason::kNone && IsStartLimitReached(*task));
  if (give_up && GiveUp(ref, now)) {
    return;
  }
  if (spec.long_running && was_serving) {
    task->unavailable_since = now;
  }
  StepState& step = FindOccurrence(*ref.job, ref.occurrence)->steps[ref.step];
  const bool listed =
      std::ranges::find(step.waiting, ref.index) != step.waiting.end();
  if (step.ready && task->runs.empty() && !listed) {
    step.waiting.push_back(ref.index);
  }
  MarkDirty(ref, false);
}

DroppedRun Scheduler::DescribeDrop(const TaskRef& ref,
                                   const Run& run,
                                   DropReason reason) const {
  DroppedRun drop;
  drop.worker = run.worker;
  drop.task = IdOf(ref);
  drop.run = run.number;
  drop.reason = reason;
  drop.phase = run.phase;
  drop.crashes = FindTask(ref)->crashes.size();
  drop.start_ordered_at = run.start_ordered_at;
  drop.answered = run.answered_at != base::TimePoint{};
  drop.listed = run.listed;
  if (const auto found = m_workers.find(run.worker.id);
      found != m_workers.end()) {
    const WorkerState& worker = found->second;
    drop.worker_listed = worker.listed;
    drop.lease_bound = worker.LeaseEnd();
    drop.lease_evidence = worker.EvidenceOfLeaseEnd();
    drop.worker_reported_at =
        worker.has_reported ? worker.last_report : base::TimePoint{};
  }
  return drop;
}

void Scheduler::StopRun(const TaskRef& ref,
                        Run& run,
                        StopReason reason,
                        base::TimePoint now) {
  if (run.phase == RunPhase::kStopping) {
    return;
  }
  run.ordered_at = now;
  run.confirmed_at = {};
  run.phase = RunPhase::kStopping;
  run.stop_reason = reason;
  m_orders.stops.push_back({run.worker, IdOf(ref), run.number, reason});
}

void Scheduler::WorkersListed(const std::vector<WorkerEntry>& entries,
                              base::TimePoint now) {
  for (auto& [id, worker] : m_workers) {
    worker.listed = false;
  }
  bool is_index_old = false;
  for (const WorkerEntry& entry : entries) {
    WorkerState& worker = m_workers[entry.id.id];
    worker.listed = true;
    is_index_old = is_index_old || worker.entry.machine != entry.machine ||
                   worker.entry.service != entry.service ||
                   worker.entry.id.id.empty();
    if (worker.entry.id.id.empty()) {
      BeginIncarnation(worker, entry.id.incarnation_ms,
                       IncarnationEvidence::kEntry, now);
    } else if (entry.id != worker.entry.id) {
      if (!IsSuccessor(worker, entry)) {
        RejectEntry(worker, entry);
        continue;
      }
      BeginIncarnation(worker, entry.id.incarnation_ms,
                       IncarnationEvidence::kEntry, now);
    }
    const bool is_known = worker.described_ms == entry.id.incarnation_ms;
    if (!is_known) {
      worker.described_ms = entry.id.incarnation_ms;
      worker.largest_capacity = {};
    } else if (entry.capacity != worker.entry.capacity) {
      m_orders.resized.push_back(
          {entry.id, worker.entry.capacity, entry.capacity, worker.used});
    }
    // A heartbeat that is written late may be older than the word that this
    // incarnation drains.
    const bool drains =
        (is_known && worker.entry.draining) ||
        m_known_incarnations.IsDraining(entry.id.id, entry.id.incarnation_ms);
    if (!is_known || entry.cold_for != worker.entry.cold_for) {
      worker.cold_until = now + entry.cold_for;
    }
    worker.SetEntry(entry);
    worker.entry.draining = entry.draining || drains;
    if (worker.entry.draining) {
      m_known_incarnations.Drains(entry.id.id, entry.id.incarnation_ms);
    }
  }
  const auto erased = std::erase_if(m_workers, [this, now](const auto& row) {
    const WorkerState& worker = row.second;
    return !worker.listed && worker.runs.empty() && worker.withdrawn.empty() &&
           now > worker.LeaseEnd() && !MayGetLateAcknowledgement(worker, now);
  });
  m_known_incarnations.ForgetUnknown(
      [this](const std::string& id) { return m_workers.contains(id); },
      m_options.max_order_delay + LongestLease(), now);
  if (is_index_old || erased > 0) {
    IndexWorkers();
  }
}

void Scheduler::ListConfirmed(base::TimePoint as_of) {
  m_list_as_of = std::max(m_list_as_of, as_of);
}

void Scheduler::LeaseSent(const std::string& id,
                          base::TimePoint bound,
                          base::TimePoint now) {
  if (WorkerState* worker = FindWorker(id)) {
    worker->lease_sent_at = now;
    worker->RaiseLeaseBound(bound, LeaseEvidence::kExtension);
  }
}

bool Scheduler::WorkerReported(const std::string& id,
                               const WorkerReport& report,
                               base::TimePoint asked_at,
                               base::TimePoint now) {
  WorkerState* worker = FindWorker(id);
  if (worker == nullptr) {
    return false;
  }
  const bool is_current =
      report.incarnation_ms == worker->entry.id.incarnation_ms;
  if (!is_current && !IsSuccessor(*worker, report, asked_at)) {
    worker->wants_report = true;
    return false;
  }
  if (!is_current || !worker->has_reported) {
    BeginIncarnation(*worker, report.incarnation_ms,
                     IncarnationEvidence::kReport, now);
    BoundFormerLeases(*worker, now);
  }
  if (!worker->has_reported || now - worker->last_report > kMaxReportGap) {
    worker->heard_since = now;
  }
  worker->has_reported = true;
  worker->silent = false;
  worker->last_report = now;
  worker->last_asked = std::max(worker->last_asked, asked_at);
  worker->wants_report = false;
  const std::uint64_t known_end = worker->last_end;
  for (const ListedEnd& end : report.ended) {
    if (end.sequence <= worker->last_end) {
      continue;
    }
    worker->last_end = end.sequence;
    if (const auto ref = FindTaskRef(end.task)) {
      ApplyEnd(*ref, *worker, end, now);
    }
  }
  if (worker->last_end > known_end) {
    m_unwritten_ends.push_back(
        {worker->entry.id, worker->last_end, m_last_change});
  }
  std::vector<std::pair<TaskRef, std::uint32_t>> listed;
  listed.reserve(report.running.size());
  for (const ListedRun& run : report.running) {
    if (const auto ref = UpdateListedRun(*worker, run, now)) {
      listed.emplace_back(*ref, run.run);
    }
  }
  CountUnaccounted(*worker, report);
  if (report.ends_cut) {
    return true;
  }
  // A run that is missing from a newer report has ended without being listed
  // or, once its stop order was answered, cannot start any more.
  const auto runs = worker->runs;
  for (const auto& [ref, number] : runs) {
    Run* run = FindRun(ref, number);
    if (run == nullptr ||
        std::ranges::find(listed, std::pair(ref, number)) != listed.end()) {
      continue;
    }
    if (run->phase == RunPhase::kStartUnknown && run->confirmed_at < asked_at) {
      // The start order may still arrive; a stop makes the worker refuse it.
      StopRun(ref, *run, StopReason::kStartUnknown, now);
      continue;
    }
    const bool settled = run->phase == RunPhase::kRecovered ||
                         ((run->phase == RunPhase::kRunning ||
                           run->phase == RunPhase::kStopping) &&
                          run->confirmed_at != base::TimePoint{} &&
                          run->confirmed_at < asked_at);
    if (settled) {
      DropRun(ref, number, DropReason::kMissing, now);
    }
  }
  return true;
}

std::optional<TaskRef> Scheduler::UpdateListedRun(WorkerState& worker,
                                                  const ListedRun& listed,
                                                  base::TimePoint now) {
  const auto ref = FindTaskRef(listed.task);
  Run* run = ref ? FindRun(*ref, listed.run) : nullptr;
  if (run == nullptr || run->worker != worker.entry.id) {
    const Task* task = ref ? FindTask(*ref) : nullptr;
    if (task != nullptr && task->dropped_run == listed.run) {
      m_orders.resurfaced.push_back({worker.entry.id, listed.task, listed.run,
                                     task->drop_reason, RunPhase::kRunning});
    }
    m_orders.stops.push_back(
        {worker.entry.id, listed.task, listed.run, StopReason::kUnknown});
    return ref;
  }
  Job& job = *ref->job;
  if (!job.started) {
    job.started = true;
    MarkDirty(job, false);
  }
  if (!listed.checkpoint.empty() && listed.checkpoint != run->checkpoint) {
    run->checkpoint = listed.checkpoint;
    run->has_saved = true;
  }
  if (listed.percent != run->percent) {
    run->percent = listed.percent;
    run->progressed_at = now;
  }
  run->load = listed.load;
  const StepSpec& spec = SpecOf(*ref);
  if (!run->listed) {
    run->listed = true;
    // It was thought to have ended with the worker's former incarnation.
    std::erase_if(FindTask(*ref)->crashes, [run](const Crash& crash) {
      return crash.run == run->number;
    });
    // Stored, so that the next leader need not wait for a late start.
    MarkDirty(*ref, false);
    if (now < worker.finite_from && !spec.long_running) {
      // Its start was for a former incarnation. An acknowledgement for that one
      // may yet make this one forget how the run has ended.
      StopRun(*ref, *run, StopReason::kEndAtRisk, now);
    }
  }
  Task& task = *FindTask(*ref);
  if (spec.long_running) {
    const bool serving = listed.percent >= 100;
    if (serving && run->serving_since == base::TimePoint{}) {
      run->serving_since = now;
      task.unavailable_since = {};
    }
  }
  if (run->phase == RunPhase::kRecovered || run->phase == RunPhase::kStarting ||
      run->phase == RunPhase::kStartUnknown) {
    run->phase = RunPhase::kRunning;
    run->confirmed_at = now;
  }
  ProveRun(*ref, *run, now);
  return ref;
}

void Scheduler::ApplyEnd(const TaskRef& ref,
                         WorkerState& worker,
                         const ListedEnd& end,
                         base::TimePoint now) {
  Task& task = *FindTask(ref);
  // When the run began. Known only of confirmed runs without a checkpoint that
  // this leader has placed; only their durations are learnt.
  base::TimePoint began{};
  std::optional<double> speed;
  if (const Run* run = FindRun(ref, end.run)) {
    speed = MultipleOf(ref, *run, worker, now);
    const bool seen_to_begin =
        run->checkpoint.empty() && run->placed_at != base::TimePoint{};
    began = seen_to_begin ? run->confirmed_at : base::TimePoint{};
  }
  if (!end.checkpoint.empty() && !task.done) {
    KeepCheckpoint(task, end.run, end.checkpoint);
    if (Run* known = FindRun(ref, end.run)) {
      known->checkpoint = end.checkpoint;
      known->has_saved = true;
    }
  }
  if (task.dropped_run == end.run) {
    m_orders.late_ends.push_back({worker.entry.id, end.task, end.run,
                                  task.drop_reason, RunPhase::kRunning});
  }
  DropRun(ref, end.run, DropReason::kNone, now);
  MarkDirty(ref, false);
  if (end.how == RunEnd::kDone) {
    worker.health.RunSucceeded();
    if (speed) {
      worker.speed.TaskEnded(*speed, now);
    }
    if (began != base::TimePoint{}) {
      m_durations.Observe(
          ref.job->queue, SpecOf(ref).estimate,
          std::chrono::duration_cast<std::chrono::milliseconds>(now - began));
    }
    CompleteTask(ref, now);
    return;
  }
  if (end.how == RunEnd::kFailed) {
    worker.health.RunFailed(now);
    RecordFailedRun(ref, end.run, worker.entry.id.id, now);
  }
  if (!IsFinished(ref.job->phase) && !task.done && task.runs.empty() &&
      IsStartLimitReached(task)) {
    GiveUp(ref, now);
  }
}

void Scheduler::CompleteTask(const TaskRef& ref, base::TimePoint now) {
  Job& job = *ref.job;
  if (IsFinished(job.phase) || SpecOf(ref).long_running) {
    return;
  }
  Occurrence& occurrence = *FindOccurrence(job, ref.occurrence);
  StepState& step = occurrence.steps[ref.step];
  if (step.tasks[ref.index].done) {
    // Listed again: the acknowledgement was lost, or there was another run.
    return;
  }
  const bool whole_gang = SpecOf(ref).gang;
  for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
    Task& task = step.tasks[i];
    if (task.done || (i != ref.index && !whole_gang)) {
      continue;
    }
    task.done = true;
    ForgetWithdrawnOf({&job, ref.occurrence, ref.step, i});
    ++step.tasks_done;
    std::erase(step.waiting, i);
    if (!whole_gang) {
      for (Run& duplicate : task.runs) {
        StopRun({&job, ref.occurrence, ref.step, i}, duplicate,
                StopReason::kDuplicate, now);
      }
    }
  }
  if (step.tasks_done < step.tasks.size()) {
    return;
  }
  MarkStepDirty(ref, whole_gang);
  ++occurrence.steps_done;
  if (occurrence.steps_done < occurrence.steps.size()) {
    RefreshReadySteps(job, occurrence);
    return;
  }
  ForgetAdvice(job.id, occurrence.number);
  ++job.occurrences_done;
  MarkDirty(job, true);
  m_jobs_with_done_occurrences.insert(job.id);
  if (job.occurrences_done >= job.spec.Occurrences()) {
    Finish(job, JobPhase::kDone, now);
  }
}

void Scheduler::RecordFailedRun(const TaskRef& ref,
                                std::uint32_t run,
                                const std::string& worker,
                                base::TimePoint now) {
  Job& job = *ref.job;
  Task& task = *FindTask(ref);
  if (IsFinished(job.phase) || task.done) {
    return;
  }
  task.avoided_worker = worker;
  if (SpecOf(ref).long_running ||
      std::ranges::find(task.failed_runs, run) != task.failed_runs.end()) {
    return;
  }
  task.failed_runs.push_back(run);
  m_jobs_with_failures.insert(job.id);
  const QueueConfig* queue = QueueOf(job);
  if (queue != nullptr && task.failed_runs.size() >= queue->max_attempts) {
    Finish(job, JobPhase::kFailed, now);
  }
}

void Scheduler::FailExhaustedJobs(base::TimePoint now) {
  if (!std::exchange(m_config_is_new, false)) {
    return;
  }
  const auto ids = m_jobs_with_failures;
  for (const std::string& id : ids) {
    Job& job = *m_jobs.at(id);
    const QueueConfig* queue = QueueOf(job);
    if (queue == nullptr) {
      continue;
    }
    bool exhausted = false;
    for (const Occurrence& occurrence : job.occurrences) {
      for (const StepState& step : occurrence.steps) {
        exhausted = exhausted ||
                    std::ranges::any_of(step.tasks, [queue](const Task& t) {
                      return !t.done && !t.failed_runs.empty() &&
                             t.failed_runs.size() >= queue->max_attempts;
                    });
      }
    }
    if (exhausted) {
      Finish(job, JobPhase::kFailed, now);
    }
  }
}

void Scheduler::StartAnswered(const WorkerId& id,
                              const TaskId& task,
                              std::uint32_t number,
                              StartResult result,
                              base::TimePoint now) {
  const auto ref = FindTaskRef(task);
  Run* run = ref ? FindRun(*ref, number) : nullptr;
  WorkerState* worker = FindWorker(id.id);
  if (run == nullptr || worker == nullptr || run->worker != id) {
    return;
  }
  if (run->phase == RunPhase::kRunning) {
    // Already listed. A refusal contradicts that; the next report settles it.
    worker->wants_report |=
        result != StartResult::kRunning && result != StartResult::kUnknown;
    return;
  }
  switch (result) {
    case StartResult::kRunning:
      run->answered_at = now;
      if (run->phase == RunPhase::kStarting) {
        run->phase = RunPhase::kRunning;
        run->confirmed_at = now;
        run->progressed_at = now;
        if (!ref->job->started) {
          ref->job->started = true;
          MarkDirty(*ref->job, false);
        }
      }
      return;
    case StartResult::kUnknown:
      if (run->phase == RunPhase::kStarting) {
        run->phase = RunPhase::kStartUnknown;
        run->confirmed_at = now;
        worker->wants_report = true;
      }
      return;
    case StartResult::kNoTicket:
      if (const auto advice =
              m_advice.find(StepKey(task.job, task.occurrence, task.step));
          advice != m_advice.end()) {
        // Another one is asked for; the worker stays allowed.
        advice->second.answers[id.id].valid_until = {};
      }
      DropRun(*ref, number, DropReason::kRefused, now);
      return;
    case StartResult::kBusy:
    case StartResult::kNoRoom:
    case StartResult::kUnreachable:
      worker->health.Refused(now);
      worker->wants_report = true;
      DropRun(*ref, number, DropReason::kRefused, now);
      return;
    case StartResult::kStaleRun:
      // It can't start any more, but it may have run; then its end is listed.
      StopAnswered(id, task, number, now);
      return;
    case StartResult::kFenced:
    case StartResult::kTooLate:
    case StartResult::kOtherIncarnation:
    case StartResult::kRejected:
      worker->wants_report = true;
      DropRun(*ref, number, DropReason::kRefused, now);
      return;
  }
}

void Scheduler::StopAnswered(const WorkerId& id,
                             const TaskId& task,
                             std::uint32_t number,
                             base::TimePoint now) {
  const auto ref = FindTaskRef(task);
  Run* run = ref ? FindRun(*ref, number) : nullptr;
  if (run == nullptr || run->worker != id) {
    return;
  }
  run->phase = RunPhase::kStopping;
  run->confirmed_at = now;
  if (WorkerState* worker = FindWorker(id.id)) {
    worker->wants_report = true;
  }
}

void Scheduler::WorkerSilent(const std::string& id, base::TimePoint now) {
  if (WorkerState* worker = FindWorker(id)) {
    worker->silent = true;
    worker->health.Refused(now);
  }
}

void Scheduler::DropRunsOf(const WorkerId& id,
                           DropReason reason,
                           base::TimePoint now) {
  WorkerState* worker = FindWorker(id.id);
  if (worker == nullptr) {
    return;
  }
  const auto runs = worker->runs;
  for (const auto& [ref, number] : runs) {
    const Run* run = FindRun(ref, number);
    if (run != nullptr && run->worker == id) {
      DropRun(ref, number, reason, now);
    }
  }
}

void Scheduler::WorkerTerminated(const WorkerId& id, base::TimePoint now) {
  DropRunsOf(id, DropReason::kTerminated, now);
  WorkerState* worker = FindWorker(id.id);
  if (worker != nullptr && worker->entry.id == id) {
    ForgetWithdrawnOn(*worker);
    worker->terminated = true;
    worker->silent = true;
  }
}

void Scheduler::ExpireRuns(base::TimePoint now) {
  // A stop order that has not been answered is repeated at this interval.
  constexpr std::chrono::milliseconds kStopRetryInterval{700};
  for (auto& [id, worker] : m_workers) {
    ForgetLateWithdrawn(worker, now);
    const auto runs = worker.runs;
    for (const auto& [ref, number] : runs) {
      Run* run = FindRun(ref, number);
      if (run == nullptr) {
        continue;
      }
      if (run->phase != RunPhase::kPlanned && now > worker.LeaseEnd() &&
          worker.lease_bound != base::TimePoint{} &&
          IsStartOver(*run, worker, now)) {
        DropRun(ref, number, DropReason::kLeaseOver, now);
      } else if (run->phase == RunPhase::kStarting &&
                 now - run->ordered_at > kStartTimeout) {
        StopRun(ref, *run, StopReason::kUnanswered, now);
      } else if (run->phase == RunPhase::kStopping &&
                 run->confirmed_at == base::TimePoint{} &&
                 now - run->ordered_at > kStopRetryInterval) {
        run->ordered_at = now;
        m_orders.stops.push_back(
            {run->worker, IdOf(ref), number, run->stop_reason});
      }
    }
  }
}

}  // namespace cassiastile::jobs
