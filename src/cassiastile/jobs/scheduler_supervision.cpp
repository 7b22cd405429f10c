// Supervision of runs: fillers that disturb other tasks, workers that drain,
// tasks that make no progress.
#include <algorithm>

#include "cassiastile/jobs/scheduler.hpp"

namespace cassiastile::jobs {

namespace {

// A finite task whose percentage has not changed for this long is stuck; a
// healthy worker reports progress several times a second.
constexpr std::chrono::milliseconds kStuckAfter{2000};
// A run that takes this many times its expected duration, and at least
// kMinSlowAge, before it is half done is restarted elsewhere.
constexpr int kSlowFactor = 4;
constexpr std::chrono::milliseconds kMinSlowAge{1500};
// Fillers are slowed down at once and sped up in steps.
constexpr int kMinPacePercent = 0;
constexpr int kPaceStepPercent = 25;
// Fillers are sped up only while each tail latency is below this fraction of
// its target.
constexpr double kSpeedUpFraction = 0.7;
// Least time between an order to a filler and speeding it up. Reported loads
// cover about as long.
constexpr std::chrono::milliseconds kPaceInterval{500};
// In this time, each service has one task of an evacuated zone stopped: room
// elsewhere counts as free until the task is placed there.
constexpr std::chrono::milliseconds kZoneEvacuationInterval{250};

}  // namespace

bool Scheduler::IsServing(const Run& run) const {
  const auto worker = m_workers.find(run.worker.id);
  return run.phase == RunPhase::kRunning &&
         run.serving_since != base::TimePoint{} && worker != m_workers.end() &&
         !worker->second.silent && !worker->second.is_ending;
}

void Scheduler::SuperviseRuns(base::TimePoint now) {
  EvacuateZones(now);
  MeasureSpeeds(now);
  for (auto& [id, worker] : m_workers) {
    if (!worker.has_reported) {
      continue;
    }
    if (worker.entry.draining && worker.listed) {
      DrainWorker(worker, now);
    }
    PaceFillers(worker, now);
    RequestProof(worker, now);
    const auto runs = worker.runs;
    for (const auto& [ref, number] : runs) {
      if (Run* run = FindRun(ref, number)) {
        MoveStuckRun(ref, *run, worker, now);
      }
    }
  }
}

void Scheduler::MoveStuckRun(const TaskRef& ref,
                             Run& run,
                             WorkerState& worker,
                             base::TimePoint now) {
  const StepSpec& spec = SpecOf(ref);
  if (run.phase != RunPhase::kRunning || spec.long_running || spec.is_filler ||
      spec.gang || run.percent < 0) {
    return;
  }
  const auto expected = m_durations.Expect(ref.job->queue, spec.estimate);
  // Only reports show a lack of progress: a silent worker may have made some,
  // or have stood still.
  const auto heard_for = worker.last_report - worker.heard_since;
  const auto age = std::min(worker.last_report - run.confirmed_at, heard_for);
  const bool stuck =
      std::min(worker.last_report - run.progressed_at, heard_for) > kStuckAfter;
  const bool slow =
      age > kMinSlowAge && age > kSlowFactor * expected && run.percent < 50;
  if (!stuck && !slow) {
    return;
  }
  Task& task = *FindTask(ref);
  if (task.avoided_worker == run.worker.id) {
    return;
  }
  task.avoided_worker = run.worker.id;
  worker.health.RunFailed(now);
  StopRun(ref, run, StopReason::kStuck, now);
}

void Scheduler::DrainWorker(WorkerState& worker, base::TimePoint now) {
  const auto runs = worker.runs;
  for (const auto& [ref, number] : runs) {
    Run* run = FindRun(ref, number);
    const StepSpec& spec = SpecOf(ref);
    if (run != nullptr && run->phase == RunPhase::kRunning &&
        (spec.long_running || spec.checkpointing)) {
      StopRun(ref, *run, StopReason::kDraining, now);
    }
  }
}

void Scheduler::PaceFillers(WorkerState& worker, base::TimePoint now) {
  bool above_target = false;
  bool well_below_target = true;
  for (const auto& [ref, number] : worker.runs) {
    const StepSpec& spec = SpecOf(ref);
    const Run* run = FindRun(ref, number);
    if (run == nullptr || spec.target.count() == 0 || run->percent < 100) {
      continue;
    }
    above_target = above_target || run->load > spec.target.count();
    well_below_target =
        well_below_target &&
        static_cast<double>(run->load) <
            kSpeedUpFraction * static_cast<double>(spec.target.count());
  }
  for (const auto& [ref, number] : worker.runs) {
    const StepSpec& spec = SpecOf(ref);
    Run* run = FindRun(ref, number);
    if (run == nullptr || !spec.is_filler || run->phase != RunPhase::kRunning) {
      continue;
    }
    int wanted = run->paced_percent;
    if (above_target) {
      wanted = kMinPacePercent;
    } else if (well_below_target && now - run->ordered_at > kPaceInterval) {
      wanted = std::min(100, run->paced_percent + kPaceStepPercent);
    }
    if (wanted != run->paced_percent) {
      run->paced_percent = wanted;
      run->ordered_at = now;
      m_orders.paces.push_back({run->worker, IdOf(ref), number, wanted});
    }
  }
}

void Scheduler::SetCordoned(const std::string& id, bool cordoned) {
  if (WorkerState* worker = FindWorker(id)) {
    worker->cordoned = cordoned;
    worker->is_ending = worker->is_ending && cordoned;
    worker->may_stay = worker->may_stay && cordoned;
  }
}

void Scheduler::CordonAndMarkUnavailable(const std::string& id,
                                         base::TimePoint now) {
  WorkerState* worker = FindWorker(id);
  if (worker == nullptr) {
    return;
  }
  worker->cordoned = true;
  worker->is_ending = true;
  worker->may_stay = false;
  for (const auto& [ref, number] : worker->runs) {
    Run* run = FindRun(ref, number);
    if (run != nullptr && run->serving_since != base::TimePoint{}) {
      run->serving_since = {};
      FindTask(ref)->unavailable_since = now;
    }
  }
}

void Scheduler::CordonInDoubt(const std::string& id, base::TimePoint now) {
  CordonAndMarkUnavailable(id, now);
  if (WorkerState* worker = FindWorker(id)) {
    worker->may_stay = true;
  }
}

std::uint32_t Scheduler::CountOtherUnavailable(const TaskRef& ref) const {
  std::uint32_t unavailable = 0;
  const auto& tasks =
      FindOccurrence(*ref.job, ref.occurrence)->steps[ref.step].tasks;
  for (std::uint32_t i = 0; i < tasks.size(); ++i) {
    const bool serving = std::ranges::any_of(
        tasks[i].runs, [this](const Run& run) { return IsServing(run); });
    unavailable += i != ref.index && !serving ? 1 : 0;
  }
  return unavailable;
}

bool Scheduler::HasRoomElsewhere(const TaskRef& ref,
                                 const WorkerState& worker,
                                 base::TimePoint now) const {
  const Resources need = CapacityNeed(SpecOf(ref));
  return std::ranges::any_of(
      WorkersOf(worker.entry.service), [&](const WorkerState* other) {
        return other != &worker && IsUsable(*other, now) &&
               Fits(other->used + other->unaccounted +
                        WithheldCapacity(*other) + need,
                    other->entry.capacity) &&
               IsEligible(*other, ref, nullptr);
      });
}

bool Scheduler::MayInterrupt(const TaskRef& ref,
                             const Run& run,
                             std::uint32_t max_unavailable) const {
  return max_unavailable > 0 && IsServing(run) &&
         CountOtherUnavailable(ref) < max_unavailable;
}

void Scheduler::Evacuate(const std::string& id, base::TimePoint now) {
  WorkerState* worker = FindWorker(id);
  if (worker == nullptr || !worker->Answers()) {
    return;
  }
  for (const auto& [ref, number] : worker->runs) {
    Run* run = FindRun(ref, number);
    const StepSpec& spec = SpecOf(ref);
    if (run == nullptr || !MayInterrupt(ref, *run, spec.max_unavailable)) {
      continue;
    }
    if (HasRoomElsewhere(ref, *worker, now)) {
      StopRun(ref, *run, StopReason::kEvacuated, now);
    } else {
      m_blocked_evacuations[worker->entry.service] += CapacityNeed(spec);
    }
  }
}

void Scheduler::EvacuateZones(base::TimePoint now) {
  if (m_evacuations.IsEmpty() ||
      now - m_zones_evacuated_at < kZoneEvacuationInterval) {
    return;
  }
  m_zones_evacuated_at = now;
  std::set<std::string> services_done;
  for (auto& [id, worker] : m_workers) {
    if (!IsEvacuated(worker) || !worker.Answers()) {
      continue;
    }
    for (const auto& [ref, number] : worker.runs) {
      const StepSpec& spec = SpecOf(ref);
      if (!spec.long_running || services_done.contains(worker.entry.service)) {
        continue;
      }
      Run* run = FindRun(ref, number);
      if (run == nullptr ||
          !MayInterrupt(ref, *run, std::max(1U, spec.max_unavailable))) {
        continue;
      }
      services_done.insert(worker.entry.service);
      if (HasRoomElsewhere(ref, worker, now)) {
        StopRun(ref, *run, StopReason::kEvacuated, now);
      } else {
        m_blocked_evacuations[worker.entry.service] += CapacityNeed(spec);
      }
    }
  }
}

bool Scheduler::CanDrainMachine(const std::string& machine) const {
  return !DrainBlocker(machine).has_value();
}

std::optional<TaskId> Scheduler::DrainBlocker(
    const std::string& machine) const {
  const auto ids = m_workers_on_machine.find(machine);
  if (ids == m_workers_on_machine.end()) {
    return std::nullopt;
  }
  for (const std::string& id : ids->second) {
    const auto worker = m_workers.find(id);
    if (worker == m_workers.end()) {
      continue;
    }
    for (const auto& [ref, number] : worker->second.runs) {
      if (!CanEndRunsOn(ref, id)) {
        return IdOf(ref);
      }
    }
  }
  return std::nullopt;
}

bool Scheduler::CanEndRunsOn(const TaskRef& ref, const std::string& id) const {
  const StepSpec& spec = SpecOf(ref);
  if (spec.max_unavailable == 0 || IsFinished(ref.job->phase)) {
    return true;
  }
  const Occurrence* occurrence = FindOccurrence(*ref.job, ref.occurrence);
  std::uint32_t unavailable = 0;
  for (const Task& task : occurrence->steps[ref.step].tasks) {
    const bool serving = std::ranges::any_of(
        task.runs, [this](const Run& run) { return IsServing(run); });
    const bool here = std::ranges::any_of(
        task.runs, [&id](const Run& run) { return run.worker.id == id; });
    unavailable += !serving || here ? 1 : 0;
  }
  return unavailable <= spec.max_unavailable;
}

}  // namespace cassiastile::jobs
