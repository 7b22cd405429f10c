// What callers notice when the leader can't write as much as they ask for.
#include <map>
#include <string>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "virtual_world_bench.hpp"

namespace cassiastile::host {
namespace {

using std::chrono::milliseconds;
using testing::IsEmpty;

constexpr milliseconds kSettled{3000};
constexpr milliseconds kStep{10};
constexpr int kOk = 200;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;

// Callers by the answer to their submission; 0 for those without one.
std::map<int, int> CountAnswers(const VirtualWorld& world) {
  std::map<int, int> answers;
  for (const auto& [job, status] : world.SubmissionStatuses()) {
    ++answers[status];
  }
  return answers;
}

// A turn's peak, when a commit of 80 rows takes 70 ms since the leader's
// processor time is used up: jobs wait for one commit after another, their
// callers give up after 1.5 s and come back, and all that runs is late. What
// can't be written in time must be refused at once instead.
TEST(OverloadTest, JobsThatCantBeWrittenInTimeAreRefusedAtOnce) {
  WorldOptions options;
  options.hosts = 6;
  options.services = 1;
  options.workers_per_service = 100;
  VirtualWorld world(options);
  world.RunFor(kSettled);
  world.Faults().commit_delay = milliseconds(70);
  constexpr int kSteps = 400;
  constexpr int kJobsPerStep = 15;
  for (int i = 0; i < kSteps; ++i) {
    for (int j = 0; j < kJobsPerStep; ++j) {
      world.Submit(0, 2, 1, milliseconds(300));
    }
    world.RunFor(kStep);
  }
  world.Faults().commit_delay = {};
  world.RunFor(milliseconds(8000));
  std::map<int, int> answers = CountAnswers(world);
  const int served = answers[kOk];
  const int refused = answers[kTooMany] + answers[kUnavailable];
  // None is left without a decision, and the store is used all the same: 4 s
  // have 57 commits of 80 rows, and a job takes 4 rows.
  EXPECT_EQ(served + refused, kSteps * kJobsPerStep);
  EXPECT_GE(served, 57 * 80 / 4 / 2);
  EXPECT_THAT(world.Violations(), IsEmpty());
}

}  // namespace
}  // namespace cassiastile::host
