#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/config/fleet.hpp"
#include "cassiastile/fleet/budget.hpp"
#include "cassiastile/fleet/host_view.hpp"
#include "cassiastile/fleet/records.hpp"

namespace cassiastile::fleet {

// What a wave knows about one host of a pool.
struct WaveHost {
  config::Host host;
  HostRecord record;
  HostWork work;
  bool known_up = true;
};

// Identifies a rack by its zone and name. A host without a rack counts as a
// rack of its own.
std::string RackKey(const config::Host& host);

// What the next step of a wave in one pool is decided from.
struct WaveInput {
  const config::Wave* wave = nullptr;
  const WaveRecord* record = nullptr;
  std::vector<WaveHost> hosts;  // The pool's hosts in the document's order.
  BudgetCount budget;
  // Hosts out of service in each rack, of all pools and for any cause.
  std::map<std::string, std::uint32_t> rack_out;
  base::WallTime wall{};
};

// A host that is not drained now, and why.
struct SkippedHost {
  std::string host;
  std::string why;
};

// The hosts to drain now, in order, and why the others have to wait.
struct WaveStep {
  std::vector<std::string> drain;
  bool canary = false;  // Whether the host to drain is a canary.
  std::string why;      // The rule that limits the number.
  std::vector<SkippedHost> skipped;
};

// Whether the wave's current run has maintained the host.
bool HasMaintained(const WaveRecord& wave, const HostRecord& host);

// The hosts that the wave could drain now, in the order to drain them: those in
// service, known to be up and not yet maintained. First come the hosts with the
// fewest tasks that can't be checkpointed, then with the fewest running tasks,
// then with the shortest remaining run time, then in the zone and rack with the
// fewest hosts out. With WaveOrder::kAsListed, in the document's order.
std::vector<const WaveHost*> OrderHosts(const WaveInput& input);

// Decides which hosts the wave drains now: never more than the budget, the
// wave's parallelism and its limit per rack allow, and canaries one at a time.
WaveStep PlanWaveStep(const WaveInput& input);

// Whether the failure of `host` halts a running wave. The failure of the canary
// that is out always does; any other does if it brings the number of failures
// that no operator has accepted to `halt_after`.
bool HaltsOnFailure(const config::Wave& wave,
                    const WaveRecord& record,
                    const std::string& host);

// How far a wave has progressed in one pool.
struct PoolWaveProgress {
  std::uint32_t total = 0;
  std::uint32_t done = 0;
  std::uint32_t left_out = 0;  // Failed or drained by an operator.
  std::uint32_t max_out = 0;
  std::uint32_t failed = 0;  // Failed hosts that use up the budget now.
};

// The progress of a wave and its estimated finish.
struct WaveForecast {
  std::uint32_t total = 0;
  std::uint32_t done = 0;
  std::uint32_t left_out = 0;
  // Absent if no host can be drained until others return to service.
  std::optional<base::WallTime> finish;
  std::string basis;  // The assumptions, for operators.
};

// Estimates when the wave finishes if nothing changes and each host takes
// `maintenance_time`. `measured` says whether that time was measured or
// assumed.
WaveForecast ForecastWave(const config::Wave& wave,
                          const std::vector<PoolWaveProgress>& pools,
                          std::chrono::seconds maintenance_time,
                          bool measured,
                          base::WallTime now);

}  // namespace cassiastile::fleet
