#include "cassiastile/wire/ipv4_endpoint.hpp"

#include <gtest/gtest.h>

#include "cassiastile/base/random.hpp"
#include "cassiastile/sim/odd_values.hpp"

namespace cassiastile::wire {
namespace {

TEST(Ipv4EndpointTest, DestinationsAreWrittenInOneWayOnly) {
  for (const char* valid : {"127.0.0.1:1", "10.0.0.7:65535", "223.1.2.3:80"}) {
    const auto endpoint = ParseDestination(valid);
    ASSERT_TRUE(endpoint.has_value()) << valid;
    EXPECT_EQ(endpoint->address + ":" + std::to_string(endpoint->port), valid);
  }
  EXPECT_TRUE(ParseIpv4Endpoint("0.0.0.0:80").has_value());
  for (const std::string odd : {"",
                                ":",
                                "10.0.0.1",
                                "10.0.0.1:",
                                ":80",
                                "10.0.0.1:0",
                                "10.0.0.1:65536",
                                "10.0.0.1:080",
                                "10.0.0.1:-1",
                                "10.0.0.1:1/",
                                "10.0.0.1:1:2",
                                "localhost:80",
                                "worker.example:80",
                                "::1:80",
                                "[::1]:80",
                                "10.0.1:80",
                                "010.0.0.1:80",
                                " 10.0.0.1:80",
                                "10.0.0.1 :80",
                                "10.0.0.1:80\r\n",
                                "0.0.0.0:80",
                                "0.1.2.3:80",
                                "224.0.0.1:80",
                                "255.255.255.255:80"}) {
    EXPECT_FALSE(ParseDestination(odd).has_value()) << odd;
  }
  EXPECT_FALSE(ParseDestination(std::string("10.0.0.1\0x:80", 13)).has_value());
}

TEST(Ipv4EndpointTest, DrawnTextIsRefusedOrReadAsItIsWritten) {
  base::Random random(47);
  constexpr int kTexts = 20000;
  int read = 0;
  for (int i = 0; i < kTexts; ++i) {
    const std::string text = sim::DrawEndpoint(random);
    if (const auto endpoint = ParseDestination(text)) {
      ++read;
      EXPECT_EQ(endpoint->address + ":" + std::to_string(endpoint->port), text);
    }
  }
  EXPECT_GT(read, 0);
  EXPECT_LT(read, kTexts / 2);
}

}  // namespace
}  // namespace cassiastile::wire
