#include "cassiastile/entry/credit_account.hpp"

#include <algorithm>
#include <utility>

namespace cassiastile::entry {

namespace {

// The lower grant of each resource; one that either side lacks counts as zero.
Grants MinimumOf(const Grants& left, const Grants& right) {
  Grants lower;
  for (const auto& [resource, granted] : left) {
    const auto found = right.find(resource);
    if (found != right.end()) {
      lower[resource] = std::min(granted, found->second);
    }
  }
  return lower;
}

std::set<work::HolderName> HoldersOf(const work::LedgerRow& row) {
  std::set<work::HolderName> holders;
  for (const auto& [resource, ledger] : row) {
    for (const auto& [holder, holding] : ledger.holdings) {
      holders.insert(holder);
    }
  }
  return holders;
}

// Raises the planned grants to what came into use while the row was planned:
// credits in use are not released.
void KeepInUse(work::LedgerRow& planned,
               const work::LedgerRow& row,
               const work::HolderName& holder,
               const Grants& in_use) {
  const Grants held = GrantsOf(row, holder);
  for (const auto& [resource, used] : in_use) {
    const auto granted = held.find(resource);
    const std::uint32_t most = granted == held.end() ? 0 : granted->second;
    const std::uint32_t kept = std::min(used, most);
    if (kept > 0) {
      work::Holding& holding = planned[resource].holdings[holder];
      holding.granted = std::max(holding.granted, kept);
    }
  }
}

}  // namespace

CreditNeeds ReleasingConsumer::Needs(const work::LedgerRow& row,
                                     base::TimePoint now) {
  CreditNeeds needs = m_consumer.Needs(row, now);
  for (auto& [resource, need] : needs) {
    need.wanted = need.in_use;
  }
  return needs;
}

Grants ReleasingConsumer::ApplyGrants(const Grants& grants,
                                      base::TimePoint now) {
  return m_consumer.ApplyGrants(grants, now);
}

CreditAccount::CreditAccount(platform::Table& table,
                             std::string key,
                             work::HolderName holder,
                             std::uint64_t seed)
    : m_table(table),
      m_key(std::move(key)),
      m_holder(std::move(holder)),
      m_random(seed) {}

CreditSyncResult CreditAccount::Sync(CreditConsumer& consumer,
                                     const GoneHolderFinder& find_gone,
                                     base::TimePoint now) {
  if (!ResolveLastWrite()) {
    return CreditSyncResult::kUnreachable;
  }
  const auto read = m_table.Get(m_key);
  if (!read) {
    return CreditSyncResult::kUnreachable;
  }
  m_last_answer = now;
  const std::string text = read->has_value() ? (*read)->value : "{}";
  const std::uint64_t version = read->has_value() ? (*read)->version : 0;
  const auto row = work::ParseLedgerRow(text);
  if (!row) {
    return CreditSyncResult::kUnreachable;
  }
  work::LedgerRow planned = PlanLedgerRow(
      *row, m_holder, consumer.Needs(*row, now), find_gone(HoldersOf(*row)));
  if (!IsWorthWriting(*row, planned, m_holder)) {
    consumer.ApplyGrants(GrantsOf(*row, m_holder), now);
    return CreditSyncResult::kUnchanged;
  }
  return Write(consumer, *row, version, std::move(planned), now);
}

CreditSyncResult CreditAccount::Write(CreditConsumer& consumer,
                                      const work::LedgerRow& row,
                                      std::uint64_t version,
                                      work::LedgerRow planned,
                                      base::TimePoint now) {
  const Grants held = GrantsOf(row, m_holder);
  const Grants in_use =
      consumer.ApplyGrants(MinimumOf(held, GrantsOf(planned, m_holder)), now);
  KeepInUse(planned, row, m_holder, in_use);
  platform::Transaction transaction;
  transaction.nonce = m_holder + "/" + m_key + "/" + base::MakeId(m_random);
  transaction.preconditions.push_back({m_key, version});
  transaction.writes.push_back({m_key, work::FormatLedgerRow(planned)});
  const auto commit = m_table.Apply(transaction);
  if (commit) {
    consumer.ApplyGrants(GrantsOf(planned, m_holder), now);
    return CreditSyncResult::kWritten;
  }
  switch (commit.error().code) {
    case base::ErrorCode::kConflict:
      return CreditSyncResult::kConflict;
    case base::ErrorCode::kUnavailable:
      consumer.ApplyGrants(held, now);
      return CreditSyncResult::kUnreachable;
    default:
      m_unresolved = std::move(transaction);
      return CreditSyncResult::kUnreachable;
  }
}

// If the answer to the last write was lost, repeats the write under the same
// nonce, so that the table applies it at most once. Returns whether the outcome
// is known now.
bool CreditAccount::ResolveLastWrite() {
  if (!m_unresolved) {
    return true;
  }
  const auto commit = m_table.Apply(*m_unresolved);
  const bool known =
      commit || commit.error().code == base::ErrorCode::kConflict;
  if (known) {
    m_unresolved.reset();
  }
  return known;
}

}  // namespace cassiastile::entry
