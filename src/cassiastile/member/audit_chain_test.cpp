#include "cassiastile/member/audit_chain.hpp"

#include <gtest/gtest.h>

#include "cassiastile/platform/memory_platform.hpp"

namespace cassiastile::member {
namespace {

class AuditChainTest : public ::testing::Test {
 protected:
  void SetUp() override {
    for (const std::string who : {"ana", "bo", "cy"}) {
      ASSERT_TRUE(Append(who));
    }
  }

  bool Append(const std::string& who) {
    const auto head = ReadAuditHead(m_table);
    AuditChange change;
    change.what = "host w-1 drain";
    change.who = who;
    const AuditWrites writes = MakeAuditWrites(*head, change);
    return m_table.Apply({"nonce " + who, writes.preconditions, writes.writes})
        .has_value();
  }

  void Overwrite(const std::string& key, std::optional<std::string> value) {
    ASSERT_TRUE(m_table.Apply({"edit " + key, {}, {{key, std::move(value)}}}));
  }

  std::optional<std::uint64_t> Break() {
    return FindBreak(*ReadAuditRows(m_table, 0), *ReadAuditHead(m_table));
  }

  platform::MemoryTable m_table;
};

TEST_F(AuditChainTest, IntactChainHasNoBreak) {
  EXPECT_EQ(ReadAuditRows(m_table, 0)->size(), 3U);
  EXPECT_EQ(ReadAuditRows(m_table, 2)->size(), 2U);
  EXPECT_EQ(Break(), std::nullopt);
}

TEST_F(AuditChainTest, EditedRowIsFound) {
  auto rows = *ReadAuditRows(m_table, 0);
  rows[1].who = "nobody";
  Overwrite(AuditKey(2), ToText(rows[1]));
  EXPECT_EQ(Break(), 2U);
}

TEST_F(AuditChainTest, EditedAndRehashedRowIsFoundAtTheNext) {
  auto rows = *ReadAuditRows(m_table, 0);
  rows[1].who = "nobody";
  rows[1].hash = HashOf(rows[1]);
  Overwrite(AuditKey(2), ToText(rows[1]));
  EXPECT_EQ(Break(), 3U);
}

TEST_F(AuditChainTest, MissingRowIsFound) {
  Overwrite(AuditKey(2), std::nullopt);
  EXPECT_EQ(Break(), 2U);
}

TEST_F(AuditChainTest, TruncatedEndIsFound) {
  Overwrite(AuditKey(3), std::nullopt);
  EXPECT_EQ(Break(), 3U);
}

TEST_F(AuditChainTest, UnreadableRowIsFound) {
  Overwrite(AuditKey(1), "{");
  EXPECT_EQ(Break(), 1U);
}

TEST_F(AuditChainTest, ConcurrentAppendsConflict) {
  const auto head = ReadAuditHead(m_table);
  const AuditWrites first = MakeAuditWrites(*head, {});
  const AuditWrites second = MakeAuditWrites(*head, {});
  EXPECT_TRUE(m_table.Apply({"first", first.preconditions, first.writes}));
  const auto lost =
      m_table.Apply({"second", second.preconditions, second.writes});
  ASSERT_FALSE(lost);
  EXPECT_EQ(lost.error().code, base::ErrorCode::kConflict);
}

}  // namespace
}  // namespace cassiastile::member
