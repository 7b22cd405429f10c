#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "cassiastile/host/ports.hpp"

namespace cassiastile::sim {

// The platform's transactional table, in memory. Knows nothing of time or
// connections: whoever serves it decides what is late or lost.
class TableModel {
 public:
  host::TransactionReply Apply(const host::RowTransaction& transaction,
                               std::chrono::milliseconds now);
  // Rows of a part from a key on, at most `limit`.
  host::RowPage Read(const std::string& table,
                     const std::string& part,
                     const std::string& from,
                     std::size_t limit,
                     std::chrono::milliseconds now) const;
  // What changed after a version; no rows if nothing did.
  host::FeedPage Feed(const std::string& table, std::uint64_t after) const;
  // Feeds from before now have to be read anew.
  void ForgetHistory();
  // The row, or null.
  const host::Row* Find(const std::string& table,
                        const std::string& part,
                        const std::string& key) const;

 private:
  using Key = std::tuple<std::string, std::string, std::string>;

  std::map<Key, host::Row> m_rows;  // By table, part and key.
  std::vector<host::Row> m_history;
  std::uint64_t m_version = 0;
  std::uint64_t m_forgotten = 0;  // History up to this version is gone.
};

}  // namespace cassiastile::sim
