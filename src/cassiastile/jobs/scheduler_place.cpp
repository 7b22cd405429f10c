// Placement: the order of waiting tasks, and the worker for each.
#include <algorithm>
#include <tuple>

#include "cassiastile/jobs/scheduler.hpp"

namespace cassiastile::jobs {

namespace {

// Penalties of a worker, in thousandths of a core. The worker with the least
// free CPU is chosen, and a penalty counts as that much additional free CPU.
constexpr std::int64_t kFailedHereCost = 1000000;
constexpr std::int64_t kRemoteCost = 100000;  // The data is in another rack.
// More tasks of a step would be on the worker than may be unavailable at once.
constexpr std::int64_t kColocationCost = 200000;
// The worker has started a short while ago and is still slow.
constexpr std::int64_t kColdCost = 100000;
// Its tasks take longer than those of other workers.
constexpr std::int64_t kSlowCost = 150000;
// For each long-running task on the worker: long-running tasks are packed
// together, and finite tasks kept away from them.
constexpr std::int64_t kLongRunningPackingBonus = 20000;
constexpr std::int64_t kInterferenceCost = 1000;
constexpr std::int64_t kWholeCore = 1000;

// Runs are supervised at an interval that grows with the fleet, since
// supervising them in every planning round took most of a loaded scheduler's
// time. Leases and timeouts are in the order of seconds.
constexpr std::chrono::milliseconds kMinSupervisionInterval{50};
constexpr std::chrono::microseconds kSupervisionIntervalPerWorker{120};
constexpr std::chrono::milliseconds kMaxSupervisionInterval{150};

// Number of workers of a service that are reserved for finite tasks that could
// not be placed, without a time. More of them would be left half empty at peak
// load.
constexpr std::size_t kReservedForFinite = 1;

// Tasks of occurrences that have begun are kept in memory, each in some 250
// bytes: so many of one job and of all that repeat. An occurrence that is due
// begins at once only while few tasks wait that could start with it.
constexpr std::uint64_t kMaxKeptTasks = 1U << 16U;
constexpr std::uint64_t kMaxKeptTasksOfAll = 1U << 18U;
constexpr std::size_t kMaxWaitingOfStep = 1000;

// How urgent a job is; more urgent jobs are placed first.
enum class Urgency : std::uint8_t {
  kLongRunning,  // Serves users as long as it runs.
  kOnTime,       // Can still meet its objective.
  // Can't meet its objective, so it takes no capacity from those that can.
  kLate,
  kWorthless,  // Its result has no value any more.
};

// The order in which jobs are placed, smallest first.
struct Rank {
  Urgency urgency = Urgency::kOnTime;
  int priority = 0;
  // Its customer has its share of the pool without it.
  bool beyond_share = false;
  base::TimePoint objective{};
  std::string_view id;

