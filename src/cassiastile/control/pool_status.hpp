#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "cassiastile/config/fleet.hpp"
#include "cassiastile/fleet/reconciler.hpp"

namespace cassiastile::control {

// The state after one round of the pool service, for readers on other threads.
struct PoolSnapshot {
  std::shared_ptr<const config::AcceptedFleet> document;
  base::WallTime wall_time{};
  fleet::FleetState state;
  std::map<std::string, fleet::WaveForecast> forecasts;  // By wave.
  // When running waves are expected to drain hosts, by host.
  std::map<std::string, base::TimePoint> drain_times;
  // Hosts with work past their drain deadline, and a description of it.
  std::map<std::string, std::string> overdue;
  // The rule that last limited how many hosts a wave drains, by wave and pool.
  std::map<std::string, std::map<std::string, std::string>> limits;
  std::map<std::string, std::vector<fleet::HostView>> views;  // By pool.
};

// The hosts of each pool, as schedulers see them.
std::map<std::string, std::vector<fleet::HostView>> MakeHostViews(
    const PoolSnapshot& snapshot);

// A pool's budget, and its hosts that are out of service with the reasons.
nlohmann::json MakePoolJson(const PoolSnapshot& snapshot,
                            const config::Pool& pool);

// A wave's state, progress, failures and forecast.
nlohmann::json MakeWaveJson(const PoolSnapshot& snapshot,
                            const config::Wave& wave);

}  // namespace cassiastile::control
