#include "cassiastile/host/odd_entries.hpp"

#include <algorithm>
#include <string>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cassiastile::host {
namespace {

TEST(OddEntriesTest, EachIsLoggedOnceAndCountedEachTime) {
  base::ManualClock clock;
  HostMetrics metrics;
  std::string text;
  EventLog log(clock, "host", metrics, [&text](std::string_view bytes) {
    text += bytes;
    return bytes.size();
  });
  OddEntries odd(log, "worker.bad_entry");
  for (int i = 0; i < 5; ++i) {
    odd.LeftOut("workers", "a", "cpu is out of range");
    odd.LeftOut("workers", "b", std::string(100000, 'x'));
  }
  odd.LeftOut("workers", "a", "another reason");
  // Keys that change all the time fill no log.
  for (int i = 0; i < 1000; ++i) {
    odd.LeftOut("workers", "key-" + std::to_string(i), "odd");
  }
  log.Flush();
  EXPECT_LE(std::ranges::count(text, '\n'), 201);
  EXPECT_LE(text.size(), 200000U);
  EXPECT_THAT(text, testing::HasSubstr("cpu is out of range"));
  EXPECT_THAT(text, testing::HasSubstr("another reason"));
  EXPECT_THAT(
      metrics.Expose(),
      testing::HasSubstr("cassia_events_total{event=\"worker.bad_entry\""
                         ",outcome=\"\"} 1011"));
}

}  // namespace
}  // namespace cassiastile::host
