#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <tl/expected.hpp>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/findings.hpp"
#include "cassiastile/base/random.hpp"
#include "cassiastile/config/diff.hpp"
#include "cassiastile/config/fleet.hpp"
#include "cassiastile/member/audit_chain.hpp"
#include "cassiastile/member/edit_quorum.hpp"
#include "cassiastile/member/member_rows.hpp"
#include "cassiastile/platform/table.hpp"

namespace cassiastile::member {

// An operator's edit of the whole document or of one section.
struct ConfigEdit {
  std::string text;  // Of the document, or of the section where one is named.
  std::optional<config::SectionName> section;
  std::uint64_t base_version = 0;  // The version that the edit was made from.
  std::string key;                 // The operator's secret.
  bool dry_run = false;
  std::vector<config::TeamUsage>
      use;  // What teams have running, for a dry run.
};

struct EditOutcome {
  std::uint64_t version = 0;  // Zero for a dry run.
  std::uint64_t audit = 0;    // The sequence of its audit row.
  std::vector<std::string> sections;
  config::FleetChange change;
  std::string diff;
};

// Another edit came first and touched the same sections.
struct EditConflict {
  std::uint64_t version = 0;  // The newest one.
  std::string diff;           // From the edit's base to the newest version.
};

// The edit breaks rules of the document.
struct EditInvalid {
  base::Findings findings;
};

// The edit touches sections of other owners.
struct EditDenied {
  base::Findings findings;
};

using EditRefusal =
    std::variant<EditConflict, EditInvalid, EditDenied, base::Error>;
using EditResult = tl::expected<EditOutcome, EditRefusal>;

// A version of the history.
struct ConfigVersion {
  std::uint64_t version = 0;
  std::string by;
  std::string at;
  std::vector<std::string> sections;
  std::string digest;
};

// Accepts edits of the document: one transaction writes the head, the body and
// the audit row, after a majority of the members has promised the version. Safe
// for use by several threads.
class ConfigStore {
 public:
  // All that is passed in outlives the store.
  ConfigStore(platform::Table& table,
              const base::Clock& clock,
              EditQuorum& quorum,
              std::uint64_t seed);

  // Whose key may edit what is read in the very version that the edit goes on
  // top of; for the first document, in that document itself.
  //
  // An edit from an older version goes on top of the newest one where both
  // touch different sections and the result breaks no rule. An error of code
  // kUnknown means that the edit may have been accepted; making it again tells.
  EditResult Accept(const ConfigEdit& edit);

  base::Result<HeadRow> Head();
  base::Result<std::string> Text(std::uint64_t version);
  base::Result<std::vector<ConfigVersion>> History();

 private:
  // The edit laid over the newest version.
  struct Candidate {
    HeadRow head;
    std::string before;
    std::string after;
    config::Fleet fleet;
    std::string editor;  // The operator's name.
    EditOutcome outcome;
  };

  tl::expected<Candidate, EditRefusal> MakeCandidate(const ConfigEdit& edit);
  tl::expected<std::string, EditRefusal> LayOver(const ConfigEdit& edit,
                                                 const HeadRow& head,
                                                 const std::string& current);
  tl::expected<std::string, EditRefusal> Rebase(const ConfigEdit& edit,
                                                const HeadRow& head,
                                                const std::string& current);
  EditResult Commit(Candidate candidate);
  base::Result<platform::Commit> ApplySurely(
      const platform::Transaction& transaction,
      const AuditWrites& audit);

  platform::Table& m_table;
  const base::Clock& m_clock;
  EditQuorum& m_quorum;
  std::mutex m_mutex;
  base::Random m_random;
};

}  // namespace cassiastile::member
