#include "cassiastile/jobs/scheduler.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace cassiastile::jobs {

namespace {

// A job accepted by an earlier leader counts as no older than this, since its
// age comes from wall clocks, which may jump.
constexpr std::chrono::milliseconds kMaxRecoveredAge{60000};
// Taken for the pace of a recovered filler, which is not stored: from the
// middle each change gives an order.
constexpr int kRecoveredPacePercent = 50;

std::chrono::milliseconds Millis(base::WallTime wall) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      wall.time_since_epoch());
}

// How long an AdmissionSnapshot is reused, at least and for each unfinished
// job: a pool changes little in so short a time, and each new snapshot visits
// all jobs.
constexpr std::chrono::microseconds kMinSnapshotAge{20000};
constexpr std::chrono::microseconds kSnapshotAgePerJob{40};

// After which time a pool has the machines that it could get from others: their
// tasks end, they are moved, and they report.
constexpr std::chrono::milliseconds kReachDelay{2200};

// The time that a job may take, by its queue's stretch and slack.
std::chrono::milliseconds AllowedTime(const QueueConfig& queue,
                                      std::chrono::milliseconds critical_path) {
  const double stretched =
      queue.stretch * static_cast<double>(critical_path.count());
  const double allowed = stretched + static_cast<double>(queue.slack.count());
  if (!(allowed < static_cast<double>(kMaxConfiguredTime.count()))) {
    return kMaxConfiguredTime;
  }
  return std::chrono::milliseconds(static_cast<std::int64_t>(stretched)) +
         queue.slack;
}

// The result of a job has no value after this many times the time from its
// first submission to its objective.
constexpr int kWorthlessFactor = 3;

// One in so many rows of a batch of all rows is one that could wait, so that
// the ends of runs are acknowledged however many callers there are.
constexpr std::size_t kDeferredShare = 4;

// A transaction takes 1 MB, of encoded rows, which are a third larger. The rest
// is for what the leader stores besides jobs.
constexpr std::size_t kMaxBatchBytes = 512U << 10U;

// The store takes rows of 64 KB. The rest of a row of the whole progress is for
// what an older program may add to it.
constexpr std::size_t kMaxRowBytes = 60U << 10U;
constexpr std::size_t kMaxWholeProgressBytes = 48U << 10U;

// The progress is always written; the record is written once and removed once.
std::size_t RowsOf(const Job& job) {
  return IsFinished(job.phase) || !job.accepted ? 2 : 1;
}

// The progress of a job of which nothing has begun yet.
std::string EncodeInitialProgress(const Job& job) {
  Job initial;
  initial.next_occurrence = job.next_occurrence;
  for (const Occurrence& occurrence : job.occurrences) {
    initial.occurrences.emplace_back().number = occurrence.number;
  }
  return EncodeProgress(initial);
}

void AddOwnRows(const Job& job, bool is_split, std::vector<JobRow>& rows) {
  if (IsFinished(job.phase)) {
    rows.push_back({job.id, true, std::nullopt, {}});
  } else if (!job.accepted) {
    rows.push_back({job.id, true, EncodeRecord(job), {}});
  }
  rows.push_back({job.id, false, EncodeProgress(job, is_split), {}});
}

// A segment takes as many rows as its bytes need.
void AddSegmentRows(const Job& job,
                    SegmentNumber segment,
                    std::vector<JobRow>& rows) {
  const std::string bytes =
      IsFinished(job.phase) ? "" : EncodeSegment(job, segment);
  const auto stored = job.stored_segments.find(segment);
  const std::uint32_t before =
      stored == job.stored_segments.end() ? 0 : stored->second;
  std::uint32_t place = 0;
  for (std::size_t at = 0; at < bytes.size(); at += kMaxRowBytes) {
    rows.push_back(
        {job.id, false, bytes.substr(at, kMaxRowBytes), segment, place++});
  }
  for (; place < before; ++place) {
    rows.push_back({job.id, false, std::nullopt, segment, place});
  }
}

std::size_t SizeOf(const std::vector<JobRow>& rows) {
  std::size_t bytes = 0;
  for (const JobRow& row : rows) {
    bytes += row.bytes ? row.bytes->size() : 0;
  }
  return bytes;
}

// The fraction of a task that remains, by the progress of its most advanced
// run.
double RemainingFraction(const Task& task) {
  int percent = 0;
  for (const Run& run : task.runs) {
    percent = std::max(percent, run.percent);
  }
  constexpr double kDonePercent = 100.0;
  return 1.0 - std::clamp(percent, 0, 100) / kDonePercent;
}

// The work that is left of a job, without long-running and filler steps.
Work RemainingWork(const Job& job, const DurationModel& durations) {
  Work work;
  for (const Occurrence& occurrence : job.occurrences) {
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
      const StepSpec& step = job.spec.steps[i];
      if (step.long_running || step.is_filler) {
        continue;
      }
      double left = 0;
      for (const Task& task : occurrence.steps[i].tasks) {
        left += task.done ? 0.0 : RemainingFraction(task);
      }
      work += WorkOf(step, durations.Expect(job.queue, step.estimate), left);
    }
  }
  if (job.due_occurrences > job.next_occurrence) {
    const auto backlog =
        static_cast<double>(job.due_occurrences - job.next_occurrence);
    for (const StepSpec& step : job.spec.steps) {
      if (!step.long_running && !step.is_filler) {
        work += WorkOf(step, durations.Expect(job.queue, step.estimate),
                       backlog * step.count);
      }
    }
  }
  return work;
}

