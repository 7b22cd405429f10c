#include "cassiastile/entry/claim_store.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace cassiastile::entry {

namespace {

using SteadyClock = std::chrono::steady_clock;

// The claims of a batch that are still undecided after this many transactions
// fail.
constexpr int kMaxCommitRounds = 4;

// Removes and returns at most `limit` items from the front.
template <typename Item>
std::vector<Item> PopUpTo(std::deque<Item>& from, std::size_t limit) {
  std::vector<Item> taken;
  while (!from.empty() && taken.size() < limit) {
    taken.push_back(std::move(from.front()));
    from.pop_front();
  }
  return taken;
}

}  // namespace

ClaimStore::ClaimStore(platform::Table& table,
                       work::HolderName holder,
                       ClaimStoreOptions options,
                       std::uint64_t seed)
    : m_table(table),
      m_holder(std::move(holder)),
      m_options(options),
      m_random(seed) {
  m_thread = std::thread([this] { Run(); });
}

ClaimStore::~ClaimStore() {
  Stop();
  CommitOutcomes({m_pending_outcomes.begin(), m_pending_outcomes.end()});
}

void ClaimStore::Stop() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_wake.notify_all();
  if (!m_thread.joinable()) {
    return;
  }
  m_thread.join();
  for (PendingClaim& pending : m_pending_claims) {
    pending.callback(ClaimFailed{});
  }
  m_pending_claims.clear();
}

void ClaimStore::AcquireClaim(std::string key,
                              work::Claim claim,
                              ClaimCallback callback) {
  {
    const std::lock_guard lock(m_mutex);
    if (m_pending_claims.size() < m_options.max_waiting && !m_stopping) {
      m_pending_claims.push_back(
          {std::move(key), std::move(claim), std::move(callback)});
      m_wake.notify_all();
      return;
    }
  }
  callback(ClaimFailed{});
}

void ClaimStore::RecordOutcome(std::string key,
                               const work::Claim& claim,
                               const work::Outcome& outcome) {
  const std::lock_guard lock(m_mutex);
  if (m_pending_outcomes.size() < m_options.max_waiting) {
    m_pending_outcomes.push_back(
        {std::move(key), claim.nonce, EndClaim(claim, outcome)});
    m_wake.notify_all();
  }
}

// Unique across hosts by the holder name, even where two hosts use the same
// seed.
std::string ClaimStore::NewNonce() {
  return m_holder + "/claims/" + base::MakeId(m_random);
}

void ClaimStore::Run() {
  std::unique_lock lock(m_mutex);
  while (WaitForWork(lock)) {
    std::vector<PendingClaim> claims = TakeDueClaims();
    const std::vector<PendingOutcome> outcomes = TakeDueOutcomes();
    lock.unlock();
    CommitClaims(std::move(claims));
    CommitOutcomes(outcomes);
    lock.lock();
  }
}

// Waits until a batch is due. Returns false when the store stops.
bool ClaimStore::WaitForWork(std::unique_lock<std::mutex>& lock) {
  while (!m_stopping) {
    const auto now = SteadyClock::now();
    const bool claims_due =
        !m_pending_claims.empty() && now >= m_next_claim_write;
    const bool outcomes_due =
        !m_pending_outcomes.empty() && now >= m_next_outcome_write;
    if (claims_due || outcomes_due) {
      return true;
    }
    auto due = SteadyClock::time_point::max();
    due = m_pending_claims.empty() ? due : m_next_claim_write;
    due =
        m_pending_outcomes.empty() ? due : std::min(due, m_next_outcome_write);
    if (due == SteadyClock::time_point::max()) {
      m_wake.wait(lock);
    } else {
      m_wake.wait_until(lock, due);
    }
  }
  return false;
}

std::vector<ClaimStore::PendingClaim> ClaimStore::TakeDueClaims() {
  const auto now = SteadyClock::now();
  if (m_pending_claims.empty() || now < m_next_claim_write) {
    return {};
  }
  m_next_claim_write = now + m_options.claim_write_interval;
  return PopUpTo(m_pending_claims, m_options.max_batch);
}

std::vector<ClaimStore::PendingOutcome> ClaimStore::TakeDueOutcomes() {
  const auto now = SteadyClock::now();
  if (m_pending_outcomes.empty() || now < m_next_outcome_write) {
    return {};
  }
  m_next_outcome_write = now + m_options.outcome_write_interval;
  return PopUpTo(m_pending_outcomes, m_options.max_batch);
}

