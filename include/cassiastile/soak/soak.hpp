#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "cassiastile/base/error.hpp"
#include "cassiastile/soak/fault_plan.hpp"

namespace cassiastile::soak {

struct SoakOptions {
  std::uint64_t seed = 1;
  PlanOptions plan;
  FaultPlan faults;  // Empty for the seed's own plan.
  std::string host_program;
  std::string folder;  // For settings, logs and the plan; must exist.
  // Hand-ins a second over all services.
  double jobs_per_second = 8;
  // How long all accepted jobs may take to be done after the last fault.
  std::chrono::milliseconds settle{20000};
};

struct SoakResult {
  std::uint64_t seed = 0;
  std::size_t faults = 0;
  std::size_t jobs = 0;
  std::size_t accepted = 0;
  std::size_t refused = 0;
  std::size_t done = 0;
  std::size_t starts = 0;  // Of processes.
  std::vector<std::string> violations;
};

// Runs hosts as separate processes against stand-ins for the platform, spoils
// them by a plan, and checks the promises from what callers and workers see.
// Blocks until the run is over; no process is left behind.
base::Result<SoakResult> RunSoak(const SoakOptions& options);

// The smallest plan found that still fails, by leaving faults out; each
// candidate is tried up to `tries` times, since processes run in real time.
base::Result<FaultPlan> ShrinkPlan(SoakOptions options, int tries);

}  // namespace cassiastile::soak
