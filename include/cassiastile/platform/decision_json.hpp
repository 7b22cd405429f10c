#pragma once

#include <nlohmann/json_fwd.hpp>

#include "cassiastile/base/decision.hpp"

namespace cassiastile::base {

// The JSON form of a decision in the operators' API and in stored batches:
// {"id", "kind", "subject", "team", "outcome", "at", "at_ms", "reasons":
// [{"rule", "section", "version", "observation"}]}. from_json throws
// nlohmann::json::exception for missing or mistyped members; an unknown kind
// counts as a change.
void to_json(nlohmann::json& json, const Decision& decision);
void from_json(const nlohmann::json& json, Decision& decision);

}  // namespace cassiastile::base
