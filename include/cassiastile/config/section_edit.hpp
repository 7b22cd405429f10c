#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cassiastile/base/error.hpp"
#include "cassiastile/base/findings.hpp"
#include "cassiastile/config/fleet.hpp"

namespace cassiastile::config {

// Returns the text of one section as written, from its opening to its closing
// bracket with the comments between them. Fails with kInvalid when the document
// can't be parsed or repeats a name in an object, and with kNotFound when it
// lacks the section.
base::Result<std::string> SectionText(std::string_view document,
                                      SectionName section);

// Returns the document with the text of one section replaced; every other byte
// stays. Fails as SectionText does, and with kInvalid when the new text is not
// one JSON list, with its comments inside.
base::Result<std::string> ReplaceSection(std::string_view document,
                                         SectionName section,
                                         std::string_view text);

// The textual differences between two documents: the sections that differ, and
// whether anything outside the sections does, such as the fleet's name, a
// comment between two sections or the order of the sections.
struct DocumentDifference {
  std::vector<SectionName> sections;
  bool outside_sections = false;
};

// Fails with kInvalid when either document can't be parsed.
base::Result<DocumentDifference> CompareDocuments(std::string_view before,
                                                  std::string_view after);

// Returns the operator who owns a section, or an empty text.
std::string FindSectionOwner(const Fleet& fleet, SectionName section);

// Checks that an operator may make an edit: each section that differs must be
// owned by the editor in the fleet before the edit, so that nobody can take
// over a section by the edit itself, and text outside the sections belongs to
// the owner of the section "ownership". Each finding names a section that the
// editor doesn't own, and its owner; a document that can't be parsed gives one
// finding.
base::Findings CheckEditPermission(std::string_view before,
                                   std::string_view after,
                                   const Fleet& fleet_before,
                                   std::string_view editor,
                                   const std::string& file);

}  // namespace cassiastile::config
