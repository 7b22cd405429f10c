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

// An operator's edit of the whole configuration document or of one section.
struct ConfigEdit {
  std::string text;  // New text of `section` if set, else of the document.
  std::optional<config::SectionName> section;
  std::uint64_t base_version = 0;  // The version that the operator edited.
  std::string key;                 // The operator's secret key.
  bool dry_run = false;            // Check the edit without committing it.
  // What each team has running now, to report the effect of a dry run.
  std::vector<config::TeamUsage> team_usage;
};

// The result of an accepted edit or of a dry run.
struct EditOutcome {
  // The accepted version, or the newest one if the edit changes nothing; zero
  // for a dry run.
  std::uint64_t version = 0;
  // The sequence of the edit's audit row; zero if nothing was committed.
  std::uint64_t audit = 0;
  // The changed ones; empty for the first document.
  std::vector<std::string> sections;
  config::FleetChange change;
  std::string diff;  // Unified, from the newest version to the edited text.
};

// The edit can't be applied to the newest version: a version after its base
// changed the same sections, or the edit has an older base and changes text
// outside the sections, or its base was never accepted.
struct EditConflict {
  std::uint64_t version = 0;  // The newest version.
  // From the edit's base to the newest version; empty without a valid base.
  std::string diff;
};

// The edited document violates a rule; the findings say which.
struct EditInvalid {
  base::Findings findings;
};

// The edit changes sections that the operator doesn't own.
struct EditDenied {
  base::Findings findings;
};

using EditRefusal =
    std::variant<EditConflict, EditInvalid, EditDenied, base::Error>;
using EditResult = tl::expected<EditOutcome, EditRefusal>;

// One accepted version in the history of the document.
struct ConfigVersion {
  std::uint64_t version = 0;
  std::string by;                     // The operator who made the edit.
  std::string at;                     // RFC 3339 in UTC.
  std::vector<std::string> sections;  // The changed sections.
  std::string digest;                 // SHA-256 of the text in hexadecimal.
};

// Accepts edits of the configuration document. After a majority of the members
// has promised the new version, one transaction writes the head, the body and
// the audit row. Thread-safe.
class ConfigStore {
 public:
  // The table, the clock and the quorum must outlive the store.
  ConfigStore(platform::Table& table,
              const base::Clock& clock,
              EditQuorum& quorum,
              std::uint64_t seed);

  // Applies an edit on top of the newest version and commits the result. The
  // operator's permissions are read from that newest version; for the first
  // document, from the document itself.
  //
  // An edit of an older version is rebased on the newest one if the two changed
  // different sections and the result violates no rule.
  //
  // An error has code kDenied if the key belongs to no operator, kInternal if
  // the newest document can't be parsed, and kConflict if no attempt could
  // commit before another edit or before the promises expired; otherwise it is
  // that of the table or of the quorum. kUnknown means that the edit may have
  // been accepted; submitting the same edit again shows whether it was.
  EditResult Accept(const ConfigEdit& edit);

  // The newest accepted version as stored in the table.
  base::Result<HeadRow> Head();
  // The text of a version; kNotFound if there is no such version.
  base::Result<std::string> Text(std::uint64_t version);
  // All accepted versions, oldest first, as recorded in the audit chain.
  base::Result<std::vector<ConfigVersion>> History();

 private:
  // The edit applied to the newest version, not committed yet.
  struct Candidate {
    HeadRow head;
    std::string before;
    std::string after;
    config::Fleet fleet;
    std::string editor;  // The operator's name.
    EditOutcome outcome;
  };

  tl::expected<Candidate, EditRefusal> MakeCandidate(const ConfigEdit& edit);
  tl::expected<std::string, EditRefusal> ApplyEdit(const ConfigEdit& edit,
                                                   const HeadRow& head,
                                                   const std::string& current);
  tl::expected<std::string, EditRefusal> Rebase(const ConfigEdit& edit,
                                                const HeadRow& head,
                                                const std::string& current);
  EditResult Commit(Candidate candidate);
  base::Result<platform::Commit> ApplyAndResolve(
      const platform::Transaction& transaction,
      const AuditWrites& audit);

  platform::Table& m_table;
  const base::Clock& m_clock;
  EditQuorum& m_quorum;
  std::mutex m_mutex;
  base::Random m_random;
};

}  // namespace cassiastile::member
