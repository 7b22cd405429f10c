#include "cassiastile/member/member_rows.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace cassiastile::member {

namespace {

const std::string kMemberPrefix = "member/";

std::string ToText(const MemberRecord& record) {
  return nlohmann::json{{"incarnation", record.incarnation},
                        {"role", NameOf(record.role)},
                        {"zone", record.zone},
                        {"address", record.address},
                        {"http_address", record.http_address}}
      .dump();
}

std::optional<MemberRecord> ReadRecord(const platform::Row& row) {
  const auto json = nlohmann::json::parse(row.value, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  MemberRecord record;
  record.name = row.key.substr(kMemberPrefix.size());
  record.incarnation = json.value("incarnation", std::uint64_t{0});
  record.role = json.value("role", "") == NameOf(MemberRole::kControl)
                    ? MemberRole::kControl
                    : MemberRole::kEntry;
  record.zone = json.value("zone", "");
  record.address = json.value("address", "");
  record.http_address = json.value("http_address", "");
  return record;
}

}  // namespace

std::string BodyKey(std::uint64_t version) {
  return fmt::format("config/body/{}", version);
}

std::string ToText(const HeadRow& row) {
  return nlohmann::json{{"version", row.head.version},
                        {"digest", row.head.digest},
                        {"by", row.by},
                        {"at", row.at},
                        {"sections", row.sections}}
      .dump();
}

base::Result<HeadRow> ReadHead(platform::Table& table) {
  const auto row = table.Get(kConfigHeadKey);
  if (!row) {
    return tl::unexpected(row.error());
  }
  if (!*row) {
    return HeadRow{};
  }
  const auto json = nlohmann::json::parse((*row)->value, nullptr, false);
  if (!json.is_object()) {
    return base::Fail(base::ErrorCode::kInternal,
                      "The row config/head is not a JSON object.");
  }
  HeadRow head;
  head.head = {json.value("version", std::uint64_t{0}),
               json.value("digest", "")};
  head.by = json.value("by", "");
  head.at = json.value("at", "");
  head.sections = json.value("sections", std::vector<std::string>());
  head.row_version = (*row)->version;
  return head;
}

base::Result<std::string> ReadBody(platform::Table& table,
                                   std::uint64_t version) {
  auto row = table.Get(BodyKey(version));
  if (!row) {
    return tl::unexpected(row.error());
  }
  if (!*row) {
    return base::Fail(
        base::ErrorCode::kNotFound,
        fmt::format("There is no configuration version {}.", version));
  }
  return std::move((*row)->value);
}

base::Result<std::vector<MemberRecord>> ReadMembers(platform::Table& table) {
  const auto rows = platform::ScanAll(table, kMemberPrefix);
  if (!rows) {
    return tl::unexpected(rows.error());
  }
  std::vector<MemberRecord> members;
  for (const platform::Row& row : *rows) {
    if (auto record = ReadRecord(row)) {
      members.push_back(std::move(*record));
    }
  }
  return members;
}

base::Result<void> WriteMember(platform::Table& table,
                               const MemberRecord& record,
                               const std::string& nonce) {
  const auto row = table.Get(kMemberPrefix + record.name);
  if (!row) {
    return tl::unexpected(row.error());
  }
  const auto present = *row ? ReadRecord(**row) : std::nullopt;
  if (present && present->address == record.address &&
      present->incarnation == record.incarnation) {
    return {};
  }
  if (present && present->incarnation >= record.incarnation) {
    return base::Fail(
        base::ErrorCode::kConflict,
        "Another process has registered the member name " + record.name + ".");
  }
  platform::Transaction transaction;
  transaction.nonce = nonce;
  transaction.preconditions = {
      {kMemberPrefix + record.name, *row ? (*row)->version : 0}};
  transaction.writes = {{kMemberPrefix + record.name, ToText(record)}};
  const auto applied = table.Apply(transaction);
  if (!applied) {
    return tl::unexpected(applied.error());
  }
  return {};
}

base::Result<void> RemoveMember(platform::Table& table,
                                const MemberRecord& record,
                                const std::string& nonce) {
  const std::string key = kMemberPrefix + record.name;
  const auto row = table.Get(key);
  if (!row) {
    return tl::unexpected(row.error());
  }
  const auto present = *row ? ReadRecord(**row) : std::nullopt;
  if (!present || present->incarnation != record.incarnation) {
    return {};
  }
  const auto applied =
      table.Apply({nonce, {{key, (*row)->version}}, {{key, std::nullopt}}});
  if (!applied) {
    return tl::unexpected(applied.error());
  }
  return {};
}

}  // namespace cassiastile::member
