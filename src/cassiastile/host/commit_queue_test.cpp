#include "cassiastile/host/commit_queue.hpp"

#include <gtest/gtest.h>

namespace cassiastile::host {
namespace {

using std::chrono::milliseconds;

constexpr base::TimePoint kStart{std::chrono::hours(1)};

TEST(CommitQueueTest, WaitIsThatOfTheOldestJobOrOfTheOneStoredLast) {
  CommitQueue queue;
  EXPECT_EQ(queue.ExpectWait(kStart), milliseconds(0));
  queue.Add("a", kStart);
  queue.Add("b", kStart + milliseconds(10));
  EXPECT_EQ(queue.ExpectWait(kStart + milliseconds(30)), milliseconds(30));
  queue.Stored("a", kStart + milliseconds(40));
  EXPECT_EQ(queue.ExpectWait(kStart + milliseconds(45)), milliseconds(40));
  queue.Stored("b", kStart + milliseconds(60));
  EXPECT_EQ(queue.ExpectWait(kStart + milliseconds(61)), milliseconds(50));
  // Long after the last commit nothing is known of the next one.
  EXPECT_EQ(queue.ExpectWait(kStart + milliseconds(2000)), milliseconds(0));
}

TEST(CommitQueueTest, RemovedJobsDoNotCount) {
  CommitQueue queue;
  queue.Add("a", kStart);
  queue.Add("b", kStart + milliseconds(100));
  queue.Remove("a");
  EXPECT_EQ(queue.ExpectWait(kStart + milliseconds(110)), milliseconds(10));
  // Submitted again: it waits from then on.
  queue.Add("a", kStart + milliseconds(120));
  queue.Remove("b");
  EXPECT_EQ(queue.ExpectWait(kStart + milliseconds(150)), milliseconds(30));
  queue.Stored("unknown", kStart + milliseconds(150));
}

}  // namespace
}  // namespace cassiastile::host
