#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/error.hpp"
#include "cassiastile/platform/table.hpp"

namespace cassiastile::member {

// A change that is to be kept in the audit chain.
struct AuditChange {
  std::string what;  // Such as "config accepted".
  std::string who;   // The operator's name.
  base::WallTime at{};
  std::vector<std::string> sections;  // Those of the document, if any.
  std::uint64_t version = 0;  // Of the document that was accepted, if any.
  std::string detail;
};

// One row of the chain. Its hash covers all other fields, the hash of the row
// before among them.
struct AuditRow {
  std::uint64_t sequence = 0;  // Counts from one.
  std::string what;
  std::string who;
  std::string at;  // RFC 3339 in UTC.
  std::vector<std::string> sections;
  std::uint64_t version = 0;
  std::string detail;
  std::string previous;  // Empty in the first row.
  std::string hash;
};

// The end of the chain.
struct AuditHead {
  std::uint64_t sequence = 0;
  std::string hash;
  std::uint64_t row_version = 0;  // Of the row that holds the head.
};

// What a transaction must carry so that a change is appended with it.
struct AuditWrites {
  std::uint64_t sequence = 0;
  std::vector<platform::Precondition> preconditions;
  std::vector<platform::Write> writes;
};

std::string AuditKey(std::uint64_t sequence);
std::string HashOf(const AuditRow& row);
std::string ToText(const AuditRow& row);
base::Result<AuditRow> ReadAuditRow(const std::string& text);

base::Result<AuditHead> ReadAuditHead(platform::Table& table);

// The writes that append a change behind the head. The transaction conflicts
// when another change was appended first.
AuditWrites MakeAuditWrites(const AuditHead& head, const AuditChange& change);

// The chain's rows from a sequence on.
base::Result<std::vector<AuditRow>> ReadAuditRows(platform::Table& table,
                                                  std::uint64_t from);

// The sequence of the first row that is missing or was edited, or nothing when
// the chain is whole from its first row to its head.
std::optional<std::uint64_t> FindBreak(const std::vector<AuditRow>& rows,
                                       const AuditHead& head);

}  // namespace cassiastile::member
