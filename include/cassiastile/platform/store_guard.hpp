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

// Limits of a StoreGuard.
struct StoreGuardOptions {
  // For a whole call, including waits and retries.
  base::Duration call_timeout = std::chrono::seconds(2);
  // The wait before a retry starts at `first_backoff` and doubles up to
  // `max_backoff`; random jitter takes off up to half of it.
  base::Duration first_backoff = std::chrono::milliseconds(20);
  base::Duration max_backoff = std::chrono::milliseconds(400);
  // This process's share of the rates that the table allows all hosts together.
  double writes_per_second = 25;
  double reads_per_second = 100;
  // Each call adds this much to the retry budget, up to `retry_burst`; a retry
  // takes 1 from it.
  double retries_per_call = 0.2;
  double retry_burst = 10;
  CircuitBreakerOptions breaker;
};

// Counters since the guard was created.
struct StoreGuardCounts {
  std::uint64_t calls = 0;
  std::uint64_t attempts = 0;
  // Calls that lost an answer and got one by a retry.
  std::uint64_t resolved = 0;
  std::uint64_t unknown = 0;  // Calls that ended with an unknown outcome.
  // Attempts not made because the breaker was open, or because the rate limit
  // would have delayed them beyond the call's deadline.
  std::uint64_t failed_fast = 0;
};

// Wraps the table; all of this process's calls to the table go through it.
// Gives each call a deadline, retries with jitter within a budget, stops
// calling a failing table, keeps to this process's share of the table's
// capacity, and resolves transactions whose answer was lost: it applies the
// same transaction again under its nonce, which takes effect at most once.
// Errors are those of Table; kUnknown is returned only if an answer was lost
// and the call ended before a retry was answered. Thread-safe.
class StoreGuard final : public Table {
 public:
  using Sleep = std::function<void(base::Duration)>;

  // `table` and `clock` outlive the guard. `sleep` blocks for a duration; tests
  // pass one that advances their clock.
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
  // Whether the last attempt got an answer; false before the first.
  bool IsReachable() const;

 private:
  enum class CallKind : std::uint8_t { kRead, kWrite };

  struct Admission {
    bool allowed = false;
    base::Duration wait{};
  };

  template <typename Value, typename Call>
  base::Result<Value> CallWithRetries(CallKind kind, const Call& call);

  Admission Admit(CallKind kind);
  // Returns false if the attempt must not be made; see `failed_fast`.
  bool WaitForAdmission(CallKind kind, base::TimePoint deadline);
  // Returns false if the retry budget is used up or the wait would end after
  // the deadline.
  bool WaitBeforeRetry(std::uint32_t attempt, base::TimePoint deadline);
  void RecordAttempt(bool answered);
  void RecordCall(bool was_unknown, bool is_unknown);

  Table& m_table;
  const base::Clock& m_clock;
  Sleep m_sleep;
  StoreGuardOptions m_options;

  mutable std::mutex m_mutex;
  base::Random m_random;
  CircuitBreaker m_breaker;
  TokenBucket m_write_limiter;
  TokenBucket m_read_limiter;
  double m_retry_tokens;
  bool m_reachable = false;
  StoreGuardCounts m_counts;
};

}  // namespace cassiastile::platform
