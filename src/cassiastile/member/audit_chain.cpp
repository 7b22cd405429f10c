#include "cassiastile/member/audit_chain.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cassiastile/base/hash.hpp"

namespace cassiastile::member {

namespace {

constexpr const char* kHeadKey = "audit/head";
constexpr const char* kPrefix = "audit/";

nlohmann::json ToJson(const AuditRow& row) {
  return {{"sequence", row.sequence}, {"what", row.what},
          {"who", row.who},           {"at", row.at},
          {"sections", row.sections}, {"version", row.version},
          {"detail", row.detail},     {"previous", row.previous}};
}

std::string HeadText(std::uint64_t sequence, const std::string& hash) {
  return nlohmann::json{{"sequence", sequence}, {"hash", hash}}.dump();
}

}  // namespace

std::string AuditKey(std::uint64_t sequence) {
  return fmt::format("{}{:012}", kPrefix, sequence);
}

// nlohmann::json dumps object members in the order of their names, so equal
// rows always have equal texts.
std::string HashOf(const AuditRow& row) {
  return base::Sha256Hex(ToJson(row).dump());
}

std::string ToText(const AuditRow& row) {
  nlohmann::json json = ToJson(row);
  json["hash"] = row.hash;
  return json.dump();
}

base::Result<AuditRow> ParseAuditRow(const std::string& text) {
  try {
    const nlohmann::json json = nlohmann::json::parse(text);
    AuditRow row;
    json.at("sequence").get_to(row.sequence);
    json.at("what").get_to(row.what);
    json.at("who").get_to(row.who);
    json.at("at").get_to(row.at);
    json.at("sections").get_to(row.sections);
    json.at("version").get_to(row.version);
    json.at("detail").get_to(row.detail);
    json.at("previous").get_to(row.previous);
    json.at("hash").get_to(row.hash);
    return row;
  } catch (const nlohmann::json::exception& error) {
    return base::Fail(
        base::ErrorCode::kInvalid,
        fmt::format("The text is not a valid audit row: {}.", error.what()));
  }
}

base::Result<AuditHead> ReadAuditHead(platform::Table& table) {
  const auto row = table.Get(kHeadKey);
  if (!row) {
    return tl::unexpected(row.error());
  }
  if (!*row) {
    return AuditHead{};
  }
  const auto json = nlohmann::json::parse((*row)->value, nullptr, false);
  if (!json.is_object()) {
    return base::Fail(base::ErrorCode::kInternal,
                      "The row audit/head is not a JSON object.");
  }
  return AuditHead{json.value("sequence", std::uint64_t{0}),
                   json.value("hash", ""), (*row)->version};
}

AuditWrites MakeAuditWrites(const AuditHead& head, const AuditChange& change) {
  AuditRow row;
  row.sequence = head.sequence + 1;
  row.what = change.what;
  row.who = change.who;
  row.at = base::FormatWallTime(change.at);
  row.sections = change.sections;
  row.version = change.version;
  row.detail = change.detail;
  row.previous = head.hash;
  row.hash = HashOf(row);
  AuditWrites writes;
  writes.sequence = row.sequence;
  writes.preconditions = {{kHeadKey, head.row_version},
                          {AuditKey(row.sequence), 0}};
  writes.writes = {{AuditKey(row.sequence), ToText(row)},
                   {kHeadKey, HeadText(row.sequence, row.hash)}};
  return writes;
}

base::Result<std::vector<AuditRow>> ReadAuditRows(platform::Table& table,
                                                  std::uint64_t from) {
  constexpr std::size_t kPageRows = 500;
  std::vector<AuditRow> rows;
  std::string after = from > 0 ? AuditKey(from - 1) : kPrefix;
  while (true) {
    const auto page = table.Scan(kPrefix, after, kPageRows);
    if (!page) {
      return tl::unexpected(page.error());
    }
    for (const platform::Row& row : *page) {
      after = row.key;
      if (row.key == kHeadKey) {
        continue;
      }
      auto read = ParseAuditRow(row.value);
      // A row that can't be parsed keeps its position, but has no valid hash.
      rows.push_back(read ? std::move(*read) : AuditRow{});
    }
    if (page->size() < kPageRows) {
      return rows;
    }
  }
}

std::optional<std::uint64_t> FindBreak(const std::vector<AuditRow>& rows,
                                       const AuditHead& head) {
  std::uint64_t expected = 1;
  std::string previous;
  for (const AuditRow& row : rows) {
    const bool intact = row.sequence == expected && row.previous == previous &&
                        row.hash == HashOf(row);
    if (!intact) {
      return expected;
    }
    previous = row.hash;
    ++expected;
  }
  const bool ends_at_head =
      head.sequence + 1 == expected && head.hash == previous;
  return ends_at_head ? std::nullopt : std::optional(expected);
}

}  // namespace cassiastile::member
