#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/work/task.hpp"

namespace cassiastile::work {

// A host as a candidate for placing tasks.
struct PlacementHost {
  std::string name;
  std::size_t zone = 0;  // Index into TeamSpread::zones; rack likewise.
  std::size_t rack = 0;
  Resources capacity;
  Resources placed;   // Used by the tasks on it.
  Resources reserve;  // Kept free for urgent tasks.
  // Sizes of the waiting tasks for which runs on it are being preempted, so
  // that preemption does not count on the same resources twice.
  Resources promised;
  bool in_service = false;
  bool draining = false;
  bool open = false;             // Accepts new tasks.
  bool idempotent_only = false;  // Being probed after failures.
  // The whole host is reserved for urgent tasks and, where it is set, for
  // reserved_for_team.
  bool reserved = false;
  std::string reserved_for_team;
  // When a wave is expected to drain it, if known.
  std::optional<base::TimePoint> drain_expected;
};

// The number of a team's running tasks in each zone and rack.
struct TeamSpread {
  std::vector<std::uint32_t> zones;
  std::vector<std::uint32_t> racks;
};

// A task to be placed.
struct PlacementRequest {
  std::string team;
  Resources size;
  double seconds_upper = 0;  // Upper estimate of its run time.
  bool urgent = false;
  bool idempotent = false;
  std::vector<std::string> excluded_workers;  // Must not be used.
  const TeamSpread* spread = nullptr;  // Not owned; null ignores the spread.
};

// Whether the host can take the task now.
bool MayPlace(const PlacementHost& host,
              const PlacementRequest& request,
              base::TimePoint now);

// Picks the index of the host for a task, or nothing. Prefers the zone, then
// the rack, with the fewest of the team's tasks, then the fullest host, so that
// room for large tasks remains.
std::optional<std::size_t> PickHost(const std::vector<PlacementHost>& hosts,
                                    const PlacementRequest& request,
                                    base::TimePoint now);

// Reserves `cores` for urgent tasks in pieces of the given size, one piece per
// open host, on as few hosts as needed and alternating between zones. Returns
// the cores reserved: less than asked for when too few hosts can hold a piece,
// more when the last piece exceeds the rest.
double SpreadReserve(std::vector<PlacementHost>& hosts,
                     double cores,
                     const Resources& piece);

}  // namespace cassiastile::work
