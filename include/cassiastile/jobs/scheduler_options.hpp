#pragma once

#include <chrono>
#include <cstddef>

namespace cassiastile::jobs {

// Time limits of the scheduler.
struct SchedulerOptions {
  // A worker whose last report is older gets no new tasks. A healthy worker
  // reports at least once a second.
  std::chrono::milliseconds max_report_age{2500};
  // Starts are ordered only if the list of workers was complete at most this
  // long ago. It is shorter than the time within which workers that drain still
  // expect starts, drain_ms in the settings.
  std::chrono::milliseconds max_list_age{1500};
  // How long a finished job's state is kept; finished_state_s in the settings.
  std::chrono::milliseconds keep_finished{120000};
  // An order without an answer may be carried out up to this long after it was
  // given.
  std::chrono::milliseconds max_order_delay{13000};
  // Leaders know a former incarnation's clock, by which they give leases, for
  // up to this long after the next one has started: it is used for 2 s, and a
  // leader that stood still may go on for the 8 s of its unconfirmed term.
  std::chrono::milliseconds max_former_orders{12000};
  // A former leader that stood still may give starts up to this long after the
  // takeover: 1.5 s after the commit that allows them, and no sooner than 0.7 s
  // after it another one takes over from a leader that is alive.
  std::chrono::milliseconds max_start_after_term{800};
  // No worker keeps its runs longer than this without a new lease;
  // max_worker_lease_ms in the settings.
  std::chrono::milliseconds max_worker_lease{10000};
  // Starts are ordered only if the operators' requests to evacuate zones were
  // read at most this long ago. Zero where operators evacuate no zones.
  std::chrono::milliseconds max_evacuations_age{0};
  // Starts that are reserved at once in each service, for finite tasks that fit
  // nowhere yet, at the time when enough is expected to end. Zero: one task has
  // capacity kept free for it, without a time.
  std::size_t max_reserved_starts = 0;
  // Whether customers get parts of a pool by weight while it has too little
  // room for all; see PoolShares. Visits all jobs for each service and planning
  // round, so it is not for fleets of a thousand workers.
  bool share_by_weight = false;
  // Whether workers that are slower than others get finite tasks after them;
  // see WorkerSpeed.
  bool avoid_slow_workers = false;
};

}  // namespace cassiastile::jobs
