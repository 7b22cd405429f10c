#include "cassiastile/member/config_store.hpp"

#include <functional>
#include <utility>

#include <gtest/gtest.h>

#include "cassiastile/config/section_edit.hpp"
#include "cassiastile/platform/memory_platform.hpp"
#include "fleet_example_test.hpp"

namespace cassiastile::member {
namespace {

using config::SectionName;

std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

// A quorum in which either all members promise or none. `on_prepare` is called
// once, in the next Prepare, so that a test can make another edit or let time
// pass between the read of the head and the commit.
class FakeQuorum final : public EditQuorum {
 public:
  base::Result<void> Prepare(std::uint64_t, std::uint64_t) override {
    if (on_prepare) {
      std::exchange(on_prepare, nullptr)();
    }
    if (has_majority) {
      return {};
    }
    return base::Fail(base::ErrorCode::kUnavailable, "No majority.");
  }
  void AbortPrepare() override { ++aborted; }
  void Announce(const ConfigHead& head, base::TimePoint) override {
    announced = head;
  }
  InForceResult WaitUntilInForce(std::uint64_t) override { return {}; }

  bool has_majority = true;
  int aborted = 0;
  ConfigHead announced;
  std::function<void()> on_prepare;
};

class ConfigStoreTest : public ::testing::Test {
 protected:
  void SetUp() override {
    const EditResult first =
        m_store.Accept({m_text, {}, 0, "audit-board-secret-1", false, {}});
    ASSERT_TRUE(first) << Describe(first);
    ASSERT_EQ(first->version, 1U);
  }

  static std::string Describe(const EditResult& result) {
    if (result) {
      return "accepted";
    }
    if (const auto* invalid = std::get_if<EditInvalid>(&result.error())) {
      return base::FormatFindings(invalid->findings);
    }
    if (const auto* error = std::get_if<base::Error>(&result.error())) {
      return error->message;
    }
    return std::holds_alternative<EditConflict>(result.error()) ? "conflict"
                                                                : "denied";
  }

  std::string Section(SectionName section) const {
    return *config::SectionText(m_text, section);
  }

  ConfigEdit LimitsEdit(const std::string& comment,
                        std::uint64_t base = 1) const {
    return {
        Replaced(Section(SectionName::kLimits), "[", "[ // " + comment + "\n"),
        SectionName::kLimits,
        base,
        "contest-office-secret-1",
        false,
        {}};
  }

  ConfigEdit PoolsEdit(const std::string& comment,
                       std::uint64_t base = 1) const {
    return {
        Replaced(Section(SectionName::kPools), "[", "[ // " + comment + "\n"),
        SectionName::kPools,
        base,
        "platform-office-secret-1",
        false,
        {}};
  }

