#pragma once

#include <chrono>

namespace cassiastile::jobs {

// Time limits of the scheduler.
struct SchedulerOptions {
  // A worker whose last report is older gets no new tasks. A healthy worker
  // reports at least once a second.
  std::chrono::milliseconds max_report_age{2500};
  // How long a finished job's state is kept; finished_state_s in the settings.
  std::chrono::milliseconds keep_finished{120000};
  // After a worker has restarted under its id, calls for its former incarnation
  // may extend its lease up to this time: 13 s until the last of them comes,
  // and the longest lease that a worker accepts, by a clock that is 2 % slow.
  std::chrono::milliseconds lease_after_restart{23300};
};

}  // namespace cassiastile::jobs
