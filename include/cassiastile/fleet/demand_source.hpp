#pragma once

#include <optional>
#include <string>

namespace cassiastile::fleet {

// What a pool's queues and services ask for now, in hosts' worth of work: what
// runs plus what waits, over what one host does. Safe for use by several
// threads.
class DemandSource {
 public:
  virtual ~DemandSource() = default;
  // Nothing where the pool's demand is not measured.
  virtual std::optional<double> Demand(const std::string& pool) const = 0;
};

}  // namespace cassiastile::fleet
