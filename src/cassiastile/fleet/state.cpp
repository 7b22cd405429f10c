#include "cassiastile/fleet/state.hpp"

#include <utility>

#include <nlohmann/json.hpp>

namespace cassiastile::fleet {

namespace {

constexpr const char* kHeadKey = "config/head";

template <typename Record, typename Parse>
base::Result<std::map<std::string, Stored<Record>>> ReadRecords(
    platform::Table& table,
    const std::string& prefix,
    const std::map<std::string, Stored<Record>>& last,
    Parse parse) {
  const auto rows = platform::ScanAll(table, prefix);
  if (!rows) {
    return tl::unexpected(rows.error());
  }
  std::map<std::string, Stored<Record>> records;
  for (const platform::Row& row : *rows) {
    const std::string name = row.key.substr(prefix.size());
    const auto known = last.find(name);
    if (known != last.end() && known->second.version == row.version) {
      records.emplace_hint(records.end(), *known);
      continue;
    }
    base::Result<Record> parsed = parse(row.value);
    if (!parsed) {
      return base::Fail(
          base::ErrorCode::kInternal,
          "The row " + row.key + " can't be read: " + parsed.error().message);
    }
    records.emplace_hint(records.end(), name,
                         Stored<Record>{std::move(*parsed), row.version});
  }
  return records;
}

base::Result<void> ReadHead(platform::Table& table, FleetState& state) {
  const auto row = table.Get(kHeadKey);
  if (!row) {
    return tl::unexpected(row.error());
  }
  state.head = {kHeadKey, 0};
  if (!*row) {
    return {};
  }
  const auto json = nlohmann::json::parse((*row)->value, nullptr, false);
  if (!json.is_object() || !json.contains("version") ||
      !json["version"].is_number_unsigned()) {
    return base::Fail(base::ErrorCode::kInternal,
                      "The row config/head can't be read.");
  }
  state.head.version = (*row)->version;
  state.document_version = json["version"].get<std::uint64_t>();
  return {};
}

}  // namespace

Stored<PoolRecord> FindPoolRecord(const FleetState& state,
                                  const std::string& pool) {
  const auto found = state.pools.find(pool);
  if (found != state.pools.end()) {
    return found->second;
  }
  Stored<PoolRecord> stored;
  stored.record.pool = pool;
  return stored;
}

Stored<WaveRecord> FindWaveRecord(const FleetState& state,
                                  const std::string& wave) {
  const auto found = state.waves.find(wave);
  if (found != state.waves.end()) {
    return found->second;
  }
  Stored<WaveRecord> stored;
  stored.record.wave = wave;
  return stored;
}

StateReader::StateReader(platform::Table& table) : m_table(table) {}

base::Result<FleetState> StateReader::Read() {
  FleetState state;
  const base::Result<void> head = ReadHead(m_table, state);
  if (!head) {
    return tl::unexpected(head.error());
  }
  auto pools = ReadRecords(m_table, "pool/", m_last.pools, ParsePoolRecord);
  if (!pools) {
    return tl::unexpected(pools.error());
  }
  auto hosts = ReadRecords(m_table, "host/", m_last.hosts, ParseHostRecord);
  if (!hosts) {
    return tl::unexpected(hosts.error());
  }
  auto waves = ReadRecords(m_table, "wave/", m_last.waves, ParseWaveRecord);
  if (!waves) {
    return tl::unexpected(waves.error());
  }
  state.pools = std::move(*pools);
  state.hosts = std::move(*hosts);
  state.waves = std::move(*waves);
  m_last = state;
  return state;
}

}  // namespace cassiastile::fleet
