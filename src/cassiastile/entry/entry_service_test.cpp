#include "cassiastile/entry/entry_service.hpp"

#include <thread>

#include <gtest/gtest.h>
#include <asio.hpp>
#include <nlohmann/json.hpp>

#include "entry_bench.hpp"

namespace cassiastile::entry {
namespace {

using standin::BackendFault;

class EntryServiceTest : public testing::Test {
 protected:
  wire::HttpCall MakeCall(const std::string& method,
                          const std::string& path,
                          const std::string& body = "") {
    wire::HttpCall call;
    call.method = method;
    call.url = m_host.Url(path);
    call.body = body;
    call.headers = {{"Authorization", "Bearer secret"}};
    return call;
  }

  wire::HttpResponse Call(const std::string& method,
                          const std::string& path,
                          const std::string& body = "") {
    return m_client->Call(MakeCall(method, path, body)).value();
  }

  static std::string ExecutionIn(const wire::HttpResponse& response) {
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    return json.is_object() ? json.value("execution", "") : "";
  }

  // How often a body was processed, at both runners.
  std::size_t RunCount(const std::string& body) const {
    std::size_t count = 0;
    for (const auto* runner : {m_first.get(), m_second.get()}) {
      for (const auto& execution : runner->Log()) {
        count += execution.body == body ? 1 : 0;
      }
    }
    return count;
  }

  void SetFaults(BackendFault fault, std::uint32_t count) {
    m_first->SetFault(fault, count);
    m_second->SetFault(fault, count);
  }

  TestPlatform m_platform;
  std::unique_ptr<standin::Backend> m_first = StartRunner(m_platform, "r1");
  std::unique_ptr<standin::Backend> m_second = StartRunner(m_platform, "r2");
  TestHost m_host{m_platform, "e1"};
  std::unique_ptr<wire::HttpClient> m_client = wire::HttpClient::Create();
};

TEST_F(EntryServiceTest, ReturnsTheRunnersAnswer) {
  const auto response = Call("POST", "/v1/services/draw/order?x=1", "band 7");
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body, "band 7");
  EXPECT_EQ(RunCount("band 7"), 1U);
}

TEST_F(EntryServiceTest, CallersKeyIsNeitherRecordedNorForwarded) {
  Call("GET", "/v1/services/draw/order");
  for (const auto& decision : m_platform.decisions.All()) {
    EXPECT_EQ(decision.subject.find("secret"), std::string::npos);
  }
  const wire::HttpHeaders passed = KeepEndToEndHeaders(
      {{"Authorization", "Bearer secret"}, {"Accept", "*/*"}});
  EXPECT_EQ(passed, (wire::HttpHeaders{{"Accept", "*/*"}}));
}

TEST_F(EntryServiceTest, RequestsWithoutAValidKeyAreRefused) {
  wire::HttpCall call = MakeCall("POST", "/v1/services/draw/order", "x");
  call.headers.clear();
  EXPECT_EQ(m_client->Call(call)->status, 401);
  call.headers = {{"Authorization", "Bearer wrong"}};
  const auto refused = m_client->Call(call).value();
  EXPECT_EQ(refused.status, 401);
  EXPECT_EQ(ExecutionIn(refused), "not-run");
  EXPECT_EQ(refused.body.find("wrong"), std::string::npos);
  EXPECT_EQ(RunCount("x"), 0U);
}

TEST_F(EntryServiceTest, WithdrawnKeyIsRefused) {
  EXPECT_EQ(Call("GET", "/v1/services/draw/order").status, 200);
  m_platform.fleet.Edit([](config::Fleet& fleet) { fleet.keys.clear(); });
  EXPECT_EQ(Call("GET", "/v1/services/draw/order").status, 401);
}

TEST_F(EntryServiceTest, StaleConfigurationRefusesKeysAndServesOpenServices) {
  const auto news = StartRunner(m_platform, "r3", "news");
  m_platform.fleet.SetFresh(false);
  const auto refused = Call("POST", "/v1/services/draw/order", "x");
  EXPECT_EQ(refused.status, 503);
  EXPECT_EQ(ExecutionIn(refused), "not-run");
  EXPECT_EQ(RunCount("x"), 0U);
  wire::HttpCall open = MakeCall("GET", "/v1/services/news/today");
  open.headers.clear();
  EXPECT_EQ(m_client->Call(open)->status, 200);
}

TEST_F(EntryServiceTest, RefusalsAreRecordedUnderTheIdInTheProblem) {
  const auto refused = Call("GET", "/v1/services/none/x");
  EXPECT_EQ(refused.status, 404);
  const auto id = nlohmann::json::parse(refused.body)["decision"];
  ASSERT_EQ(m_platform.decisions.All().size(), 1U);
  EXPECT_EQ(m_platform.decisions.All().front().id, id);
}

TEST_F(EntryServiceTest, RequestsOverALimitOrWithAnInvalidTimeoutAreRefused) {
  // TestHost allows a body of 1000 bytes and 20 headers.
  const auto large =
      Call("POST", "/v1/services/draw/order", std::string(1001, 'x'));
  EXPECT_EQ(large.status, 413);
  EXPECT_EQ(ExecutionIn(large), "not-run");
  wire::HttpCall many = MakeCall("GET", "/v1/services/draw/order");
  for (int i = 0; i < 21; ++i) {
    many.headers.emplace_back("X-Extra-" + std::to_string(i), "1");
  }
  EXPECT_EQ(m_client->Call(many)->status, 413);
  wire::HttpCall timeout = MakeCall("GET", "/v1/services/draw/order");
  timeout.headers.emplace_back("Request-Timeout-Ms", "soon");
  EXPECT_EQ(m_client->Call(timeout)->status, 400);
}

// Faults that leave a request without a usable answer. kOverLong is not one of
// them: its answer is complete before the surplus bytes.
class BrokenAnswerTest : public EntryServiceTest,
                         public testing::WithParamInterface<BackendFault> {};

TEST_P(BrokenAnswerTest, NonIdempotentRunsOnceAndIsUnknown) {
  SetFaults(GetParam(), 1);
  wire::HttpCall call = MakeCall("POST", "/v1/services/draw/order", "entry");
  call.headers.emplace_back("Request-Timeout-Ms", "400");
  const auto response = m_client->Call(call).value();
  EXPECT_GE(response.status, 500);
  EXPECT_EQ(ExecutionIn(response), "unknown");
  EXPECT_EQ(RunCount("entry"), 1U);
}

TEST_P(BrokenAnswerTest, IdempotentIsTriedAtAnotherRunner) {
  m_first->SetFault(GetParam(), 1);
  m_second->SetFault(BackendFault::kNone, 0);
  for (int i = 0; i < 8; ++i) {
    const std::string body = "entry " + std::to_string(i);
    const auto response = Call("PUT", "/v1/services/draw/order", body);
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, body);
  }
}

