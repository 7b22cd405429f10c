#include "cassiastile/entry/claim_store.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace cassiastile::entry {

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr int kMaxRounds = 4;

template <typename Item>
std::vector<Item> TakeSome(std::deque<Item>& from, std::size_t most) {
  std::vector<Item> taken;
  while (!from.empty() && taken.size() < most) {
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
  CommitEnded({m_ended.begin(), m_ended.end()});
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
  for (Waiting& waiting : m_waiting) {
    waiting.callback(ClaimFailed{});
  }
  m_waiting.clear();
}

void ClaimStore::AcquireClaim(std::string key,
                              work::Claim claim,
                              ClaimCallback callback) {
  {
    const std::lock_guard lock(m_mutex);
    if (m_waiting.size() < m_options.max_waiting && !m_stopping) {
      m_waiting.push_back(
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
  if (m_ended.size() < m_options.max_waiting) {
    m_ended.push_back({std::move(key), claim.nonce, EndClaim(claim, outcome)});
    m_wake.notify_all();
  }
}

// Unlike that of any other host, also where two drew the same seed.
std::string ClaimStore::NewNonce() {
  return m_holder + "/claims/" + base::MakeId(m_random);
}

void ClaimStore::Run() {
  std::unique_lock lock(m_mutex);
  while (WaitForWork(lock)) {
    std::vector<Waiting> claims = NextClaims();
    const std::vector<Ended> ended = NextEnded();
    lock.unlock();
    CommitClaims(std::move(claims));
    CommitEnded(ended);
    lock.lock();
  }
}

// Waits until a group is due; false when the store stops.
bool ClaimStore::WaitForWork(std::unique_lock<std::mutex>& lock) {
  while (!m_stopping) {
    const auto now = SteadyClock::now();
    const bool claims = !m_waiting.empty() && now >= m_next_claims;
    const bool ended = !m_ended.empty() && now >= m_next_ended;
    if (claims || ended) {
      return true;
    }
    auto due = SteadyClock::time_point::max();
    due = m_waiting.empty() ? due : m_next_claims;
    due = m_ended.empty() ? due : std::min(due, m_next_ended);
    if (due == SteadyClock::time_point::max()) {
      m_wake.wait(lock);
    } else {
      m_wake.wait_until(lock, due);
    }
  }
  return false;
}

std::vector<ClaimStore::Waiting> ClaimStore::NextClaims() {
  const auto now = SteadyClock::now();
  if (m_waiting.empty() || now < m_next_claims) {
    return {};
  }
  m_next_claims = now + m_options.claim_write_interval;
  return TakeSome(m_waiting, m_options.max_batch);
}

std::vector<ClaimStore::Ended> ClaimStore::NextEnded() {
  const auto now = SteadyClock::now();
  if (m_ended.empty() || now < m_next_ended) {
    return {};
  }
  m_next_ended = now + m_options.outcome_write_interval;
  return TakeSome(m_ended, m_options.max_batch);
}

// Commits the claims that have no row yet as one transaction. When one of them
// turns out to have a row, it is answered from that and the rest goes again.
void ClaimStore::CommitClaims(std::vector<Waiting> batch) {
  for (int round = 0; round < kMaxRounds && !batch.empty(); ++round) {
    platform::Transaction transaction;
    transaction.nonce = NewNonce();
    std::vector<Waiting> twins = TakeTwins(batch);
    for (const Waiting& waiting : batch) {
      transaction.preconditions.push_back({waiting.key, 0});
      transaction.writes.push_back(
          {waiting.key, work::FormatClaim(waiting.claim)});
    }
    const auto commit = m_table.Apply(transaction);
    if (commit) {
      for (Waiting& waiting : batch) {
        waiting.callback(ClaimCommitted{});
      }
      batch = std::move(twins);
      continue;
    }
    std::move(twins.begin(), twins.end(), std::back_inserter(batch));
    if (commit.error().code != base::ErrorCode::kConflict) {
      FailAll(batch, commit.error().code == base::ErrorCode::kUnknown);
      return;
    }
    Resolve(batch);
  }
  FailAll(batch, false);
}

// Takes out the claims whose key another claim of the batch has too.
std::vector<ClaimStore::Waiting> ClaimStore::TakeTwins(
    std::vector<Waiting>& batch) {
  std::set<std::string> keys;
  const auto twins = std::stable_partition(
      batch.begin(), batch.end(), [&keys](const Waiting& waiting) {
        return keys.insert(waiting.key).second;
      });
  std::vector<Waiting> taken(std::make_move_iterator(twins),
                             std::make_move_iterator(batch.end()));
  batch.erase(twins, batch.end());
  return taken;
}

// Answers the claims that have a row already and takes them out.
void ClaimStore::Resolve(std::vector<Waiting>& batch) {
  std::vector<Waiting> free;
  for (Waiting& waiting : batch) {
    const auto row = m_table.Get(waiting.key);
    if (!row) {
      waiting.callback(ClaimFailed{});
      continue;
    }
    if (!row->has_value()) {
      free.push_back(std::move(waiting));
      continue;
    }
    auto found = work::ParseClaim((*row)->value);
    if (found) {
      waiting.callback(ClaimExists{std::move(*found)});
    } else {
      waiting.callback(ClaimFailed{});
    }
  }
  batch = std::move(free);
}

// Claims whose write may still show up are taken back later; their requests are
// not sent.
void ClaimStore::FailAll(std::vector<Waiting>& batch, bool may_be_written) {
  for (Waiting& waiting : batch) {
    if (may_be_written) {
      RecordOutcome(waiting.key, waiting.claim, work::NotRun{});
    }
    waiting.callback(ClaimFailed{});
  }
  batch.clear();
}

// Most rows were written once, by their claim, so that all can be written at
// once under version one. Where that does not hold each is looked up.
void ClaimStore::CommitEnded(const std::vector<Ended>& batch) {
  if (batch.empty()) {
    return;
  }
  platform::Transaction transaction;
  transaction.nonce = NewNonce();
  bool all_kept = true;
  for (const Ended& ended : batch) {
    all_kept = all_kept && ended.claim.has_value();
    transaction.preconditions.push_back({ended.key, 1});
    transaction.writes.push_back(
        {ended.key, ended.claim ? std::optional(work::FormatClaim(*ended.claim))
                                : std::nullopt});
  }
  if (all_kept && m_table.Apply(transaction)) {
    return;
  }
  for (const Ended& ended : batch) {
    WriteEnded(ended);
  }
}

void ClaimStore::WriteEnded(const Ended& ended) {
  const auto row = m_table.Get(ended.key);
  if (!row || !row->has_value()) {
    return;
  }
  const auto claim = work::ParseClaim((*row)->value);
  if (!claim || claim->nonce != ended.nonce) {
    return;
  }
  platform::Transaction transaction;
  transaction.nonce = NewNonce();
  transaction.preconditions.push_back({ended.key, (*row)->version});
  transaction.writes.push_back(
      {ended.key, ended.claim ? std::optional(work::FormatClaim(*ended.claim))
                              : std::nullopt});
  static_cast<void>(m_table.Apply(transaction));
}

}  // namespace cassiastile::entry
