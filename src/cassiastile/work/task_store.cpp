#include "cassiastile/work/task_store.hpp"

#include <algorithm>

#include "cassiastile/work/credit_rows.hpp"

namespace cassiastile::work {

namespace {

using base::ErrorCode;

constexpr std::size_t kRowsPerPage = 500;

HolderName HolderOf(const std::string& pool) {
  return "shard/" + pool;
}

TeamGrants GrantsOf(const LedgerRow& row, const HolderName& holder) {
  TeamGrants grants;
  for (const auto& [team, ledger] : row) {
    const auto holding = ledger.holdings.find(holder);
    if (holding != ledger.holdings.end()) {
      grants[team] = holding->second.granted;
    }
  }
  return grants;
}

TeamGrants LowerOf(const TeamGrants& left, const TeamGrants& right) {
  TeamGrants lower;
  for (const auto& [team, granted] : left) {
    const auto other = right.find(team);
    lower[team] = other == right.end() ? 0 : std::min(granted, other->second);
  }
  return lower;
}

LedgerRow RebalanceAll(LedgerRow row,
                       const HolderName& holder,
                       const std::map<std::string, LimitNeed>& needs) {
  for (const auto& [team, need] : needs) {
    Ledger& ledger = row[team];
    ledger.capacity = need.limit;
    ledger = Rebalance(ledger, holder, need.in_use, need.wanted);
  }
  return row;
}

}  // namespace

TaskStore::TaskStore(platform::Table& table,
                     std::string pool,
                     base::Random random)
    : m_table(table), m_pool(std::move(pool)), m_random(random) {}

base::Result<void> TaskStore::Write(const std::vector<TaskRowChange>& rows,
                                    const platform::Precondition& fence) {
  platform::Transaction transaction;
  transaction.nonce = base::MakeId(m_random);
  transaction.preconditions.push_back(fence);
  for (const TaskRowChange& row : rows) {
    const std::string key = TaskRowKey(m_pool, row.key);
    transaction.preconditions.push_back({key, row.version});
    transaction.writes.push_back({key, row.value});
  }
  const auto applied = m_table.Apply(transaction);
  if (applied) {
    return {};
  }
  if (applied.error().code == ErrorCode::kUnknown) {
    m_pending = std::move(transaction);
  }
  return tl::unexpected(applied.error());
}

bool TaskStore::IsPending() const {
  return m_pending.has_value();
}

base::Result<void> TaskStore::Resolve() {
  const auto applied = m_table.Apply(*m_pending);
  if (applied) {
    m_pending.reset();
    return {};
  }
  if (applied.error().code == ErrorCode::kConflict) {
    m_pending.reset();
    return tl::unexpected(applied.error());
  }
  return base::Fail(ErrorCode::kUnknown, applied.error().message);
}

base::Result<StoredPage> TaskStore::ReadPage(const std::string& after) {
  const auto rows = m_table.Scan("task/" + m_pool + "/", after, kRowsPerPage);
  if (!rows) {
    return tl::unexpected(rows.error());
  }
  StoredPage page;
  page.is_last = rows->size() < kRowsPerPage;
  page.tasks.reserve(rows->size());
  for (const platform::Row& row : *rows) {
    auto task = DecodeTask(row.value);
    if (!task) {
      return base::Fail(
          ErrorCode::kInternal,
          "The row " + row.key + " can't be decoded: " + task.error().message);
    }
    page.tasks.push_back({std::move(*task), row.version});
    page.last_key = row.key;
  }
  return page;
}

base::Result<TeamGrants> TaskStore::ExchangeCredits(
    const std::map<std::string, LimitNeed>& needs,
    const TeamGrants& previous,
    const platform::Precondition& fence) {
  if (m_pending_credits) {
    const auto applied = m_table.Apply(*m_pending_credits);
    if (!applied && applied.error().code != ErrorCode::kConflict) {
      return tl::unexpected(applied.error());
    }
    m_pending_credits.reset();
  }
  const auto read = m_table.Get(TasksLedgerKey());
  if (!read) {
    return tl::unexpected(read.error());
  }
  const auto row = ParseLedgerRow(*read ? (*read)->value : "{}");
  if (!row) {
    return tl::unexpected(row.error());
  }
  const HolderName holder = HolderOf(m_pool);
  const LedgerRow next = RebalanceAll(*row, holder, needs);
  const std::string text = FormatLedgerRow(next);
  const TeamGrants granted = GrantsOf(next, holder);
  if (*read && (*read)->value == text) {
    return granted;
  }
  platform::Transaction transaction;
  transaction.nonce = base::MakeId(m_random);
  transaction.preconditions = {
      fence, {TasksLedgerKey(), *read ? (*read)->version : 0}};
  transaction.writes = {{TasksLedgerKey(), text}};
  const auto applied = m_table.Apply(transaction);
  if (applied) {
    return granted;
  }
  if (applied.error().code == ErrorCode::kUnknown) {
    m_pending_credits = std::move(transaction);
    return LowerOf(previous, granted);
  }
  return tl::unexpected(applied.error());
}

}  // namespace cassiastile::work