// A sum of the work that is left is used for this long unless the job changes:
// until then only the progress of its runs makes a difference.
constexpr std::chrono::milliseconds kMaxRemainingAge{300};

// Number of distinct workers over which a long-running step must be spread,
// plus one to move a task to; 0 for other steps.
std::size_t DistinctWorkers(const StepSpec& step) {
  if (!step.long_running) {
    return 0;
  }
  std::uint32_t together = step.count;
  if (step.max_per_worker > 0) {
    together = std::min(together, step.max_per_worker);
  }
  if (step.max_unavailable > 0) {
    together = std::min(together, step.max_unavailable);
  }
  return (step.count + together - 1) / together + 1;
}

AcceptedTerms TermsOf(const QueueConfig& queue,
                      const CustomerConfig* customer) {
  AcceptedTerms terms;
  terms.priority = queue.priority;
  terms.max_attempts = queue.max_attempts;
  terms.stretch = queue.stretch;
  terms.slack = queue.slack;
  terms.advice = queue.advice;
  terms.has_customer = customer != nullptr;
  if (customer != nullptr) {
    terms.weight = customer->weight;
    terms.limit = customer->limit;
  }
  return terms;
}

// Steps about which the placement advisor is to be asked yet, of the
// occurrences that have begun.
std::size_t CountUnadvisedSteps(const Job& job) {
  std::size_t count = 0;
  for (const Occurrence& occurrence : job.occurrences) {
    count += static_cast<std::size_t>(
        std::ranges::count_if(occurrence.steps, [](const StepState& step) {
          return !step.is_advised && step.tasks_done < step.tasks.size();
        }));
  }
  return count;
}

bool HasFailures(const Job& job) {
  return std::ranges::any_of(job.occurrences, [](const Occurrence& each) {
    return std::ranges::any_of(each.steps, [](const StepState& step) {
      return std::ranges::any_of(step.tasks, [](const Task& task) {
        return !task.failed_runs.empty();
      });
    });
  });
}

// Whether one of these workers is large enough; true if there are none.
bool FitsSomeWorker(const StepSpec& step,
                    const std::vector<WorkerState*>& workers) {
  // One that has shrunk grows again.
  return workers.empty() ||
         std::ranges::any_of(workers, [&step](const WorkerState* worker) {
           return Fits(CapacityNeed(step), worker->largest_capacity);
         });
}

}  // namespace

void WorkerState::Use(const StepSpec& step) {
  used += CapacityNeed(step);
  if (step.long_running) {
    long_running_used += CapacityNeed(step);
    long_running_runs += step.is_filler ? 0 : 1;
  }
}

void WorkerState::Release(const StepSpec& step) {
  used -= CapacityNeed(step);
  if (step.long_running) {
    long_running_used -= CapacityNeed(step);
    long_running_runs -= step.is_filler ? 0 : 1;
  }
}

Scheduler::Scheduler(SchedulerOptions options)
    : m_options(options),
      m_config(std::make_shared<FleetConfig>()),
      m_evacuations(options.max_evacuations_age) {}

void Scheduler::ApplyConfig(std::shared_ptr<const FleetConfig> config) {
  m_config = std::move(config);
  m_config_is_new = true;
}

const QueueConfig* Scheduler::QueueOf(const Job& job) const {
  if (const QueueConfig* queue = m_config->LastQueue(job.queue)) {
    return queue;
  }
  const auto found = m_accepted_queues.find(job.queue);
  return found == m_accepted_queues.end() ? nullptr : &found->second;
}

const CustomerConfig* Scheduler::CustomerOf(const std::string& name) const {
  if (const CustomerConfig* customer = m_config->LastCustomer(name)) {
    return customer;
  }
  const auto found = m_accepted_customers.find(name);
  return found == m_accepted_customers.end() ? nullptr : &found->second;
}

void Scheduler::RememberTerms(const Job& job) {
  if (!job.terms) {
    return;
  }
  const AcceptedTerms& terms = *job.terms;
  m_accepted_queues.try_emplace(job.queue,
                                QueueConfig{.name = job.queue,
                                            .host = "",
                                            .path_prefix = "",
                                            .service = job.service,
                                            .priority = terms.priority,
                                            .max_attempts = terms.max_attempts,
                                            .stretch = terms.stretch,
                                            .slack = terms.slack,
                                            .advice = terms.advice});
  if (terms.has_customer) {
    m_accepted_customers.try_emplace(job.customer,
                                     CustomerConfig{.name = job.customer,
                                                    .weight = terms.weight,
                                                    .limit = terms.limit,
                                                    .keys = {}});
  }
}

const std::string& Scheduler::ServiceOf(const Job& job) const {
  const QueueConfig* queue = QueueOf(job);
  return queue == nullptr ? job.service : queue->service;
}

void Scheduler::SetObjective(Job& job, const QueueConfig& queue) {
  job.critical_paths = m_durations.ExpectCriticalPaths(job.queue, job.spec);
  const auto chain = std::ranges::max(job.critical_paths);
  const auto allowed = AllowedTime(queue, chain);
  job.objective = job.arrived_at + allowed;
  job.worthless_after = job.arrived_at + kWorthlessFactor * allowed;
}

WorkerState& Scheduler::RecoverWorker(const Job& job,
                                      const WorkerId& id,
                                      const std::string& machine) {
  WorkerState& worker = m_workers[id.id];
  if (worker.entry.id.id.empty()) {
    worker.entry.id = id;
    worker.entry.machine = machine;
    worker.entry.service = ServiceOf(job);
  }
  if (!worker.listed) {
    worker.entry.id.incarnation_ms =
        std::max(worker.entry.id.incarnation_ms, id.incarnation_ms);
  }
  return worker;
}

