#pragma once

#include "cassiastile/base/findings.hpp"
#include "cassiastile/config/fleet.hpp"
#include "cassiastile/config/positioned_json.hpp"

namespace cassiastile::config {

// Whether the sections of a document agree with each other. The document gives
// the findings their places and must be the one the fleet was read from. What
// was found about single fields is passed in, as nothing follows from them.
base::Findings CheckFleet(const Fleet& fleet,
                          const PositionedDocument& document,
                          const base::Findings& faults = {});

}  // namespace cassiastile::config
