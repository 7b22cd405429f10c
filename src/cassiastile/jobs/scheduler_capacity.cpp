// Workers whose capacity changes, and runs that take part of it unknown to the
// scheduler.
#include <algorithm>

#include "cassiastile/jobs/scheduler.hpp"

namespace cassiastile::jobs {

void WorkerState::SetEntry(const WorkerEntry& newer) {
  entry = newer;
  largest_capacity.cpu = std::max(largest_capacity.cpu, newer.capacity.cpu);
  largest_capacity.memory =
      std::max(largest_capacity.memory, newer.capacity.memory);
  largest_capacity.gpus = std::max(largest_capacity.gpus, newer.capacity.gpus);
}

bool Scheduler::StillFits(const Run& run) const {
  const auto worker = m_workers.find(run.worker.id);
  return worker == m_workers.end() ||
         Fits(worker->second.used + worker->second.unaccounted,
              worker->second.entry.capacity);
}

void Scheduler::DropStartsWithoutRoom(const Batch& batch, base::TimePoint now) {
  const auto drop = [this, now](const TaskRef& ref, std::uint32_t number) {
    const Run* run = FindRun(ref, number);
    if (run != nullptr && run->phase == RunPhase::kPlanned) {
      DropRun(ref, number, DropReason::kNoRoom, now);
    }
  };
  for (const auto& [ref, number] : batch.starts) {
    const Run* run = FindRun(ref, number);
    if (run == nullptr || run->phase != RunPhase::kPlanned || StillFits(*run)) {
      continue;
    }
    if (!SpecOf(ref).gang) {
      drop(ref, number);
      continue;
    }
    for (std::uint32_t i = 0; i < SpecOf(ref).count; ++i) {
      drop({ref.job, ref.occurrence, ref.step, i}, number);
    }
  }
}

void Scheduler::CountUnaccounted(WorkerState& worker,
                                 const WorkerReport& report) {
  worker.unaccounted = {};
  for (const ListedRun& listed : report.running) {
    const auto ref = FindTaskRef(listed.task);
    if (!ref) {
      // Of a job that is no longer known: its need is not known either.
      worker.unaccounted = worker.entry.capacity;
      return;
    }
    const Run* run = FindRun(*ref, listed.run);
    if (run == nullptr || run->worker != worker.entry.id) {
      worker.unaccounted += CapacityNeed(SpecOf(*ref));
    }
  }
}

}  // namespace cassiastile::jobs
