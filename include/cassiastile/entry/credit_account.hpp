#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/random.hpp"
#include "cassiastile/entry/credit_plan.hpp"
#include "cassiastile/platform/table.hpp"

namespace cassiastile::entry {

// Uses the credits that one ledger row grants to this host. Safe for use by
// several threads.
class CreditConsumer {
 public:
  virtual ~CreditConsumer() = default;

  // What this host needs of each resource, given the current row.
  virtual CreditNeeds Needs(const work::LedgerRow& row,
                            base::TimePoint now) = 0;

  // From now on nothing is started above the grants; a resource without a grant
  // counts as zero. Returns an upper bound of what stays in use, which may
  // exceed a grant where more was in use already.
  virtual Grants ApplyGrants(const Grants& grants, base::TimePoint now) = 0;
};

// Makes another consumer release all credits that it does not have in use.
class ReleasingConsumer final : public CreditConsumer {
 public:
  // The consumer must outlive this object.
  explicit ReleasingConsumer(CreditConsumer& consumer) : m_consumer(consumer) {}

  CreditNeeds Needs(const work::LedgerRow& row, base::TimePoint now) override;
  Grants ApplyGrants(const Grants& grants, base::TimePoint now) override;

 private:
  CreditConsumer& m_consumer;
};

// Result of one synchronization with the table.
enum class CreditSyncResult : std::uint8_t {
  kUnchanged,
  kWritten,
  kConflict,  // Another host wrote the row first; retry at once.
  // The table gave no usable answer. Credits granted before stay usable.
  kUnreachable,
};

// This host's share of one ledger row. Use of credits stops before the write
// that releases them, and starts only after the write that grants them is known
// to have been applied. For use by one thread at a time.
class CreditAccount {
 public:
  // The table must outlive the account.
  CreditAccount(platform::Table& table,
                std::string key,
                work::HolderName holder,
                std::uint64_t seed);

  // Returns those of the given holders that are gone; see HolderWatch.
  using GoneHolderFinder = std::function<std::set<work::HolderName>(
      const std::set<work::HolderName>&)>;

  // Reads the row, and writes it if this host is due to take or release
  // credits, or to remove holders that are gone.
  CreditSyncResult Sync(CreditConsumer& consumer,
                        const GoneHolderFinder& find_gone,
                        base::TimePoint now);

  // When the table last answered a read.
  base::TimePoint LastAnswer() const { return m_last_answer; }

 private:
  CreditSyncResult Write(CreditConsumer& consumer,
                         const work::LedgerRow& row,
                         std::uint64_t version,
                         work::LedgerRow planned,
                         base::TimePoint now);
  bool ResolveLastWrite();

  platform::Table& m_table;
  std::string m_key;
  work::HolderName m_holder;
  base::Random m_random;
  // A write whose outcome is unknown because its answer was lost.
  std::optional<platform::Transaction> m_unresolved;
  base::TimePoint m_last_answer{};
};

}  // namespace cassiastile::entry