bool Scheduler::HasLaterRuns(const WorkerState& worker) {
  const auto is_later = [&worker](const WorkerId& id) {
    return id.id == worker.entry.id.id &&
           id.incarnation_ms > worker.entry.id.incarnation_ms;
  };
  return std::ranges::any_of(
             worker.runs,
             [&](const auto& row) {
               return is_later(FindRun(row.first, row.second)->worker);
             }) ||
         std::ranges::any_of(worker.withdrawn, [&](const TaskRef& ref) {
           return std::ranges::any_of(FindTask(ref)->withdrawn,
                                      [&](const WithdrawnStart& start) {
                                        return is_later(start.worker);
                                      });
         });
}

base::TimePoint Scheduler::RecoveredLeaseBound(const WorkerState& worker,
                                               base::TimePoint now) {
  const KnownIncarnations::Known* known =
      m_known_incarnations.Find(worker.entry.id.id);
  const bool is_unknown =
      std::ranges::any_of(worker.runs, [&](const auto& row) {
        const Run& run = *FindRun(row.first, row.second);
        const std::int64_t incarnation = run.worker.incarnation_ms;
        return run.listed &&
               (known == nullptr || (known->incarnation_ms != incarnation &&
                                     known->former_ms != incarnation));
      });
  if (is_unknown) {
    return now + m_options.max_former_orders + m_options.max_order_delay +
           LongestLease();
  }
  return known == nullptr ? base::TimePoint{}
                          : FromStoreClock(known->former_lease_end);
}

void Scheduler::Recover(std::vector<Job> jobs,
                        base::TimePoint now,
                        base::WallTime wall,
                        base::TimePoint latest_lease_end) {
  for (Job& source : jobs) {
    auto owned = std::make_unique<Job>(std::move(source));
    Job& job = *owned;
    job.accepted = true;
    const auto age = std::clamp(Millis(wall) - job.arrived_wall,
                                std::chrono::milliseconds(0), kMaxRecoveredAge);
    job.arrived_at = now - age;
    RememberTerms(job);
    // Of a finished job only the phase is stored.
    if (!job.spec.steps.empty()) {
      const QueueConfig* queue = QueueOf(job);
      SetObjective(job, queue == nullptr ? QueueConfig{} : *queue);
    }
    if (IsFinished(job.phase)) {
      job.finished_at = now;
      m_finished.push_back(&job);
    }
    for (Occurrence& occurrence : job.occurrences) {
      for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
        auto& tasks = occurrence.steps[s].tasks;
        for (std::uint32_t i = 0; i < tasks.size(); ++i) {
          for (Run& run : tasks[i].runs) {
            const TaskRef ref{&job, occurrence.number, s, i};
            WorkerState& worker = RecoverWorker(job, run.worker, run.machine);
            worker.RaiseLeaseBound(latest_lease_end, LeaseEvidence::kTakeover);
            worker.runs.emplace_back(ref, run.number);
            worker.Use(SpecOf(ref));
            m_used_by_customer[job.customer] += SpecOf(ref).need;
            run.ordered_at = now;
            run.start_ordered_at = now + m_options.max_start_after_term;
            run.proven = run.listed;
            run.paced_percent = kRecoveredPacePercent;
            run.suspicion = SuspicionOf(tasks[i]);
            run.alone = run.suspicion == Suspicion::kIsolated;
            m_suspected_runs += run.suspicion != Suspicion::kNone ? 1 : 0;
            ++job.live_runs;
          }
          for (WithdrawnStart& start : tasks[i].withdrawn) {
            const TaskRef ref{&job, occurrence.number, s, i};
            WorkerState& worker =
                RecoverWorker(job, start.worker, start.machine);
            worker.RaiseLeaseBound(latest_lease_end, LeaseEvidence::kTakeover);
            worker.AddWithdrawn(ref);
            start.ordered_at = now + m_options.max_start_after_term;
          }
        }
      }
    }
    if (!IsFinished(job.phase)) {
      AddUnfinished(job);
      if (HasFailures(job)) {
        m_jobs_with_failures.insert(job.id);
      }
      m_jobs_with_done_occurrences.insert(job.id);
    }
    m_jobs.emplace(job.id, std::move(owned));
    if (IsFinished(job.phase)) {
      RemoveAllSegments(job);
    } else {
      RemoveEmptySegments(job);
    }
  }
  m_recovered_at = now;
  for (auto& [id, worker] : m_workers) {
    worker.former_lease_bound = RecoveredLeaseBound(worker, now);
    if (!HasLaterRuns(worker)) {
      BeginIncarnation(worker, worker.entry.id.incarnation_ms,
                       IncarnationEvidence::kEntry, now);
    }
  }
  IndexWorkers();
}

bool Scheduler::IsBeyondShare(const std::string& customer,
                              base::TimePoint now) {
  const CustomerConfig* config = CustomerOf(customer);
  return config != nullptr &&
         m_customer_arrivals[customer].JobsPerSecond(now) > config->weight;
}

