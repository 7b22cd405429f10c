#pragma once

#include <cstdint>
#include <iosfwd>

#include "cassiastile/standin/backend_simulation.hpp"

namespace cassiastile::standin {

// The broken promises of one run, found from what the runners logged and what
// the callers were told.
struct FaultMixViolations {
  std::uint64_t ran_twice = 0;        // Requests that are not idempotent.
  std::uint64_t not_run_but_ran = 0;  // The caller was told "not run".
  std::uint64_t wrong_answers = 0;    // Not the whole answer to the request.
  std::uint64_t without_answer = 0;
  std::uint64_t answered_twice = 0;
  std::uint64_t over_slots = 0;  // Starts above a runner's slots.

  bool operator==(const FaultMixViolations&) const = default;
};

void PrintTo(const FaultMixViolations& found, std::ostream* out);

// How the callers of a run were answered.
struct FaultMixTally {
  std::uint64_t whole = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
};

struct FaultMixResult {
  FaultMixViolations violations;
  FaultMixTally tally;
};

// Runs callers against three entry hosts and four runners while runners fail in
// a mix of ways drawn from the seed, kept connections go silent, the table
// fails and loses answers, a host crashes and comes back, and a runner leaves.
FaultMixResult RunFaultMix(std::uint64_t seed, SimulatedPolicy policy);

}  // namespace cassiastile::standin
