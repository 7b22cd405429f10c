#include "cassiastile/jobs/arrival_meter.hpp"

#include <gtest/gtest.h>

namespace cassiastile::jobs {
namespace {

using std::chrono::milliseconds;

constexpr base::TimePoint kBegin{std::chrono::seconds(100)};

TEST(FirstArrivalsTest, KeepsTheFirstTimeOfAResubmittedJob) {
  FirstArrivals arrivals;
  EXPECT_EQ(arrivals.RecordArrival("job", kBegin), kBegin);
  EXPECT_EQ(arrivals.RecordArrival("job", kBegin + milliseconds(4000)), kBegin);
  EXPECT_EQ(arrivals.RecordArrival("other", kBegin + milliseconds(4000)),
            kBegin + milliseconds(4000));
}

TEST(FirstArrivalsTest, ForgetsJobsNotSubmittedForLong) {
  FirstArrivals arrivals;
  arrivals.RecordArrival("job", kBegin);
  // Callers keep retrying for less than 30 s.
  const base::TimePoint later = kBegin + std::chrono::seconds(31);
  EXPECT_EQ(arrivals.RecordArrival("job", later), later);
}

// Guards against a flood of refused jobs that fills the memory: about 20,000
// are kept.
TEST(FirstArrivalsTest, ForgetsTheOldestWhenThereAreTooMany) {
  FirstArrivals arrivals;
  arrivals.RecordArrival("first", kBegin);
  for (int i = 0; i < 20010; ++i) {
    arrivals.RecordArrival(std::to_string(i), kBegin + milliseconds(1));
  }
  EXPECT_EQ(arrivals.RecordArrival("first", kBegin + milliseconds(2)),
            kBegin + milliseconds(2));
}

TEST(ArrivalMeterTest, ResubmittedJobCountsOnce) {
  ArrivalMeter meter;
  meter.Add("job", {1000, 0}, kBegin);
  meter.Add("job", {1000, 0}, kBegin + milliseconds(100));
  // 1000 core-milliseconds in the averaged half second.
  EXPECT_DOUBLE_EQ(meter.Rate(kBegin + milliseconds(200)).cpu, 2.0);
}

}  // namespace
}  // namespace cassiastile::jobs
