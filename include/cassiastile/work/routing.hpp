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

struct RoutingOptions {
  std::string zone;  // This host's own.
  std::chrono::milliseconds zone_penalty{
      3};  // Counted to other zones' latency.
  std::uint32_t eject_after_failures = 3;
  std::chrono::milliseconds ejection{2000};  // The first; doubles in a row.
  std::chrono::milliseconds max_ejection{30000};
  double max_ejected_fraction = 0.5;
  // A runner is silent when a request to it is this old, and this many times
  // its usual latency, without any answer since.
  std::chrono::milliseconds min_silence{500};
  double silence_factor = 8;
  // A runner this many times slower than the median is ejected.
  double slow_factor = 5;
  std::chrono::milliseconds assumed_latency{50};  // Before the first answer.
};

using Runners = std::vector<Runner>;

// Whether work may be sent to the runner now.
bool IsUsable(const Runner& runner);

// Chooses a runner with a free slot, leaving out the names given: the better
// by load and latency of two drawn from the own zone, against one drawn from
// the others with the way there counted. Nothing when no slot is free.
std::optional<std::size_t> PickRunner(const Runners& runners,
                                      const std::vector<std::string>& excluded,
                                      const RoutingOptions& options,
                                      base::Random& random);

// Takes in a whole answer.
void RecordAnswer(Runner& runner, base::Duration latency, base::TimePoint now);

// Takes in a failure; ejects the runner when there were too many in a row and
// the cap on the ejected part allows it.
void RecordFailure(Runners& runners,
                   std::size_t index,
                   const RoutingOptions& options,
                   base::TimePoint now);

// Ejects a runner, unless too many are ejected already. Returns whether it did.
bool Eject(Runners& runners,
           std::size_t index,
           const RoutingOptions& options,
           base::TimePoint now);

// How long a request to the runner may go without an answer before it counts as
// silent.
base::Duration SilenceLimit(const Runner& runner,
                            const RoutingOptions& options);

// Ejects runners that are far slower than the median.
void EjectSlow(Runners& runners,
               const RoutingOptions& options,
               base::TimePoint now);

// Moves the runners whose ejection is over to probing and returns them. Each
// is to be given a health check.
std::vector<std::size_t> TakeDueProbes(Runners& runners, base::TimePoint now);

// Takes in the end of a health check.
void RecordProbe(Runner& runner,
                 bool healthy,
                 const RoutingOptions& options,
                 base::TimePoint now);

}  // namespace cassiastile::work
