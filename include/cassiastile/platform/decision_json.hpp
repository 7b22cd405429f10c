#pragma once

#include <nlohmann/json_fwd.hpp>

#include "cassiastile/base/decision.hpp"

namespace cassiastile::base {

// A decision as operators see it: {"id", "kind", "subject", "team", "outcome",
// "at", "at_ms", "reasons": [{"rule", "section", "version", "observation"}]}.
void to_json(nlohmann::json& json, const Decision& decision);
void from_json(const nlohmann::json& json, Decision& decision);

}  // namespace cassiastile::base