Scheduler::AdmissionSnapshot& Scheduler::AdmissionSnapshotOf(
    const std::string& service,
    base::TimePoint now) {
  AdmissionSnapshot& snapshot = m_admission_snapshots[service];
  const auto max_age = std::max<std::chrono::microseconds>(
      kMinSnapshotAge,
      kSnapshotAgePerJob * static_cast<std::int64_t>(m_unfinished.size()));
  if (snapshot.taken_at != base::TimePoint{} &&
      now - snapshot.taken_at < max_age) {
    return snapshot;
  }
  snapshot = {};
  snapshot.taken_at = now;
  for (const auto& [id, job] : m_unfinished) {
    if (job->worthless_after > now && ServiceOf(*job) == service) {
      const Work& work = RemainingWorkOf(*job, now);
      snapshot.backlog += work;
      if (m_options.share_by_weight) {
        snapshot.backlog_of_customer[job->customer] += work;
      }
      if (NeedsAdvice(*job)) {
        snapshot.unadvised_steps[job->queue] += CountUnadvisedSteps(*job);
      }
    }
  }
  for (const WorkerState* worker : WorkersOf(service)) {
    if (IsUsable(*worker, now) && !IsAvoidedAsSlow(*worker)) {
      snapshot.free += worker->entry.capacity - worker->used;
      snapshot.pool += worker->entry.capacity - worker->long_running_used;
    }
  }
  if (const auto unplaced = m_unplaced.find(service);
      unplaced != m_unplaced.end()) {
    snapshot.free -= unplaced->second;
  }
  if (m_options.share_by_weight) {
    snapshot.shares = DividePool(service, snapshot.pool);
  }
  Resources coming = snapshot.pool;
  if (const auto arriving = m_arriving_capacity.find(service);
      arriving != m_arriving_capacity.end()) {
    snapshot.growth = arriving->second;
    for (const CapacityStep& step : snapshot.growth) {
      coming += step.added;
    }
  }
  if (const auto reachable = m_reachable_capacity.find(service);
      reachable != m_reachable_capacity.end()) {
    snapshot.growth.push_back({kReachDelay, reachable->second - coming});
  }
  return snapshot;
}

AdmissionInput Scheduler::MakeAdmissionInput(const Job& job,
                                             base::TimePoint now) {
  const AdmissionSnapshot& snapshot = AdmissionSnapshotOf(job.service, now);
  AdmissionInput input;
  input.backlog = snapshot.backlog;
  input.pool = snapshot.pool;
  input.growth = snapshot.growth;
  if (const CustomerConfig* customer = CustomerOf(job.customer)) {
    input.share = ShareOf(snapshot, job.customer, customer->weight);
  }
  const StepSpec& first = job.spec.steps.front();
  input.fits_now = Fits(CapacityNeed(first) * first.count, snapshot.free);
  input.advice_wait = AdviceBacklog(job, now);
  input.critical_path = std::ranges::max(job.critical_paths);
  input.time_to_objective =
      std::chrono::duration_cast<std::chrono::milliseconds>(job.objective -
                                                            now);
  return input;
}

Submission Scheduler::Submit(const std::string& id,
                             const QueueConfig& queue,
                             const std::string& customer,
                             JobSpec spec,
                             base::TimePoint now,
                             base::WallTime wall) {
  const auto found = m_jobs.find(id);
  if (found != m_jobs.end()) {
    return {.verdict = found->second->accepted ? Submission::Verdict::kKnown
                                               : Submission::Verdict::kPending};
  }
  auto owned = std::make_unique<Job>();
  Job& job = *owned;
  job.id = id;
  job.queue = queue.name;
  job.service = queue.service;
  job.customer = customer;
  job.spec = std::move(spec);
  job.terms = TermsOf(queue, CustomerOf(customer));
  job.arrived_at = m_first_arrivals.RecordArrival(id, now);
  job.arrived_wall =
      Millis(wall) - std::chrono::duration_cast<std::chrono::milliseconds>(
                         now - job.arrived_at);
  SetObjective(job, queue);
  for (const StepSpec& step : job.spec.steps) {
    if (!FitsSomeWorker(step, WorkersOf(queue.service))) {
      return {.verdict = Submission::Verdict::kRefused,
              .reason = RefusalReason::kTooLarge,
              .retry_after = std::chrono::seconds(10)};
    }
  }
  const bool timed = job.spec.repeats > 0;
  const Work work = m_durations.ExpectWork(queue.name, job.spec);
  const bool finite = work.cpu > 0;
  m_arrivals[queue.service].Add(id, work, now);
  m_customer_arrivals[customer].Add(id, work, now);
  if (finite && !timed) {
    AdmissionInput input = MakeAdmissionInput(job, now);
    input.beyond_share = IsBeyondShare(customer, now);
    const AdmissionVerdict verdict = Admit(input);
    if (!verdict.admitted) {
      return {.verdict = Submission::Verdict::kRefused,
              .reason = RefusalReason::kOverload,
              .retry_after = verdict.retry_after,
              .wait = verdict.wait,
              .slack = verdict.slack,
              .age = std::chrono::duration_cast<std::chrono::milliseconds>(
                  now - job.arrived_at),
              .beyond_share = input.beyond_share,
              .share = input.share ? input.share->part : 1.0};
    }
  }
  if (!timed) {
    BeginOccurrence(job, 0);
    // Callers that arrive before the snapshot is renewed must not all be given
    // the same free capacity.
    AdmissionSnapshot& snapshot = AdmissionSnapshotOf(job.service, now);
    const StepSpec& first = job.spec.steps.front();
    snapshot.backlog += work;
    if (m_options.share_by_weight) {
      snapshot.backlog_of_customer[customer] += work;
      snapshot.shares.Take(customer, CapacityNeed(first) * first.count);
    }
    snapshot.free -= CapacityNeed(first) * first.count;
    if (NeedsAdvice(job)) {
      snapshot.unadvised_steps[job.queue] += job.spec.steps.size();
    }
  }
  AddUnfinished(job);
  m_jobs.emplace(id, std::move(owned));
  // The rows of a former job of this id are overwritten.
  std::erase(m_removed_jobs, id);
  MarkDirty(job, true);
  return {.verdict = Submission::Verdict::kNew};
}

