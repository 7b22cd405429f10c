#pragma once

#include <cstdint>

namespace cassiastile::jobs {

// What planning has cost since the start, as counts that are the same on every
// machine. Processor time follows them.
struct PlanningWork {
  std::uint64_t rounds = 0;
  std::uint64_t placed = 0;  // Runs.
  // How often the whole state of a worker was looked at for a task.
  std::uint64_t workers_examined = 0;
  // How often the duration of a task was predicted for a placement.
  std::uint64_t predictions = 0;
  // How often a worker or an end was visited to find what a batch covers.
  std::uint64_t end_visits = 0;
  // How often the work that is left of a job was summed up.
  std::uint64_t backlog_sums = 0;
};

}  // namespace cassiastile::jobs