  auto Key() const {
    return std::tie(urgency, priority, beyond_share, objective, id);
  }
};

// Durations are estimates, so a job counts as late only if it would have to be
// clearly faster than expected.
constexpr double kFastestFraction = 0.7;

// The earliest time at which the job can end, given its waiting tasks.
base::TimePoint EarliestEnd(const Job& job, base::TimePoint now) {
  std::chrono::milliseconds longest{0};
  for (const Occurrence& occurrence : job.occurrences) {
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
      if (!occurrence.steps[i].waiting.empty() &&
          i < job.critical_paths.size()) {
        longest = std::max(longest, job.critical_paths[i]);
      }
    }
  }
  return now + std::chrono::duration_cast<base::TimePoint::duration>(
                   kFastestFraction * longest);
}

Rank RankOf(const Job& job, const QueueConfig* queue, base::TimePoint now) {
  Rank rank;
  rank.priority = queue == nullptr ? 0 : queue->priority;
  rank.objective = job.objective;
  rank.id = job.id;
  if (job.spec.steps.front().long_running) {
    rank.urgency = Urgency::kLongRunning;
  } else if (now > job.worthless_after) {
    rank.urgency = Urgency::kWorthless;
  } else if (EarliestEnd(job, now) > job.objective) {
    rank.urgency = Urgency::kLate;
  }
  return rank;
}

bool HasRoom(const WorkerState& worker, const Resources& need) {
  return Fits(worker.used + worker.unaccounted + worker.reserved +
                  worker.withheld + need,
              worker.entry.capacity);
}

// Whether a task has room that ends by `ends_by` if it is placed now.
bool HasRoomUntil(const WorkerState& worker,
                  const TaskRef& ref,
                  base::TimePoint ends_by) {
  if (worker.Binds(ref)) {
    // Its capacity is withheld; no reservation goes before that.
    return Fits(worker.used + worker.unaccounted + worker.withheld,
                worker.entry.capacity);
  }
  const Resources need = CapacityNeed(SpecOf(ref));
  return HasRoom(worker, need) &&
         (!worker.reserved_start ||
          LeavesStart(*worker.reserved_start, need, ends_by));
}

// A task that runs past the reserved start of its worker takes what is left
// beside it.
void UseSpareOfStart(WorkerState& worker,
                     const Resources& need,
                     base::TimePoint ends_by) {
  if (worker.reserved_start && ends_by > worker.reserved_start->at) {
    worker.reserved_start->spare -= need;
  }
}

bool HasWaiting(const Job& job) {
  for (const Occurrence& occurrence : job.occurrences) {
    for (const StepState& step : occurrence.steps) {
      if (!step.waiting.empty()) {
        return true;
      }
    }
  }
  return false;
}

bool IsOfSameStep(const TaskRef& left, const TaskRef& right) {
  return left.job == right.job && left.occurrence == right.occurrence &&
         left.step == right.step;
}

std::uint32_t RunsOfStep(const WorkerState& worker, const TaskRef& ref) {
  std::uint32_t count = 0;
  for (const auto& [other, run] : worker.runs) {
    count += IsOfSameStep(other, ref) ? 1 : 0;
  }
  return count;
}

// Number of places of the step on the worker that are taken: by runs, and by
// other tasks of the step that withdrawn starts bind to it, since those may run
// nowhere else.
std::uint32_t TakenPlacesOfStep(const WorkerState& worker, const TaskRef& ref) {
  std::uint32_t count = RunsOfStep(worker, ref);
  for (const TaskRef& other : worker.withdrawn) {
    const bool waits = FindTask(other)->runs.empty();
    count += waits && !(other == ref) && IsOfSameStep(other, ref) ? 1 : 0;
  }
  return count;
}

}  // namespace

bool Scheduler::IsListCurrent(base::TimePoint now) const {
  return now - m_list_as_of <= m_options.max_list_age;
}

bool Scheduler::IsUsable(const WorkerState& worker, base::TimePoint now) const {
  return worker.listed && worker.has_reported && !worker.silent &&
         !worker.entry.draining && !worker.cordoned && !IsEvacuated(worker) &&
         now - worker.last_report < m_options.max_report_age &&
         !worker.health.IsQuarantined(now);
}

bool Scheduler::IsWithinLimit(const Job& job, const Resources& need) const {
  const CustomerConfig* customer = CustomerOf(job.customer);
  if (customer == nullptr) {
    return true;
  }
  const auto used = m_used_by_customer.find(job.customer);
  const Resources after =
      (used == m_used_by_customer.end() ? Resources{} : used->second) + need;
  const auto within = [](std::int64_t value, std::int64_t limit) {
    return limit == 0 || value <= limit;
  };
  return within(after.cpu, customer->limit.cpu) &&
         within(after.memory, customer->limit.memory) &&
         within(after.gpus, customer->limit.gpus);
}

void Scheduler::BeginDueOccurrences(base::WallTime wall) {
  const auto wall_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      wall.time_since_epoch());
  for (const auto& [id, job] : m_repeating) {
    if (!job->accepted) {
      continue;
    }
    while (job->due_occurrences < job->spec.repeats &&
           job->spec.first_due + job->spec.interval * job->due_occurrences <=
               wall_ms) {
      ++job->due_occurrences;
    }
    while (job->next_occurrence < job->due_occurrences &&
           MayBeginOccurrence(*job)) {
      BeginOccurrence(*job, job->next_occurrence);
      MarkDirty(*job, false);
    }
  }
}

