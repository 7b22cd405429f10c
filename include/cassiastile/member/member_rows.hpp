#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cassiastile/base/error.hpp"
#include "cassiastile/member/message.hpp"
#include "cassiastile/platform/table.hpp"

namespace cassiastile::member {

// The contents of the row config/head, which names the newest accepted
// configuration version, and the version of the row itself.
struct HeadRow {
  ConfigHead head;
  std::string by;  // The operator who made the edit.
  std::string at;  // RFC 3339 in UTC.
  // The changed ones; empty for the first document.
  std::vector<std::string> sections;
  std::uint64_t row_version = 0;  // Zero if the row doesn't exist yet.
};

inline constexpr const char* kConfigHeadKey = "config/head";

// The table key of the document text of a version.
std::string BodyKey(std::uint64_t version);
// Serializes the row as JSON for the table, without its row version.
std::string ToText(const HeadRow& row);
// Reads config/head; a default HeadRow if there is none. Fails with kInternal
// if the row is not a JSON object, or with the table's error.
base::Result<HeadRow> ReadHead(platform::Table& table);
// Reads the document text of a version; kNotFound if there is no such version.
base::Result<std::string> ReadBody(platform::Table& table,
                                   std::uint64_t version);

// Reads all member rows; rows that can't be parsed are skipped.
base::Result<std::vector<MemberRecord>> ReadMembers(platform::Table& table);
// Writes a member's own row; does nothing if it is up to date. Fails with
// kConflict if the row belongs to another process with the same or a later
// incarnation.
base::Result<void> WriteMember(platform::Table& table,
                               const MemberRecord& record,
                               const std::string& nonce);
// Deletes a member's row; does nothing if the row has another incarnation by
// now.
base::Result<void> RemoveMember(platform::Table& table,
                                const MemberRecord& record,
                                const std::string& nonce);

}  // namespace cassiastile::member
