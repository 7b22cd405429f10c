// Looks after runs under way: fillers that disturb, workers that drain, tasks
// that stand still.
#include <algorithm>

#include "cassiastile/jobs/scheduler.hpp"

namespace cassiastile::jobs {

namespace {

// A finite task whose percentage has not moved for so long stands still; a
// healthy worker reports progress several times a second.
constexpr std::chrono::milliseconds kStuckAfter{2000};
// A run that is slower than expected by this factor is started elsewhere.
constexpr int kSlowFactor = 4;
constexpr std::chrono::milliseconds kSlowAtLeast{1500};
// Fillers go down at once and come back in steps.
constexpr int kPaceLow = 0;
constexpr int kPaceStep = 25;
// The tail must be well below its target before fillers get more.
constexpr double kCalmShare = 0.7;
constexpr std::chrono::milliseconds kPaceInterval{500};

}  // namespace

bool Scheduler::IsAtWork(const Run& run) const {
  const auto worker = m_workers.find(run.worker.id);
  return run.phase == RunPhase::kRunning &&
         run.serving_since != base::TimePoint{} && worker != m_workers.end() &&
         !worker->second.silent;
}

void Scheduler::CareForRuns(base::TimePoint now) {
  for (auto& [id, worker] : m_workers) {
    if (!worker.has_reported) {
      continue;
    }
    if (worker.entry.draining && worker.listed) {
      LeaveDrainingWorker(worker, now);
    }
    PaceFillers(worker, now);
    const auto runs = worker.runs;
    for (const auto& [ref, number] : runs) {
      if (Run* run = FindRun(ref, number)) {
        MoveStuckRun(ref, *run, now);
      }
    }
  }
}

void Scheduler::MoveStuckRun(const TaskRef& ref,
                             Run& run,
                             base::TimePoint now) {
  const StepSpec& spec = SpecOf(ref);
  if (run.phase != RunPhase::kRunning || spec.long_running || spec.fills ||
      spec.gang || run.percent < 0) {
    return;
  }
  const auto expected = m_durations.Expect(ref.job->queue, spec.estimate);
  const auto age = now - run.confirmed_at;
  const bool stuck = now - run.progressed_at > kStuckAfter;
  const bool slow =
      age > kSlowAtLeast && age > kSlowFactor * expected && run.percent < 50;
  if (!stuck && !slow) {
    return;
  }
  Task& task = *FindTask(ref);
  if (task.avoided_worker == run.worker.id) {
    return;
  }
  task.avoided_worker = run.worker.id;
  if (WorkerState* worker = FindWorker(run.worker.id)) {
    worker->health.RunFailed(now);
  }
  StopRun(ref, run, StopReason::kStuck, now);
}

void Scheduler::LeaveDrainingWorker(WorkerState& worker, base::TimePoint now) {
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
  bool over = false;
  bool calm = true;
  for (const auto& [ref, number] : worker.runs) {
    const StepSpec& spec = SpecOf(ref);
    const Run* run = FindRun(ref, number);
    if (run == nullptr || spec.target.count() == 0 || run->percent < 100) {
      continue;
    }
    over = over || run->load > spec.target.count();
    calm = calm && static_cast<double>(run->load) <
                       kCalmShare * static_cast<double>(spec.target.count());
  }
  for (const auto& [ref, number] : worker.runs) {
    const StepSpec& spec = SpecOf(ref);
    Run* run = FindRun(ref, number);
    if (run == nullptr || !spec.fills || run->phase != RunPhase::kRunning) {
      continue;
    }
    int wanted = run->paced_percent;
    if (over) {
      wanted = kPaceLow;
    } else if (calm && now - run->ordered_at > kPaceInterval) {
      wanted = std::min(100, run->paced_percent + kPaceStep);
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
  }
}

void Scheduler::MarkVacated(const std::string& id, base::TimePoint now) {
  WorkerState* worker = FindWorker(id);
  if (worker == nullptr) {
    return;
  }
  worker->cordoned = true;
  for (const auto& [ref, number] : worker->runs) {
    Run* run = FindRun(ref, number);
    if (run != nullptr && run->serving_since != base::TimePoint{}) {
      run->serving_since = {};
      FindTask(ref)->unavailable_since = now;
    }
  }
}

std::uint32_t Scheduler::AwayBeside(const TaskRef& ref) const {
  std::uint32_t away = 0;
  const auto& tasks =
      FindOccurrence(*ref.job, ref.occurrence)->steps[ref.step].tasks;
  for (std::uint32_t i = 0; i < tasks.size(); ++i) {
    const bool at_work = std::ranges::any_of(
        tasks[i].runs, [this](const Run& run) { return IsAtWork(run); });
    away += i != ref.index && !at_work ? 1 : 0;
  }
  return away;
}

void Scheduler::Evacuate(const std::string& id, base::TimePoint now) {
  WorkerState* worker = FindWorker(id);
  if (worker == nullptr || !worker->has_reported || worker->silent) {
    return;
  }
  for (const auto& [ref, number] : worker->runs) {
    Run* run = FindRun(ref, number);
    const StepSpec& spec = SpecOf(ref);
    if (run != nullptr && spec.max_unavailable > 0 && IsAtWork(*run) &&
        AwayBeside(ref) < spec.max_unavailable) {
      StopRun(ref, *run, StopReason::kEvacuated, now);
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
      if (!MayEndWith(ref, id)) {
        return IdOf(ref);
      }
    }
  }
  return std::nullopt;
}

bool Scheduler::MayEndWith(const TaskRef& ref, const std::string& id) const {
  const StepSpec& spec = SpecOf(ref);
  if (spec.max_unavailable == 0 || IsFinished(ref.job->phase)) {
    return true;
  }
  const Occurrence* occurrence = FindOccurrence(*ref.job, ref.occurrence);
  std::uint32_t away = 0;
  for (const Task& task : occurrence->steps[ref.step].tasks) {
    const bool at_work = std::ranges::any_of(
        task.runs, [this](const Run& run) { return IsAtWork(run); });
    const bool here = std::ranges::any_of(
        task.runs, [&id](const Run& run) { return run.worker.id == id; });
    away += !at_work || here ? 1 : 0;
  }
  return away <= spec.max_unavailable;
}

}  // namespace cassiastile::jobs
