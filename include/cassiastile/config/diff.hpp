#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "cassiastile/config/fleet.hpp"

namespace cassiastile::config {

// The lines that differ in the unified format with three lines of context, or
// an empty text when none do.
std::string UnifiedDiff(std::string_view before,
                        std::string_view after,
                        std::string_view before_label,
                        std::string_view after_label);

// A host that changes pool. An empty pool means that the host is new or gone.
struct HostMove {
  std::string host;
  std::string from;
  std::string to;
};

// A team whose upper limits change.
struct LimitChange {
  std::string team;
  std::uint32_t requests_before = 0;
  std::uint32_t requests_after = 0;
  std::uint32_t tasks_before = 0;
  std::uint32_t tasks_after = 0;
};

// What a team has running now.
struct TeamUsage {
  std::string team;
  std::uint32_t requests = 0;
  std::uint32_t tasks = 0;
};

// What the fleet would do on an edit.
struct FleetChange {
  std::vector<HostMove> hosts;
  std::vector<std::string> keys_gone;  // Ids; a replaced secret counts as gone.
  std::vector<std::string> keys_new;
  std::vector<std::string> teams_gone;
  std::vector<std::string> queues_gone;
  std::vector<LimitChange> limits;
  std::vector<std::string> waves_new;
  std::vector<std::string> waves_gone;
  // Teams that have more running than their new limit allows.
  std::vector<std::string> teams_over_limit;
};

// The use of teams that are not listed counts as none.
FleetChange CompareFleets(const Fleet& before,
                          const Fleet& after,
                          const std::vector<TeamUsage>& use = {});

nlohmann::json ToJson(const FleetChange& change);

// One sentence a line, or a line that says that nothing changes.
std::string DescribeChange(const FleetChange& change);

}  // namespace cassiastile::config
