// Orders that may take effect in another incarnation of a worker than the one
// they were given to.
#include "cassiastile/jobs/scheduler.hpp"

namespace cassiastile::jobs {

void Scheduler::BeginIncarnation(WorkerState& worker,
                                 std::int64_t incarnation_ms,
                                 base::TimePoint now) {
  worker.entry.id.incarnation_ms = incarnation_ms;
  worker.last_end = 0;
  worker.acked_end = 0;
  worker.health = {};
  const auto runs = worker.runs;
  for (const auto& [ref, number] : runs) {
    Run* run = FindRun(ref, number);
    if (run == nullptr || run->worker.incarnation_ms == incarnation_ms) {
      continue;
    }
    if (run->listed || run->phase == RunPhase::kPlanned) {
      DropRun(ref, number, DropReason::kIncarnationOver, now);
      continue;
    }
    run->worker = worker.entry.id;
    run->confirmed_at = {};
    MarkDirty(*ref.job, false);
    if (run->phase == RunPhase::kStopping) {
      // The stop is lost with the incarnation that it was given to.
      run->ordered_at = now;
      m_orders.stops.push_back(
          {run->worker, IdOf(ref), number, run->stop_reason});
    } else {
      run->phase = RunPhase::kStartUnknown;
      worker.wants_report = true;
    }
  }
}

}  // namespace cassiastile::jobs