bool Scheduler::MayBeginOccurrence(const Job& job) const {
  if (job.occurrences.empty()) {
    return true;
  }
  const std::uint64_t tasks = TasksOfOccurrence(job.spec);
  std::uint64_t kept_of_all = 0;
  for (const auto& [id, other] : m_repeating) {
    kept_of_all += other->occurrences.size() * TasksOfOccurrence(other->spec);
  }
  if ((job.occurrences.size() + 1) * tasks > kMaxKeptTasks ||
      kept_of_all + tasks > kMaxKeptTasksOfAll) {
    return false;
  }
  // One step whose tasks fit nowhere must not keep others from beginning.
  for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
    if (!job.spec.steps[step].after.empty()) {
      continue;
    }
    std::size_t waiting = 0;
    for (const Occurrence& occurrence : job.occurrences) {
      waiting += occurrence.steps[step].waiting.size();
    }
    if (waiting < kMaxWaitingOfStep) {
      return true;
    }
  }
  return false;
}

void Scheduler::RemoveOverOccurrences() {
  std::erase_if(m_jobs_with_done_occurrences, [this](const std::string& id) {
    Job& job = *m_jobs.at(id);
    std::vector<std::uint32_t> removed;
    bool are_left = false;
    std::erase_if(job.occurrences, [&](const Occurrence& occurrence) {
      const bool is_done = occurrence.steps_done == occurrence.steps.size();
      if (!is_done || !IsOver(occurrence)) {
        are_left = are_left || is_done;
        return false;
      }
      removed.push_back(occurrence.number);
      return true;
    });
    if (job.form == ProgressForm::kWhole || removed.empty()) {
      return !are_left;
    }
    MarkDirty(job, false);
    const auto last_step =
        static_cast<std::uint32_t>(job.spec.steps.size() - 1);
    for (const std::uint32_t number : removed) {
      const SegmentNumber first = SegmentsOfStep(job, number, 0).first;
      const SegmentNumber last = SegmentsOfStep(job, number, last_step).second;
      for (auto stored = job.stored_segments.lower_bound(first);
           stored != job.stored_segments.end() && stored->first <= last;
           ++stored) {
        MarkSegmentDirty(job, stored->first, false);
      }
    }
    return !are_left;
  });
}

void Scheduler::Plan(base::TimePoint now, base::WallTime wall) {
  const auto interval = std::clamp<std::chrono::microseconds>(
      kSupervisionIntervalPerWorker *
          static_cast<std::int64_t>(m_workers.size()),
      kMinSupervisionInterval, kMaxSupervisionInterval);
  if (now - m_supervised_at >= interval) {
    m_supervised_at = now;
    ExpireRuns(now);
    SuperviseRuns(now);
  }
  RemoveOverOccurrences();
  BeginDueOccurrences(wall);
  FailExhaustedJobs(now);
  if (!IsListCurrent(now) || !m_evacuations.IsCurrent(now)) {
    return;
  }
  ++m_work.rounds;
  std::map<std::string, std::vector<Job*>> waiting;
  for (const auto& [id, job] : m_unfinished) {
    if (HasWaiting(*job)) {
      waiting[ServiceOf(*job)].push_back(job);
    }
  }
  m_unplaced.clear();
  m_unplaced_long_running.clear();
  std::erase_if(m_divisions, [&waiting](const auto& division) {
    return !waiting.contains(division.first);
  });
  for (auto& [service, jobs] : waiting) {
    PlaceService(service, jobs, now);
  }
  AskAdvisor(now);
}

