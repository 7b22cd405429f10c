// Workers that end unasked, and the tasks that ran there.
#include <algorithm>

#include "cassiastile/jobs/scheduler.hpp"

namespace cassiastile::jobs {

void Scheduler::RecordCrash(const TaskRef& ref,
                            const Run& run,
                            DropReason reason) {
  const bool ended_unasked = reason == DropReason::kIncarnationOver ||
                             reason == DropReason::kWorkerGone ||
                             reason == DropReason::kLeaseOver;
  if (!ended_unasked || run.phase == RunPhase::kPlanned) {
    return;
  }
  const WorkerState* worker = FindWorker(run.worker.id);
  const bool leaving =
      worker != nullptr && (worker->entry.draining || worker->cordoned);
  const bool started = run.listed || run.answered_at != base::TimePoint{};
  const bool certain = started && !leaving && reason != DropReason::kLeaseOver;
  auto& crashes = FindTask(ref)->crashes;
  const auto known = std::ranges::find(crashes, run.number, &Crash::run);
  if (known == crashes.end()) {
    crashes.push_back({run.number, certain});
  } else {
    known->certain = known->certain || certain;
  }
}

}  // namespace cassiastile::jobs
