#include "cassiastile/platform/store_guard.hpp"

#include <algorithm>
#include <utility>

namespace cassiastile::platform {

namespace {

bool IsTransient(base::ErrorCode code) {
  return code == base::ErrorCode::kUnavailable ||
         code == base::ErrorCode::kUnknown;
}

}  // namespace

StoreGuard::StoreGuard(Table& table,
                       const base::Clock& clock,
                       Sleep sleep,
                       std::uint64_t seed,
                       StoreGuardOptions options)
    : m_table(table),
      m_clock(clock),
      m_sleep(std::move(sleep)),
      m_options(options),
      m_random(seed),
      m_breaker(options.breaker, seed),
      m_write_limiter(options.writes_per_second, options.writes_per_second),
      m_read_limiter(options.reads_per_second, options.reads_per_second),
      m_retry_tokens(options.retry_burst) {}

base::Result<std::optional<Row>> StoreGuard::Get(const std::string& key) {
  return CallWithRetries<std::optional<Row>>(CallKind::kRead,
                                             [&] { return m_table.Get(key); });
}

base::Result<std::vector<Row>> StoreGuard::Scan(const std::string& prefix,
                                                const std::string& after,
                                                std::size_t limit) {
  return CallWithRetries<std::vector<Row>>(
      CallKind::kRead, [&] { return m_table.Scan(prefix, after, limit); });
}

base::Result<Commit> StoreGuard::Apply(const Transaction& transaction) {
  return CallWithRetries<Commit>(CallKind::kWrite,
                                 [&] { return m_table.Apply(transaction); });
}

base::Result<std::optional<Commit>> StoreGuard::FindNonce(
    const std::string& nonce) {
  return CallWithRetries<std::optional<Commit>>(
      CallKind::kRead, [&] { return m_table.FindNonce(nonce); });
}

StoreGuardCounts StoreGuard::Counts() const {
  const std::lock_guard lock(m_mutex);
  return m_counts;
}

bool StoreGuard::IsReachable() const {
  const std::lock_guard lock(m_mutex);
  return m_reachable;
}

// After a lost answer the outcome stays unknown until a later attempt is
// answered. An attempt that fails before it reaches the store proves nothing
// about the earlier one.
template <typename Value, typename Call>
base::Result<Value> StoreGuard::CallWithRetries(CallKind kind,
                                                const Call& call) {
  const base::TimePoint deadline = m_clock.Now() + m_options.call_timeout;
  base::Result<Value> result =
      base::Fail(base::ErrorCode::kUnavailable,
                 "The store was not called: it keeps failing, or its rate "
                 "limit would delay the call too long.");
  bool unknown = false;
  for (std::uint32_t attempt = 0; WaitForAdmission(kind, deadline); ++attempt) {
    result = call();
    const bool answered = result || !IsTransient(result.error().code);
    RecordAttempt(answered);
    if (answered) {
      RecordCall(unknown, false);
      return result;
    }
    unknown = unknown || result.error().code == base::ErrorCode::kUnknown;
    if (!WaitBeforeRetry(attempt, deadline)) {
      break;
    }
  }
  RecordCall(unknown, unknown);
  if (unknown) {
    return base::Fail(base::ErrorCode::kUnknown,
                      "The store's answer was lost; the write may have "
                      "applied.");
  }
  return result;
}

StoreGuard::Admission StoreGuard::Admit(CallKind kind) {
  const std::lock_guard lock(m_mutex);
  const base::TimePoint now = m_clock.Now();
  TokenBucket& bucket =
      kind == CallKind::kWrite ? m_write_limiter : m_read_limiter;
  const base::Duration wait = bucket.Take(now);
  if (wait > base::Duration::zero()) {
    return {false, wait};
  }
  return {m_breaker.Allow(now), base::Duration::zero()};
}

bool StoreGuard::WaitForAdmission(CallKind kind, base::TimePoint deadline) {
  while (true) {
    const Admission admission = Admit(kind);
    if (admission.allowed) {
      const std::lock_guard lock(m_mutex);
      ++m_counts.attempts;
      return true;
    }
    const bool breaker_open = admission.wait == base::Duration::zero();
    if (breaker_open || m_clock.Now() + admission.wait > deadline) {
      const std::lock_guard lock(m_mutex);
      ++m_counts.failed_fast;
      return false;
    }
    m_sleep(admission.wait);
  }
}

bool StoreGuard::WaitBeforeRetry(std::uint32_t attempt,
                                 base::TimePoint deadline) {
  // Bounds the shift; by default 5 doublings reach the longest backoff.
  constexpr std::uint32_t kMaxDoublings = 10;
  base::Duration wait{};
  {
    const std::lock_guard lock(m_mutex);
    if (m_retry_tokens < 1) {
      return false;
    }
    m_retry_tokens -= 1;
    const base::Duration longest = std::min(
        m_options.max_backoff,
        m_options.first_backoff * (1U << std::min(attempt, kMaxDoublings)));
    std::uniform_int_distribution<base::Duration::rep> jitter(
        longest.count() / 2, longest.count());
    wait = base::Duration(jitter(m_random));
  }
  if (m_clock.Now() + wait > deadline) {
    return false;
  }
  m_sleep(wait);
  return true;
}

void StoreGuard::RecordAttempt(bool answered) {
  const std::lock_guard lock(m_mutex);
  m_reachable = answered;
  if (answered) {
    m_breaker.RecordSuccess();
  } else {
    m_breaker.RecordFailure(m_clock.Now());
  }
}

void StoreGuard::RecordCall(bool was_unknown, bool is_unknown) {
  const std::lock_guard lock(m_mutex);
  ++m_counts.calls;
  m_retry_tokens = std::min(m_options.retry_burst,
                            m_retry_tokens + m_options.retries_per_call);
  m_counts.unknown += is_unknown ? 1 : 0;
  m_counts.resolved += was_unknown && !is_unknown ? 1 : 0;
}

}  // namespace cassiastile::platform
