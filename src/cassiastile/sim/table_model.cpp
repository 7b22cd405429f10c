#include "cassiastile/sim/table_model.hpp"

#include <algorithm>

namespace cassiastile::sim {

namespace {

// Base64 takes four bytes for three.
std::size_t EncodedBytes(const host::Row& row) {
  return row.table.size() + row.part.size() + row.key.size() +
         (row.value.size() + 2) / 3 * 4;
}

template <typename Entry>
bool HasLongKey(const Entry& entry) {
  return std::max({entry.table.size(), entry.part.size(), entry.key.size()}) >
         TableModel::kMaxKeyBytes;
}

}  // namespace

bool TableModel::IsWithinLimits(const host::RowTransaction& transaction) {
  if (std::ranges::any_of(transaction.expect,
                          HasLongKey<host::RowExpectation>) ||
      std::ranges::any_of(transaction.puts, HasLongKey<host::Row>) ||
      std::ranges::any_of(transaction.deletes, HasLongKey<host::Row>)) {
    return false;
  }
  std::size_t bytes = 0;
  for (const host::Row& row : transaction.puts) {
    if (row.value.size() > kMaxRowBytes) {
      return false;
    }
    bytes += EncodedBytes(row);
  }
  const std::size_t entries = transaction.expect.size() +
                              transaction.puts.size() +
                              transaction.deletes.size();
  return entries <= kMaxTransactionEntries && bytes <= kMaxTransactionBytes;
}

host::TransactionReply TableModel::Apply(
    const host::RowTransaction& transaction,
    std::chrono::milliseconds now) {
  using Outcome = host::TransactionReply::Outcome;
  host::TransactionReply reply;
  reply.now = now;
  if (!IsWithinLimits(transaction)) {
    reply.outcome = Outcome::kRefused;
    return reply;
  }
  bool holds = true;
  for (const host::RowExpectation& row : transaction.expect) {
    const host::Row* found = Find(row.table, row.part, row.key);
    holds = holds && (found == nullptr ? 0 : found->version) == row.version;
    if (found != nullptr) {
      reply.current.push_back(*found);
    }
  }
  if (!holds) {
    reply.outcome = Outcome::kConflict;
    return reply;
  }
  ++m_version;
  for (host::Row row : transaction.puts) {
    row.version = m_version;
    row.deleted = false;
    m_rows[Key(row.table, row.part, row.key)] = row;
    m_history.push_back(std::move(row));
  }
  for (host::Row row : transaction.deletes) {
    row.version = m_version;
    row.deleted = true;
    m_rows.erase(Key(row.table, row.part, row.key));
    m_history.push_back(std::move(row));
  }
  reply.outcome = Outcome::kApplied;
  reply.version = m_version;
  reply.current.clear();
  return reply;
}

host::RowPage TableModel::Read(const std::string& table,
                               const std::string& part,
                               const std::string& from,
                               std::size_t limit,
                               std::chrono::milliseconds now) const {
  host::RowPage page;
  page.version = m_version;
  page.now = now;
  for (auto row = m_rows.lower_bound(Key(table, part, from));
       row != m_rows.end() && row->second.table == table &&
       row->second.part == part;
       ++row) {
    if (page.rows.size() == limit) {
      page.has_more = true;
      break;
    }
    page.rows.push_back(row->second);
  }
  return page;
}

host::FeedPage TableModel::Feed(const std::string& table,
                                std::uint64_t after) const {
  host::FeedPage page;
  page.version = m_version;
  page.history_compacted = after < m_compacted_up_to;
  if (page.history_compacted) {
    return page;
  }
  for (const host::Row& row : m_history) {
    if (row.table == table && row.version > after) {
      page.rows.push_back(row);
    }
  }
  return page;
}

void TableModel::CompactHistory() {
  m_history.clear();
  m_compacted_up_to = m_version;
}

const host::Row* TableModel::Find(const std::string& table,
                                  const std::string& part,
                                  const std::string& key) const {
  const auto found = m_rows.find(Key(table, part, key));
  return found == m_rows.end() ? nullptr : &found->second;
}

}  // namespace cassiastile::sim
