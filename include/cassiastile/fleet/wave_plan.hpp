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

// A member of a pool as a wave sees it.
struct WaveHost {
  config::Host host;
  HostRecord record;
  HostWork work;
  bool known_up = true;
};

// A rack by its zone and name; a host without one stands alone.
std::string RackKey(const config::Host& host);

// What one wave's next step in one pool is decided from.
struct WaveInput {
  const config::Wave* wave = nullptr;
  const WaveRecord* record = nullptr;
  std::vector<WaveHost> hosts;  // The pool's members in the document's order.
  BudgetCount budget;
  // Hosts out in each rack, of all pools and for any cause.
  std::map<std::string, std::uint32_t> rack_out;
  base::WallTime wall{};
};

// Why a host is not taken now.
struct SkippedHost {
  std::string host;
  std::string why;
};

// The hosts to take now, in order, with what held the others back.
struct WaveStep {
  std::vector<std::string> take;
  bool canary = false;  // What is taken is a canary.
  std::string why;      // The rule that set the number.
  std::vector<SkippedHost> skipped;
};

// Whether the wave's present run has maintained the host.
bool IsDone(const WaveRecord& wave, const HostRecord& host);

// The hosts that the wave has yet to do, those to be done first in front: the
// least disturbed tasks, then the shortest wait, then the zone and rack with
// the fewest out; or as the document lists them.
std::vector<const WaveHost*> OrderHosts(const WaveInput& input);

// Which hosts the wave takes now. Never more than the budget, the wave's own
// parallelism and its limit per rack allow; canaries one at a time.
WaveStep PlanWaveStep(const WaveInput& input);

// Whether one more failure halts the wave, and any failure of a canary does.
bool HaltsOnFailure(const config::Wave& wave,
                    const WaveRecord& record,
                    const std::string& host);

// What one pool has left of a wave.
struct PoolWaveProgress {
  std::uint32_t total = 0;
  std::uint32_t done = 0;
  std::uint32_t left_out = 0;  // Failed or held by an operator.
  std::uint32_t max_out = 0;
  std::uint32_t failed = 0;  // Failures that take from the budget now.
};

struct WaveForecast {
  std::uint32_t total = 0;
  std::uint32_t done = 0;
  std::uint32_t left_out = 0;
  // Nothing when no host can be taken until others return.
  std::optional<base::WallTime> finish;
  std::string basis;  // What the forecast rests on.
};

// When the wave ends if all goes on as it is, at `service` a host; `measured`
// says whether that time was learnt in this run.
WaveForecast ForecastWave(const config::Wave& wave,
                          const std::vector<PoolWaveProgress>& pools,
                          std::chrono::seconds service,
                          bool measured,
                          base::WallTime now);

}  // namespace cassiastile::fleet
