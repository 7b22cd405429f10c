#include "cassiastile/jobs/duration_model.hpp"

#include <algorithm>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "cassiastile/jobs/fleet_config.hpp"

namespace cassiastile::jobs {
namespace {

using std::chrono::milliseconds;
using testing::ElementsAre;

TEST(DurationModelTest, LearnsTheRatioOfActualToEstimated) {
  DurationModel model;
  for (int i = 0; i < 50; ++i) {
    const milliseconds estimate(100 * (1 + i % 10));
    model.Observe("queue", estimate, 2 * estimate);
  }
  EXPECT_NEAR(
      static_cast<double>(model.Expect("queue", milliseconds(500)).count()),
      1000, 50);
}

TEST(DurationModelTest, CriticalPathsReachToTheEndOfTheJob) {
  DurationModel model;
  JobSpec spec;
  spec.steps.resize(3);
  spec.steps[0].estimate = milliseconds(100);
  spec.steps[1].estimate = milliseconds(200);
  spec.steps[1].after = {0};
  spec.steps[2].estimate = milliseconds(50);
  spec.steps[2].after = {0};
  EXPECT_THAT(
      model.ExpectCriticalPaths("queue", spec),
      ElementsAre(milliseconds(300), milliseconds(200), milliseconds(50)));
  EXPECT_EQ(std::ranges::max(model.ExpectCriticalPaths("queue", spec)),
            milliseconds(300));
}

TEST(DurationModelTest, DecodesWhatWasEncoded) {
  DurationModel model;
  model.Observe("queue", milliseconds(100), milliseconds(700));
  const auto read = DurationModel::Decode(model.Encode());
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read->Expect("queue", milliseconds(100)), milliseconds(700));
}

TEST(DurationModelTest, InvalidBytesAreAnError) {
  EXPECT_FALSE(DurationModel::Decode("").has_value());
  EXPECT_FALSE(DurationModel::Decode("nonsense").has_value());
}

// Times of jobs are not limited by callers' pages. Their sums can be added to a
// time.
TEST(DurationModelTest, LongestTimesDoNotOverflow) {
  DurationModel model;
  JobSpec spec;
  for (std::uint32_t i = 0; i < kMaxSteps; ++i) {
    StepSpec& step = spec.steps.emplace_back();
    step.estimate = kMaxConfiguredTime;
    if (i > 0) {
      step.after = {i - 1};
    }
  }
  for (const bool has_learnt : {false, true}) {
    if (has_learnt) {
      // Tasks that take far longer than estimated.
      model.Observe("queue", std::chrono::milliseconds(1), kMaxConfiguredTime);
      model.Observe("queue", std::chrono::milliseconds(1), kMaxConfiguredTime);
    }
    EXPECT_LE(model.Expect("queue", kMaxConfiguredTime), kMaxConfiguredTime);
    EXPECT_GT(model.Expect("queue", kMaxConfiguredTime).count(), 0);
    EXPECT_LE(model.ExpectAtMost("queue", kMaxConfiguredTime),
              kMaxConfiguredTime);
    for (const auto path : model.ExpectCriticalPaths("queue", spec)) {
      EXPECT_GT(path.count(), 0);
      EXPECT_LE(path, kMaxConfiguredTime);
    }
  }
}

}  // namespace
}  // namespace cassiastile::jobs