bool Scheduler::Withdraw(const std::string& id, base::TimePoint now) {
  const auto found = m_jobs.find(id);
  if (found == m_jobs.end() || found->second->accepted ||
      found->second->record_taken || IsFinished(found->second->phase)) {
    return false;
  }
  RemoveUnaccepted(*found->second, now);
  if (m_forgotten.contains(id)) {
    // The rows of the former job of this id were to be overwritten.
    m_removed_jobs.push_back(id);
  }
  return true;
}

void Scheduler::RemoveUnaccepted(Job& job, base::TimePoint now) {
  for (Occurrence& occurrence : job.occurrences) {
    for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
      auto& tasks = occurrence.steps[s].tasks;
      for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        const auto runs = tasks[i].runs;
        for (const Run& run : runs) {
          DropRun({&job, occurrence.number, s, i}, run.number,
                  DropReason::kNotOrdered, now);
        }
      }
    }
  }
  job.stored_segments.clear();
  RemoveAllSegments(job);
  m_urgent.erase(job.oldest_change);
  m_deferred.erase(job.oldest_change);
  const std::string id = job.id;
  RemoveUnfinished(id);
  m_jobs.erase(id);
}

bool Scheduler::SetAside(const std::string& id,
                         Batch& batch,
                         base::TimePoint now) {
  std::erase(batch.accepted, id);
  std::erase_if(batch.phases,
                [&id](const auto& phase) { return phase.first == id; });
  std::erase_if(batch.starts,
                [&id](const auto& start) { return start.first.job->id == id; });
  const auto found = m_jobs.find(id);
  if (found == m_jobs.end()) {
    return true;
  }
  Job& job = *found->second;
  if (job.accepted) {
    if (!IsFinished(job.phase)) {
      Finish(job, JobPhase::kFailed, now);
    }
    return true;
  }
  RemoveUnaccepted(job, now);
  m_removed_jobs.push_back(id);
  return false;
}

bool Scheduler::Cancel(const std::string& id, base::TimePoint now) {
  const auto found = m_jobs.find(id);
  if (found == m_jobs.end()) {
    return false;
  }
  if (!IsFinished(found->second->phase)) {
    Finish(*found->second, JobPhase::kCancelled, now);
  }
  return true;
}

const Job* Scheduler::FindJob(const std::string& id) const {
  const auto found = m_jobs.find(id);
  return found == m_jobs.end() ? nullptr : found->second.get();
}

const ForgottenJob* Scheduler::FindForgotten(const std::string& id) const {
  const auto found = m_forgotten.find(id);
  return found == m_forgotten.end() ? nullptr : &found->second;
}

bool Scheduler::IsServiceInUse(const std::string& service) const {
  return std::ranges::any_of(m_unfinished, [&](const auto& entry) {
    return ServiceOf(*entry.second) == service;
  });
}

std::size_t Scheduler::CountQueuedJobs(const std::string& queue) const {
  std::size_t count = 0;
  for (const auto& [id, job] : m_unfinished) {
    count += job->queue == queue && job->accepted && !job->started ? 1 : 0;
  }
  return count;
}

WorkerState* Scheduler::FindWorker(const std::string& id) {
  const auto found = m_workers.find(id);
  return found == m_workers.end() ? nullptr : &found->second;
}

const WorkerState* Scheduler::FindWorkerOnMachine(
    const std::string& machine) const {
  const auto ids = m_workers_on_machine.find(machine);
  if (ids == m_workers_on_machine.end()) {
    return nullptr;
  }
  const WorkerState* newest = nullptr;
  for (const std::string& id : ids->second) {
    const auto worker = m_workers.find(id);
    if (worker == m_workers.end() || !worker->second.listed) {
      continue;
    }
    const auto age = [](const WorkerState& state) {
      return std::pair(state.known_since, state.entry.id.incarnation_ms);
    };
    if (newest == nullptr || age(*newest) < age(worker->second)) {
      newest = &worker->second;
    }
  }
  return newest;
}

void Scheduler::IndexWorkers() {
  m_workers_on_machine.clear();
  m_workers_of_service.clear();
  for (auto& [id, worker] : m_workers) {
    m_workers_on_machine[worker.entry.machine].push_back(id);
    m_workers_of_service[worker.entry.service].push_back(&worker);
  }
}

const std::vector<WorkerState*>& Scheduler::WorkersOf(
    const std::string& service) const {
  static const std::vector<WorkerState*> none;
  const auto found = m_workers_of_service.find(service);
  return found == m_workers_of_service.end() ? none : found->second;
}

const Work& Scheduler::RemainingWorkOf(Job& job, base::TimePoint now) {
  if (job.remaining_at == base::TimePoint{} ||
      now - job.remaining_at > kMaxRemainingAge) {
    ++m_work.backlog_sums;
    job.remaining = RemainingWork(job, m_durations);
    job.remaining_at = now;
  }
  return job.remaining;
}

void Scheduler::MarkRowDirty(const ChangedRow& row,
                             std::uint64_t& oldest,
                             bool urgent) {
  ++m_last_change;
  row.job->remaining_at = {};
  if (oldest == 0) {
    oldest = m_last_change;
    m_deferred.emplace(oldest, row);
  }
  if (urgent) {
    m_urgent.insert(m_deferred.extract(oldest));
  }
}

