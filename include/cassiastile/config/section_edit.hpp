#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cassiastile/base/error.hpp"
#include "cassiastile/base/findings.hpp"
#include "cassiastile/config/fleet.hpp"

namespace cassiastile::config {

// The text of one section as its author wrote it, from its opening bracket to
// its closing one with the comments between. Fails when the document can't be
// parsed or lacks the section.
base::Result<std::string> SectionText(std::string_view document,
                                      SectionName section);

// The document with the text of one section replaced; every other byte stays.
// The new text must be one JSON list, with comments.
base::Result<std::string> ReplaceSection(std::string_view document,
                                         SectionName section,
                                         std::string_view text);

// What differs between two documents by text: sections, and whether anything
// outside the sections does, such as the fleet's name, a comment between two
// sections or their order.
struct DocumentDifference {
  std::vector<SectionName> sections;
  bool outside_sections = false;
};

// Fails when either document can't be parsed.
base::Result<DocumentDifference> CompareDocuments(std::string_view before,
                                                  std::string_view after);

// The operator who owns a section, or an empty text.
std::string FindSectionOwner(const Fleet& fleet, SectionName section);

// Whether an operator may make an edit: each section that differs must be the
// operator's own in the fleet as it was before. What stands outside the
// sections belongs to the owner of the section "ownership". Findings name the
// sections that are not the operator's and who owns them.
base::Findings CheckEditPermission(std::string_view before,
                                   std::string_view after,
                                   const Fleet& fleet_before,
                                   std::string_view editor,
                                   const std::string& file);

}  // namespace cassiastile::config
