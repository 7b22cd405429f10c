#include "cassiastile/control/config_service.hpp"

#include <fstream>
#include <functional>
#include <future>
#include <sstream>
#include <thread>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "cassiastile/platform/memory_platform.hpp"

namespace cassiastile::control {
namespace {

constexpr const char* kBoardKey = "audit-board-secret-1";
constexpr const char* kKeyDeskKey = "key-desk-secret-1";

std::string ReadExample() {
  std::ifstream file(std::string(CASSIASTILE_SOURCE_DIR) +
                     "/examples/fleets/plechovy-hlas.jsonc");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// One control process and its table. Requests go to the router without HTTP.
class ConfigServiceTest : public ::testing::Test {
 protected:
  void SetUp() override {
    member::MemberOptions options;
    options.name = "a";
    options.incarnation = 1;
    options.fleet_secret = "secret";
    // The document stays fresh while a test takes the table down.
    options.times.freshness = std::chrono::hours(1);
    auto created = member::Member::Create(options, m_table, m_clock);
    ASSERT_TRUE(created);
    m_member = std::move(*created);
    m_member->Start();
    m_store =
        std::make_unique<member::ConfigStore>(m_table, m_clock, *m_member, 1);
    m_service = ConfigService::Create(
        {*m_store, *m_member, m_table, m_clock, nullptr, {}});
    m_service->Register(m_router);
    Get("/v1/config", kBoardKey);
    EXPECT_EQ(m_status, 404) << "before the first document is accepted";
    const auto body = Post("/v1/config", kBoardKey,
                           {{"text", ReadExample()}, {"base_version", 0}});
    ASSERT_EQ(body.value("state", ""), "accepted") << body.dump();
  }

  nlohmann::json Call(wire::HttpRequest request,
                      const std::string& key,
                      int* status = nullptr) {
    request.headers = {{"Authorization", "Bearer " + key}};
    std::promise<wire::HttpResponse> answered;
    m_router.RouteRequest(std::move(request), [&](wire::HttpResponse response) {
      answered.set_value(std::move(response));
    });
    const wire::HttpResponse response = answered.get_future().get();
    m_status = response.status;
    if (status != nullptr) {
      *status = response.status;
    }
    return nlohmann::json::parse(response.body);
  }

  nlohmann::json Get(const std::string& path, const std::string& key) {
    wire::HttpRequest request;
    request.method = "GET";
    request.path = path.substr(0, path.find('?'));
    request.query = path.find('?') == std::string::npos
                        ? ""
                        : path.substr(path.find('?') + 1);
    return Call(request, key);
  }

  nlohmann::json Post(const std::string& path,
                      const std::string& key,
                      const nlohmann::json& body) {
    wire::HttpRequest request;
    request.method = "POST";
    request.path = path;
    request.body = body.dump();
    return Call(request, key);
  }

  base::SystemClock m_clock;
  platform::MemoryTable m_table;
  std::unique_ptr<member::Member> m_member;
  std::unique_ptr<member::ConfigStore> m_store;
  std::unique_ptr<ConfigService> m_service;
  wire::Router m_router;
  int m_status = 0;
};

TEST_F(ConfigServiceTest, ReturnsTextHistoryAuditAndMembers) {
  const auto config = Get("/v1/config", kBoardKey);
  EXPECT_EQ(config.at("version"), 1);
  EXPECT_EQ(config.at("text"), ReadExample());
  EXPECT_EQ(Get("/v1/config?version=1", kBoardKey).at("digest"),
            config.at("digest"));
  const auto history = Get("/v1/config/history", kBoardKey).at("versions");
  ASSERT_EQ(history.size(), 1U);
  EXPECT_EQ(history[0].at("by"), "audit-board");
  const auto audit = Get("/v1/audit", kBoardKey);
  EXPECT_EQ(audit.at("chain"), "ok");
  EXPECT_EQ(audit.at("rows").size(), 1U);
  EXPECT_TRUE(Get("/v1/audit?since=2", kBoardKey).at("rows").empty());
  EXPECT_EQ(Get("/v1/audit?since=1&section=keys", kBoardKey).at("chain"), "ok");
  EXPECT_EQ(Get("/v1/members", kBoardKey).at("members").size(), 1U);
}

TEST_F(ConfigServiceTest, ReturnsTheDocumentInForceWithoutTheTable) {
  m_table.SetFaults({true, 0, 0, 0});
  EXPECT_EQ(Get("/v1/config", kBoardKey).at("version"), 1);
  Get("/v1/config/history", kBoardKey);
  EXPECT_EQ(m_status, 503);
}

TEST_F(ConfigServiceTest, RefusesWithoutAnOperatorsKey) {
  Get("/v1/config", "wrong");
  EXPECT_EQ(m_status, 403);
  Post("/v1/config", "wrong", {{"text", ReadExample()}, {"base_version", 1}});
  EXPECT_EQ(m_status, 403);
}

TEST_F(ConfigServiceTest, AnswersFindingsConflictsAndDryRuns) {
  const nlohmann::json keys{{"text", "[]"}, {"base_version", 1}};
  nlohmann::json dry = keys;
  dry["dry_run"] = true;
  const auto dry_run = Post("/v1/config/sections/keys", kKeyDeskKey, dry);
  EXPECT_EQ(m_status, 200);
  EXPECT_TRUE(dry_run.at("dry_run"));
  Post("/v1/config/sections/keys", kBoardKey, keys);
  EXPECT_EQ(m_status, 403);
  const auto accepted = Post("/v1/config/sections/keys", kKeyDeskKey, keys);
  EXPECT_EQ(accepted.at("version"), 2);
  EXPECT_EQ(accepted.at("state"), "accepted");
  const auto conflict = Post("/v1/config/sections/keys", kKeyDeskKey,
                             {{"text", "[ ]"}, {"base_version", 1}});
  EXPECT_EQ(m_status, 409);
  EXPECT_EQ(conflict.at("version"), 2);
  EXPECT_FALSE(conflict.at("diff").get<std::string>().empty());
  const auto invalid =
      Post("/v1/config/sections/keys", kKeyDeskKey,
           {{"text", R"([ {"id": 3} ])"}, {"base_version", 2}});
  EXPECT_EQ(m_status, 422);
  EXPECT_FALSE(invalid.at("findings").empty());
  Post("/v1/config", kBoardKey, {{"text", 1}});
  EXPECT_EQ(m_status, 400);
  Post("/v1/config/sections/nothing", kBoardKey, keys);
  EXPECT_EQ(m_status, 404);
}

}  // namespace
}  // namespace cassiastile::control