void Scheduler::PlaceService(const std::string& service,
                             std::vector<Job*>& jobs,
                             base::TimePoint now) {
  std::vector<WorkerState*> workers;
  std::ranges::copy_if(WorkersOf(service), std::back_inserter(workers),
                       [this, now](const WorkerState* worker) {
                         return IsUsable(*worker, now);
                       });
  std::vector<std::pair<Rank, Job*>> ranked;
  ranked.reserve(jobs.size());
  for (Job* job : jobs) {
    ranked.emplace_back(RankOf(*job, QueueOf(*job), now), job);
  }
  const auto sort = [&ranked] {
    std::ranges::sort(ranked, [](const auto& left, const auto& right) {
      return left.first.Key() < right.first.Key();
    });
  };
  sort();
  m_divisions.erase(service);
  if (m_options.share_by_weight) {
    std::ranges::transform(ranked, jobs.begin(),
                           &std::pair<Rank, Job*>::second);
    const auto beyond = FindJobsBeyondShare(service, jobs, now);
    for (auto& [rank, job] : ranked) {
      rank.beyond_share = beyond.contains(job);
    }
    sort();
  }
  m_unplaceable.clear();
  m_reserved_starts.erase(service);
  m_reserved_for_finite = 0;
  m_trials = 0;
  if (m_suspected_runs > 0) {
    m_trials = static_cast<std::size_t>(std::ranges::count_if(
        workers, [](const WorkerState* worker) { return HasTrial(*worker); }));
  }
  for (WorkerState* worker : workers) {
    worker->reserved = {};
    worker->reserved_start.reset();
    worker->takes_finite = now >= worker->finite_from;
    worker->withheld = WithheldCapacity(*worker);
  }
  m_free.Reset(workers);
  for (const auto& [rank, job] : ranked) {
    for (Occurrence& occurrence : job->occurrences) {
      for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
        if (!occurrence.steps[step].waiting.empty()) {
          PlaceStep(*job, occurrence, step, workers, now);
        }
      }
    }
  }
}

void Scheduler::PlaceStep(Job& job,
                          Occurrence& occurrence,
                          std::uint32_t step_number,
                          std::vector<WorkerState*>& workers,
                          base::TimePoint now) {
  const QueueConfig* queue = QueueOf(job);
  if (queue == nullptr && m_jobs_with_failures.contains(job.id)) {
    // How often its tasks may fail is known when the queue is back.
    return;
  }
  const Advice* advice = nullptr;
  if (NeedsAdvice(job)) {
    advice = &m_advice[StepKey(job.id, occurrence.number, step_number)];
    if (!advice->AllowsAny()) {
      m_advised_steps[job.queue].push_back(
          {&job, occurrence.number, step_number});
      return;
    }
  }
  const StepSpec& spec = job.spec.steps[step_number];
  if (spec.gang) {
    PlaceGang(job, occurrence, step_number, workers, advice, now);
    return;
  }
  StepState& step = occurrence.steps[step_number];
  std::vector<std::uint32_t> left;
  // Without a reservation, a task that fits nowhere would starve while smaller
  // ones take all capacity that becomes free. All waiting long-running tasks
  // get one, since they serve users; of the others, only the first.
  std::size_t may_reserve = spec.long_running ? step.waiting.size() : 0;
  const std::size_t most =
      std::max(kReservedForFinite, m_options.max_reserved_starts);
  if (!spec.long_running && m_reserved_for_finite < most) {
    may_reserve = most - m_reserved_for_finite;
  }
  // A task that no allowed worker can take leaves the place to others.
  const auto count_reserved = [&](bool is_reserved) {
    if (is_reserved || advice == nullptr) {
      --may_reserve;
      m_reserved_for_finite += spec.long_running ? 0 : 1;
    }
  };
  bool full = IsFull(CapacityNeed(spec));
  bool allowed = IsWithinLimit(job, spec.need);
  std::int64_t unplaced = 0;
  for (const std::uint32_t index : step.waiting) {
    const TaskRef ref{&job, occurrence.number, step_number, index};
    // Its capacity is withheld on the only worker that may run it.
    const bool bound = IsBound(ref);
    const Suspicion suspicion = SuspicionOf(step.tasks[index]);
    if (spec.long_running && IsStartLimitReached(step.tasks[index])) {
      left.push_back(index);
      continue;
    }
    step.tasks[index].must_be_isolated = IsIsolationSought(ref, now);
    WorkerState* worker = nullptr;
    // A worker on trial gets no other tasks, so at least half of them are not.
    const bool may_try =
        suspicion == Suspicion::kNone || 2 * m_trials < workers.size() ||
        std::ranges::any_of(workers, [&job](const WorkerState* each) {
          return HasTrial(*each) && !HasUnprovenRun(*each, job);
        });
    if (allowed && may_try && (bound || !full)) {
      worker = ChooseWorker(ref, workers, advice, now);
      full = full ||
             (worker == nullptr && !bound && suspicion == Suspicion::kNone);
    }
    if (worker == nullptr) {
      if (allowed && step.tasks[index].must_be_isolated) {
        if (may_reserve > 0) {
          count_reserved(ReserveWorker(ref, workers, advice));
        }
      } else if (allowed && !bound) {
        ++unplaced;
        if (may_reserve > 0) {
          count_reserved(spec.long_running || m_options.max_reserved_starts == 0
                             ? Reserve(ref, workers, advice)
                             : ReserveStart(ref, workers, advice, now));
        }
      }
      left.push_back(index);
      continue;
    }
    m_trials += suspicion == Suspicion::kNone || HasTrial(*worker) ? 0 : 1;
    BeginRun(ref, *worker, now);
    UseSpareOfStart(*worker, CapacityNeed(spec), EndsBy(job, spec, now));
    allowed = IsWithinLimit(job, spec.need);
  }
  step.waiting = std::move(left);
  if (advice != nullptr && allowed && !step.waiting.empty()) {
    m_advised_steps[job.queue].push_back(
        {&job, occurrence.number, step_number});
  }
  if (unplaced > 0) {
    const Resources need = CapacityNeed(spec) * unplaced;
    m_unplaced[ServiceOf(job)] += need;
    if (spec.long_running) {
      m_unplaced_long_running[ServiceOf(job)] += need;
    }
  }
}

