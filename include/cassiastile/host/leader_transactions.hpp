#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cassiastile/host/event_log.hpp"
#include "cassiastile/host/loop.hpp"
#include "cassiastile/host/peer_message.hpp"
#include "cassiastile/host/ports.hpp"

namespace cassiastile::host {

// Where the host in office keeps its rows.
inline constexpr char kLeaderTable[] = "cassia_office";
inline constexpr char kJobTable[] = "cassia_jobs";
inline constexpr char kMachineTable[] = "cassia_machines";
// What an office has learnt of queues; lost, it is learnt anew.
inline constexpr char kLearntTable[] = "cassia_learnt";
inline constexpr char kHostTable[] = "cassia_hosts";
// All rows of an office stand in one part, so that one transaction covers them.
inline constexpr char kLeaderPart[] = "main";
inline constexpr char kLeaderKey[] = "holder";

// What is known of the office's record in the table.
struct ObservedLeaderRecord {
  std::uint64_t version = 0;  // 0: there is no record.
  LeaderRecord record;
};

ObservedLeaderRecord DecodeLeaderRow(const Row& row);

// The commits of one term. Each expects the office's record as the one before
// left it and rewrites it. So a commit whose answer was lost can be sent again
// without harm, none can land after a later one, and none after the office has
// passed on.
class LeaderTransactions {
 public:
  LeaderTransactions(RowStore& store,
                     Loop& loop,
                     EventLog& log,
                     LeaderRecord self);

  // Takes the office if its record still is as it was seen. On success the
  // fence of the term is the version of the record that took it.
  void Acquire(const ObservedLeaderRecord& seen,
               std::function<void(bool)> done);
  std::uint64_t FencingToken() const { return m_fence; }

  // Writes rows. One commit is under way at a time. `done` gets true once it is
  // applied, however long that takes, or false when the office is lost.
  void Commit(std::vector<Row> puts,
              std::vector<Row> drops,
              std::function<void(bool)> done);
  // Gives the office up.
  void Resign(std::function<void(bool)> done);
  bool IsBusy() const { return m_busy; }

  // When the last commit that was applied had been sent.
  base::TimePoint ConfirmedAt() const { return m_confirmed_at; }
  // The store's clock now, by the last commit.
  std::chrono::milliseconds StoreNow() const;
  // Since when commits have failed; nothing while they succeed.
  std::optional<base::TimePoint> FailingSince() const {
    return m_failing_since;
  }

 private:
  void Send();
  void Answered(const TransactionReply& reply, base::TimePoint sent_at);
  void Finish(bool applied);
  void Retry();

  RowStore& m_store;
  Loop& m_loop;
  EventLog& m_log;
  LeaderRecord m_record;
  std::uint64_t m_version = 0;
  std::uint64_t m_fence = 0;
  bool m_busy = false;
  RowTransaction m_transaction;
  std::function<void(bool)> m_done;
  std::uint32_t m_attempts = 0;
  base::TimePoint m_confirmed_at{};
  std::chrono::milliseconds m_store_clock{0};
  base::TimePoint m_store_clock_at{};
  std::optional<base::TimePoint> m_failing_since;
  Lifetime m_lifetime;
};

}  // namespace cassiastile::host
