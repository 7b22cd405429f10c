#include "cassiastile/platform/decision_log.hpp"

#include <gtest/gtest.h>

#include "cassiastile/platform/memory_platform.hpp"

namespace cassiastile::platform {
namespace {

base::Decision MakeDecision(int number) {
  base::Decision decision;
  decision.id = "d" + std::to_string(number);
  decision.subject = "request";
  decision.outcome = "not run";
  decision.reasons.push_back({"team limit", "limits", 7, "running 40 of 40"});
  return decision;
}

// A log that stores only when the test calls Flush or destroys it.
std::unique_ptr<DecisionLog> MakeLog(ObjectStore& objects,
                                     std::size_t max_unstored = 100) {
  DecisionLogOptions options;
  options.process = "e1-1";
  options.flush_interval = std::chrono::hours(1);
  options.max_batch = 4;
  options.max_unstored = max_unstored;
  return DecisionLog::Create(objects, options);
}

TEST(DecisionLogTest, StoredDecisionOutlivesItsProcess) {
  MemoryObjectStore objects;
  auto log = MakeLog(objects);
  for (int i = 0; i < 10; ++i) {
    log->Record(MakeDecision(i));
  }
  log.reset();
  const auto found = FindStoredDecision(objects, "d7");
  ASSERT_TRUE(found.has_value());
  EXPECT_EQ(found->reasons.front().observation, "running 40 of 40");
  EXPECT_EQ(found->reasons.front().version, 7U);
  EXPECT_EQ(FindStoredDecision(objects, "d10").error().code,
            base::ErrorCode::kNotFound);
  EXPECT_TRUE(FindDecisionGaps(objects)->empty());
}

TEST(DecisionLogTest, OutageKeepsDecisionsAndReportsDroppedOnes) {
  MemoryObjectStore objects;
  const auto log = MakeLog(objects, 5);
  objects.SetDown(true);
  log->Record(MakeDecision(0));
  EXPECT_FALSE(log->Flush());
  EXPECT_TRUE(log->FindRecent("d0").has_value());
  for (int i = 1; i < 8; ++i) {
    log->Record(MakeDecision(i));
  }
  objects.SetDown(false);
  while (log->Flush()) {
  }
  EXPECT_EQ(log->Counts().dropped, 3U);
  EXPECT_EQ(log->Counts().stored, 5U);
  const auto gaps = FindDecisionGaps(objects).value();
  ASSERT_EQ(gaps.size(), 1U);
  EXPECT_EQ(gaps.front().process, "e1-1");
  EXPECT_EQ(gaps.front().first, 1U);
  EXPECT_EQ(gaps.front().last, 3U);
}

}  // namespace
}  // namespace cassiastile::platform
