#include "cassiastile/host/wave_orders.hpp"

#include <map>

#include <gtest/gtest.h>

namespace cassiastile::host {
namespace {

constexpr std::size_t kMaxRowBytes = 64U << 10U;
constexpr std::size_t kMachines = 3200;
constexpr std::size_t kNameBytes = 200;
constexpr std::uint64_t kWave = 7;

std::string MachineName(std::size_t number) {
  const std::string digits = std::to_string(number);
  return std::string(kNameBytes - digits.size(), 'm') + digits;
}

// A wave over the largest fleet, with names as long as the store's keys.
TEST(WaveOrdersTest, RowsOfTheLargestFleetFitIntoTheStore) {
  WaveOrders orders;
  std::map<std::string, Row> stored;
  for (std::size_t i = 0; i < kMachines; ++i) {
    const std::string machine = MachineName(i);
    EXPECT_TRUE(orders.Add(machine));
    EXPECT_FALSE(orders.Add(machine));
    if (i % 2 == 0) {
      orders.SetBegun(machine);
    }
    const Row row = orders.RowOf(kWave, machine);
    EXPECT_LE(row.value.size(), kMaxRowBytes);
    stored[row.key] = row;
  }
  WaveOrders successor;
  for (const auto& [key, row] : stored) {
    successor.Recover(row);
  }
  for (std::size_t i = 0; i < kMachines; ++i) {
    const std::string machine = MachineName(i);
    EXPECT_EQ(successor.HasBegun(machine), i % 2 == 0);
    EXPECT_EQ(successor.MayHaveBegun(machine), i % 2 != 0);
    EXPECT_EQ(successor.RowOf(kWave, machine).key,
              orders.RowOf(kWave, machine).key);
  }
}

// Programs that know only one row write it with all machines.
TEST(WaveOrdersTest, TheRowOfAnOlderProgramIsRead) {
  WaveOrders orders;
  orders.Recover(
      {"", "", "7", "machine-1 begun\nmachine-2 ordered\n", 0, false});
  EXPECT_TRUE(orders.HasBegun("machine-1"));
  EXPECT_TRUE(orders.MayHaveBegun("machine-2"));
  EXPECT_EQ(orders.FirstRow(kWave).key, "7");
  EXPECT_EQ(orders.FirstRow(kWave).value,
            "machine-1 begun\nmachine-2 ordered\n");
}

}  // namespace
}  // namespace cassiastile::host
