#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/work/task.hpp"

namespace cassiastile::work {

// A host as a place for tasks.
struct PlacementHost {
  std::string name;
  std::size_t zone = 0;  // Numbers that zones and racks have for the counts.
  std::size_t rack = 0;
  Resources capacity;
  Resources placed;  // Taken by the tasks on it.
  // Kept free for urgent tasks.
  Resources reserve;
  Resources claimed;  // Of what is free, promised to tasks that wait.
  bool in_service = false;
  bool draining = false;
  bool open = false;             // Takes new tasks.
  bool idempotent_only = false;  // Being probed after failures.
  bool held = false;  // Only for urgent tasks and the team named next.
  std::string
      reserved_for_team;  // Empty where it is held for urgent tasks alone.
  std::optional<base::TimePoint> drain_expected;
};

// How many tasks of the team run in each zone and rack.
struct TeamSpread {
  std::vector<std::uint32_t> zones;
  std::vector<std::uint32_t> racks;
};

struct PlacementRequest {
  std::string team;
  Resources size;
  double seconds_upper = 0;
  bool urgent = false;
  bool idempotent = false;
  std::vector<std::string> excluded_workers;  // Workers not to be used.
  const TeamSpread* spread = nullptr;
};

// Whether a host may take the task now.
bool MayPlace(const PlacementHost& host,
              const PlacementRequest& request,
              base::TimePoint now);

// The host that a task should go to, or nothing. Of those with room it is one
// in the zone, then the rack, with the fewest of the team's tasks, and among
// these the fullest, so that room for large tasks remains.
std::optional<std::size_t> PickHost(const std::vector<PlacementHost>& hosts,
                                    const PlacementRequest& request,
                                    base::TimePoint now);

// Spreads a reserve for urgent tasks over as few open hosts as hold it in
// pieces of the given size, in zones by turns. Returns the cores reserved.
double SpreadReserve(std::vector<PlacementHost>& hosts,
                     double cores,
                     const Resources& piece);

}  // namespace cassiastile::work
