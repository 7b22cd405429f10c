#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cassiastile/fleet/reconciler.hpp"

namespace cassiastile::fleet {

// The working state of one Tick of one pool.
struct Reconciler::Round {
  std::string pool;
  const config::Pool* declared = nullptr;  // Null if no longer in the document.
  ChangeContext context;
  std::map<std::string, HostObservation> seen;  // By host.
  // Whether the document in force here is the latest accepted one. Otherwise no
  // capacity may be taken out of service.
  bool has_latest_document = false;

  // The pool's hosts that are in service by their rows but not confirmed to be
  // up.
  std::set<std::string> UnresponsiveHosts(const FleetState& state) const;
  // The names of the pool's hosts, cached until the next change.
  const std::vector<std::string>& Members(const FleetState& state) const;

  mutable std::optional<std::vector<std::string>> members;
};

}  // namespace cassiastile::fleet
