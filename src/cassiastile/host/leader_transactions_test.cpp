#include "cassiastile/host/leader_transactions.hpp"

#include <deque>
#include <functional>
#include <string>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "virtual_world_bench.hpp"

namespace cassiastile::host {
namespace {

using std::chrono::milliseconds;
using testing::Contains;
using testing::ElementsAre;
using testing::IsEmpty;
using testing::Not;
using testing::Pair;
using Outcome = TransactionReply::Outcome;

constexpr milliseconds kLatency{4};

// A store that answers as the test says, and keeps what it has applied.
class ScriptedStore final : public RowStore {
 public:
  using Answer = std::function<Outcome(const RowTransaction&)>;

  explicit ScriptedStore(Loop& loop) : m_loop(loop) {}

  void Commit(RowTransaction transaction,
              milliseconds /*timeout*/,
              std::function<void(TransactionReply)> done) override {
    ++calls;
    m_loop.After(delay, [this, transaction = std::move(transaction), done] {
      TransactionReply reply;
      reply.outcome = answer(transaction);
      const bool is_expected = transaction.expect.front().version == m_version;
      if (reply.outcome == Outcome::kApplied && !is_expected) {
        reply.outcome = Outcome::kConflict;
        reply.current.push_back(m_record);
      }
      if (reply.outcome == Outcome::kApplied) {
        reply.version = ++m_version;
        m_record = transaction.puts.back();
        m_record.version = m_version;
        for (const Row& row : transaction.puts) {
          applied.push_back(row.key);
        }
        for (const Row& row : transaction.deletes) {
          deleted.push_back(row.key);
        }
      }
      done(reply);
    });
  }
  void Read(std::string /*table*/,
            std::string /*part*/,
            std::string /*from*/,
            milliseconds /*timeout*/,
            std::function<void(base::Result<RowPage>)> /*done*/) override {}
  void Feed(std::string /*table*/,
            std::uint64_t /*after*/,
            milliseconds /*wait*/,
            std::function<void(base::Result<FeedPage>)> /*done*/) override {}

  Answer answer = [](const RowTransaction&) { return Outcome::kApplied; };
  milliseconds delay = kLatency;
  int calls = 0;
  std::vector<std::string> applied;
  std::vector<std::string> deleted;

 private:
  Loop& m_loop;
  Row m_record;
  std::uint64_t m_version = 0;
};

class LeaderTransactionsTest : public testing::Test {
 protected:
  LeaderTransactionsTest() {
    m_transactions.Acquire({}, [](bool /*taken*/) {});
    m_loop.RunFor(milliseconds(100));
    m_store.calls = 0;
    m_store.applied.clear();
  }

  static Row MakeRow(const std::string& key, std::size_t bytes = 10) {
    return {kJobTable, kLeaderPart, key, std::string(bytes, 'x'), 0, false};
  }

  void Commit(std::vector<Row> puts, std::vector<Row> deletes = {}) {
    m_transactions.Commit(
        std::move(puts), std::move(deletes),
        [this](bool applied) { m_outcomes.push_back(applied); });
  }

  VirtualLoop m_loop;
  HostMetrics m_metrics;
  EventLog m_log{m_loop.GetClock(), "host-0", m_metrics,
                 [](std::string_view text) { return text.size(); }};
  ScriptedStore m_store{m_loop};
  LeaderTransactions m_transactions{m_store,
                                    m_loop,
                                    m_log,
                                    {"host-0", "", "life-1", 0}};
  std::vector<bool> m_outcomes;
};

// The part of the store is one second behind: each copy would wait there too.
TEST_F(LeaderTransactionsTest, NoCopiesAreSentToAStoreThatIsBusy) {
  m_store.answer = [](const RowTransaction&) { return Outcome::kBusy; };
  Commit({MakeRow("a")});
  m_loop.RunFor(milliseconds(5000));
  EXPECT_LE(m_store.calls, 8);
  // It takes calls again, and answers each after its queue.
  m_store.answer = [](const RowTransaction&) { return Outcome::kApplied; };
  m_store.delay = milliseconds(900);
  m_store.calls = 0;
  m_loop.RunFor(milliseconds(2000));
  EXPECT_EQ(m_store.calls, 1);
  EXPECT_THAT(m_outcomes, ElementsAre(true));
}

TEST_F(LeaderTransactionsTest, RefusedRowsAreFoundAndTheRestIsStored) {
  m_store.answer = [](const RowTransaction& transaction) {
    for (const Row& row : transaction.puts) {
      if (row.key == "r7" || row.key == "r8" || row.key == "r40") {
        return Outcome::kRefused;
      }
    }
    return Outcome::kApplied;
  };
  std::vector<Row> puts;
  puts.reserve(80);
  for (int i = 0; i < 80; ++i) {
    puts.push_back(MakeRow("r" + std::to_string(i)));
  }
  Commit(std::move(puts), {MakeRow("d1"), MakeRow("d2")});
  m_loop.RunFor(milliseconds(3000));
  EXPECT_THAT(m_outcomes, ElementsAre(true));
  EXPECT_THAT(m_transactions.Refused(),
              ElementsAre(Pair(kJobTable, "r40"), Pair(kJobTable, "r7"),
                          Pair(kJobTable, "r8")));
  EXPECT_THAT(m_store.applied, Contains("r79"));
  EXPECT_THAT(m_store.applied, Not(Contains("r7")));
  EXPECT_THAT(m_store.deleted, ElementsAre("d1", "d2"));
}

TEST_F(LeaderTransactionsTest, WhatIsKnownToBeTooLargeIsNotSent) {
  m_store.answer = [](const RowTransaction& transaction) {
    return sim::TableModel::IsWithinLimits(transaction) ? Outcome::kApplied
                                                        : Outcome::kRefused;
  };
  std::vector<Row> puts{MakeRow("large", 70000)};
  for (int i = 0; i < 120; ++i) {
    puts.push_back(MakeRow("r" + std::to_string(i), 20000));
  }
  Commit(std::move(puts));
  m_loop.RunFor(milliseconds(1000));
  EXPECT_THAT(m_outcomes, ElementsAre(true));
  EXPECT_THAT(m_transactions.Refused(), ElementsAre(Pair(kJobTable, "large")));
  // 120 rows, and the leader's record with each transaction.
  EXPECT_EQ(m_store.applied.size(), 120U + m_store.calls);
  EXPECT_LE(m_store.calls, 5);
}

// The leader's own record is all that is refused: there is nothing to leave
// out, so the term goes on trying.
TEST_F(LeaderTransactionsTest, ARefusedRecordIsTriedAgain) {
  m_store.answer = [](const RowTransaction&) { return Outcome::kRefused; };
  Commit({});
  m_loop.RunFor(milliseconds(1000));
  EXPECT_THAT(m_outcomes, IsEmpty());
  m_store.answer = [](const RowTransaction&) { return Outcome::kApplied; };
  m_loop.RunFor(milliseconds(1000));
  EXPECT_THAT(m_outcomes, ElementsAre(true));
}

}  // namespace
}  // namespace cassiastile::host
