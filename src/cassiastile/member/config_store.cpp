#include "cassiastile/member/config_store.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "cassiastile/base/hash.hpp"
#include "cassiastile/config/fleet_reader.hpp"
#include "cassiastile/config/section_edit.hpp"

namespace cassiastile::member {

namespace {

constexpr int kMaxAttempts = 5;
// The longest time from asking for promises to starting the commit. Restarted
// members have lost their promises; before they vote for the head they wait
// longer than this time plus the table's deadline.
constexpr base::Duration kMaxPromiseAge = std::chrono::milliseconds(4000);
constexpr const char* kFileName = "fleet";
constexpr const char* kAcceptedWhat = "config accepted";

template <typename Refusal>
tl::unexpected<EditRefusal> Refuse(Refusal refusal) {
  return tl::unexpected<EditRefusal>(std::move(refusal));
}

tl::unexpected<EditRefusal> RefuseInvalidText(const base::Error& error) {
  return Refuse(EditInvalid{{{{kFileName, 0, 0}, "", error.message}}});
}

std::string VersionLabel(std::uint64_t version) {
  return fmt::format("version {}", version);
}

// Whether an edit conflicts with what others changed since its base: it changes
// the same section or text outside the sections.
bool ConflictsWith(const config::DocumentDifference& own,
                   const config::DocumentDifference& others) {
  const auto others_changed = [&](config::SectionName section) {
    return std::find(others.sections.begin(), others.sections.end(), section) !=
           others.sections.end();
  };
  return own.outside_sections ||
         std::any_of(own.sections.begin(), own.sections.end(), others_changed);
}

std::vector<std::string> NamesOf(const config::DocumentDifference& difference) {
  std::vector<std::string> names;
  names.reserve(difference.sections.size());
  for (const config::SectionName section : difference.sections) {
    names.emplace_back(config::NameOf(section));
  }
  return names;
}

}  // namespace

ConfigStore::ConfigStore(platform::Table& table,
                         const base::Clock& clock,
                         EditQuorum& quorum,
                         std::uint64_t seed)
    : m_table(table), m_clock(clock), m_quorum(quorum), m_random(seed) {}

base::Result<HeadRow> ConfigStore::Head() {
  return ReadHead(m_table);
}

base::Result<std::string> ConfigStore::Text(std::uint64_t version) {
  return ReadBody(m_table, version);
}

base::Result<std::vector<ConfigVersion>> ConfigStore::History() {
  const auto rows = ReadAuditRows(m_table, 0);
  if (!rows) {
    return tl::unexpected(rows.error());
  }
  std::vector<ConfigVersion> versions;
  for (const AuditRow& row : *rows) {
    if (row.what == kAcceptedWhat) {
      versions.push_back(
          {row.version, row.who, row.at, row.sections, row.detail});
    }
  }
  return versions;
}

EditResult ConfigStore::Accept(const ConfigEdit& edit) {
  const std::lock_guard lock(m_mutex);
  EditResult result = Refuse(base::Error{
      base::ErrorCode::kConflict,
      "Other edits were committed first in every attempt; try again."});
  for (int i = 0; i < kMaxAttempts; ++i) {
    auto candidate = MakeCandidate(edit);
    if (!candidate) {
      return tl::unexpected(candidate.error());
    }
    if (edit.dry_run) {
      return std::move(candidate->outcome);
    }
    if (candidate->before == candidate->after) {
      candidate->outcome.version = candidate->head.head.version;
      return std::move(candidate->outcome);
    }
    result = Commit(std::move(*candidate));
    const auto* error =
        result ? nullptr : std::get_if<base::Error>(&result.error());
    if (error == nullptr || error->code != base::ErrorCode::kConflict) {
      return result;
    }
  }
  return result;
}

tl::expected<ConfigStore::Candidate, EditRefusal> ConfigStore::MakeCandidate(
    const ConfigEdit& edit) {
  Candidate candidate;
  const auto head = ReadHead(m_table);
  if (!head) {
    return Refuse(head.error());
  }
  candidate.head = *head;
  if (head->head.version > 0) {
    const auto body = ReadBody(m_table, head->head.version);
    if (!body) {
      return Refuse(body.error());
    }
    candidate.before = *body;
  }
  auto after = ApplyEdit(edit, *head, candidate.before);
  if (!after) {
    return tl::unexpected(after.error());
  }
  candidate.after = std::move(*after);
  auto fleet = config::ReadFleet(candidate.after, kFileName);
  if (!fleet) {
    return Refuse(EditInvalid{std::move(fleet.error())});
  }
  candidate.fleet = std::move(*fleet);
  config::Fleet fleet_before;
  if (head->head.version > 0) {
    auto read = config::ReadFleet(candidate.before, kFileName);
    if (!read) {
      return Refuse(
          base::Error{base::ErrorCode::kInternal,
                      "The newest accepted document can't be parsed."});
    }
    fleet_before = std::move(*read);
  }
  const bool first = head->head.version == 0;
  const config::Operator* editor =
      config::FindOperator(first ? candidate.fleet : fleet_before, edit.key);
  if (editor == nullptr) {
    return Refuse(base::Error{base::ErrorCode::kDenied,
                              "The key does not belong to any operator."});
  }
  candidate.editor = editor->name;
  if (!first) {
    base::Findings denied =
        config::CheckEditPermission(candidate.before, candidate.after,
                                    fleet_before, editor->name, kFileName);
    if (!denied.empty()) {
      return Refuse(EditDenied{std::move(denied)});
    }
    const auto difference =
        config::CompareDocuments(candidate.before, candidate.after);
    if (difference) {
      candidate.outcome.sections = NamesOf(*difference);
    }
  }
  candidate.outcome.change =
      config::CompareFleets(fleet_before, candidate.fleet, edit.team_usage);
  candidate.outcome.diff =
      config::UnifiedDiff(candidate.before, candidate.after,
                          VersionLabel(head->head.version), "edit");
  return candidate;
}

tl::expected<std::string, EditRefusal> ConfigStore::ApplyEdit(
    const ConfigEdit& edit,
    const HeadRow& head,
    const std::string& current) {
  if (edit.base_version > head.head.version) {
    return Refuse(EditConflict{head.head.version, ""});
  }
  if (edit.base_version < head.head.version) {
    return Rebase(edit, head, current);
  }
  if (!edit.section) {
    return edit.text;
  }
  auto after = config::ReplaceSection(current, *edit.section, edit.text);
  if (!after) {
    return RefuseInvalidText(after.error());
  }
  return std::move(*after);
}

// Applies an edit of an older version to the newest one, section by section.
tl::expected<std::string, EditRefusal> ConfigStore::Rebase(
    const ConfigEdit& edit,
    const HeadRow& head,
    const std::string& current) {
  if (edit.base_version == 0) {
    return Refuse(EditConflict{head.head.version, ""});
  }
  const auto base = ReadBody(m_table, edit.base_version);
  if (!base) {
    return Refuse(base.error());
  }
  const auto edited =
      edit.section ? config::ReplaceSection(*base, *edit.section, edit.text)
                   : base::Result<std::string>(edit.text);
  if (!edited) {
    return RefuseInvalidText(edited.error());
  }
  if (*edited == current) {
    return current;  // The edit has been accepted already.
  }
  const auto own = config::CompareDocuments(*base, *edited);
  const auto others = config::CompareDocuments(*base, current);
  if (!own || !others) {
    return RefuseInvalidText(own ? others.error() : own.error());
  }
  if (ConflictsWith(*own, *others)) {
    return Refuse(EditConflict{
        head.head.version,
        config::UnifiedDiff(*base, current, VersionLabel(edit.base_version),
                            VersionLabel(head.head.version))});
  }
  std::string after = current;
  for (const config::SectionName section : own->sections) {
    const auto text = config::SectionText(*edited, section);
    auto replaced = text ? config::ReplaceSection(after, section, *text) : text;
    if (!replaced) {
      return RefuseInvalidText(replaced.error());
    }
    after = std::move(*replaced);
  }
  return after;
}

EditResult ConfigStore::Commit(Candidate candidate) {
  const auto audit_head = ReadAuditHead(m_table);
  if (!audit_head) {
    return Refuse(audit_head.error());
  }
  const std::uint64_t version = candidate.head.head.version + 1;
  const ConfigHead head{version, base::Sha256Hex(candidate.after)};
  AuditChange change{kAcceptedWhat,     candidate.editor,
                     m_clock.WallNow(), candidate.outcome.sections,
                     version,           head.digest};
  const AuditWrites audit = MakeAuditWrites(*audit_head, change);
  const HeadRow row{head, candidate.editor, base::FormatWallTime(change.at),
                    candidate.outcome.sections, 0};
  platform::Transaction transaction;
  transaction.nonce = base::MakeId(m_random);
  transaction.preconditions = audit.preconditions;
  transaction.preconditions.push_back(
      {kConfigHeadKey, candidate.head.row_version});
  transaction.writes = audit.writes;
  transaction.writes.push_back({kConfigHeadKey, ToText(row)});
  transaction.writes.push_back({BodyKey(version), candidate.after});

  const base::TimePoint asked = m_clock.Now();
  const auto prepared = m_quorum.Prepare(version, m_random());
  if (!prepared) {
    m_quorum.AbortPrepare();
    return Refuse(prepared.error());
  }
  const base::TimePoint started = m_clock.Now();
  if (started - asked > kMaxPromiseAge) {
    m_quorum.AbortPrepare();
    return Refuse(base::Error{
        base::ErrorCode::kConflict,
        "The members' promises expired before the commit was started."});
  }
  const auto committed = ApplyAndResolve(transaction, audit);
  if (!committed) {
    // While the outcome is unknown, the promises must be kept.
    if (committed.error().code != base::ErrorCode::kUnknown) {
      m_quorum.AbortPrepare();
    }
    return Refuse(committed.error());
  }
  m_quorum.Announce(head, started);
  candidate.outcome.version = version;
  candidate.outcome.audit = audit.sequence;
  return std::move(candidate.outcome);
}

// Applies a transaction. If the answer is lost, finds out whether it was
// applied: an empty transaction uses up the nonce, so that the first one can't
// be applied later, and the audit row shows whether it was applied before.
base::Result<platform::Commit> ConfigStore::ApplyAndResolve(
    const platform::Transaction& transaction,
    const AuditWrites& audit) {
  auto outcome = m_table.Apply(transaction);
  for (int i = 0; i < kMaxAttempts; ++i) {
    if (outcome || outcome.error().code != base::ErrorCode::kUnknown) {
      return outcome;
    }
    const auto spent = m_table.Apply({transaction.nonce, {}, {}});
    const auto row = m_table.Get(AuditKey(audit.sequence));
    if (!spent || !row) {
      continue;
    }
    const bool applied = *row && (*row)->value == audit.writes[0].value;
    if (applied) {
      return *spent;
    }
    return base::Fail(base::ErrorCode::kConflict,
                      "The transaction was not applied.");
  }
  return outcome;
}

}  // namespace cassiastile::member
