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

// What the checks of a document share: where to report a contradiction.
class CheckContext {
 public:
  CheckContext(const PositionedDocument& document, const base::Findings& faults)
      : m_document(document) {
    for (const base::Finding& fault : faults) {
      m_faulty.insert(fault.path);
    }
  }

  // Whether the value at a path was found to be missing or wrong by itself.
  bool IsFaulty(const std::string& path) const {
    return m_faulty.contains(path);
  }

  void Report(const std::string& path, std::string message) {
    if (!IsFaulty(path)) {
      AddFinding(m_findings, {FindTextPosition(m_document, path), path,
                              std::move(message)});
    }
  }

  // Whether a section is there as a list. Nothing is missed in one that could
  // not be read.
  bool IsRead(SectionName section) const {
    const PositionedMember* member =
        FindMember(m_document.root, NameOf(section));
    return member != nullptr &&
           std::holds_alternative<PositionedList>(member->value.content);
  }

  base::Findings Take() { return std::move(m_findings); }

 private:
  const PositionedDocument& m_document;
  std::unordered_set<std::string> m_faulty;
  base::Findings m_findings;
};

// The path of a field of a section's row.
inline std::string RowPath(SectionName section,
                           std::size_t row,
                           std::string_view field) {
  return fmt::format("{}[{}].{}", NameOf(section), row, field);
}

// The names that stand in a section, with the row of the first use of each.
class NameTable {
 public:
  explicit NameTable(SectionName section) : m_section(section) {}

  // Adds a name and reports it when it was there before. Empty names are
  // findings of the reader's and are left out.
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

  // Reports a name that is not in the table; `kind` says what it should be.
  // Nothing is reported while the section that has the names can't be read.
  void Require(CheckContext& context,
               const std::string& name,
               const std::string& path,
               std::string_view kind) const {
    if (name.empty() || m_paths.contains(name) || !context.IsRead(m_section)) {
      return;
    }
    context.Report(path, fmt::format("no {} is named \"{}\"{}", kind, name,
                                     SuggestName(name, m_names)));
  }

 private:
  SectionName m_section;
  std::unordered_map<std::string, std::string> m_paths;
  std::vector<std::string> m_names;
};

// The checks, one for each subject.
void CheckNames(const Fleet& fleet, CheckContext& context);
void CheckOwnership(const Fleet& fleet, CheckContext& context);
void CheckPools(const Fleet& fleet, CheckContext& context);
void CheckWaves(const Fleet& fleet, CheckContext& context);
void CheckServices(const Fleet& fleet, CheckContext& context);
void CheckTeams(const Fleet& fleet, CheckContext& context);
void CheckDigests(const Fleet& fleet, CheckContext& context);

}  // namespace cassiastile::config
