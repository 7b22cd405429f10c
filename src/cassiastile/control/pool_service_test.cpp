#include "cassiastile/control/pool_service.hpp"

#include <future>
#include <set>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "../fleet/fake_fleet.hpp"
#include "cassiastile/base/hash.hpp"

namespace cassiastile::control {
namespace {

using std::chrono::seconds;

constexpr const char* kAnnasKey = "annas-key";
constexpr const char* kBertsKey = "berts-key";

class FakeFleetSource final : public config::FleetSource {
 public:
  std::shared_ptr<const config::AcceptedFleet> Current() const override {
    return document;
  }
  bool IsFresh(base::TimePoint /*now*/) const override { return true; }

  std::shared_ptr<const config::AcceptedFleet> document;
};

class FakeShardOwner final : public member::ShardOwner {
 public:
  std::optional<member::ShardLease> CurrentLease(
      const std::string& shard,
      base::TimePoint /*now*/) const override {
    if (!owned.contains(shard)) {
      return std::nullopt;
    }
    return member::ShardLease{shard, 1, {"lease/" + shard, 0}};
  }
  std::string OwnerAddress(const std::string& /*shard*/) const override {
    return {};
  }

  std::set<std::string> owned;
};

// Writes the action and the operator, joined, to the row audit/1.
class FakeAuditAppender final : public fleet::AuditAppender {
 public:
  base::Result<fleet::AuditAddition> PrepareAppend(
      const fleet::AuditEntry& entry) override {
    return fleet::AuditAddition{{}, {{"audit/1", entry.what + entry.who}}};
  }
};

std::shared_ptr<config::AcceptedFleet> MakeDocument(std::uint64_t version) {
  auto document = fleet::fake::MakeDocument({.pools = 2, .hosts = 3}, version);
  document->fleet.operators = {{"anna", base::Sha256Hex(kAnnasKey)},
                               {"bert", base::Sha256Hex(kBertsKey)}};
  document->fleet.ownership = {{config::SectionName::kPools, "anna"},
                               {config::SectionName::kWaves, "bert"}};
  return document;
}

class PoolServiceTest : public testing::Test {
 protected:
  PoolServiceTest() {
    m_source.document = m_world.document;
    m_owner.owned = {"p0", "p1"};
    PoolServiceOptions options;
    options.name = "control-1";
    m_service = *PoolService::Create(
        {m_world.clock, m_source, m_owner, m_world.table, m_world.machines,
         m_world.work, nullptr, m_audit, m_world.sink},
        options);
    m_service->Register(m_router);
  }

  // Sends a request, runs the round that handles operators' actions, and
  // returns the response.
  wire::HttpResponse Call(const std::string& method,
                          const std::string& path,
                          const std::string& key) {
    std::promise<wire::HttpResponse> answer;
    wire::HttpRequest request;
    request.method = method;
    request.path = path;
    request.headers = {{"Authorization", "Bearer " + key}};
    m_router.RouteRequest(request, [&](wire::HttpResponse response) {
      answer.set_value(std::move(response));
    });
    m_service->RunOnce();
    return answer.get_future().get();
  }

  void Run(int rounds) {
    for (int i = 0; i < rounds; ++i) {
      m_service->RunOnce();
      m_world.clock.Advance(seconds(1));
    }
  }

