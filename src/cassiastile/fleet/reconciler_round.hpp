#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cassiastile/fleet/reconciler.hpp"

namespace cassiastile::fleet {

// What one tick of one pool works on.
struct Reconciler::Round {
  std::string pool;
  const config::Pool* declared = nullptr;  // Null when it left the document.
  ChangeContext context;
  std::map<std::string, HostObservation> seen;  // By member.
  // Whether the document in force here is the one accepted last: only then is
  // capacity taken.
  bool may_take = false;

  // Members that are in service by their rows but not known to be up.
  std::set<std::string> Unseen(const FleetState& state) const;
  // The pool's hosts by name, kept until the next change.
  const std::vector<std::string>& Members(const FleetState& state) const;

  mutable std::optional<std::vector<std::string>> members;
};

}  // namespace cassiastile::fleet
