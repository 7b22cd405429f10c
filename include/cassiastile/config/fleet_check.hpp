#pragma once

#include "cassiastile/base/findings.hpp"
#include "cassiastile/config/fleet.hpp"
#include "cassiastile/config/positioned_json.hpp"

namespace cassiastile::config {

// Checks what ReadFields doesn't: that names are unique and refer to something,
// that sections, teams and pools have what they need, that budgets, waves and
// limits can be met, and that key digests are valid. `document` must be parsed
// from the text that `fleet` was read from; `field_findings` come from reading
// its fields, and their paths get no further finding.
base::Findings CheckFleet(const Fleet& fleet,
                          const PositionedDocument& document,
                          const base::Findings& field_findings = {});

}  // namespace cassiastile::config
