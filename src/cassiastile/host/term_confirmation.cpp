#include "cassiastile/host/term_confirmation.hpp"

#include <algorithm>
#include <utility>

namespace cassiastile::host {

namespace {

// Requests that arrive within this time share a read, and a commit in this time
// spares it.
constexpr std::chrono::milliseconds kGather{5};
// Bounds the reads a second, which all hosts' calls to the store share.
constexpr std::chrono::milliseconds kMinReadInterval{25};
// A store that is slower than usual by a factor of 100 answers within this
// time.
constexpr std::chrono::milliseconds kConfirmationReadTimeout{1400};
// An answer may be lost, and later requests need a later read: another read is
// sent beside one that has no answer after this time.
constexpr std::chrono::milliseconds kReadAgainAfter{250};
constexpr std::chrono::milliseconds kRetryDelay{50};

}  // namespace

TermConfirmation::TermConfirmation(RowStore& store,
                                   Loop& loop,
                                   const LeaderTransactions& transactions,
                                   std::function<void()> on_term_over)
    : m_store(store),
      m_loop(loop),
      m_transactions(transactions),
      m_on_term_over(std::move(on_term_over)) {}

void TermConfirmation::Await(Done done) {
  const base::TimePoint now = m_loop.GetClock().Now();
  m_waits.push_back({now, std::move(done)});
  ++m_wait_count;
  if (m_unanswered_read == 0) {
    ScheduleRead(
        std::max<base::Duration>(kGather, m_read_at + kMinReadInterval - now));
  }
}

void TermConfirmation::Confirmed(base::TimePoint sent_at) {
  while (!m_waits.empty() && m_waits.front().began <= sent_at) {
    FinishFirst(Outcome::kConfirmed);
  }
}

void TermConfirmation::GiveUp(base::TimePoint began_before) {
  while (!m_waits.empty() && m_waits.front().began < began_before) {
    FinishFirst(Outcome::kUnknown);
  }
}

void TermConfirmation::EndTerm() {
  while (!m_waits.empty()) {
    FinishFirst(Outcome::kTermOver);
  }
}

void TermConfirmation::FinishFirst(Outcome outcome) {
  const Done done = std::move(m_waits.front().done);
  m_waits.pop_front();
  done(outcome);
}

void TermConfirmation::ScheduleRead(base::Duration delay) {
  if (std::exchange(m_read_pending, true)) {
    return;
  }
  m_loop.After(delay, m_lifetime.Guard([this] { Read(); }));
}

void TermConfirmation::Read() {
  if (m_waits.empty()) {
    m_read_pending = false;
    m_unanswered_read = 0;
    return;
  }
  ++m_reads;
  m_read_at = m_loop.GetClock().Now();
  m_read_pending = false;
  const std::uint64_t number = m_reads;
  m_store.Read(kLeaderTable, kLeaderPart, kLeaderKey, kConfirmationReadTimeout,
               m_lifetime.Guard([this, number, sent_at = m_read_at](
                                    const base::Result<RowPage>& page) {
                 HandleRecord(page, number, sent_at);
               }));
  m_unanswered_read = number;
  m_loop.After(kReadAgainAfter, m_lifetime.Guard([this, number] {
    if (m_unanswered_read == number) {
      ScheduleRead({});
    }
  }));
}

void TermConfirmation::HandleRecord(const base::Result<RowPage>& page,
                                    std::uint64_t number,
                                    base::TimePoint sent_at) {
  if (m_unanswered_read == number) {
    m_unanswered_read = 0;
  }
  base::Duration delay = kRetryDelay;
  if (page) {
    const auto row = std::ranges::find(page->rows, kLeaderKey, &Row::key);
    const LeaderRecord record =
        row == page->rows.end() ? LeaderRecord{} : DecodeLeaderRow(*row).record;
    if (m_transactions.IsOwn(record)) {
      Confirmed(sent_at);
      delay = kMinReadInterval;
    } else if (!record.host.empty()) {
      EndTerm();
      m_on_term_over();
      return;
    }
  }
  if (!m_waits.empty() && m_unanswered_read == 0) {
    ScheduleRead(delay);
  }
}

}  // namespace cassiastile::host
