#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "cassiastile/base/error.hpp"
#include "cassiastile/soak/fault_plan.hpp"

namespace cassiastile::soak {

// Options of a soak run.
struct SoakOptions {
  std::uint64_t seed = 1;
  PlanOptions plan;
  FaultPlan faults;  // If empty, the plan is made from the seed.
  std::string host_program;
  std::string folder;  // For settings, logs and the plan; must exist.
  // From how many workers on other hosts relay the leader's calls.
  std::size_t min_relayed_workers = 100;
  // See the setting of the same name.
  std::size_t max_reserved_starts = 4;
  // Whether the hosts divide pools by the customers' weights, and whether they
  // avoid slow workers.
  bool share_by_weight = true;
  bool avoid_slow_workers = true;
  // See the settings of the same names; zero leaves them out.
  std::size_t memory_mb = 0;
  std::size_t max_descriptors = 0;
  // The queues of so many services, from the first on, have placement advice.
  std::size_t advised_services = 0;
  // Whether jobs with some thousand tasks, whose progress is split, are
  // submitted now and then.
  bool wide_jobs = false;
  // Submissions per second over all services.
  double jobs_per_second = 8;
  // Whether machines can be moved to other pools.
  bool machines_move = true;
  // How long accepted jobs may take to be done after all faults have ended.
  std::chrono::milliseconds settle_timeout{20000};
};

// Counts and invariant violations of a soak run.
struct SoakResult {
  std::uint64_t seed = 0;
  std::size_t faults = 0;
  std::size_t jobs = 0;
  std::size_t accepted = 0;
  std::size_t refused = 0;
  std::size_t done = 0;
  std::size_t process_starts = 0;  // Of host processes, restarts included.
  std::vector<std::string> violations;
};

// Runs hosts as separate processes against stand-in platform services, injects
// the faults of a plan, and checks the invariants from what callers and workers
// see. Blocks until the run is over; no process is left behind.
base::Result<SoakResult> RunSoak(const SoakOptions& options);

// Returns the smallest plan found that still fails, by leaving out faults. Each
// candidate is tried up to `tries` times, since processes run in real time and
// a failure may not recur at once. Fails with kInvalid if the whole plan
// passes.
base::Result<FaultPlan> ShrinkPlan(SoakOptions options, int tries);

}  // namespace cassiastile::soak
