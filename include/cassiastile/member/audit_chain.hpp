#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/error.hpp"
#include "cassiastile/platform/table.hpp"

namespace cassiastile::member {

// A change to be recorded in the audit chain, a hash-linked log of table rows.
struct AuditChange {
  std::string what;  // Such as "config accepted".
  std::string who;   // The name of the operator who made the change.
  base::WallTime at{};
  // The changed sections of the configuration document, if it was changed.
  std::vector<std::string> sections;
  std::uint64_t version = 0;  // The accepted document version, or zero.
  std::string detail;
};

// One row of the chain. Its hash covers all other fields, including the hash of
// the previous row.
struct AuditRow {
  std::uint64_t sequence = 0;  // The first row has sequence one.
  std::string what;
  std::string who;
  std::string at;  // RFC 3339 in UTC.
  std::vector<std::string> sections;
  std::uint64_t version = 0;
  std::string detail;
  std::string previous;  // Hash of the previous row; empty in the first row.
  std::string hash;
};

// The end of the chain: the sequence and hash of its last row, as stored in the
// row audit/head.
struct AuditHead {
  std::uint64_t sequence = 0;
  std::string hash;
  std::uint64_t row_version = 0;  // Version of the row audit/head.
};

// The preconditions and writes that a transaction must include in order to
// append a change to the chain atomically.
struct AuditWrites {
  std::uint64_t sequence = 0;  // Of the appended row.
  std::vector<platform::Precondition> preconditions;
  std::vector<platform::Write> writes;
};

// The table key of the row with this sequence.
std::string AuditKey(std::uint64_t sequence);
// SHA-256, in hexadecimal, over all fields of the row except the hash itself.
std::string HashOf(const AuditRow& row);
// Serializes a row as JSON for the table.
std::string ToText(const AuditRow& row);
// Parses what ToText wrote. Fails with kInvalid if a field is missing or has
// the wrong type. Doesn't check the hash.
base::Result<AuditRow> ParseAuditRow(const std::string& text);

// Reads the end of the chain; a default AuditHead if the chain is empty. Fails
// with kInternal if the row is not a JSON object, or with the table's error.
base::Result<AuditHead> ReadAuditHead(platform::Table& table);

// Makes the writes that append a change after the head. The transaction fails
// with kConflict if another change was appended first.
AuditWrites MakeAuditWrites(const AuditHead& head, const AuditChange& change);

// Reads the chain's rows, starting at sequence `from`. A row that can't be
// parsed is returned as a default AuditRow, which FindBreak reports.
base::Result<std::vector<AuditRow>> ReadAuditRows(platform::Table& table,
                                                  std::uint64_t from);

// Returns the sequence of the first row that is missing or was modified, or
// nothing if the chain is intact from its first row to its head. `rows` must
// start at the first row of the chain.
std::optional<std::uint64_t> FindBreak(const std::vector<AuditRow>& rows,
                                       const AuditHead& head);

}  // namespace cassiastile::member