INSTANTIATE_TEST_SUITE_P(All,
                         BrokenAnswerTest,
                         testing::Values(BackendFault::kStall,
                                         BackendFault::kDie,
                                         BackendFault::kLate,
                                         BackendFault::kShort,
                                         BackendFault::kCrossed,
                                         BackendFault::kChunkCut,
                                         BackendFault::kReset,
                                         BackendFault::kHeaderOnly,
                                         BackendFault::kUnframed));

TEST_F(EntryServiceTest, BytesAfterAnAnswerReachNoCaller) {
  SetFaults(BackendFault::kOverLong, 4);
  for (int i = 0; i < 12; ++i) {
    const std::string body = "entry " + std::to_string(i);
    EXPECT_EQ(Call("PUT", "/v1/services/draw/order", body).body, body);
  }
}

TEST_F(EntryServiceTest, UnreachableRunnersMeanNotRun) {
  EXPECT_EQ(Call("GET", "/v1/services/draw/order").status, 200);
  m_platform.hosts.Set(ListRunner("r1", "draw", "127.0.0.1:1"));
  m_platform.hosts.Set(ListRunner("r2", "draw", "127.0.0.1:1"));
  // Several listing intervals of TestHost, 50 ms each.
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  const auto refused = Call("POST", "/v1/services/draw/order", "x");
  EXPECT_EQ(refused.status, 503);
  EXPECT_EQ(ExecutionIn(refused), "not-run");
  EXPECT_EQ(RunCount("x"), 0U);
}

// The runners ignore the connections that the host has pooled, without closing
// them. A non-idempotent request gets a new connection, since it can't be tried
// again; an idempotent one can.
TEST_F(EntryServiceTest, SilentConnectionsAreHiddenFromCallers) {
  for (int i = 0; i < 8; ++i) {
    EXPECT_EQ(Call("GET", "/v1/services/draw/order").status, 200);
  }
  m_first->BlackholeConnections();
  m_second->BlackholeConnections();
  EXPECT_EQ(Call("POST", "/v1/services/draw/order", "entry").status, 200);
  EXPECT_EQ(RunCount("entry"), 1U);
  for (int i = 0; i < 4; ++i) {
    EXPECT_EQ(Call("PUT", "/v1/services/draw/order", "again").status, 200);
  }
}

TEST_F(EntryServiceTest, LeavingRunnerGetsNothingNew) {
  auto leaving = ListRunner("r1", "draw", m_first->Address());
  leaving.state = platform::ListedState::kLeaving;
  m_platform.hosts.Set(leaving);
  // Several listing intervals of TestHost, 50 ms each.
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  const std::size_t before = m_first->Log().size();
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(Call("POST", "/v1/services/draw/order", "x").status, 200);
  }
  EXPECT_EQ(m_first->Log().size(), before);
}

TEST_F(EntryServiceTest, SlowCallersHoldNoSlots) {
  asio::io_context context;
  std::vector<asio::ip::tcp::socket> slow;
  for (int i = 0; i < 50; ++i) {
    slow.emplace_back(context);
    slow.back().connect({asio::ip::address_v4::loopback(), m_host.Port()});
    const std::string partial_request =
        "POST /v1/services/draw/x HTTP/1.1\r\nHost: a\r\n";
    asio::write(slow.back(), asio::buffer(partial_request));
  }
  EXPECT_EQ(Call("POST", "/v1/services/draw/order", "x").status, 200);
  EXPECT_EQ(m_first->Counts().peak_running + m_second->Counts().peak_running,
            1U);
}

TEST_F(EntryServiceTest, RequestsRunOnGrantedCreditsWhileTheTableIsDown) {
  EXPECT_EQ(Call("GET", "/v1/services/draw/order").status, 200);
  m_platform.table.SetFaults({.down = true});
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(Call("POST", "/v1/services/draw/order", "x").status, 200);
  }
}

}  // namespace
}  // namespace cassiastile::entry
