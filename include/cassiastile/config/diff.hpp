#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "cassiastile/config/fleet.hpp"

namespace cassiastile::config {

// Returns a unified diff with three lines of context, or an empty text when the
// texts are equal.
std::string UnifiedDiff(std::string_view before,
                        std::string_view after,
                        std::string_view before_label,
                        std::string_view after_label);

// A host that changes pool. An empty `from` means that the host is added to the
// fleet, an empty `to` that it is removed.
struct HostMove {
  std::string host;
  std::string from;
  std::string to;
};

// A team whose upper limits on running requests and tasks change. Zero stands
// for a missing limit.
struct LimitChange {
  std::string team;
  std::uint32_t requests_before = 0;
  std::uint32_t requests_after = 0;
  std::uint32_t tasks_before = 0;
  std::uint32_t tasks_after = 0;
};

// The requests and tasks that a team has running now.
struct TeamUsage {
  std::string team;
  std::uint32_t requests = 0;
  std::uint32_t tasks = 0;
};

// The effects that an edit of the fleet document would have.
struct FleetChange {
  std::vector<HostMove> hosts;
  std::vector<std::string> keys_gone;  // Ids; a key whose secret or team
                                       // changes is both gone and new.
  std::vector<std::string> keys_new;
  std::vector<std::string> teams_gone;
  std::vector<std::string> queues_gone;
  std::vector<LimitChange> limits;
  std::vector<std::string> waves_new;
  std::vector<std::string> waves_gone;
  // Teams with more requests or tasks running than their new limit allows.
  std::vector<std::string> teams_over_limit;
};

// Compares two fleets. Teams that `usage` doesn't list count as having nothing
// running.
FleetChange CompareFleets(const Fleet& before,
                          const Fleet& after,
                          const std::vector<TeamUsage>& usage = {});

nlohmann::json ToJson(const FleetChange& change);

// Describes the change in words, one sentence per line; if nothing changes, one
// line says so.
std::string DescribeChange(const FleetChange& change);

}  // namespace cassiastile::config
