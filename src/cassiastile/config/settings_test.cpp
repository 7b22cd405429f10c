#include "cassiastile/config/settings.hpp"

#include <gtest/gtest.h>

namespace cassiastile::config {
namespace {

TEST(SettingsTest, ReadsTypedFields) {
  auto settings = Settings::Parse(
      R"({ // a comment
           "name": "entry-1", "port": 8080, "quiet": true, "pause_ms": 250,
           "peers": ["127.0.0.1:1", "[::1]:2"], "listen": "10.0.0.1:80" })",
      "s.json");
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->Text("name"), "entry-1");
  EXPECT_EQ(settings->Text("zone", "none"), "none");
  EXPECT_EQ(settings->Number("port", 1, 1, 65535), 8080);
  EXPECT_TRUE(settings->Flag("quiet", false));
  EXPECT_EQ(settings->Milliseconds("pause_ms", {}),
            std::chrono::milliseconds(250));
  EXPECT_EQ(settings->Address("listen"), (SocketAddress{"10.0.0.1", 80}));
  EXPECT_EQ(settings->Address("metrics", {"127.0.0.1", 9}),
            (SocketAddress{"127.0.0.1", 9}));
  const std::vector<SocketAddress> peers{{"127.0.0.1", 1}, {"::1", 2}};
  EXPECT_EQ(settings->AddressList("peers"), peers);
  EXPECT_TRUE(settings->Finish().empty());
}

TEST(SettingsTest, ReportsAllFaultsAtOnce) {
  auto settings = Settings::Parse(
      "{ \"prot\": 1,\n \"zone\": 7, \"peers\": [\"host:1\", 3],\n"
      " \"listen\": \"::1:80\", \"pause_ms\": -1 }",
      "s.json");
  ASSERT_TRUE(settings);
  settings->Text("name");
  settings->Text("zone", "none");
  settings->Number("port", 1, 1, 65535);
  settings->Address("listen");
  settings->AddressList("peers");
  settings->Milliseconds("pause_ms", {});
  const std::string text = base::FormatFindings(settings->Finish());
  for (const char* expected :
       {"s.json:1:3: error: prot: is not a known field; did you mean \"port\"?",
        "name: is missing", "s.json:2:10: error: zone: is a whole number",
        "peers[0]: must be an IP address", "peers[1]: is a whole number",
        "listen: must be an IP address",
        "pause_ms: is -1, but must be from 0"}) {
    EXPECT_NE(text.find(expected), std::string::npos) << expected << text;
  }
}

TEST(SettingsTest, UnreadableFileGivesAFinding) {
  EXPECT_FALSE(Settings::Load("/nonexistent/settings.json"));
  EXPECT_FALSE(Settings::Load("/"));
}

}  // namespace
}  // namespace cassiastile::config
