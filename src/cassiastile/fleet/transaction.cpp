#include <utility>

#include "cassiastile/fleet/change.hpp"

namespace cassiastile::fleet {

namespace {

template <typename Record>
void AddRow(platform::Transaction& transaction,
            std::string key,
            const Stored<Record>& stored) {
  transaction.preconditions.push_back({key, stored.version});
  transaction.writes.push_back({std::move(key), ToJson(stored.record)});
}

template <typename Record>
Stored<Record> AfterWrite(const Stored<Record>& stored) {
  return {stored.record, stored.version + 1};
}

}  // namespace

platform::Transaction MakeTransaction(const Change& change, std::string nonce) {
  platform::Transaction transaction;
  transaction.nonce = std::move(nonce);
  transaction.preconditions = change.preconditions;
  for (const auto& pool : change.pools) {
    AddRow(transaction, PoolKey(pool.record.pool), pool);
  }
  for (const auto& host : change.hosts) {
    AddRow(transaction, HostKey(host.record.host), host);
  }
  for (const auto& wave : change.waves) {
    AddRow(transaction, WaveKey(wave.record.wave), wave);
  }
  for (const auto& host : change.removed_hosts) {
    const std::string key = HostKey(host.record.host);
    transaction.preconditions.push_back({key, host.version});
    transaction.writes.push_back({key, std::nullopt});
  }
  transaction.writes.insert(transaction.writes.end(),
                            change.other_writes.begin(),
                            change.other_writes.end());
  return transaction;
}

void ApplyChange(const Change& change, FleetState& state) {
  for (const auto& pool : change.pools) {
    state.pools[pool.record.pool] = AfterWrite(pool);
  }
  for (const auto& host : change.hosts) {
    state.hosts[host.record.host] = AfterWrite(host);
  }
  for (const auto& wave : change.waves) {
    state.waves[wave.record.wave] = AfterWrite(wave);
  }
  for (const auto& host : change.removed_hosts) {
    state.hosts.erase(host.record.host);
  }
}

}  // namespace cassiastile::fleet
