// Placement that looks at what will end soon: starts reserved for finite tasks
// that fit nowhere yet.
#include <algorithm>

#include "cassiastile/jobs/scheduler.hpp"

namespace cassiastile::jobs {

namespace {

// A run whose end was ordered ends within the users' stop timeout.
constexpr std::chrono::milliseconds kStopTime{500};
// A run that has not ended when it was expected to is expected to end after
// this part of the time that it has taken so far.
constexpr double kOverdueFraction = 0.25;
// A job that has waited for this long has its reserved worker to itself: tasks
// that were let in before its start and took longer have not kept it waiting
// for more than the longest of them.
constexpr std::chrono::milliseconds kMaxOvertaken{2000};
// Workers on which a gang may have starts reserved.
constexpr std::size_t kMaxReservedMembers = 16;
// Of so many workers with the least missing capacity, the expected ends are
// compared: doing so for all took most of a planning round.
constexpr std::ptrdiff_t kComparedWorkers = 16;

// When the run is expected to end, by its progress or by its usual duration.
base::TimePoint ExpectEnd(const Run& run,
                          std::chrono::milliseconds usual,
                          base::TimePoint now) {
  if (run.phase == RunPhase::kStopping) {
    return now + kStopTime;
  }
  const base::TimePoint began =
      run.confirmed_at != base::TimePoint{} ? run.confirmed_at : run.ordered_at;
  const auto taken = now - began;
  // Earlier percentages are too coarse to tell a duration.
  constexpr int kTellingPercent = 10;
  if (run.percent >= kTellingPercent && run.percent < 100) {
    const auto at_progress = run.progressed_at - began;
    return std::max(now, began + at_progress * 100 / run.percent);
  }
  if (taken < usual) {
    return began + usual;
  }
  return now +
         std::chrono::duration_cast<base::Duration>(kOverdueFraction * taken);
}

}  // namespace

std::int64_t WorkerState::MissingFor(const Resources& need) const {
  const Resources missing = used + need - entry.capacity;
  // Missing memory counts as CPU, at the usual memory per core.
  constexpr std::int64_t kMegabytesPerCore = 4096;
  return std::max<std::int64_t>(0, missing.cpu) +
         std::max<std::int64_t>(0, missing.memory) * 1000 / kMegabytesPerCore;
}

base::TimePoint Scheduler::EndsBy(const Job& job,
                                  const StepSpec& step,
                                  base::TimePoint now) const {
  if (m_options.max_reserved_starts == 0 || step.long_running ||
      step.is_filler) {
    return base::TimePoint::max();
  }
  ++m_work.predictions;
  return now + m_durations.ExpectAtMost(job.queue, step.estimate);
}

std::optional<ReservedStart> Scheduler::EarliestStartOn(
    const WorkerState& worker,
    const Resources& need,
    base::TimePoint now) const {
  const Resources free = worker.entry.capacity - worker.used -
                         worker.unaccounted - worker.reserved - worker.withheld;
  std::vector<ExpectedRelease> releases;
  releases.reserve(worker.runs.size());
  for (const auto& [ref, number] : worker.runs) {
    const StepSpec& step = SpecOf(ref);
    const Task& task = *FindTask(ref);
    const auto run = std::ranges::find(task.runs, number, &Run::number);
    if (run == task.runs.end() ||
        (step.long_running && run->phase != RunPhase::kStopping)) {
      continue;
    }
    const auto usual = m_durations.Expect(ref.job->queue, step.estimate);
    releases.push_back({ExpectEnd(*run, usual, now), CapacityNeed(step)});
  }
  return FindEarliestStart(need, free, std::move(releases), now);
}

WorkerState* Scheduler::FindReservable(const TaskRef& ref,
                                       const std::vector<WorkerState*>& workers,
                                       const Advice* advice,
                                       base::TimePoint now,
                                       ReservedStart& start) const {
  const Resources need = CapacityNeed(SpecOf(ref));
  std::vector<std::pair<std::int64_t, WorkerState*>> candidates;
  for (WorkerState* worker : workers) {
    if (!worker->reserved_start && worker->reserved == Resources{} &&
        Fits(worker->long_running_used + need, worker->entry.capacity)) {
      candidates.emplace_back(worker->MissingFor(need), worker);
    }
  }
  const auto compared = std::min<std::ptrdiff_t>(
      kComparedWorkers, static_cast<std::ptrdiff_t>(candidates.size()));
  std::ranges::partial_sort(candidates, candidates.begin() + compared, {},
                            &std::pair<std::int64_t, WorkerState*>::first);
  WorkerState* best = nullptr;
  std::ptrdiff_t seen = 0;
  for (const auto& [missing, worker] : candidates) {
    if (!IsEligible(*worker, ref, advice)) {
      continue;
    }
    const auto earliest = EarliestStartOn(*worker, need, now);
    if (earliest && (best == nullptr || IsBetterStart(*earliest, start))) {
      best = worker;
      start = *earliest;
    }
    if (++seen >= compared) {
      break;
    }
  }
  return best;
}

bool Scheduler::ReserveStart(const TaskRef& ref,
                             const std::vector<WorkerState*>& workers,
                             const Advice* advice,
                             base::TimePoint now) {
  ReservedStart start;
  WorkerState* worker = FindReservable(ref, workers, advice, now, start);
  if (worker == nullptr) {
    return false;
  }
  if (now - ref.job->arrived_at > kMaxOvertaken) {
    start.at = now;
  }
  worker->reserved_start = start;
  ++m_reserved_starts[worker->entry.service];
  return true;
}

void Scheduler::ReserveGang(Job& job,
                            const Occurrence& occurrence,
                            std::uint32_t step,
                            const std::vector<WorkerState*>& workers,
                            const Advice* advice,
                            base::TimePoint now) {
  const auto& waiting = occurrence.steps[step].waiting;
  if (m_reserved_for_finite >= m_options.max_reserved_starts ||
      waiting.size() > kMaxReservedMembers ||
      job.spec.steps[step].long_running) {
    return;
  }
  std::vector<WorkerState*> places;
  base::TimePoint at = now;
  for (const std::uint32_t index : waiting) {
    ReservedStart start;
    WorkerState* place = FindReservable({&job, occurrence.number, step, index},
                                        workers, advice, now, start);
    if (place == nullptr) {
      break;
    }
    place->reserved_start = start;
    places.push_back(place);
    at = std::max(at, start.at);
  }
  const bool all = places.size() == waiting.size();
  for (WorkerState* place : places) {
    if (all) {
      // Its members start together.
      place->reserved_start->at = at;
    } else {
      place->reserved_start.reset();
    }
  }
  if (all) {
    ++m_reserved_for_finite;
    m_reserved_starts[ServiceOf(job)] += places.size();
  }
}

}  // namespace cassiastile::jobs