  fleet::fake::World m_world{MakeDocument(1)};
  FakeFleetSource m_source;
  FakeShardOwner m_owner;
  FakeAuditAppender m_audit;
  wire::Router m_router;
  std::unique_ptr<PoolService> m_service;
};

TEST_F(PoolServiceTest, CreateFailsWithoutAName) {
  EXPECT_FALSE(PoolService::Create(
      {m_world.clock, m_source, m_owner, m_world.table, m_world.machines,
       m_world.work, nullptr, m_audit, m_world.sink},
      {}));
}

TEST_F(PoolServiceTest, RunsAWaveThatAnOperatorStarts) {
  Run(1);
  const auto started = Call("POST", "/v1/waves/wave/start", kBertsKey);
  ASSERT_EQ(started.status, 200) << started.body;
  Run(5);
  const auto running = Call("GET", "/v1/waves/wave", kAnnasKey);
  EXPECT_EQ(nlohmann::json::parse(running.body)["limits"]["p0"],
            "2 of 2 at once are out");
  Run(400);
  const auto shown = Call("GET", "/v1/waves/wave", kAnnasKey);
  const auto body = nlohmann::json::parse(shown.body);
  EXPECT_EQ(body["state"], "finished");
  EXPECT_EQ(body["done"], 6);
  EXPECT_EQ(m_world.table.budget_violations, 0U);
}

TEST_F(PoolServiceTest, OnlyTheSectionsOwnerMayAct) {
  Run(1);
  EXPECT_EQ(Call("POST", "/v1/waves/wave/start", kAnnasKey).status, 403);
  EXPECT_EQ(Call("POST", "/v1/hosts/p0-h0/drain", kBertsKey).status, 403);
  EXPECT_EQ(Call("POST", "/v1/hosts/p0-h0/drain", "nobody").status, 403);
  EXPECT_TRUE(m_world.Pool("p0").out.empty());
}

TEST_F(PoolServiceTest, DrainWritesItsAuditRowAndCanBeUndone) {
  Run(1);
  ASSERT_EQ(Call("POST", "/v1/hosts/p0-h0/drain", kAnnasKey).status, 200);
  EXPECT_EQ((*m_world.table.Get("audit/1"))->value, "host p0-h0 drainanna");
  Run(3);
  EXPECT_TRUE(m_world.machines.Status("p0-h0")->draining);
  EXPECT_TRUE(m_world.machines.reboots.empty());
  ASSERT_EQ(Call("POST", "/v1/hosts/p0-h0/return", kAnnasKey).status, 200);
  Run(3);
  EXPECT_FALSE(m_world.machines.Status("p0-h0")->draining);
}

TEST_F(PoolServiceTest, DrainBeyondTheBudgetIsRefusedWithTheCount) {
  Run(1);
  ASSERT_EQ(Call("POST", "/v1/hosts/p0-h0/drain", kAnnasKey).status, 200);
  ASSERT_EQ(Call("POST", "/v1/hosts/p0-h1/drain", kAnnasKey).status, 200);
  const auto refused = Call("POST", "/v1/hosts/p0-h2/drain", kAnnasKey);
  EXPECT_EQ(refused.status, 429);
  EXPECT_NE(refused.body.find("2 of 2 out"), std::string::npos) << refused.body;
}

TEST_F(PoolServiceTest, DrainWorksInAProcessThatOwnsNoShard) {
  Run(1);
  m_owner.owned.clear();
  EXPECT_EQ(Call("POST", "/v1/hosts/p0-h0/drain", kAnnasKey).status, 200);
  EXPECT_EQ(m_world.Host("p0-h0").state, fleet::HostState::kDraining);
}

TEST_F(PoolServiceTest, LeavesPoolsOfOtherOwnersAlone) {
  m_owner.owned = {"p1"};
  Run(1);
  EXPECT_TRUE(m_service->Hosts("p0").empty());
  EXPECT_EQ(m_service->Hosts("p1").size(), 3U);
}

TEST_F(PoolServiceTest, HostsOfARemovedPoolAreRemoved) {
  Run(1);
  auto shorter = MakeDocument(2);
  shorter->fleet.pools.pop_back();
  shorter->fleet.waves.clear();
  m_world.Accept(shorter);
  m_source.document = shorter;
  Run(5);
  EXPECT_EQ(m_world.table.State().hosts.size(), 3U);
}

TEST_F(PoolServiceTest, LostAnswerIsReportedAsUnknown) {
  Run(1);
  m_world.table.lose_answer = 1;
  const auto answer = Call("POST", "/v1/hosts/p0-h0/drain", kAnnasKey);
  EXPECT_NE(answer.body.find("\"unknown\""), std::string::npos) << answer.body;
}

TEST_F(PoolServiceTest, StatusShowsBudgetsAndReasons) {
  Run(1);
  Call("POST", "/v1/hosts/p0-h0/drain", kAnnasKey);
  const auto status = m_service->StatusJson();
  EXPECT_EQ(status["pools"][0]["counted_out"], 1);
  EXPECT_EQ(status["pools"][0]["out"][0]["reason"], "operator");
  EXPECT_EQ(status["waves"][0]["acts"][0], "start");
}

TEST_F(PoolServiceTest, ThreadAnswersActionsAndStopRefusesLaterOnes) {
  m_service->Start();
  std::promise<wire::HttpResponse> answer;
  wire::HttpRequest request;
  request.method = "POST";
  request.path = "/v1/waves/wave/start";
  request.headers = {{"Authorization", std::string("Bearer ") + kBertsKey}};
  m_router.RouteRequest(request, [&](wire::HttpResponse response) {
    answer.set_value(std::move(response));
  });
  EXPECT_EQ(answer.get_future().get().status, 200);
  m_service->Stop();
  std::promise<wire::HttpResponse> late;
  m_router.RouteRequest(request, [&](wire::HttpResponse response) {
    late.set_value(std::move(response));
  });
  EXPECT_EQ(late.get_future().get().status, 503);
}

}  // namespace
}  // namespace cassiastile::control
