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

// The claim is in the table; the request may be sent.
struct ClaimCommitted {};

// There was one before, which decides how the request ends.
struct ClaimExists {
  work::Claim claim;
};

// The claim is not known to be in the table; the request must not be sent.
struct ClaimFailed {};

using ClaimResult = std::variant<ClaimCommitted, ClaimExists, ClaimFailed>;
using ClaimCallback = std::function<void(ClaimResult)>;

struct ClaimStoreOptions {
  // The least time between two writes of claims, and of ended ones.
  std::chrono::milliseconds claim_write_interval{60};
  std::chrono::milliseconds outcome_write_interval{250};
  std::size_t max_batch = 64;
  std::size_t max_waiting = 1024;
};

// Commits claims in groups, so that the table takes far fewer writes than there
// are requests with keys. Safe for use by several threads.
class ClaimStore {
 public:
  // The table outlives the store.
  ClaimStore(platform::Table& table,
             work::HolderName holder,
             ClaimStoreOptions options,
             std::uint64_t seed);
  // Writes what has ended, as far as the table takes it.
  ~ClaimStore();
  ClaimStore(const ClaimStore&) = delete;
  ClaimStore& operator=(const ClaimStore&) = delete;

  // Fails the claims that wait and takes no more. Ends are still taken.
  void Stop();

  // Claims a row's key. The callback runs once, on the store's thread or, when
  // too many wait, at once.
  void AcquireClaim(std::string key, work::Claim claim, ClaimCallback callback);

  // Records how a request ended whose claim was taken.
  void RecordOutcome(std::string key,
                     const work::Claim& claim,
                     const work::Outcome& outcome);

 private:
  struct Waiting {
    std::string key;
    work::Claim claim;
    ClaimCallback callback;
  };

  struct Ended {
    std::string key;
    std::string nonce;
    std::optional<work::Claim> claim;  // Nothing where the row is to go.
  };

  std::string NewNonce();
  void Run();
  bool WaitForWork(std::unique_lock<std::mutex>& lock);
  std::vector<Waiting> NextClaims();
  std::vector<Ended> NextEnded();
  void CommitClaims(std::vector<Waiting> batch);
  static std::vector<Waiting> TakeTwins(std::vector<Waiting>& batch);
  void Resolve(std::vector<Waiting>& batch);
  void CommitEnded(const std::vector<Ended>& batch);
  void WriteEnded(const Ended& ended);
  void FailAll(std::vector<Waiting>& batch, bool may_be_written);

  platform::Table& m_table;
  work::HolderName m_holder;
  ClaimStoreOptions m_options;
  base::Random m_random;  // For the store's thread only.

  std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stopping = false;
  std::deque<Waiting> m_waiting;
  std::deque<Ended> m_ended;
  std::chrono::steady_clock::time_point m_next_claims{};
  std::chrono::steady_clock::time_point m_next_ended{};
  std::thread m_thread;
};

}  // namespace cassiastile::entry