bool Scheduler::PlaceGang(Job& job,
                          Occurrence& occurrence,
                          std::uint32_t step_number,
                          std::vector<WorkerState*>& workers,
                          const Advice* advice,
                          base::TimePoint now) {
  StepState& step = occurrence.steps[step_number];
  if (step.waiting.size() < step.tasks.size()) {
    // Members of the last attempt are still ending.
    return false;
  }
  const StepSpec& spec = job.spec.steps[step_number];
  if (!IsWithinLimit(job, spec.need * spec.count)) {
    return false;
  }
  std::vector<WorkerState*> places;
  std::vector<Resources> held;
  const Resources need = CapacityNeed(spec);
  for (const std::uint32_t index : step.waiting) {
    const TaskRef member{&job, occurrence.number, step_number, index};
    WorkerState* place = ChooseWorker(member, workers, advice, now);
    if (place == nullptr) {
      break;
    }
    // Held while the others are placed.
    held.push_back(place->Binds(member) ? Resources{} : need);
    place->used += held.back();
    ++place->held_members;
    m_free.Update(*place);
    places.push_back(place);
  }
  for (std::size_t i = 0; i < places.size(); ++i) {
    places[i]->used -= held[i];
    places[i]->held_members = 0;
    m_free.Update(*places[i]);
  }
  if (places.size() < step.waiting.size()) {
    ReserveGang(job, occurrence, step_number, workers, advice, now);
    if (advice != nullptr) {
      m_advised_steps[job.queue].push_back(
          {&job, occurrence.number, step_number});
    }
    return false;
  }
  std::uint32_t run = 0;
  for (const Task& task : step.tasks) {
    run = std::max(run, task.last_run);
  }
  const std::vector<std::uint32_t> members = std::move(step.waiting);
  step.waiting.clear();
  for (std::size_t i = 0; i < members.size(); ++i) {
    step.tasks[members[i]].last_run = run;
    step.tasks[members[i]].checkpoint = step.tasks.front().checkpoint;
    step.tasks[members[i]].checkpoint_run = step.tasks.front().checkpoint_run;
    BeginRun({&job, occurrence.number, step_number, members[i]}, *places[i],
             now);
    UseSpareOfStart(*places[i], need, EndsBy(job, spec, now));
  }
  return true;
}

