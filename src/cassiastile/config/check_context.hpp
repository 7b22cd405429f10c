#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "cassiastile/base/findings.hpp"
#include "cassiastile/config/field_reader.hpp"
#include "cassiastile/config/fleet.hpp"
#include "cassiastile/config/nearest_name.hpp"
#include "cassiastile/config/positioned_json.hpp"

namespace cassiastile::config {

// The state that the checks of a document share: the findings so far, and the
// fields about which reading gave a finding.
class CheckContext {
 public:
  CheckContext(const PositionedDocument& document,
               const base::Findings& field_findings)
      : m_document(document) {
    for (const base::Finding& finding : field_findings) {
      m_field_finding_paths.insert(finding.path);
    }
  }

  // Whether reading the fields gave a finding at this path.
  bool HasFieldFinding(const std::string& path) const {
    return m_field_finding_paths.contains(path);
  }

  // Adds a finding, unless reading the fields gave one at this path.
  void Report(const std::string& path, std::string message) {
    if (!HasFieldFinding(path)) {
      AddFinding(m_findings, {FindTextPosition(m_document, path), path,
                              std::move(message)});
    }
  }

  // Whether the document has the section as a list. References into a section
  // that could not be read are not reported.
  bool HasSectionList(SectionName section) const {
    const PositionedMember* member =
        FindMember(m_document.root, NameOf(section));
    return member != nullptr &&
           std::holds_alternative<PositionedList>(member->value.content);
  }

  base::Findings TakeFindings() { return std::move(m_findings); }

 private:
  const PositionedDocument& m_document;
  std::unordered_set<std::string> m_field_finding_paths;
  base::Findings m_findings;
};

// Returns the path of a field in a row of a section.
inline std::string RowPath(SectionName section,
                           std::size_t row,
                           std::string_view field) {
  return fmt::format("{}[{}].{}", NameOf(section), row, field);
}

// The names that a section declares, each with the path of its first
// declaration.
class NameTable {
 public:
  explicit NameTable(SectionName section) : m_section(section) {}

  // Adds a name and reports it if it is a duplicate. Empty names are skipped,
  // as the reader has reported them.
  void Add(CheckContext& context,
           const std::string& name,
           const std::string& path) {
    if (name.empty()) {
      return;
    }
    const auto [found, is_new] = m_paths.emplace(name, path);
    if (!is_new) {
      context.Report(path, fmt::format("\"{}\" is used already at {}; use "
                                       "another name or remove one",
                                       name, found->second));
      return;
    }
    m_names.push_back(name);
  }

  // Reports a name that the section doesn't declare; `kind` names what it
  // should refer to. Reports nothing if the section could not be read.
  void Require(CheckContext& context,
               const std::string& name,
               const std::string& path,
               std::string_view kind) const {
    if (name.empty() || m_paths.contains(name) ||
        !context.HasSectionList(m_section)) {
      return;
    }
    context.Report(path, fmt::format("no {} is named \"{}\"{}", kind, name,
                                     FormatSuggestion(name, m_names)));
  }

 private:
  SectionName m_section;
  std::unordered_map<std::string, std::string> m_paths;
  std::vector<std::string> m_names;
};

// The checks, one for each subject. Each reports its findings to the context.
void CheckNames(const Fleet& fleet, CheckContext& context);
void CheckOwnership(const Fleet& fleet, CheckContext& context);
void CheckPools(const Fleet& fleet, CheckContext& context);
void CheckWaves(const Fleet& fleet, CheckContext& context);
void CheckServices(const Fleet& fleet, CheckContext& context);
void CheckTeams(const Fleet& fleet, CheckContext& context);
void CheckDigests(const Fleet& fleet, CheckContext& context);

}  // namespace cassiastile::config
