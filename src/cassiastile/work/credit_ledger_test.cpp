#include "cassiastile/work/credit_ledger.hpp"

#include <cstdlib>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "cassiastile/work/credit_rows.hpp"

namespace cassiastile::work {
namespace {

constexpr std::uint32_t kSlots = 8;

// Makes the property tests generate the same cases in every run.
[[maybe_unused]] const int kSeeded = setenv("RC_PARAMS", "seed=4", 0);

Ledger MakeLedger(std::uint32_t capacity) {
  Ledger ledger;
  ledger.capacity = capacity;
  return ledger;
}

TEST(CreditLedgerTest, OneHolderGetsTheWholeCapacity) {
  const Ledger ledger = Rebalance(MakeLedger(kSlots), "e1#1", 0, 20);
  EXPECT_EQ(ledger.holdings.at("e1#1").granted, kSlots);
}

TEST(CreditLedgerTest, UnusedCreditsAreReturned) {
  Ledger ledger = Rebalance(MakeLedger(kSlots), "e1#1", 0, 8);
  ledger = Rebalance(ledger, "e1#1", 1, 2);
  EXPECT_EQ(ledger.holdings.at("e1#1").granted, 2U);
  ledger = Rebalance(ledger, "e1#1", 0, 0);
  EXPECT_TRUE(ledger.holdings.empty());
}

TEST(CreditLedgerTest, LaterHolderGetsItsFairShareAsWorkEnds) {
  Ledger ledger = Rebalance(MakeLedger(kSlots), "e1#1", 8, 8);
  ledger = Rebalance(ledger, "e2#1", 0, 8);
  EXPECT_EQ(ledger.holdings.at("e2#1").granted, 0U);
  ledger = Rebalance(ledger, "e1#1", 6, 8);
  EXPECT_EQ(ledger.holdings.at("e1#1").granted, 6U);
  ledger = Rebalance(ledger, "e1#1", 2, 8);
  EXPECT_EQ(ledger.holdings.at("e1#1").granted, 4U);
  ledger = Rebalance(ledger, "e2#1", 0, 8);
  EXPECT_EQ(ledger.holdings.at("e2#1").granted, 4U);
}

TEST(CreditLedgerTest, CreditsOneHolderDoesNotWantGoToOthers) {
  Ledger ledger = MakeLedger(kSlots);
  ledger = Rebalance(ledger, "e1#1", 0, 1);
  ledger = Rebalance(ledger, "e2#1", 0, 20);
  EXPECT_EQ(ledger.holdings.at("e1#1").granted, 1U);
  EXPECT_EQ(ledger.holdings.at("e2#1").granted, 7U);
}

TEST(CreditLedgerTest, LoweredCapacityTakesEffectAsWorkEnds) {
  Ledger ledger = Rebalance(MakeLedger(kSlots), "e1#1", 8, 8);
  ledger.capacity = 4;
  ledger = Rebalance(ledger, "e1#1", 6, 8);
  EXPECT_EQ(ledger.holdings.at("e1#1").granted, 6U);
  ledger = Rebalance(ledger, "e2#1", 0, 8);
  EXPECT_EQ(ledger.holdings.at("e2#1").granted, 0U);
  ledger = Rebalance(ledger, "e1#1", 0, 8);
  EXPECT_EQ(ledger.holdings.at("e1#1").granted, 2U);
}

TEST(CreditLedgerTest, RemovedHoldersCreditsAreFree) {
  Ledger ledger = Rebalance(MakeLedger(kSlots), "e1#1", 0, 8);
  ledger = Rebalance(RemoveHolder(ledger, "e1#1"), "e1#2", 0, 8);
  EXPECT_EQ(ledger.holdings.at("e1#2").granted, kSlots);
}

RC_GTEST_PROP(CreditLedgerTest,
              GrantsStayWithinCapacity,
              (const std::vector<std::array<std::uint8_t, 3>>& steps)) {
  Ledger ledger = MakeLedger(kSlots);
  for (const auto& [who, use, want] : steps) {
    const HolderName holder = "e" + std::to_string(who % 7);
    const std::uint32_t held = ledger.holdings[holder].granted;
    const std::uint32_t in_use = held == 0 ? 0 : use % (held + 1);
    ledger = Rebalance(ledger, holder, in_use, want % 12);
    RC_ASSERT(TotalGranted(ledger) <= ledger.capacity);
    const auto found = ledger.holdings.find(holder);
    RC_ASSERT((found == ledger.holdings.end() ? 0U : found->second.granted) >=
              in_use);
  }
}

RC_GTEST_PROP(CreditLedgerTest,
              HoldersThatWantMoreConvergeOnFairShares,
              (std::uint8_t count)) {
  const std::uint32_t holders = 1 + count % 8;
  Ledger ledger = MakeLedger(kSlots);
  for (std::uint32_t round = 0; round < 3; ++round) {
    for (std::uint32_t i = 0; i < holders; ++i) {
      ledger = Rebalance(ledger, "e" + std::to_string(i), 0, kSlots);
    }
  }
  RC_ASSERT(TotalGranted(ledger) == kSlots);
  for (const auto& [name, holding] : ledger.holdings) {
    RC_ASSERT(holding.granted >= kSlots / holders);
  }
}

TEST(CreditRowsTest, RoundTripKeepsValues) {
  const LedgerRow row{{"r1", Rebalance(MakeLedger(kSlots), "e1#1", 0, 3)}};
  const auto read = ParseLedgerRow(FormatLedgerRow(row));
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read->at("r1").capacity, kSlots);
  EXPECT_EQ(read->at("r1").holdings.at("e1#1").granted, 3U);
}

TEST(CreditRowsTest, ParseRejectsOtherText) {
  EXPECT_EQ(ParseLedgerRow("[1]").error().code, base::ErrorCode::kInvalid);
  EXPECT_EQ(ParseLedgerRow("{").error().code, base::ErrorCode::kInvalid);
}

}  // namespace
}  // namespace cassiastile::work