  platform::MemoryTable m_table;
  base::ManualClock m_clock;
  FakeQuorum m_quorum;
  ConfigStore m_store{m_table, m_clock, m_quorum, 1};
  std::string m_text = ExampleText();
};

TEST_F(ConfigStoreTest, AcceptedEditWritesTextAuditAndHeadInOneTransaction) {
  const auto before = m_table.Counts().writes;
  const EditResult result = m_store.Accept(LimitsEdit("raised"));
  ASSERT_TRUE(result) << Describe(result);
  EXPECT_EQ(m_table.Counts().writes, before + 1);
  EXPECT_EQ(result->version, 2U);
  EXPECT_EQ(result->sections, std::vector<std::string>{"limits"});
  EXPECT_EQ(m_quorum.announced.version, 2U);
  EXPECT_NE(m_store.Text(2)->find("// raised"), std::string::npos);
  EXPECT_EQ(*m_store.Text(1), m_text);
  const auto rows = ReadAuditRows(m_table, 0);
  EXPECT_EQ(FindBreak(*rows, *ReadAuditHead(m_table)), std::nullopt);
  EXPECT_EQ(m_store.History()->back().by, "contest-office");
}

TEST_F(ConfigStoreTest, RacingEditsOfOneSectionGiveOneConflictWithDiff) {
  ASSERT_TRUE(m_store.Accept(LimitsEdit("first")));
  const EditResult second = m_store.Accept(LimitsEdit("second"));
  ASSERT_FALSE(second);
  const auto* conflict = std::get_if<EditConflict>(&second.error());
  ASSERT_NE(conflict, nullptr) << Describe(second);
  EXPECT_EQ(conflict->version, 2U);
  EXPECT_NE(conflict->diff.find("// first"), std::string::npos);
}

TEST_F(ConfigStoreTest, EditsOfDifferentSectionsAreBothAccepted) {
  ASSERT_TRUE(m_store.Accept(LimitsEdit("limits comment")));
  const EditResult second = m_store.Accept(PoolsEdit("pools comment"));
  ASSERT_TRUE(second) << Describe(second);
  EXPECT_NE(m_store.Text(3)->find("// limits comment"), std::string::npos);
  EXPECT_NE(m_store.Text(3)->find("// pools comment"), std::string::npos);
}

TEST_F(ConfigStoreTest, EditThatLosesTheRaceToCommitIsRebasedOnTheNewVersion) {
  ConfigStore other(m_table, m_clock, m_quorum, 2);
  m_quorum.on_prepare = [&] {
    EXPECT_TRUE(other.Accept(PoolsEdit("came first")));
  };
  const EditResult result = m_store.Accept(LimitsEdit("came second"));
  ASSERT_TRUE(result) << Describe(result);
  EXPECT_EQ(result->version, 3U);
  EXPECT_NE(m_store.Text(3)->find("// came first"), std::string::npos);
}

TEST_F(ConfigStoreTest, HeadThatMovedWithoutAnAuditRowIsNotOverwritten) {
  m_quorum.on_prepare = [&] {
    const HeadRow moved{{2, "d"}, "x", "", {}, 0};
    EXPECT_TRUE(m_table.Apply(
        {"n", {}, {{kConfigHeadKey, ToText(moved)}, {BodyKey(2), m_text}}}));
  };
  const EditResult result = m_store.Accept(LimitsEdit("later"));
  ASSERT_TRUE(result) << Describe(result);
  EXPECT_EQ(result->version, 3U);
  EXPECT_EQ(*m_store.Text(2), m_text);
}

TEST_F(ConfigStoreTest, RebaseThatBreaksARuleIsRefused) {
  // The two edits change different sections, but the rebased document refers to
  // a pool that doesn't exist.
  ASSERT_TRUE(m_store.Accept(LimitsEdit("x")));
  ConfigEdit queues{"[ { \"name\": \"q\", \"pool\": \"no-such-pool\" } ]",
                    SectionName::kQueues,
                    1,
                    "contest-office-secret-1",
                    false,
                    {}};
  const EditResult result = m_store.Accept(queues);
  ASSERT_FALSE(result);
  EXPECT_TRUE(std::holds_alternative<EditInvalid>(result.error()));
  EXPECT_EQ(m_store.Head()->head.version, 2U);
}

TEST_F(ConfigStoreTest, OnlyTheOwnerEditsASection) {
  ConfigEdit edit = LimitsEdit("not mine");
  edit.key = "platform-office-secret-1";
  const EditResult result = m_store.Accept(edit);
  ASSERT_FALSE(result);
  EXPECT_TRUE(std::holds_alternative<EditDenied>(result.error()));
  edit.key = "no operator's key";
  EXPECT_FALSE(m_store.Accept(edit));
  EXPECT_EQ(m_store.Head()->head.version, 1U);
}

TEST_F(ConfigStoreTest, NothingIsCommittedWithoutAMajority) {
  m_quorum.has_majority = false;
  EXPECT_FALSE(m_store.Accept(LimitsEdit("x")));
  EXPECT_EQ(m_store.Head()->head.version, 1U);
  EXPECT_EQ(m_quorum.aborted, 1);
}

TEST_F(ConfigStoreTest, ExpiredPromisesAreAskedForAgainBeforeTheCommit) {
  // Longer than the 4 seconds from Prepare in which a commit may be started.
  m_quorum.on_prepare = [&] { m_clock.Advance(std::chrono::seconds(9)); };
  const EditResult result = m_store.Accept(LimitsEdit("late"));
  ASSERT_TRUE(result) << Describe(result);
  EXPECT_EQ(m_quorum.aborted, 1);  // The second attempt committed.
}

TEST_F(ConfigStoreTest, DryRunChangesNothing) {
  ConfigEdit edit = LimitsEdit("dry");
  edit.dry_run = true;
  const EditResult result = m_store.Accept(edit);
  ASSERT_TRUE(result);
  EXPECT_NE(result->diff.find("// dry"), std::string::npos);
  EXPECT_EQ(m_store.Head()->head.version, 1U);
}

TEST_F(ConfigStoreTest, RepeatedEditReturnsTheSameVersion) {
  ASSERT_TRUE(m_store.Accept(LimitsEdit("again")));
  const EditResult again = m_store.Accept(LimitsEdit("again"));
  ASSERT_TRUE(again) << Describe(again);
  EXPECT_EQ(again->version, 2U);
  EXPECT_EQ(m_store.Head()->head.version, 2U);
}

// The table loses requests and answers at random. An edit reported as accepted
// must be committed as the next version, and one reported as failed must not
// be; only kUnknown leaves the outcome open.
TEST_F(ConfigStoreTest, LostAnswersAreResolved) {
  std::uint64_t accepted = 1;
  // Probabilities of fail_before, lose_answer and delay_apply.
  m_table.SetFaults({false, 0.1, 0.3, 0.2});
  for (int i = 0; i < 100; ++i) {
    const EditResult result =
        m_store.Accept(LimitsEdit("edit " + std::to_string(i), accepted));
    if (result) {
      EXPECT_EQ(result->version, accepted + 1);
      accepted = result->version;
      continue;
    }
    const auto* error = std::get_if<base::Error>(&result.error());
    ASSERT_NE(error, nullptr) << Describe(result);
    if (error->code == base::ErrorCode::kUnknown) {
      m_table.SetFaults({});
      accepted = m_store.Head()->head.version;
      m_table.SetFaults({false, 0.1, 0.3, 0.2});
    }
  }
  m_table.SetFaults({});
  EXPECT_EQ(m_store.Head()->head.version, accepted);
  EXPECT_EQ(FindBreak(*ReadAuditRows(m_table, 0), *ReadAuditHead(m_table)),
            std::nullopt);
  EXPECT_GT(accepted, 20U);
}

}  // namespace
}  // namespace cassiastile::member
