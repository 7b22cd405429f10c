#include "cassiastile/jobs/known_incarnations.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include <fmt/format.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cassiastile::jobs {
namespace {

using std::chrono::milliseconds;

// The largest value of a row that the store takes.
constexpr std::size_t kRowBytes = 65536;

// The size of the largest row where every worker has restarted lately and its
// id has this many letters.
std::size_t LargestRow(std::size_t workers, std::size_t id_size) {
  KnownIncarnations known;
  for (std::size_t i = 0; i < workers; ++i) {
    const std::string id =
        fmt::format("i-{:0>{}x}", i * 2654435761U % 0xffffffffU, id_size - 2);
    for (const std::int64_t incarnation : {1796583556230, 1796583656230}) {
      known.Heard(id, incarnation, milliseconds(1'000'000'000'000));
    }
  }
  std::size_t largest = 0;
  for (const auto& [key, bytes] : known.TakeRows()) {
    largest = std::max(largest, bytes.size());
  }
  return largest;
}

TEST(KnownIncarnationsTest, RowsOfALargeFleetFitTheStore) {
  constexpr std::size_t kUsualId = 12;
  constexpr std::size_t kLongestId = 200;
  for (const std::size_t workers : {1100U, 3200U}) {
    for (const std::size_t id_size : {kUsualId, kLongestId}) {
      const std::size_t largest = LargestRow(workers, id_size);
      EXPECT_LE(largest, kRowBytes)
          << workers << " workers, ids of " << id_size << " bytes";
      RecordProperty(fmt::format("bytes_{}_{}", workers, id_size),
                     static_cast<int>(largest));
    }
  }
}

TEST(KnownIncarnationsTest, RowThatCannotBeReadLeavesTheOthers) {
  KnownIncarnations stored;
  for (int i = 0; i < 100; ++i) {
    stored.Heard(fmt::format("worker-{}", i), 5, milliseconds(7));
  }
  KnownIncarnations read;
  bool is_first = true;
  std::size_t lost = 0;
  for (const auto& [key, bytes] : stored.TakeRows()) {
    const bool cut = std::exchange(is_first, false);
    EXPECT_EQ(read.Recover(key, cut ? bytes.substr(0, bytes.size() / 2) : bytes)
                  .has_value(),
              !cut);
  }
  for (int i = 0; i < 100; ++i) {
    lost += read.Find(fmt::format("worker-{}", i)) == nullptr ? 1 : 0;
  }
  EXPECT_GT(lost, 0U);
  EXPECT_LT(lost, 20U);
}

}  // namespace
}  // namespace cassiastile::jobs
