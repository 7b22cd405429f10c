#pragma once

#include <nlohmann/json_fwd.hpp>

#include "cassiastile/base/decision.hpp"

namespace cassiastile::base {

// The JSON form of a decision in the operators' API and in stored batches:
// {"id", "kind", "subject", "team", "outcome", "at", "at_ms", "reasons":
// [{"rule", "section", "version", "observation"}]}. "kind" is "refusal",
// "placement" or "change"; "at_ms" is the time in milliseconds since the Unix
// epoch, and "at" the same time in RFC 3339 for readers, which from_json
// ignores. Both functions are in Decision's namespace, where nlohmann::json
// finds them by argument-dependent lookup.
//
// from_json throws nlohmann::json::exception for missing or mistyped members;
// an unknown kind counts as a change. It appends to the decision's reasons.
void to_json(nlohmann::json& json, const Decision& decision);
void from_json(const nlohmann::json& json, Decision& decision);

}  // namespace cassiastile::base
