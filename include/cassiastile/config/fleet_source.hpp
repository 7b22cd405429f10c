#pragma once

#include <memory>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/config/fleet.hpp"

namespace cassiastile::config {

// Gives access to the configuration in force on this host. Safe for use by
// several threads.
class FleetSource {
 public:
  virtual ~FleetSource() = default;

  // Returns the accepted document in force; null before the first one.
  virtual std::shared_ptr<const AcceptedFleet> Current() const = 0;

  // Whether this host may still authorize callers by their keys. False if
  // neither the table nor enough peers have confirmed the version in force for
  // so long that a key could have been revoked without its knowledge, or if a
  // later incarnation of this process has been seen.
  virtual bool IsFresh(base::TimePoint now) const = 0;
};

}  // namespace cassiastile::config
