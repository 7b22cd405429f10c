#pragma once

#include <cstdint>
#include <deque>
#include <functional>

#include "cassiastile/host/leader_transactions.hpp"
#include "cassiastile/host/loop.hpp"
#include "cassiastile/host/ports.hpp"

namespace cassiastile::host {

// Lets answers that rest on the leader's memory wait until the store has shown
// that this host was still the leader after their requests had arrived. Another
// host may have taken over at any time before: while this one stood still, or
// since the last commit. Reads of the leader's record serve all requests that
// wait, and commits serve them as well.
class TermConfirmation {
 public:
  enum class Outcome : std::uint8_t {
    kConfirmed,  // What this leader knows was true after the request arrived.
    kTermOver,   // Another host has taken over.
    kUnknown,    // The store gave no answer in time.
  };
  using Done = std::function<void(Outcome)>;

  // The references must outlive this object. `on_term_over` runs when the
  // record shows another leader, after the waiting requests have their outcome.
  TermConfirmation(RowStore& store,
                   Loop& loop,
                   const LeaderTransactions& transactions,
                   std::function<void()> on_term_over);

  // Calls `done` once, never within this call.
  void Await(Done done);
  // The store has shown, in the answer to a call that was sent at this time,
  // that this host is the leader.
  void Confirmed(base::TimePoint sent_at);
  // Gives up the waits that began before a time, with kUnknown.
  void GiveUp(base::TimePoint began_before);
  // Ends all waits with kTermOver.
  void EndTerm();
  // Number of reads of the leader's record so far.
  std::uint64_t Reads() const { return m_reads; }
  // Number of requests that have waited so far.
  std::uint64_t Waits() const { return m_wait_count; }

 private:
  struct Wait {
    base::TimePoint began;
    Done done;
  };

  void FinishFirst(Outcome outcome);
  void ScheduleRead(base::Duration delay);
  void Read();
  void HandleRecord(const base::Result<RowPage>& page,
                    std::uint64_t number,
                    base::TimePoint sent_at);

  RowStore& m_store;
  Loop& m_loop;
  const LeaderTransactions& m_transactions;
  std::function<void()> m_on_term_over;
  std::deque<Wait> m_waits;     // In the order in which they began.
  bool m_read_pending = false;  // Scheduled.
  // The last read, unless it has been answered or has failed; zero for none.
  std::uint64_t m_unanswered_read = 0;
  base::TimePoint m_read_at{};  // When the last read was sent.
  std::uint64_t m_reads = 0;
  std::uint64_t m_wait_count = 0;
  Lifetime m_lifetime;
};

}  // namespace cassiastile::host
