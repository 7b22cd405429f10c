#include <gtest/gtest.h>

#include "cassiastile/platform/memory_platform.hpp"

namespace cassiastile::platform {
namespace {

Transaction Insert(const std::string& nonce, const std::string& value) {
  return Transaction{nonce, {{"row", 0}}, {{"row", value}}};
}

TEST(MemoryTableTest, SecondWriterOfTheSameVersionConflicts) {
  MemoryTable table;
  ASSERT_TRUE(table.Apply(Insert("a", "1")).has_value());
  const auto second = table.Apply(Insert("b", "2"));
  ASSERT_FALSE(second.has_value());
  EXPECT_EQ(second.error().code, base::ErrorCode::kConflict);
  EXPECT_EQ(table.Get("row").value()->value, "1");
}

TEST(MemoryTableTest, LostAnswerLeavesTheWriteInPlace) {
  MemoryTable table;
  table.SetFaults({.lose_answer = 1});
  const auto lost = table.Apply(Insert("a", "1"));
  ASSERT_FALSE(lost.has_value());
  EXPECT_EQ(lost.error().code, base::ErrorCode::kUnknown);
  table.SetFaults({});
  EXPECT_TRUE(table.FindNonce("a").value().has_value());
  EXPECT_EQ(table.Get("row").value()->value, "1");
}

TEST(MemoryTableTest, DelayedWriteAppliesLater) {
  MemoryTable table;
  table.SetFaults({.delay_apply = 1});
  EXPECT_FALSE(table.Apply(Insert("a", "1")).has_value());
  table.SetFaults({});
  EXPECT_EQ(table.Get("row").value()->value, "1");
}

// The second transaction stands for a write that arrives after its caller has
// used up its nonce to get a final answer.
TEST(MemoryTableTest, UsedNonceBlocksADelayedWrite) {
  MemoryTable table;
  ASSERT_TRUE(table.Apply({"a", {}, {}}).has_value());
  ASSERT_TRUE(table.Apply(Insert("a", "late")).has_value());
  EXPECT_FALSE(table.Get("row").value().has_value());
}

TEST(MemoryTableTest, VersionsKeepIncreasingAfterDeletion) {
  MemoryTable table;
  ASSERT_TRUE(table.Apply({"a", {}, {{"row", "1"}}}).has_value());
  ASSERT_TRUE(table.Apply({"b", {{"row", 1}}, {{"row", {}}}}).has_value());
  ASSERT_TRUE(table.Apply({"c", {{"row", 0}}, {{"row", "2"}}}).has_value());
  EXPECT_EQ(table.Get("row").value()->version, 3U);
}

TEST(MemoryTableTest, OutageWritesNothing) {
  MemoryTable table;
  table.SetFaults({.down = true});
  EXPECT_EQ(table.Apply(Insert("a", "1")).error().code,
            base::ErrorCode::kUnavailable);
  table.SetFaults({});
  EXPECT_FALSE(table.Get("row").value().has_value());
}

TEST(MemoryTableTest, ScanAllReturnsThePrefixInKeyOrder) {
  MemoryTable table;
  ASSERT_TRUE(table.Apply({"a", {}, {{"p/2", "b"}, {"p/1", "a"}, {"q/1", "c"}}})
                  .has_value());
  const auto rows = ScanAll(table, "p/");
  ASSERT_EQ(rows->size(), 2U);
  EXPECT_EQ(rows->front().key, "p/1");
}

}  // namespace
}  // namespace cassiastile::platform
