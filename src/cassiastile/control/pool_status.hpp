#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "cassiastile/config/fleet.hpp"
#include "cassiastile/fleet/reconciler.hpp"

namespace cassiastile::control {

// What one round of the pool service saw, kept for readers.
struct PoolSnapshot {
  std::shared_ptr<const config::AcceptedFleet> document;
  base::WallTime wall{};
  fleet::FleetState state;
  std::map<std::string, fleet::WaveForecast> forecasts;  // By wave.
  std::map<std::string, base::TimePoint> drain_times;    // By host.
  std::map<std::string, std::string> overdue;            // By host.
  // What set the number of hosts taken last, by wave and pool.
  std::map<std::string, std::map<std::string, std::string>> limits;
  std::map<std::string, std::vector<fleet::HostView>> views;  // By pool.
};

// The hosts of each pool as those who place work see them.
std::map<std::string, std::vector<fleet::HostView>> MakeHostViews(
    const PoolSnapshot& snapshot);

// A pool's budget and what is out of it, with the reasons.
nlohmann::json MakePoolJson(const PoolSnapshot& snapshot,
                            const config::Pool& pool);

// A wave's state, progress, failures and forecast.
nlohmann::json MakeWaveJson(const PoolSnapshot& snapshot,
                            const config::Wave& wave);

}  // namespace cassiastile::control
