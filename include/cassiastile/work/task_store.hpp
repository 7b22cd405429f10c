#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cassiastile/base/error.hpp"
#include "cassiastile/base/random.hpp"
#include "cassiastile/platform/table.hpp"
#include "cassiastile/work/task_index.hpp"

namespace cassiastile::work {

// A task with the version of its row.
struct StoredTask {
  Task task;
  std::uint64_t version = 0;
};

// One page of a shard's rows.
struct StoredPage {
  std::vector<StoredTask> tasks;
  std::string last_key;  // The next page follows it.
  bool is_last = false;
};

// A team's upper limit, and how much of it the shard uses and could use.
struct LimitNeed {
  std::uint32_t limit = 0;
  std::uint32_t in_use = 0;
  std::uint32_t wanted = 0;
};

using TeamGrants = std::map<std::string, std::uint32_t>;

// A pool's task rows in the table. Calls block on the table. Not thread-safe.
//
// Every write is fenced by the shard's precondition. A write whose answer was
// lost stays pending until its outcome is known; no tasks may be written
// before.
class TaskStore {
 public:
  // The table must outlive the store.
  TaskStore(platform::Table& table, std::string pool, base::Random random);

  // Returns the errors of Table. After kUnknown the transaction is pending.
  base::Result<void> Write(const std::vector<TaskRowChange>& rows,
                           const platform::Precondition& fence);

  bool IsPending() const;
  // Applies the pending transaction again; it takes effect at most once. There
  // must be one.
  // kConflict: it did not and will not apply. kUnknown: its outcome is still
  // unknown.
  base::Result<void> Resolve();

  // Reads the tasks whose rows follow the key `after`; an empty key starts at
  // the first row.
  base::Result<StoredPage> ReadPage(const std::string& after);

  // Reports the shard's needs to the ledger of upper limits and returns its
  // grants. When the answer is lost, returns for each team the lower of its
  // previous and its new grant.
  base::Result<TeamGrants> ExchangeCredits(
      const std::map<std::string, LimitNeed>& needs,
      const TeamGrants& previous,
      const platform::Precondition& fence);

 private:
  platform::Table& m_table;
  std::string m_pool;
  base::Random m_random;
  std::optional<platform::Transaction> m_pending;
  std::optional<platform::Transaction> m_pending_credits;
};

}  // namespace cassiastile::work
