#include "cassiastile/entry/credit_account.hpp"

#include <gtest/gtest.h>

#include "cassiastile/entry/holder_watch.hpp"
#include "cassiastile/platform/memory_platform.hpp"

namespace cassiastile::entry {
namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};
const std::string kKey = "ledger/slots/draw";

// Needs as many slots of the runner r1 as the test sets.
class FixedConsumer final : public CreditConsumer {
 public:
  CreditNeeds Needs(const work::LedgerRow&, base::TimePoint) override {
    return {{"r1", {8, in_use, wanted}}};
  }
  Grants ApplyGrants(const Grants& grants, base::TimePoint) override {
    const auto found = grants.find("r1");
    allowed = found == grants.end() ? 0 : found->second;
    return {{"r1", in_use}};
  }

  std::uint32_t in_use = 0;
  std::uint32_t wanted = 8;
  std::uint32_t allowed = 0;
};

std::set<work::HolderName> NoneGone(const std::set<work::HolderName>&) {
  return {};
}

class CreditAccountTest : public testing::Test {
 protected:
  std::uint32_t GrantedIn(const std::string& holder) {
    const auto row = m_table.Get(kKey).value();
    const auto ledgers = work::ParseLedgerRow(row->value).value();
    const auto& holdings = ledgers.at("r1").holdings;
    const auto found = holdings.find(holder);
    return found == holdings.end() ? 0 : found->second.granted;
  }

  platform::MemoryTable m_table;
  FixedConsumer m_consumer;
  CreditAccount m_account{m_table, kKey, "e1#1", 1};
  FixedConsumer m_other;
  CreditAccount m_other_account{m_table, kKey, "e2#1", 1};
};

TEST_F(CreditAccountTest, CreditsAreUsedAfterTheWriteThatGrantsThem) {
  EXPECT_EQ(m_account.Sync(m_consumer, NoneGone, kStart),
            CreditSyncResult::kWritten);
  EXPECT_EQ(m_consumer.allowed, 8U);
}

TEST_F(CreditAccountTest, LostAnswerGrantsNothingUntilItIsResolved) {
  m_table.SetFaults({.delay_apply = 1});
  EXPECT_EQ(m_account.Sync(m_consumer, NoneGone, kStart),
            CreditSyncResult::kUnreachable);
  EXPECT_EQ(m_consumer.allowed, 0U);
  // The delayed write is applied when the other host reads the row, so that
  // host finds all credits taken.
  m_table.SetFaults({});
  m_other_account.Sync(m_other, NoneGone, kStart);
  while (m_account.Sync(m_consumer, NoneGone, kStart) ==
         CreditSyncResult::kUnreachable) {
  }
  EXPECT_LE(m_consumer.allowed + m_other.allowed, 8U);
}

TEST_F(CreditAccountTest, ReleaseStopsUseEvenWhenTheAnswerIsLost) {
  m_account.Sync(m_consumer, NoneGone, kStart);
  m_consumer.wanted = 2;
  m_table.SetFaults({.lose_answer = 1});
  m_account.Sync(m_consumer, NoneGone, kStart);
  EXPECT_EQ(m_consumer.allowed, 2U);
  EXPECT_EQ(GrantedIn("e1#1"), 2U);
}

TEST_F(CreditAccountTest, GrantedCreditsStayUsableWhileTheTableIsDown) {
  m_account.Sync(m_consumer, NoneGone, kStart);
  m_table.SetFaults({.down = true});
  m_consumer.wanted = 0;
  EXPECT_EQ(m_account.Sync(m_consumer, NoneGone, kStart),
            CreditSyncResult::kUnreachable);
  EXPECT_EQ(m_consumer.allowed, 8U);
}

TEST_F(CreditAccountTest, CreditsInUseAreNotReleased) {
  m_account.Sync(m_consumer, NoneGone, kStart);
  m_consumer.in_use = 5;
  ReleasingConsumer releasing(m_consumer);
  m_account.Sync(releasing, NoneGone, kStart);
  EXPECT_EQ(GrantedIn("e1#1"), 5U);
}

TEST_F(CreditAccountTest, UnchangedNeedsAreNotWritten) {
  m_consumer.wanted = 3;
  m_account.Sync(m_consumer, NoneGone, kStart);
  const auto writes = m_table.Counts().writes;
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(m_account.Sync(m_consumer, NoneGone, kStart),
              CreditSyncResult::kUnchanged);
  }
  EXPECT_EQ(m_table.Counts().writes, writes);
}

TEST_F(CreditAccountTest, GoneHolderForfeitsItsCredits) {
  m_other_account.Sync(m_other, NoneGone, kStart);
  const auto gone = [](const std::set<work::HolderName>&) {
    return std::set<work::HolderName>{"e2#1"};
  };
  m_account.Sync(m_consumer, gone, kStart);
  EXPECT_EQ(GrantedIn("e1#1"), 8U);
  EXPECT_EQ(GrantedIn("e2#1"), 0U);
}

platform::ListedHost ListEntry(const std::string& name) {
  platform::ListedHost host;
  host.name = name;
  host.role = platform::ListedRole::kEntry;
  return host;
}

// The default of longest_request is 60 seconds.
TEST(HolderWatchTest, ReplacedProcessIsGoneAfterItsLongestRequest) {
  HolderWatch watch("e1", {});
  watch.ObserveIncarnation("e2", 2, kStart);
  EXPECT_FALSE(watch.IsGone("e2#1", kStart + std::chrono::seconds(59)));
  EXPECT_TRUE(watch.IsGone("e2#1", kStart + std::chrono::seconds(60)));
  EXPECT_FALSE(watch.IsGone("e2#2", kStart + std::chrono::hours(1)));
}

TEST(HolderWatchTest, AbsenceCountsOnlyWhileThisHostIsListed) {
  HolderWatch watch("e1", {});
  watch.ObserveHostList({ListEntry("e2")}, kStart);
  watch.ObserveHostList({}, kStart);
  // Longer than max_absence, 10 minutes.
  const base::TimePoint later = kStart + std::chrono::minutes(11);
  EXPECT_FALSE(watch.IsGone("e2#1", later));
  watch.ObserveHostList({ListEntry("e1")}, later);
  EXPECT_TRUE(watch.IsGone("e2#1", later));
  watch.ObserveHostList({ListEntry("e1"), ListEntry("e2")}, later);
  EXPECT_FALSE(watch.IsGone("e2#1", later));
}

// Others take the credits after max_absence, 10 minutes. The host must stop
// using them earlier by twice longest_request, one minute.
TEST(HolderWatchTest, CutOffHostStopsBeforeOthersTakeItsCredits) {
  HolderWatch watch("e1", {});
  watch.ObserveHostList({ListEntry("e1")}, kStart);
  EXPECT_FALSE(watch.MayBeForfeited(kStart, kStart + std::chrono::minutes(7)));
  EXPECT_TRUE(watch.MayBeForfeited(kStart, kStart + std::chrono::minutes(8)));
}

}  // namespace
}  // namespace cassiastile::entry