Resources Scheduler::WithheldCapacity(const WorkerState& worker) {
  Resources withheld;
  for (const TaskRef& ref : worker.withdrawn) {
    if (FindTask(ref)->runs.empty() && worker.Binds(ref)) {
      withheld += CapacityNeed(SpecOf(ref));
    }
  }
  return withheld;
}

bool Scheduler::MayLeave(const TaskRef& ref,
                         const WithdrawnStart& start) const {
  const auto found = m_workers.find(start.worker.id);
  if (start.has_left || found == m_workers.end()) {
    return true;
  }
  const WorkerState& worker = found->second;
  const WorkerEntry& entry = worker.entry;
  const ServiceConfig* service = m_config->LastService(entry.service);
  const bool guards = service != nullptr && service->workers_guard_capacity;
  const bool would_refuse =
      guards && !Fits(CapacityNeed(SpecOf(ref)), entry.capacity);
  const bool is_leaving = worker.cordoned && !worker.may_stay;
  return entry.draining || is_leaving || would_refuse || IsEvacuated(worker);
}

bool Scheduler::IsBound(const TaskRef& ref) const {
  return !std::ranges::all_of(FindTask(ref)->withdrawn,
                              [this, &ref](const WithdrawnStart& start) {
                                return MayLeave(ref, start);
                              });
}

bool Scheduler::IsFull(const Resources& need) {
  // Placing only reduces free capacity, so what did not fit before does not fit
  // now.
  const bool known = std::ranges::any_of(
      m_unplaceable,
      [&need](const Resources& full) { return Fits(full, need); });
  if (known) {
    return true;
  }
  const bool full = !m_free.HasRoom(need);
  if (full) {
    m_unplaceable.push_back(need);
  }
  return full;
}

bool Scheduler::HasUnprovenTask(const WorkerState& worker) const {
  return std::ranges::any_of(worker.runs, [this](const auto& ref_and_number) {
    const auto& [ref, number] = ref_and_number;
    const StepSpec& spec = SpecOf(ref);
    const auto& runs = FindTask(ref)->runs;
    const auto run = std::ranges::find(runs, number, &Run::number);
    const bool works = run != runs.end() && run->proven && spec.long_running;
    return !works && !spec.is_filler;
  });
}

bool Scheduler::IsEligible(const WorkerState& worker,
                           const TaskRef& ref,
                           const Advice* advice) const {
  return IsSuitable(worker, ref, advice) && !IsKeptApart(worker, ref);
}

bool Scheduler::IsSuitable(const WorkerState& worker,
                           const TaskRef& ref,
                           const Advice* advice) const {
  const StepSpec& spec = SpecOf(ref);
  const WorkerEntry& entry = worker.entry;
  const bool has_label = entry.HasLabel(spec.required_label);
  const bool advised = advice == nullptr || advice->IsAllowed(entry.id.id);
  const bool healthy = !worker.health.IsOnProbation() ||
                       !HasUnprovenTask(worker) ||
                       (spec.long_running && worker.Binds(ref));
  const bool expected = std::ranges::all_of(
      FindTask(ref)->withdrawn,
      [this, &ref, &entry](const WithdrawnStart& start) {
        return start.worker.id == entry.id.id || MayLeave(ref, start);
      });
  const bool lasting = worker.takes_finite || spec.long_running;
  return has_label && advised && healthy && expected && lasting &&
         (spec.max_per_worker == 0 ||
          TakenPlacesOfStep(worker, ref) + worker.held_members <
              spec.max_per_worker);
}

