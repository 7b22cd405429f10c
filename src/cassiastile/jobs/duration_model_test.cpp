#include "cassiastile/jobs/duration_model.hpp"

#include <algorithm>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

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

}  // namespace
}  // namespace cassiastile::jobs
