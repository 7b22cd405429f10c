#include "cassiastile/host/listener_limits.hpp"

#include <gtest/gtest.h>

namespace cassiastile::host {
namespace {

constexpr std::size_t kMegabyte = 1U << 20U;
// Of a specification and all steps that name all others, each byte escaped.
constexpr std::size_t kLargestJobBytes = 300U << 10U;

class ListenerLimitsTest : public testing::TestWithParam<MachineLimits> {};

TEST_P(ListenerLimitsTest, AllPortsTogetherLeaveMostOfTheMachine) {
  const MachineLimits machine = GetParam();
  std::size_t connections = 0;
  std::size_t held_bytes = 0;
  for (const auto& row : kListenerNames) {
    const ListenerLimits limits = LimitsOf(row.value, machine);
    connections += limits.connections.max_connections;
    held_bytes += limits.connections.max_held_bytes;
    EXPECT_LE(2 * limits.connections.max_request_bytes,
              limits.connections.max_held_bytes);
    EXPECT_LE(limits.max_body_bytes, limits.connections.max_request_bytes);
  }
  EXPECT_LE(held_bytes, machine.memory_mb * kMegabyte / 10);
  // Each caller's request may take a connection to the leader besides.
  connections +=
      LimitsOf(Listener::kCallers, machine).connections.max_connections;
  EXPECT_LE(connections, (machine.descriptors - 200) * 85 / 100);
}

TEST_P(ListenerLimitsTest, LargestJobOfTheInterfaceFits) {
  EXPECT_GE(LimitsOf(Listener::kCallers, GetParam()).max_body_bytes,
            kLargestJobBytes);
}

INSTANTIATE_TEST_SUITE_P(Machines,
                         ListenerLimitsTest,
                         testing::Values(MachineLimits{64, 264},
                                         MachineLimits{160, 4100},
                                         MachineLimits{260, 4100},
                                         MachineLimits{512, 8192}));

}  // namespace
}  // namespace cassiastile::host
