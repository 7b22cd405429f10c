#include "cassiastile/wire/loop_client.hpp"

#include <mutex>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <asio/io_context.hpp>

#include "cassiastile/wire/http_server.hpp"

namespace cassiastile::wire {
namespace {

class LoopClientTest : public testing::Test {
 protected:
  void SetUp() override {
    Router router;
    router.Add("GET", "/hello",
               [](const HttpRequest&, const HttpResponder& respond) {
                 HttpResponse response;
                 response.body = "hello";
                 respond(std::move(response));
               });
    router.Add("POST", "/silent",
               [this](const HttpRequest&, const HttpResponder& respond) {
                 const std::lock_guard lock(m_mutex);
                 m_unanswered.push_back(respond);
               });
    auto server = HttpServer::Start({}, std::move(router));
    ASSERT_TRUE(server.has_value());
    m_server = std::move(*server);
    m_client = LoopClient::Create(m_context);
  }

  HttpOutcome Call(const std::string& method, const std::string& path) {
    return CallPort(m_server->Port(), method, path);
  }

  HttpOutcome CallPort(std::uint16_t port,
                       const std::string& method,
                       const std::string& path) {
    HttpCall call;
    call.method = method;
    call.url = "http://127.0.0.1:" + std::to_string(port) + path;
    call.timeout = std::chrono::milliseconds(200);
    std::optional<HttpOutcome> result;
    m_client->Start(std::move(call), [&result](HttpOutcome outcome) {
      result = std::move(outcome);
    });
    while (!result) {
      m_context.restart();
      m_context.run_one();
    }
    return std::move(*result);
  }

  asio::io_context m_context;
  std::mutex m_mutex;
  std::vector<HttpResponder> m_unanswered;
  std::unique_ptr<HttpServer> m_server;
  std::unique_ptr<LoopClient> m_client;
};

TEST_F(LoopClientTest, ReceivesAResponse) {
  const HttpOutcome outcome = Call("GET", "/hello");
  ASSERT_TRUE(outcome.has_value());
  EXPECT_EQ(outcome->status, 200);
  EXPECT_EQ(outcome->body, "hello");
}

TEST_F(LoopClientTest, RefusedConnectionIsNotSent) {
  const HttpOutcome outcome = CallPort(1, "POST", "/silent");
  ASSERT_FALSE(outcome.has_value());
  EXPECT_EQ(outcome.error().state, SendState::kNotSent);
  EXPECT_FALSE(outcome.error().timed_out);
}

TEST_F(LoopClientTest, UnansweredCallOnANewConnectionMayHaveArrived) {
  const HttpOutcome outcome = Call("POST", "/silent");
  ASSERT_FALSE(outcome.has_value());
  EXPECT_EQ(outcome.error().state, SendState::kMaybeSent);
}

TEST_F(LoopClientTest, UnansweredCallOnAReusedConnectionMayHaveArrived) {
  ASSERT_TRUE(Call("GET", "/hello").has_value());
  const HttpOutcome outcome = Call("POST", "/silent");
  ASSERT_FALSE(outcome.has_value());
  EXPECT_EQ(outcome.error().state, SendState::kMaybeSent);
}

// A process that is paused while the connection is made must not send an order
// that is out of date by then.
TEST_F(LoopClientTest, CallIsNotSentAfterItsDeadline) {
  HttpCall call;
  call.method = "POST";
  call.url = "http://127.0.0.1:" + std::to_string(m_server->Port()) + "/silent";
  call.timeout = std::chrono::milliseconds(20);
  std::optional<HttpOutcome> result;
  m_client->Start(std::move(call), [&result](HttpOutcome outcome) {
    result = std::move(outcome);
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(60));
  while (!result) {
    m_context.restart();
    m_context.run_one();
  }
  ASSERT_FALSE(result->has_value());
  EXPECT_EQ(result->error().state, SendState::kNotSent);
  EXPECT_TRUE(result->error().timed_out);
}

}  // namespace
}  // namespace cassiastile::wire
