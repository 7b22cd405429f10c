#pragma once

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "cassiastile/base/findings.hpp"
#include "cassiastile/config/fleet.hpp"
#include "cassiastile/config/positioned_json.hpp"

namespace cassiastile::config {

// Reads the fields of a parsed document. Invalid fields are added to the
// findings and read as their defaults; the items of each list keep their
// positions.
Fleet ReadFields(const PositionedDocument& document, base::Findings& findings);

// Reads a fleet document and checks its syntax, its fields and the agreement of
// its sections (CheckFleet). Returns either the fleet or all findings, which
// show `file` as the name of the document.
tl::expected<Fleet, base::Findings> ReadFleet(std::string_view text,
                                              const std::string& file);

}  // namespace cassiastile::config
