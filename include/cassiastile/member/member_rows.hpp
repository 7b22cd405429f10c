#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cassiastile/base/error.hpp"
#include "cassiastile/member/message.hpp"
#include "cassiastile/platform/table.hpp"

namespace cassiastile::member {

// What the row config/head holds, with the row's own version.
struct HeadRow {
  ConfigHead head;
  std::string by;  // The operator who made the edit.
  std::string at;  // RFC 3339 in UTC.
  std::vector<std::string> sections;
  std::uint64_t row_version = 0;  // Zero when there is none yet.
};

inline constexpr const char* kConfigHeadKey = "config/head";

std::string BodyKey(std::uint64_t version);
std::string ToText(const HeadRow& row);
base::Result<HeadRow> ReadHead(platform::Table& table);
// The text of a version; kNotFound when there is none.
base::Result<std::string> ReadBody(platform::Table& table,
                                   std::uint64_t version);

// The members' rows; rows that can't be read are left out.
base::Result<std::vector<MemberRecord>> ReadMembers(platform::Table& table);
// Writes a member's own row. Fails with kConflict when the row is of the same
// or a later incarnation of another process.
base::Result<void> WriteMember(platform::Table& table,
                               const MemberRecord& record,
                               const std::string& nonce);
// Removes a member's row unless it is of a later incarnation by now.
base::Result<void> RemoveMember(platform::Table& table,
                                const MemberRecord& record,
                                const std::string& nonce);

}  // namespace cassiastile::member
