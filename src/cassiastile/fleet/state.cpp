#include "cassiastile/fleet/state.hpp"

#include <set>
#include <utility>

#include <nlohmann/json.hpp>

namespace cassiastile::fleet {

namespace {

constexpr const char* kDocumentKey = "config/head";

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
          "The row " + row.key + " can't be parsed: " + parsed.error().message);
    }
    records.emplace_hint(records.end(), name,
                         Stored<Record>{std::move(*parsed), row.version});
  }
  return records;
}

base::Result<void> ReadDocumentRow(platform::Table& table, FleetState& state) {
  const auto row = table.Get(kDocumentKey);
  if (!row) {
    return tl::unexpected(row.error());
  }
  state.document_row = {kDocumentKey, 0};
  if (!*row) {
    return {};
  }
  const auto json = nlohmann::json::parse((*row)->value, nullptr, false);
  if (!json.is_object() || !json.contains("version") ||
      !json["version"].is_number_unsigned()) {
    return base::Fail(
        base::ErrorCode::kInternal,
        "The row config/head is not a JSON object with an unsigned "
        "version.");
  }
  state.document_row.version = (*row)->version;
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

base::Result<void> StateReader::Read(FleetState& state) {
  FleetState next;
  base::Result<void> document = ReadDocumentRow(m_table, next);
  if (!document) {
    return document;
  }
  auto pools = ReadRecords(m_table, "pool/", state.pools, ParsePoolRecord);
  if (!pools) {
    return tl::unexpected(pools.error());
  }
  auto waves = ReadRecords(m_table, "wave/", state.waves, ParseWaveRecord);
  if (!waves) {
    return tl::unexpected(waves.error());
  }
  next.pools = std::move(*pools);
  next.waves = std::move(*waves);
  base::Result<void> hosts = ReadHosts(next, state);
  if (!hosts) {
    return hosts;
  }
  if (m_has_all_hosts) {
    for (auto& [host, stored] : next.hosts) {
      state.hosts[host] = std::move(stored);
    }
    next.hosts = std::move(state.hosts);
  }
  state = std::move(next);
  std::erase_if(state.hosts,
                [](const auto& entry) { return entry.second.version == 0; });
  m_has_all_hosts = true;
  return {};
}

void StateReader::Invalidate() {
  m_has_all_hosts = false;
}

// Reads all hosts, or, while m_has_all_hosts is set, only those that changed. A
// deleted host is returned with version zero.
base::Result<void> StateReader::ReadHosts(FleetState& next,
                                          const FleetState& last) {
  if (m_has_all_hosts) {
    const base::Result<bool> changed = ReadChangedHosts(next, last);
    if (!changed) {
      return tl::unexpected(changed.error());
    }
    m_has_all_hosts = *changed;
  }
  if (m_has_all_hosts) {
    return {};
  }
  auto hosts = ReadRecords(m_table, "host/", last.hosts, ParseHostRecord);
  if (!hosts) {
    return tl::unexpected(hosts.error());
  }
  next.hosts = std::move(*hosts);
  return {};
}

// Returns false if all hosts must be read: a pool is new, or it changed more
// than once since the last read while its row names only the host of the last
// change.
base::Result<bool> StateReader::ReadChangedHosts(FleetState& next,
                                                 const FleetState& last) {
  std::set<std::string> changed;
  for (const auto& [name, pool] : next.pools) {
    const auto known = last.pools.find(name);
    if (known != last.pools.end() && known->second.version == pool.version) {
      continue;
    }
    if (known == last.pools.end() ||
        pool.record.epoch != known->second.record.epoch + 1) {
      return false;
    }
    changed.insert(pool.record.last_host);
  }
  for (const std::string& host : changed) {
    const auto row = m_table.Get(HostKey(host));
    if (!row) {
      return tl::unexpected(row.error());
    }
    if (!*row) {
      next.hosts[host] = {};
      continue;
    }
    base::Result<HostRecord> parsed = ParseHostRecord((*row)->value);
    if (!parsed) {
      return tl::unexpected(parsed.error());
    }
    next.hosts[host] = {std::move(*parsed), (*row)->version};
  }
  return true;
}

}  // namespace cassiastile::fleet
