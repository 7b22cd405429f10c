#pragma once

#include <cstdint>
#include <iosfwd>

#include "cassiastile/standin/backend_simulation.hpp"

namespace cassiastile::standin {

// The invariant violations of one simulation, found by comparing the log of the
// runners with what the callers were told.
struct FaultMixViolations {
  std::uint64_t ran_twice = 0;        // Non-idempotent requests only.
  std::uint64_t not_run_but_ran = 0;  // The caller was told "not run".
  std::uint64_t wrong_answers = 0;    // Incomplete, or to another request.
  std::uint64_t without_answer = 0;
  std::uint64_t answered_twice = 0;
  // Requests that reached a runner while all its slots were in use.
  std::uint64_t arrivals_over_slots = 0;

  bool operator==(const FaultMixViolations&) const = default;
};

void PrintTo(const FaultMixViolations& found, std::ostream* out);

// How many requests were answered in each way.
struct FaultMixTally {
  std::uint64_t correct = 0;  // With the complete response to the request.
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;  // The caller was told that it may have run.
};

struct FaultMixResult {
  FaultMixViolations violations;
  FaultMixTally tally;
};

// Runs callers against three entry hosts and four runners. The seed decides the
// mix of faults: runners fail in several ways, kept connections drop all
// traffic, the table fails and loses answers, a host crashes and restarts, and
// a runner leaves.
FaultMixResult RunFaultMix(std::uint64_t seed, SimulatedPolicy policy);

}  // namespace cassiastile::standin