// Commits the claims as one transaction that requires that none of them has a
// row yet. On a conflict the claims that do have a row are answered from it,
// and the rest is retried.
void ClaimStore::CommitClaims(std::vector<PendingClaim> batch) {
  for (int round = 0; round < kMaxCommitRounds && !batch.empty(); ++round) {
    platform::Transaction transaction;
    transaction.nonce = NewNonce();
    std::vector<PendingClaim> duplicates = ExtractDuplicates(batch);
    for (const PendingClaim& pending : batch) {
      transaction.preconditions.push_back({pending.key, 0});
      transaction.writes.push_back(
          {pending.key, work::FormatClaim(pending.claim)});
    }
    const auto commit = m_table.Apply(transaction);
    if (commit) {
      for (PendingClaim& pending : batch) {
        pending.callback(ClaimCommitted{});
      }
      batch = std::move(duplicates);
      continue;
    }
    std::move(duplicates.begin(), duplicates.end(), std::back_inserter(batch));
    if (commit.error().code != base::ErrorCode::kConflict) {
      FailAll(batch, commit.error().code == base::ErrorCode::kUnknown);
      return;
    }
    AnswerExistingClaims(batch);
  }
  FailAll(batch, false);
}

// Removes and returns the claims whose key an earlier claim of the batch has.
// They are tried after it and then find its row.
std::vector<ClaimStore::PendingClaim> ClaimStore::ExtractDuplicates(
    std::vector<PendingClaim>& batch) {
  std::set<std::string> keys;
  const auto duplicates = std::stable_partition(
      batch.begin(), batch.end(), [&keys](const PendingClaim& pending) {
        return keys.insert(pending.key).second;
      });
  std::vector<PendingClaim> taken(std::make_move_iterator(duplicates),
                                  std::make_move_iterator(batch.end()));
  batch.erase(duplicates, batch.end());
  return taken;
}

// Answers the claims that already have a row and removes them from the batch.
void ClaimStore::AnswerExistingClaims(std::vector<PendingClaim>& batch) {
  std::vector<PendingClaim> free;
  for (PendingClaim& pending : batch) {
    const auto row = m_table.Get(pending.key);
    if (!row) {
      pending.callback(ClaimFailed{});
      continue;
    }
    if (!row->has_value()) {
      free.push_back(std::move(pending));
      continue;
    }
    auto found = work::ParseClaim((*row)->value);
    if (found) {
      pending.callback(ClaimExists{std::move(*found)});
    } else {
      pending.callback(ClaimFailed{});
    }
  }
  batch = std::move(free);
}

// Fails all claims; their requests are not sent. A claim that may be written
// nevertheless is deleted later.
void ClaimStore::FailAll(std::vector<PendingClaim>& batch,
                         bool may_be_written) {
  for (PendingClaim& pending : batch) {
    if (may_be_written) {
      RecordOutcome(pending.key, pending.claim, work::NotRun{});
    }
    pending.callback(ClaimFailed{});
  }
  batch.clear();
}

// Writes all outcomes in one transaction that requires row version 1, since
// most rows were written only once, by their claim. If a row is to be deleted
// or the write fails, each row is looked up and written on its own.
void ClaimStore::CommitOutcomes(const std::vector<PendingOutcome>& batch) {
  if (batch.empty()) {
    return;
  }
  platform::Transaction transaction;
  transaction.nonce = NewNonce();
  bool all_rows_kept = true;
  for (const PendingOutcome& pending : batch) {
    all_rows_kept = all_rows_kept && pending.claim.has_value();
    transaction.preconditions.push_back({pending.key, 1});
    transaction.writes.push_back(
        {pending.key, pending.claim
                          ? std::optional(work::FormatClaim(*pending.claim))
                          : std::nullopt});
  }
  if (all_rows_kept && m_table.Apply(transaction)) {
    return;
  }
  for (const PendingOutcome& pending : batch) {
    WriteOutcome(pending);
  }
}

// Writes one outcome, unless the row now belongs to another claim.
void ClaimStore::WriteOutcome(const PendingOutcome& pending) {
  const auto row = m_table.Get(pending.key);
  if (!row || !row->has_value()) {
    return;
  }
  const auto claim = work::ParseClaim((*row)->value);
  if (!claim || claim->nonce != pending.nonce) {
    return;
  }
  platform::Transaction transaction;
  transaction.nonce = NewNonce();
  transaction.preconditions.push_back({pending.key, (*row)->version});
  transaction.writes.push_back(
      {pending.key, pending.claim
                        ? std::optional(work::FormatClaim(*pending.claim))
                        : std::nullopt});
  static_cast<void>(m_table.Apply(transaction));
}

}  // namespace cassiastile::entry