bool Scheduler::Reserve(const TaskRef& ref,
                        const std::vector<WorkerState*>& workers,
                        const Advice* advice) {
  const Resources need = CapacityNeed(SpecOf(ref));
  WorkerState* best = nullptr;
  std::int64_t best_missing = 0;
  for (WorkerState* worker : workers) {
    // Finite tasks end soon; long-running ones stay.
    const bool can_fit =
        Fits(worker->long_running_used + need, worker->entry.capacity);
    if (!can_fit || worker->reserved != Resources{} ||
        !IsEligible(*worker, ref, advice)) {
      continue;
    }
    const std::int64_t cost = worker->MissingFor(need);
    if (best == nullptr || cost < best_missing) {
      best = worker;
      best_missing = cost;
    }
  }
  if (best != nullptr) {
    ReserveOn(*best, need);
  }
  return best != nullptr;
}

void Scheduler::ReserveOn(WorkerState& worker, const Resources& need) {
  worker.reserved = need;
  m_free.Update(worker);
}

std::optional<std::int64_t> Scheduler::CostOn(const WorkerState& worker,
                                              const TaskRef& ref,
                                              const Advice* advice,
                                              std::int64_t unused_cpu,
                                              base::TimePoint now) const {
  const StepSpec& spec = SpecOf(ref);
  const Task& task = *FindTask(ref);
  ++m_work.workers_examined;
  const bool has_ticket =
      advice == nullptr || advice->FindTicket(worker.entry.id, now) != nullptr;
  if (!has_ticket || !IsEligible(worker, ref, advice)) {
    return std::nullopt;
  }
  const bool slow = IsAvoidedAsSlow(worker) && !spec.long_running;
  if (slow && !worker.Binds(ref) && WouldBeLateOn(worker, ref, now)) {
    return std::nullopt;
  }
  // Best fit, so that unneeded machines become idle and large tasks find room.
  std::int64_t cost = unused_cpu;
  if (task.avoided_worker == worker.entry.id.id) {
    cost += kFailedHereCost;
  }
  cost += now < worker.cold_until ? kColdCost : 0;
  cost += slow ? kSlowCost : 0;
  if (!spec.data_rack.empty() && spec.data_rack != worker.entry.rack) {
    cost += kRemoteCost;
  }
  if (spec.max_unavailable > 0 &&
      RunsOfStep(worker, ref) >= spec.max_unavailable) {
    cost += kColocationCost;
  }
  const std::int64_t neighbours = worker.long_running_runs;
  const bool suspected = SuspicionOf(task) != Suspicion::kNone;
  cost += spec.long_running && !suspected
              ? -kLongRunningPackingBonus * neighbours
              : kInterferenceCost * neighbours;
  return suspected ? CrashCost(worker, *ref.job) + cost / kWholeCore : cost;
}

WorkerState* Scheduler::ChooseWorker(const TaskRef& ref,
                                     const std::vector<WorkerState*>& workers,
                                     const Advice* advice,
                                     base::TimePoint now) const {
  const StepSpec& spec = SpecOf(ref);
  const Task& task = *FindTask(ref);
  const base::TimePoint ends_by = EndsBy(*ref.job, spec, now);
  WorkerState* best = nullptr;
  std::int64_t best_cost = 0;
  const auto consider = [&](WorkerState& worker, std::int64_t unused_cpu) {
    const auto cost = CostOn(worker, ref, advice, unused_cpu, now);
    if (cost && (best == nullptr || *cost < best_cost)) {
      best = &worker;
      best_cost = *cost;
    }
  };
  if (!task.withdrawn.empty()) {
    for (WorkerState* worker : workers) {
      if (HasRoomUntil(*worker, ref, ends_by)) {
        consider(*worker, worker->entry.capacity.cpu - worker->used.cpu);
      }
    }
    return best;
  }
  // A worker costs at least its unused CPU, unless something is subtracted.
  const bool is_least_cost =
      !spec.long_running && SuspicionOf(task) == Suspicion::kNone;
  const Resources need = CapacityNeed(spec);
  m_free.ForEachWithRoom(
      need, [&](WorkerState& worker, std::int64_t unused_cpu) {
        if (!worker.reserved_start ||
            LeavesStart(*worker.reserved_start, need, ends_by)) {
          consider(worker, unused_cpu);
        }
        return is_least_cost && best != nullptr ? best_cost
                                                : FreeCapacity::kNoLimit;
      });
  return best;
}

}  // namespace cassiastile::jobs