void Scheduler::MarkDirty(Job& job, bool urgent) {
  MarkRowDirty({&job, std::nullopt}, job.oldest_change, urgent);
}

void Scheduler::MarkDirty(const TaskRef& ref, bool urgent) {
  if (ref.job->form == ProgressForm::kWhole || IsFinished(ref.job->phase)) {
    MarkDirty(*ref.job, urgent);
    return;
  }
  MarkSegmentDirty(*ref.job, SegmentOf(ref), urgent);
}

void Scheduler::MarkSegmentDirty(Job& job, SegmentNumber segment, bool urgent) {
  MarkRowDirty({&job, segment}, job.changed_segments[segment], urgent);
}

void Scheduler::MarkStepDirty(const TaskRef& ref, bool at_once) {
  if (!at_once || ref.job->form == ProgressForm::kWhole) {
    MarkDirty(ref, true);
    return;
  }
  const auto [first, last] = SegmentsOfStep(*ref.job, ref.occurrence, ref.step);
  for (SegmentNumber segment = first; segment <= last; ++segment) {
    MarkSegmentDirty(*ref.job, segment, true);
  }
}

void Scheduler::RemoveEmptySegments(Job& job) {
  if (job.stored_segments.empty() || job.form == ProgressForm::kWhole) {
    return;
  }
  const auto begun = FindBegunSegments(job);
  for (const auto& [segment, rows] : job.stored_segments) {
    if (!begun.contains(segment)) {
      MarkSegmentDirty(job, segment, false);
    }
  }
}

void Scheduler::RemoveAllSegments(Job& job) {
  for (const auto& [segment, oldest] :
       std::exchange(job.changed_segments, {})) {
    m_urgent.erase(oldest);
    m_deferred.erase(oldest);
  }
  job.unsplit_segments.clear();
  for (const auto& [segment, rows] : job.stored_segments) {
    MarkSegmentDirty(job, segment, false);
  }
}

void Scheduler::RemoveSegments(const std::string& job,
                               const StoredSegments& segments) {
  for (const auto& [segment, stored] : segments) {
    for (std::uint32_t place = 0; place < stored.rows; ++place) {
      m_removed_rows.push_back({job, false, std::nullopt, segment, place});
    }
  }
}

void Scheduler::AddUnfinished(Job& job) {
  m_unfinished.emplace(job.id, &job);
  if (job.spec.repeats > 0) {
    m_repeating.emplace(job.id, &job);
  }
}

void Scheduler::RemoveUnfinished(const std::string& id) {
  m_unfinished.erase(id);
  m_repeating.erase(id);
  m_jobs_with_failures.erase(id);
  m_jobs_with_done_occurrences.erase(id);
}

void Scheduler::Finish(Job& job, JobPhase phase, base::TimePoint now) {
  job.phase = phase;
  job.finished_at = now;
  ForgetAdvice(job.id);
  RemoveUnfinished(job.id);
  StopAllRuns(job, now);
  m_finished.push_back(&job);
  RemoveAllSegments(job);
  MarkDirty(job, true);
}

void Scheduler::StopAllRuns(Job& job, base::TimePoint now) {
  for (Occurrence& occurrence : job.occurrences) {
    for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
      StepState& step = occurrence.steps[s];
      step.waiting.clear();
      for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
        ForgetWithdrawnOf({&job, occurrence.number, s, i});
        for (Run& run : step.tasks[i].runs) {
          StopRun({&job, occurrence.number, s, i}, run, StopReason::kJobOver,
                  now);
        }
      }
    }
  }
}

void Scheduler::RemoveFinished(base::TimePoint now) {
  std::erase_if(m_finished, [this, now](Job* job) {
    if (now - job->finished_at < m_options.keep_finished ||
        job->live_runs > 0 || job->oldest_change != 0 ||
        !job->stored_segments.empty()) {
      return false;
    }
    m_removed_jobs.push_back(job->id);
    m_forgotten[job->id] = {job->stored_phase, job->customer};
    m_jobs.erase(job->id);
    return true;
  });
}

Batch Scheduler::TakeBatch(std::size_t max_rows,
                           base::TimePoint now,
                           RowChoice choice) {
  RemoveFinished(now);
  Batch batch;
  TakeRows(max_rows, choice, batch);
  std::erase_if(m_planned, [&batch](const auto& planned) {
    if (!IsStartStored(planned.first)) {
      return false;
    }
    batch.starts.push_back(planned);
    return true;
  });
  while (!m_removed_jobs.empty() && batch.rows.size() + 2 <= max_rows) {
    batch.rows.push_back({m_removed_jobs.back(), true, std::nullopt, {}});
    batch.rows.push_back({m_removed_jobs.back(), false, std::nullopt, {}});
    batch.removed.push_back(m_removed_jobs.back());
    m_removed_jobs.pop_back();
  }
  while (!m_removed_rows.empty() && batch.rows.size() < max_rows) {
    batch.rows.push_back(std::move(m_removed_rows.back()));
    m_removed_rows.pop_back();
  }
  CoverEnds(batch);
  return batch;
}

