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

struct StoredTask {
  Task task;
  std::uint64_t version = 0;
};

struct StoredPage {
  std::vector<StoredTask> tasks;
  std::string last_key;
  bool is_last = false;
};

// What a shard has in use of a team's upper limit, and what it could use.
struct LimitNeed {
  std::uint32_t limit = 0;
  std::uint32_t in_use = 0;
  std::uint32_t wanted = 0;
};

using TeamGrants = std::map<std::string, std::uint32_t>;

// A pool's rows in the table. Every write carries the shard's fence. A write
// whose answer was lost stays pending until it is found out what became of it;
// nothing else is written before.
class TaskStore {
 public:
  TaskStore(platform::Table& table, std::string pool, base::Random random);

  // Errors are those of Table; after kUnknown the transaction is pending.
  base::Result<void> Write(const std::vector<TaskRowChange>& rows,
                           const platform::Precondition& fence);

  bool IsPending() const;
  // Applies the pending transaction again, which takes effect once at most.
  // kConflict: it did not and will not apply. kUnknown: still not known.
  base::Result<void> Resolve();

  // The tasks whose rows come after the key; an empty one begins.
  base::Result<StoredPage> ReadPage(const std::string& after);

  // States the shard's needs in the ledger of upper limits and returns what it
  // is granted. When the answer is lost it returns, for each team, the lower
  // of what it had and what it may have now.
  base::Result<TeamGrants> ExchangeCredits(
      const std::map<std::string, LimitNeed>& needs,
      const TeamGrants& before,
      const platform::Precondition& fence);

 private:
  platform::Table& m_table;
  std::string m_pool;
  base::Random m_random;
  std::optional<platform::Transaction> m_pending;
  std::optional<platform::Transaction> m_pending_credits;
};

}  // namespace cassiastile::work
