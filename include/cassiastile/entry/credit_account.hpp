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

// What spends the credits of one row. Safe for use by several threads.
class CreditConsumer {
 public:
  virtual ~CreditConsumer() = default;

  // What is needed, given what the row says.
  virtual CreditNeeds Needs(const work::LedgerRow& row,
                            base::TimePoint now) = 0;

  // Nothing is started any more above the grants; what they don't name counts
  // as none. Returns what is in use from then on at most, which may be more
  // than that where it was already.
  virtual Grants Allow(const Grants& grants, base::TimePoint now) = 0;
};

// Gives back all that another user does not have in use.
class ReleasingConsumer final : public CreditConsumer {
 public:
  // The user outlives it.
  explicit ReleasingConsumer(CreditConsumer& user) : m_user(user) {}

  CreditNeeds Needs(const work::LedgerRow& row, base::TimePoint now) override;
  Grants Allow(const Grants& grants, base::TimePoint now) override;

 private:
  CreditConsumer& m_user;
};

// How an exchange with the table ended.
enum class CreditSyncResult : std::uint8_t {
  kUnchanged,
  kWritten,
  kConflict,     // Others wrote; worth another try at once.
  kUnreachable,  // What was granted before goes on serving.
};

// This host's part of one row of credits. Before a write that gives credits
// back, their use is stopped; credits are used only after the write that
// grants them is known to have applied. For use by one thread.
class CreditAccount {
 public:
  CreditAccount(platform::Table& table,
                std::string key,
                work::HolderName holder,
                std::uint64_t seed);

  using GoneHolderFinder = std::function<std::set<work::HolderName>(
      const std::set<work::HolderName>&)>;

  // Reads the row, and writes it when what is due differs.
  CreditSyncResult Sync(CreditConsumer& user,
                        const GoneHolderFinder& find_gone,
                        base::TimePoint now);

  // When the table last answered.
  base::TimePoint LastAnswer() const { return m_last_answer; }

 private:
  CreditSyncResult Write(CreditConsumer& user,
                         const work::LedgerRow& row,
                         std::uint64_t version,
                         work::LedgerRow planned,
                         base::TimePoint now);
  bool Resolve();

  platform::Table& m_table;
  std::string m_key;
  work::HolderName m_holder;
  base::Random m_random;
  // A write whose answer was lost.
  std::optional<platform::Transaction> m_unresolved;
  base::TimePoint m_last_answer{};
};

}  // namespace cassiastile::entry
