#include "cassiastile/host/leader_transactions.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include <nlohmann/json.hpp>

namespace cassiastile::host {

namespace {

// Long enough for a store that is slower than usual by a factor of 100.
constexpr std::chrono::milliseconds kCommitTimeout{1500};
// The first retry waits twice this; the wait doubles up to kMaxRetry.
constexpr std::chrono::milliseconds kRetryBase{30};
constexpr std::chrono::milliseconds kMaxRetry{400};
// The same for a store that has too much to do, which turns calls away while a
// second of them waits.
constexpr std::chrono::milliseconds kBusyRetryBase{125};
constexpr std::chrono::milliseconds kMaxBusyRetry{1000};
// An answer may be lost or its connection dead. A store that is slower than
// usual by a factor of 50 answers within this time.
constexpr std::chrono::milliseconds kSendAgainAfter{250};
// More than kCommitTimeout has of these, so that a store that is back is
// noticed while older attempts still hang.
constexpr std::uint32_t kMaxUnanswered = 8;

// What the store takes: bytes of a row's value, and entries and bytes of a
// transaction, which has the leader's record and its expectation besides.
constexpr std::size_t kMaxRowBytes = 64U << 10U;
constexpr std::size_t kMaxEntries = 98;
constexpr std::size_t kMaxBytes = 1020U << 10U;

// At most what a row takes in a transaction, where its value is in base64.
std::size_t EncodedBytes(const Row& row) {
  constexpr std::size_t kNames = 128;  // Of the fields, and punctuation.
  return kNames + row.table.size() + row.part.size() + row.key.size() +
         (row.value.size() + 2) / 3 * 4;
}

}  // namespace

ObservedLeaderRecord DecodeLeaderRow(const Row& row) {
  ObservedLeaderRecord observed;
  observed.version = row.version;
  if (auto record = DecodeLeaderRecord(row.value)) {
    observed.record = std::move(*record);
  }
  return observed;
}

LeaderTransactions::LeaderTransactions(RowStore& store,
                                       Loop& loop,
                                       EventLog& log,
                                       LeaderRecord self)
    : m_store(store), m_loop(loop), m_log(log), m_record(std::move(self)) {}

void LeaderTransactions::Acquire(const ObservedLeaderRecord& seen,
                                 std::function<void(bool)> done) {
  m_record_version = seen.version;
  m_record.commit = seen.record.commit;
  Commit({}, {}, [this, done = std::move(done)](bool applied) {
    m_fencing_token = m_record_version;
    done(applied);
  });
}

void LeaderTransactions::Commit(std::vector<Row> puts,
                                std::vector<Row> deletes,
                                std::function<void(bool)> done) {
  m_busy = true;
  m_done = std::move(done);
  m_begun_at = m_loop.GetClock().Now();
  m_refused.clear();
  std::erase_if(puts, [this](const Row& row) {
    if (row.value.size() <= kMaxRowBytes) {
      return false;
    }
    RefuseRow(row);
    return true;
  });
  m_pieces.clear();
  AddPiece({std::move(puts), std::move(deletes)});
  SendNextPiece();
}

void LeaderTransactions::AddPiece(Piece piece) {
  std::size_t bytes = 0;
  for (const Row& row : piece.puts) {
    bytes += EncodedBytes(row);
  }
  if (piece.puts.size() + piece.deletes.size() > kMaxEntries ||
      bytes > kMaxBytes) {
    AddHalves(std::move(piece));
  } else {
    m_pieces.push_back(std::move(piece));
  }
}

void LeaderTransactions::AddHalves(Piece piece) {
  // Rows are deleted last: a finished job's record goes after its progress says
  // that it is finished.
  const std::size_t half = (piece.puts.size() + piece.deletes.size()) / 2;
  Piece second;
  const auto move_from = [](std::vector<Row>& rows, std::size_t from,
                            std::vector<Row>& to) {
    from = std::min(from, rows.size());
    std::move(rows.begin() + static_cast<std::ptrdiff_t>(from), rows.end(),
              std::back_inserter(to));
    rows.resize(from);
  };
  move_from(piece.deletes, half - std::min(half, piece.puts.size()),
            second.deletes);
  move_from(piece.puts, half, second.puts);
  AddPiece(std::move(second));
  AddPiece(std::move(piece));
}

void LeaderTransactions::SendNextPiece() {
  if (m_pieces.empty()) {
    Finish(true);
    return;
  }
  Piece piece = std::move(m_pieces.back());
  m_pieces.pop_back();
  ++m_record.commit;
  m_transaction = {};
  m_transaction.expect.push_back(
      {kLeaderTable, kLeaderPart, kLeaderKey, m_record_version});
  m_transaction.puts = std::move(piece.puts);
  m_transaction.puts.push_back(
      {kLeaderTable, kLeaderPart, kLeaderKey, Encode(m_record), 0, false});
  m_transaction.deletes = std::move(piece.deletes);
  m_attempts = 0;
  m_unanswered = 0;
  m_busy_replies = 0;
  Send();
}

void LeaderTransactions::RefuseRow(const Row& row) {
  m_log.Write(
      "store.row_refused",
      {{"table", row.table}, {"key", row.key}, {"bytes", row.value.size()}});
  m_refused.emplace(row.table, row.key);
}

void LeaderTransactions::HandleRefusal() {
  m_transaction.puts.pop_back();
  Piece piece{std::move(m_transaction.puts), std::move(m_transaction.deletes)};
  if (piece.puts.size() + piece.deletes.size() > 1) {
    m_log.Write(
        "store.transaction_refused",
        {{"puts", piece.puts.size()}, {"deletes", piece.deletes.size()}});
    AddHalves(std::move(piece));
  } else {
    RefuseRow(piece.puts.empty() ? piece.deletes.front() : piece.puts.front());
  }
  SendNextPiece();
}

void LeaderTransactions::Resign(std::function<void(bool)> done) {
  m_record.host.clear();
  Commit({}, {}, std::move(done));
}

void LeaderTransactions::Send() {
  ++m_attempts;
  ++m_unanswered;
  const base::TimePoint sent_at = m_loop.GetClock().Now();
  const std::uint64_t commit = m_record.commit;
  m_store.Commit(
      m_transaction, kCommitTimeout,
      m_lifetime.Guard([this, commit, sent_at](const TransactionReply& reply) {
        HandleReply(reply, commit, sent_at);
      }));
  m_loop.After(kSendAgainAfter,
               m_lifetime.Guard([this, commit] { SendAgain(commit); }));
}

void LeaderTransactions::SendAgain(std::uint64_t commit) {
  if (m_busy && commit == m_record.commit && m_unanswered > 0 &&
      m_unanswered < kMaxUnanswered && m_busy_replies == 0) {
    ++m_resends;
    Send();
  }
}

std::chrono::milliseconds LeaderTransactions::StoreNow() const {
  return m_store_clock + std::chrono::duration_cast<std::chrono::milliseconds>(
                             m_loop.GetClock().Now() - m_store_clock_at);
}

std::chrono::milliseconds LeaderTransactions::LatestStoreNow() const {
  return m_store_clock + std::chrono::duration_cast<std::chrono::milliseconds>(
                             m_loop.GetClock().Now() - m_store_clock_asked_at);
}

void LeaderTransactions::HandleReply(const TransactionReply& reply,
                                     std::uint64_t commit,
                                     base::TimePoint sent_at) {
  using Outcome = TransactionReply::Outcome;
  if (!m_busy || commit != m_record.commit) {
    return;
  }
  --m_unanswered;
  if (reply.now.count() > 0) {
    m_store_clock = reply.now;
    m_store_clock_at = m_loop.GetClock().Now();
    m_store_clock_asked_at = sent_at;
  }
  if (reply.outcome == Outcome::kApplied) {
    m_record_version = reply.version;
    m_confirmed_at = sent_at;
    m_log.Metrics().Observe(Latency::kCommit,
                            m_loop.GetClock().Now() - sent_at);
    SendNextPiece();
    return;
  }
  if (reply.outcome == Outcome::kConflict) {
    ObservedLeaderRecord observed;
    for (const Row& row : reply.current) {
      if (row.key == kLeaderKey && !row.deleted) {
        observed = DecodeLeaderRow(row);
      }
    }
    const bool own = observed.record == m_record;
    if (own) {
      // An earlier attempt of this commit was applied, but its answer was lost.
      m_record_version = observed.version;
      m_confirmed_at = sent_at;
      SendNextPiece();
    } else {
      Finish(false);
    }
    return;
  }
  const bool has_rows =
      m_transaction.puts.size() + m_transaction.deletes.size() > 1;
  if (reply.outcome == Outcome::kRefused && has_rows) {
    HandleRefusal();
    return;
  }
  if (!m_failing_since) {
    m_failing_since = sent_at;
    m_log.Write("store.lost", {{"attempts", m_attempts},
                               {"unknown", reply.outcome == Outcome::kUnknown},
                               {"busy", reply.outcome == Outcome::kBusy}});
  }
  m_busy_replies += reply.outcome == Outcome::kBusy ? 1 : 0;
  if (m_busy_replies > 0 && m_unanswered > 0) {
    // Another attempt waits there already.
    return;
  }
  Retry();
}

void LeaderTransactions::Retry() {
  if (m_retry_armed) {
    return;
  }
  m_retry_armed = true;
  const auto delay =
      m_busy_replies > 0
          ? std::min(kBusyRetryBase * (1U << std::min(m_busy_replies, 5U)),
                     kMaxBusyRetry)
          : std::min(kRetryBase * (1U << std::min(m_attempts, 5U)), kMaxRetry);
  m_loop.After(delay, m_lifetime.Guard([this, commit = m_record.commit] {
    m_retry_armed = false;
    // A later commit whose attempts have failed meanwhile relies on this retry.
    const bool is_wanted = commit == m_record.commit || m_unanswered == 0;
    if (m_busy && is_wanted && m_unanswered < kMaxUnanswered) {
      Send();
    }
  }));
}

void LeaderTransactions::Finish(bool applied) {
  if (m_failing_since && applied) {
    m_log.Write("store.regained",
                {{"after_ms", base::Milliseconds(m_loop.GetClock().Now() -
                                                 *m_failing_since)},
                 {"attempts", m_attempts}});
    m_failing_since.reset();
  }
  m_busy = false;
  const auto done = std::exchange(m_done, nullptr);
  done(applied);
}

}  // namespace cassiastile::host
