#include "cassiastile/standin/platform_server.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "cassiastile/platform/http_platform.hpp"

namespace cassiastile::standin {
namespace {

class PlatformServerTest : public testing::Test {
 protected:
  PlatformServerTest()
      : m_server(PlatformServer::Start(m_clock, {}).value()),
        m_client(wire::HttpClient::Create()) {
    m_platform_options.client = m_client.get();
    m_platform_options.address =
        "127.0.0.1:" + std::to_string(m_server->Port());
  }

  void Send(const std::string& method,
            const std::string& path,
            const nlohmann::json& body) {
    wire::HttpCall call;
    call.method = method;
    call.url = "http://" + m_platform_options.address + path;
    call.body = body.dump();
    ASSERT_TRUE(m_client->Call(call).has_value());
  }

  base::ManualClock m_clock;
  std::unique_ptr<PlatformServer> m_server;
  std::unique_ptr<wire::HttpClient> m_client;
  platform::HttpPlatformOptions m_platform_options;
};

TEST_F(PlatformServerTest, TableStoresRowsAndRejectsConflictsOverHttp) {
  platform::HttpTable table(m_platform_options);
  const platform::Transaction insert{"a", {{"k/ä b", 0}}, {{"k/ä b", "v&="}}};
  ASSERT_TRUE(table.Apply(insert).has_value());
  EXPECT_EQ(table.Get("k/ä b").value()->value, "v&=");
  EXPECT_FALSE(table.Get("absent").value().has_value());
  EXPECT_EQ(table.Scan("k/", "", 10)->size(), 1U);
  EXPECT_TRUE(table.FindNonce("a").value().has_value());
  EXPECT_FALSE(table.FindNonce("b").value().has_value());
  const platform::Transaction late{"b", {{"k/ä b", 0}}, {{"k/ä b", "w"}}};
  EXPECT_EQ(table.Apply(late).error().code, base::ErrorCode::kConflict);
}

TEST_F(PlatformServerTest, LostAnswerIsUnknownAndOutageIsUnavailable) {
  platform::HttpTable table(m_platform_options);
  Send("PUT", "/v1/faults", {{"lose_answer", 1.0}});
  EXPECT_EQ(table.Apply({"a", {}, {{"k", "v"}}}).error().code,
            base::ErrorCode::kUnknown);
  Send("PUT", "/v1/faults", {{"down", true}});
  EXPECT_EQ(table.Apply({"b", {}, {{"k", "w"}}}).error().code,
            base::ErrorCode::kUnavailable);
  EXPECT_EQ(table.Get("k").error().code, base::ErrorCode::kUnavailable);
  Send("PUT", "/v1/faults", nlohmann::json::object());
  EXPECT_EQ(table.Get("k").value()->value, "v");
}

TEST_F(PlatformServerTest, ObjectsKeepNamesWithSlashes) {
  platform::HttpObjectStore objects(m_platform_options);
  ASSERT_TRUE(objects.Put("decisions/e1/1", "text").has_value());
  EXPECT_EQ(objects.Get("decisions/e1/1").value(), "text");
  EXPECT_EQ(objects.List("decisions/").value().size(), 1U);
  EXPECT_EQ(objects.Get("other").error().code, base::ErrorCode::kNotFound);
}

TEST_F(PlatformServerTest, ListLagsAndShowsDrainingMachinesAsLeaving) {
  platform::HttpHostList list(m_platform_options);
  platform::HttpMachines machines(m_platform_options);
  Send("PUT", "/v1/machines/w-1",
       {{"state", "up"},
        {"draining", false},
        {"boots", 1},
        {"running_requests", 0}});
  Send("PUT", "/v1/hosts/r-1",
       {{"name", "r-1"},
        {"role", "runner"},
        {"state", "live"},
        {"machine", "w-1"}});
  EXPECT_TRUE(list.List().value().empty());
  m_clock.Advance(std::chrono::seconds(1));
  ASSERT_EQ(list.List().value().size(), 1U);
  ASSERT_TRUE(machines.SetDraining("w-1", true).has_value());
  EXPECT_EQ(list.List().value().front().state, platform::ListedState::kLeaving);
}

TEST_F(PlatformServerTest, RepeatedRebootBootsOnce) {
  platform::HttpMachines machines(m_platform_options);
  Send("PUT", "/v1/machines/w-1",
       {{"state", "up"},
        {"draining", true},
        {"boots", 4},
        {"running_requests", 0}});
  ASSERT_TRUE(machines.Reboot("w-1", 4).has_value());
  EXPECT_EQ(machines.Status("w-1")->state, platform::MachineState::kRebooting);
  m_clock.Advance(std::chrono::seconds(2));
  EXPECT_EQ(machines.Status("w-1")->boots, 5U);
  EXPECT_EQ(machines.Reboot("w-1", 4).error().code, base::ErrorCode::kConflict);
}

}  // namespace
}  // namespace cassiastile::standin
