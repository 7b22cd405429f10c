#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "cassiastile/base/random.hpp"
#include "cassiastile/platform/table.hpp"
#include "cassiastile/work/claim.hpp"
#include "cassiastile/work/credit_ledger.hpp"

namespace cassiastile::entry {

// The claim was committed to the table; the request may be sent.
struct ClaimCommitted {};

// The key already has a claim, which decides the outcome of the request.
struct ClaimExists {
  work::Claim claim;
};

// The claim is not known to be committed; the request must not be sent.
struct ClaimFailed {};

using ClaimResult = std::variant<ClaimCommitted, ClaimExists, ClaimFailed>;
using ClaimCallback = std::function<void(ClaimResult)>;

struct ClaimStoreOptions {
  // Minimum time between two writes of claims, and of outcomes.
  std::chrono::milliseconds claim_write_interval{60};
  std::chrono::milliseconds outcome_write_interval{250};
  std::size_t max_batch = 64;      // Claims, or outcomes, per transaction.
  std::size_t max_waiting = 1024;  // Claims not yet written; outcomes likewise.
};

// Commits the claims of idempotency keys in batches, so that the table gets far
// fewer writes than there are requests with keys. Safe for use by several
// threads.
class ClaimStore {
 public:
  // The table must outlive the store.
  ClaimStore(platform::Table& table,
             work::HolderName holder,
             ClaimStoreOptions options,
             std::uint64_t seed);
  // Writes the outcomes that are still queued, as far as the table accepts
  // them.
  ~ClaimStore();
  ClaimStore(const ClaimStore&) = delete;
  ClaimStore& operator=(const ClaimStore&) = delete;

  // Fails the waiting claims and rejects new ones. Outcomes are still accepted;
  // the destructor writes them.
  void Stop();

  // Claims the row with the table key `key`. The callback runs exactly once: on
  // the store's thread, in Stop, or within this call when too many claims wait
  // or the store has stopped.
  void AcquireClaim(std::string key, work::Claim claim, ClaimCallback callback);

  // Records the outcome of a request whose claim was committed. Dropped when
  // too many outcomes wait or the table can't be written.
  void RecordOutcome(std::string key,
                     const work::Claim& claim,
                     const work::Outcome& outcome);

 private:
  // A claim that is not written yet.
  struct PendingClaim {
    std::string key;
    work::Claim claim;
    ClaimCallback callback;
  };

  // The outcome of a claimed request that is not written yet.
  struct PendingOutcome {
    std::string key;
    std::string nonce;
    std::optional<work::Claim> claim;  // Empty to delete the row.
  };

  std::string NewNonce();
  void Run();
  bool WaitForWork(std::unique_lock<std::mutex>& lock);
  std::vector<PendingClaim> TakeDueClaims();
  std::vector<PendingOutcome> TakeDueOutcomes();
  void CommitClaims(std::vector<PendingClaim> batch);
  static std::vector<PendingClaim> ExtractDuplicates(
      std::vector<PendingClaim>& batch);
  void AnswerExistingClaims(std::vector<PendingClaim>& batch);
  void CommitOutcomes(const std::vector<PendingOutcome>& batch);
  void WriteOutcome(const PendingOutcome& pending);
  void FailAll(std::vector<PendingClaim>& batch, bool may_be_written);

  platform::Table& m_table;
  work::HolderName m_holder;
  ClaimStoreOptions m_options;
  base::Random m_random;  // Used by the store's thread, then by the destructor.

  std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stopping = false;
  std::deque<PendingClaim> m_pending_claims;
  std::deque<PendingOutcome> m_pending_outcomes;
  std::chrono::steady_clock::time_point m_next_claim_write{};
  std::chrono::steady_clock::time_point m_next_outcome_write{};
  std::thread m_thread;
};

}  // namespace cassiastile::entry
