#pragma once

#include <chrono>

namespace cassiastile::jobs {

// Times that the scheduler goes by. Those named of the platform come from the
// bounds in the settings.
struct SchedulerOptions {
  // A worker whose last report is older gets no new tasks. A report comes at
  // least once a second from a worker in good order.
  std::chrono::milliseconds stale_report{2500};
  // How long a finished job's state is kept; the platform's status_s.
  std::chrono::milliseconds keep_finished{120000};
  // Given to a task before its time counts as lost: the platform's early_ms is
  // how much too early an occurrence may start.
  std::chrono::milliseconds early{0};
  // How long a long-running task counts as away after it was not at work; the
  // platform's notice_ms.
  std::chrono::milliseconds notice{4500};
  // How much longer a task takes away from its data; the platform's
  // remote_penalty.
  double remote_factor = 1.5;
  // How long fillers may disturb a task over its target; the platform's
  // interference_ms.
  std::chrono::milliseconds interference{4000};
};

}  // namespace cassiastile::jobs
