#pragma once

#include <optional>
#include <string>

namespace cassiastile::fleet {

// The current demand of a pool's queues and services: running plus waiting
// work, in units of one host's capacity. Thread-safe.
class DemandSource {
 public:
  virtual ~DemandSource() = default;
  // Returns nothing if the pool's demand is not measured.
  virtual std::optional<double> Demand(const std::string& pool) const = 0;
};

}  // namespace cassiastile::fleet
