#pragma once

#include <cstdint>
#include <functional>
#include <mutex>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/random.hpp"
#include "cassiastile/platform/circuit_breaker.hpp"
#include "cassiastile/platform/table.hpp"
#include "cassiastile/platform/token_bucket.hpp"

namespace cassiastile::platform {

struct StoreGuardOptions {
  // How long a call may take in all, waits and retries included.
  base::Duration deadline = std::chrono::seconds(2);
  base::Duration first_backoff = std::chrono::milliseconds(20);
  base::Duration longest_backoff = std::chrono::milliseconds(400);
  // This process's part of what the store takes from all hosts together.
  double writes_per_second = 25;
  double reads_per_second = 100;
  // Each call earns this many retries; a retry spends one.
  double retries_per_call = 0.2;
  double retry_burst = 10;
  CircuitBreakerOptions breaker;
};

struct StoreGuardCounts {
  std::uint64_t calls = 0;
  std::uint64_t attempts = 0;
  std::uint64_t resolved = 0;     // Lost answers whose outcome was found out.
  std::uint64_t unknown = 0;      // Lost answers that stayed unknown.
  std::uint64_t failed_fast = 0;  // Calls failed by the breaker or the budget.
};

// The one way to the table. Gives each call a deadline, retries within a budget
// with jitter, stops calling a store that fails, keeps to this process's part
// of the store's capacity, and finds out what became of a transaction whose
// answer was lost: the same transaction is applied again under its nonce, which
// takes effect once at most. Errors are those of Table; kUnknown is returned
// only when the deadline passes first. Safe for use by several threads.
class StoreGuard final : public Table {
 public:
  using Sleep = std::function<void(base::Duration)>;

  // All that is passed in outlives the guard. `sleep` waits; tests pass one
  // that moves their clock.
  StoreGuard(Table& table,
             const base::Clock& clock,
             Sleep sleep,
             std::uint64_t seed,
             StoreGuardOptions options = {});

  base::Result<std::optional<Row>> Get(const std::string& key) override;
  base::Result<std::vector<Row>> Scan(const std::string& prefix,
                                      const std::string& after,
                                      std::size_t limit) override;
  base::Result<Commit> Apply(const Transaction& transaction) override;
  base::Result<std::optional<Commit>> FindNonce(
      const std::string& nonce) override;

  StoreGuardCounts Counts() const;
  // Whether the last call that was made got an answer.
  bool IsReachable() const;

 private:
  enum class CallKind : std::uint8_t { kRead, kWrite };

  struct Admission {
    bool allowed = false;
    base::Duration wait{};
  };

  template <typename Value, typename Call>
  base::Result<Value> Run(CallKind kind, const Call& call);

  Admission Admit(CallKind kind);
  bool WaitForTurn(CallKind kind, base::TimePoint deadline);
  bool Backoff(std::uint32_t attempt, base::TimePoint deadline);
  void Note(bool answered);
  void NoteEnd(bool was_unknown, bool is_unknown);

  Table& m_table;
  const base::Clock& m_clock;
  Sleep m_sleep;
  StoreGuardOptions m_options;

  mutable std::mutex m_mutex;
  base::Random m_random;
  CircuitBreaker m_breaker;
  TokenBucket m_writes;
  TokenBucket m_reads;
  double m_retry_tokens;
  bool m_reachable = false;
  StoreGuardCounts m_counts;
};

}  // namespace cassiastile::platform