bool Scheduler::IsStartStored(const TaskRef& ref) {
  const Job& job = *ref.job;
  if (job.form != ProgressForm::kSplit) {
    return job.oldest_change == 0;
  }
  const auto is_written = [&job, &ref](std::uint32_t step) {
    const auto [first, last] = SegmentsOfStep(job, ref.occurrence, step);
    const auto changed = job.changed_segments.lower_bound(first);
    return changed == job.changed_segments.end() || changed->first > last;
  };
  const StepSpec& spec = SpecOf(ref);
  // The members of a gang start together. The step must not be seen to have
  // begun before those that it waits for are seen to be done.
  const bool is_own_written =
      spec.gang ? is_written(ref.step)
                : !job.changed_segments.contains(SegmentOf(ref));
  return is_own_written && std::ranges::all_of(spec.after, is_written);
}

bool Scheduler::HasOwnRow(const ChangedRow& changed) {
  const Job& job = *changed.job;
  return !changed.segment ||
         (job.form != ProgressForm::kSplitting && job.oldest_change != 0);
}

std::vector<JobRow> Scheduler::RowsToWrite(const ChangedRow& changed,
                                           bool ends_split) {
  std::vector<JobRow> rows;
  const Job& job = *changed.job;
  if (HasOwnRow(changed)) {
    AddOwnRows(job, ends_split || job.form == ProgressForm::kSplit, rows);
  }
  if (changed.segment) {
    AddSegmentRows(job, *changed.segment, rows);
  }
  return rows;
}

void Scheduler::NoteTaken(const ChangedRow& changed,
                          const std::vector<JobRow>& rows,
                          Batch& batch) {
  Job& job = *changed.job;
  if (HasOwnRow(changed)) {
    m_urgent.erase(job.oldest_change);
    m_deferred.erase(job.oldest_change);
    job.oldest_change = 0;
    job.record_taken = true;
    if (!job.accepted) {
      batch.accepted.push_back(job.id);
    }
    batch.phases.emplace_back(job.id, job.phase);
  }
  if (changed.segment) {
    const std::uint64_t oldest = job.changed_segments.at(*changed.segment);
    m_urgent.erase(oldest);
    m_deferred.erase(oldest);
    job.changed_segments.erase(*changed.segment);
    job.unsplit_segments.erase(*changed.segment);
    const auto stored = std::ranges::count_if(rows, [](const JobRow& each) {
      return each.segment.has_value() && each.bytes.has_value();
    });
    if (stored == 0) {
      job.stored_segments.erase(*changed.segment);
    } else {
      job.stored_segments[*changed.segment] =
          static_cast<std::uint32_t>(stored);
    }
  }
}

void Scheduler::BeginSplit(Job& job) {
  job.form = ProgressForm::kSplitting;
  job.unsplit_segments = FindBegunSegments(job);
  for (const auto& [segment, rows] : job.stored_segments) {
    job.unsplit_segments.insert(segment);
  }
  for (const SegmentNumber segment : job.unsplit_segments) {
    MarkSegmentDirty(job, segment, true);
  }
  MarkDirty(job, true);
}

void Scheduler::TakeRowsOf(ChangedRows& changed,
                           std::size_t up_to,
                           std::size_t& bytes,
                           Batch& batch) {
  for (auto next = changed.begin(); next != changed.end();) {
    const std::uint64_t oldest = next->first;
    const ChangedRow row = next->second;
    Job& job = *row.job;
    const bool ends_split = !row.segment &&
                            job.form == ProgressForm::kSplitting &&
                            !IsFinished(job.phase);
    if (ends_split && !job.unsplit_segments.empty()) {
      ++next;
      continue;
    }
    if (batch.rows.size() + (row.segment ? 1 : RowsOf(job)) > up_to) {
      return;
    }
    std::vector<JobRow> rows = RowsToWrite(row, ends_split);
    const bool is_too_large =
        job.form == ProgressForm::kWhole && rows.back().bytes &&
        rows.back().bytes->size() > kMaxWholeProgressBytes;
    if (is_too_large && job.accepted) {
      BeginSplit(job);
      next = changed.upper_bound(oldest);
      continue;
    }
    if (is_too_large) {
      rows.back().bytes = EncodeInitialProgress(job);
    }
    const std::size_t size = SizeOf(rows);
    if (!batch.rows.empty() && (batch.rows.size() + rows.size() > up_to ||
                                bytes + size > kMaxBatchBytes)) {
      return;
    }
    bytes += size;
    if (ends_split) {
      job.form = ProgressForm::kSplit;
    }
    NoteTaken(row, rows, batch);
    if (is_too_large) {
      batch.phases.back().second = JobPhase::kQueued;
      BeginSplit(job);
    }
    std::ranges::move(rows, std::back_inserter(batch.rows));
    next = changed.upper_bound(oldest);
  }
}

void Scheduler::TakeRows(std::size_t max_rows, RowChoice choice, Batch& batch) {
  std::size_t bytes = 0;
  std::size_t kept = 0;
  if (choice == RowChoice::kAll) {
    kept = std::min(m_deferred.size(), max_rows / kDeferredShare);
  }
  TakeRowsOf(m_urgent, max_rows - kept, bytes, batch);
  if (choice == RowChoice::kAll) {
    TakeRowsOf(m_deferred, max_rows, bytes, batch);
  }
}

void Scheduler::CoverEnds(Batch& batch) {
  std::uint64_t oldest_left = m_last_change + 1;
  for (const ChangedRows* changed : {&m_urgent, &m_deferred}) {
    if (!changed->empty()) {
      oldest_left = std::min(oldest_left, changed->begin()->first);
    }
  }
  while (!m_unwritten_ends.empty() &&
         m_unwritten_ends.front().change < oldest_left) {
    ++m_work.end_visits;
    UnwrittenEnd& end = m_unwritten_ends.front();
    batch.ends.emplace_back(std::move(end.worker), end.sequence);
    m_unwritten_ends.pop_front();
  }
}

