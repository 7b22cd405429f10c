#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/random.hpp"
#include "cassiastile/work/runner.hpp"

namespace cassiastile::work {

// Settings for choosing and ejecting runners.
struct RoutingOptions {
  std::string zone;  // The zone of this host.
  // Added to the latency of runners in other zones.
  std::chrono::milliseconds zone_penalty{3};
  std::uint32_t eject_after_failures = 3;  // Consecutive ones.
  // Length of the first ejection; doubles with each consecutive one.
  std::chrono::milliseconds ejection{2000};
  std::chrono::milliseconds max_ejection{30000};
  double max_ejected_fraction = 0.5;  // Of the runners that are not leaving.
  // A runner counts as silent when a request to it is unanswered for this long,
  // and for this many times its usual latency, and the runner has sent no other
  // answer since.
  std::chrono::milliseconds min_silence{500};
  double silence_factor = 8;
  // A runner whose latency exceeds the median by this factor is ejected.
  double slow_factor = 5;
  std::chrono::milliseconds assumed_latency{50};  // Until the first answer.
};

using Runners = std::vector<Runner>;

// Whether new requests may be sent to the runner.
bool IsUsable(const Runner& runner);

// Picks a runner with a free slot that is not excluded. Draws two candidates
// from this host's zone and two from the others, and takes the one with the
// lowest expected latency, with the zone penalty added. Nothing when no slot is
// free.
std::optional<std::size_t> PickRunner(const Runners& runners,
                                      const std::vector<std::string>& excluded,
                                      const RoutingOptions& options,
                                      base::Random& random);

// Records a complete answer.
void RecordAnswer(Runner& runner, base::Duration latency, base::TimePoint now);

// Records a failure. Ejects the runner after too many in a row, if the cap on
// ejected runners allows it.
void RecordFailure(Runners& runners,
                   std::size_t index,
                   const RoutingOptions& options,
                   base::TimePoint now);

// Ejects a runner unless too many are ejected already. Returns whether it was
// ejected.
bool Eject(Runners& runners,
           std::size_t index,
           const RoutingOptions& options,
           base::TimePoint now);

// How long a request to the runner may go without an answer before the runner
// counts as silent.
base::Duration SilenceLimit(const Runner& runner,
                            const RoutingOptions& options);

// Ejects runners that are much slower than the median.
void EjectSlow(Runners& runners,
               const RoutingOptions& options,
               base::TimePoint now);

// Moves runners whose ejection is over to kProbing and returns their indices.
// The caller must send each a health check.
std::vector<std::size_t> TakeDueProbes(Runners& runners, base::TimePoint now);

// Records the result of a health check.
void RecordProbe(Runner& runner,
                 bool healthy,
                 const RoutingOptions& options,
                 base::TimePoint now);

}  // namespace cassiastile::work
