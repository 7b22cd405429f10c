#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "cassiastile/host/ports.hpp"

namespace cassiastile::sim {

// The platform's transactional table, in memory. It models neither time nor
// connections: its user decides which requests are late or lost. `now` is
// the table's time, which the answer returns. Not thread-safe.
class TableModel {
 public:
  // Limits of the platform's table.
  static constexpr std::size_t kMaxKeyBytes = 200;  // Of each of its parts.
  static constexpr std::size_t kMaxRowBytes = 64U << 10U;
  static constexpr std::size_t kMaxTransactionEntries = 100;
  static constexpr std::size_t kMaxTransactionBytes = 1U << 20U;

  // Applies a transaction if each expected row has the expected version, 0 for
  // none; otherwise returns a conflict with the current rows. One that is over
  // a limit is refused.
  host::TransactionReply Apply(const host::RowTransaction& transaction,
                               std::chrono::milliseconds now);
  // The rows of a part whose keys are `from` or greater, in order of their
  // keys, at most `limit`.
  host::RowPage Read(const std::string& table,
                     const std::string& part,
                     const std::string& from,
                     std::size_t limit,
                     std::chrono::milliseconds now) const;
  // The changes after a version; no rows if there are none.
  // `history_compacted` is set if the history does not reach back to it.
  host::FeedPage Feed(const std::string& table, std::uint64_t after) const;
  // Drops the history: a client that follows the feed from an older version
  // must read the table again.
  void CompactHistory();
  // The row, or null.
  const host::Row* Find(const std::string& table,
                        const std::string& part,
                        const std::string& key) const;

  // Whether a transaction, as it is sent, is within the limits.
  static bool IsWithinLimits(const host::RowTransaction& transaction);

 private:
  using Key = std::tuple<std::string, std::string, std::string>;

  std::map<Key, host::Row> m_rows;  // By table, part and key.
  std::vector<host::Row> m_history;
  std::uint64_t m_version = 0;
  std::uint64_t m_compacted_up_to = 0;  // History up to this version is gone.
};

}  // namespace cassiastile::sim