void Scheduler::Confirm(const Batch& batch, base::TimePoint now) {
  for (const std::string& id : batch.removed) {
    m_forgotten.erase(id);
  }
  for (const std::string& id : batch.accepted) {
    m_forgotten.erase(id);
    if (const auto found = m_jobs.find(id); found != m_jobs.end()) {
      found->second->accepted = true;
    }
  }
  for (const auto& [id, phase] : batch.phases) {
    if (const auto found = m_jobs.find(id); found != m_jobs.end()) {
      found->second->stored_phase = phase;
    }
  }
  for (const auto& [id, sequence] : batch.ends) {
    WorkerState* worker = FindWorker(id.id);
    if (worker != nullptr && worker->entry.id == id) {
      worker->acked_end = std::max(worker->acked_end, sequence);
    }
  }
  DropStartsWithoutRoom(batch, now);
  // The members of a gang are ordered together or not at all.
  std::set<std::string> dropped_gangs;
  const auto is_usable = [this, now](const TaskRef& ref, const Run& run) {
    const WorkerState* worker = FindWorker(run.worker.id);
    return IsListCurrent(now) && m_evacuations.IsCurrent(now) &&
           worker != nullptr && worker->entry.id == run.worker &&
           IsUsable(*worker, now) &&
           (!NeedsAdvice(*ref.job) || FindTicket(ref, run, now) != nullptr);
  };
  std::map<std::string, std::uint32_t> members;
  for (const auto& [ref, number] : batch.starts) {
    if (!SpecOf(ref).gang) {
      continue;
    }
    const Run* run = FindRun(ref, number);
    const std::string gang = StepKey(ref.job->id, ref.occurrence, ref.step);
    ++members[gang];
    if (run == nullptr || !is_usable(ref, *run)) {
      dropped_gangs.insert(gang);
    }
  }
  for (const auto& [ref, number] : batch.starts) {
    if (!SpecOf(ref).gang) {
      continue;
    }
    const std::string gang = StepKey(ref.job->id, ref.occurrence, ref.step);
    // A member may have been dropped before the batch was taken.
    if (members[gang] < SpecOf(ref).count) {
      dropped_gangs.insert(gang);
    }
  }
  for (const auto& [ref, number] : batch.starts) {
    Run* run = FindRun(ref, number);
    if (run == nullptr || run->phase != RunPhase::kPlanned) {
      continue;
    }
    const bool is_whole =
        !SpecOf(ref).gang ||
        !dropped_gangs.contains(StepKey(ref.job->id, ref.occurrence, ref.step));
    if (is_whole && is_usable(ref, *run)) {
      OrderStart(ref, *run, now);
    } else {
      DropRun(ref, number, DropReason::kNotOrdered, now);
    }
  }
}

void Scheduler::OrderStart(const TaskRef& ref, Run& run, base::TimePoint now) {
  run.phase = RunPhase::kStarting;
  run.ordered_at = now;
  run.start_ordered_at = now;
  m_orders.starts.push_back({run.worker, IdOf(ref), run.number,
                             ref.job->spec.payload, run.checkpoint, "",
                             run.placed_at});
  if (const std::string* ticket = FindTicket(ref, run, now)) {
    m_orders.starts.back().ticket = *ticket;
  }
}

Orders Scheduler::TakeOrders() {
  return std::exchange(m_orders, {});
}

Scheduler::PoolLoads Scheduler::GetPoolLoads(base::TimePoint now) {
  PoolLoads pools;
  for (const auto& [id, worker] : m_workers) {
    if (!worker.listed || worker.entry.draining || worker.silent) {
      continue;
    }
    PoolLoad& load = pools[worker.entry.service];
    if (worker.cordoned || IsEvacuated(worker)) {
      // Its finite tasks end there; those that follow them need as much.
      load.used += worker.used - worker.long_running_used;
      load.evacuating += worker.long_running_used;
      continue;
    }
    ++load.workers;
    load.slow_workers += worker.speed.IsSlow() ? 1 : 0;
    load.capacity += worker.entry.capacity;
    load.used += worker.used;
    load.long_running_used += worker.long_running_used;
    if (worker.long_running_runs > 0) {
      load.long_running_capacity += worker.entry.capacity;
    }
  }
  for (const auto& [service, need] : m_unplaced) {
    pools[service].unplaced = need;
  }
  for (const auto& [service, starts] : m_reserved_starts) {
    pools[service].reserved_starts = starts;
  }
  for (const auto& [service, division] : m_divisions) {
    pools[service].contending_customers = division.customers;
    pools[service].jobs_beyond_share = division.jobs_beyond_share;
  }
  for (const auto& [service, need] : m_unplaced_long_running) {
    pools[service].unplaced_long_running = need;
  }
  for (const auto& [service, need] : std::exchange(m_blocked_evacuations, {})) {
    pools[service].unplaced_long_running += need;
  }
  for (auto& [service, meter] : m_arrivals) {
    pools[service].arriving_work = meter.Rate(now);
  }
  for (const auto& [id, job] : m_unfinished) {
    PoolLoad& load = pools[ServiceOf(*job)];
    for (const StepSpec& step : job->spec.steps) {
      load.min_workers = std::max(load.min_workers, DistinctWorkers(step));
    }
    if (job->worthless_after > now) {
      load.backlog += RemainingWorkOf(*job, now);
    }
  }
  return pools;
}

}  // namespace cassiastile::jobs
