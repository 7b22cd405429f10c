#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cassiastile/host/event_log.hpp"
#include "cassiastile/host/loop.hpp"
#include "cassiastile/host/peer_message.hpp"
#include "cassiastile/host/ports.hpp"

namespace cassiastile::host {

// Tables in which the leader stores its state.
inline constexpr char kLeaderTable[] = "cassia_office";
inline constexpr char kJobTable[] = "cassia_jobs";
// The tasks of jobs that are too large for one row; see jobs::ProgressForm.
inline constexpr char kSegmentTable[] = "cassia_segments";
inline constexpr char kMachineTable[] = "cassia_machines";
// Task durations learnt per queue; if lost, they are learnt again.
inline constexpr char kLearntTable[] = "cassia_learnt";
// See jobs::CancelMarkers.
inline constexpr char kCancelTable[] = "cassia_cancelled";
// See jobs::KnownIncarnations.
inline constexpr char kIncarnationTable[] = "cassia_incarnations";
inline constexpr char kHostTable[] = "cassia_hosts";
// All of the leader's rows are in one part, so that one transaction can cover
// them.
inline constexpr char kLeaderPart[] = "main";
inline constexpr char kLeaderKey[] = "holder";

// The leader's record as last read from the table.
struct ObservedLeaderRecord {
  std::uint64_t version = 0;  // 0: there is no record.
  LeaderRecord record;
};

// Decodes the leader's row. A record that can't be decoded is left empty, which
// means that there is no leader.
ObservedLeaderRecord DecodeLeaderRow(const Row& row);

// The transactions of one leadership term. Each expects the leader's record at
// the version written by the previous one, and rewrites it. So a commit whose
// answer was lost can safely be sent again, and none can be applied after a
// later one or after another host has become the leader.
class LeaderTransactions {
 public:
  // `self` is the record to write while this host is the leader. The references
  // must outlive this object.
  LeaderTransactions(RowStore& store,
                     Loop& loop,
                     EventLog& log,
                     LeaderRecord self);

  // Acquires leadership if the record is still as `seen`; `done` gets whether
  // it did. The version of the record that this writes is the term's fencing
  // token.
  void Acquire(const ObservedLeaderRecord& seen,
               std::function<void(bool)> done);
  // Valid once Acquire has succeeded.
  std::uint64_t FencingToken() const { return m_fencing_token; }
  // The version of the record that the last applied commit wrote. It is not
  // lower than the term's fencing token and lower than the next term's, so it
  // can serve as a newer token within the term. Valid once Acquire has
  // succeeded.
  std::uint64_t NewestVersion() const { return m_record_version; }

  // Writes and deletes rows in one transaction. Only one commit may be in
  // flight. It is retried for as long as the store fails, and sent again beside
  // the first attempt when that has no answer after 0.25 s, unless the store
  // has said that it has too much to do: copies would wait there too. `done`
  // gets true once it is applied, or false if leadership is lost. Rows that the
  // store refuses for good are left out: those that are too large, and those to
  // which a refused transaction narrows down as it is halved, in the order of
  // the rows.
  void Commit(std::vector<Row> puts,
              std::vector<Row> deletes,
              std::function<void(bool)> done);
  // Stores a record without a host, so that another host can take over at once.
  void Resign(std::function<void(bool)> done);
  // Whether a record in the store was written by this term, which then is not
  // over.
  bool IsOwn(const LeaderRecord& record) const {
    return !record.host.empty() && record.host == m_record.host &&
           record.incarnation == m_record.incarnation;
  }
  // A row by its table and key.
  using RowName = std::pair<std::string, std::string>;
  // The rows that were left out of the last commit.
  const std::set<RowName>& Refused() const { return m_refused; }
  bool IsBusy() const { return m_busy; }
  // Since when the commit in flight has had no answer; nothing if there is
  // none.
  std::optional<base::TimePoint> BusySince() const {
    return m_busy ? std::optional(m_begun_at) : std::nullopt;
  }

  // Attempts that were sent while an earlier one of the same commit had no
  // answer.
  std::uint64_t Resends() const { return m_resends; }
  // Send time of the last commit known to be applied; this host was the leader
  // then.
  base::TimePoint ConfirmedAt() const { return m_confirmed_at; }
  // The store's steady clock now, extrapolated from the last reply. It is that
  // late or later, since the reply may have waited.
  std::chrono::milliseconds StoreNow() const;
  // The latest that the store's clock can show now.
  std::chrono::milliseconds LatestStoreNow() const;
  // Start of the current series of failed commits; empty while they succeed.
  std::optional<base::TimePoint> FailingSince() const {
    return m_failing_since;
  }

 private:
  // Rows of one transaction.
  struct Piece {
    std::vector<Row> puts;
    std::vector<Row> deletes;
  };
  // Adds what is to be sent next, cut into pieces that a transaction takes.
  void AddPiece(Piece piece);
  void AddHalves(Piece piece);
  // Sends the next piece with a new number, or ends the commit.
  void SendNextPiece();
  void RefuseRow(const Row& row);
  // The store will never accept the piece in flight.
  void HandleRefusal();
  void Send();
  // Sends another attempt of a commit if it is still without an answer.
  void SendAgain(std::uint64_t commit);
  // Takes the reply to an attempt of a commit, which another attempt may have
  // finished.
  void HandleReply(const TransactionReply& reply,
                   std::uint64_t commit,
                   base::TimePoint sent_at);
  void Finish(bool applied);
  void Retry();

  RowStore& m_store;
  Loop& m_loop;
  EventLog& m_log;
  LeaderRecord m_record;
  std::uint64_t m_record_version = 0;
  std::uint64_t m_fencing_token = 0;
  bool m_busy = false;
  std::vector<Piece> m_pieces;  // To be sent, the last one first.
  std::set<RowName> m_refused;
  RowTransaction m_transaction;  // In flight; its last put is the record.
  std::function<void(bool)> m_done;
  std::uint32_t m_attempts = 0;
  std::uint64_t m_resends = 0;
  std::uint32_t m_unanswered = 0;  // Attempts of the commit in flight.
  // How often the store has said of it that it has too much to do.
  std::uint32_t m_busy_replies = 0;
  bool m_retry_armed = false;
  base::TimePoint m_begun_at{};
  base::TimePoint m_confirmed_at{};
  std::chrono::milliseconds m_store_clock{0};
  base::TimePoint m_store_clock_at{};
  base::TimePoint m_store_clock_asked_at{};
  std::optional<base::TimePoint> m_failing_since;
  Lifetime m_lifetime;
};

}  // namespace cassiastile::host
