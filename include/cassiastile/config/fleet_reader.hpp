#pragma once

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "cassiastile/base/findings.hpp"
#include "cassiastile/config/fleet.hpp"
#include "cassiastile/config/positioned_json.hpp"

namespace cassiastile::config {

// Reads the fields of a parsed document. Faults are added to the findings and
// read as defaults; the items of each list keep their positions.
Fleet ReadFields(const PositionedDocument& document, base::Findings& findings);

// Reads a whole fleet document: its syntax, its fields and whether its sections
// agree (CheckFleet). Returns all findings at once. `file` is the name shown in
// them.
tl::expected<Fleet, base::Findings> ReadFleet(std::string_view text,
                                              const std::string& file);

}  // namespace cassiastile::config
