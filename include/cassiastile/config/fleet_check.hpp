#pragma once

#include "cassiastile/base/findings.hpp"
#include "cassiastile/config/fleet.hpp"
#include "cassiastile/config/positioned_json.hpp"

namespace cassiastile::config {

// Checks that the sections of a document agree with each other. `document` must
// be the one that the fleet was read from; it gives the positions of the
// findings. `faults` are the findings about single fields: nothing further is
// reported about those fields.
base::Findings CheckFleet(const Fleet& fleet,
                          const PositionedDocument& document,
                          const base::Findings& faults = {});

}  // namespace cassiastile::config
