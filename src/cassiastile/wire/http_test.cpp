#include <future>
#include <thread>

#include <gtest/gtest.h>
#include <asio.hpp>

#include "cassiastile/wire/http_client.hpp"
#include "cassiastile/wire/http_server.hpp"
#include "cassiastile/wire/problem.hpp"

namespace cassiastile::wire {
namespace {

std::unique_ptr<HttpServer> StartEcho() {
  Router router;
  router.Add("POST", "/echo/:name",
             [](HttpRequest request, const HttpResponder& respond) {
               HttpResponse response;
               response.body =
                   request.path_parameters["name"] + ":" + request.body;
               respond(std::move(response));
             });
  auto server = HttpServer::Start({}, std::move(router));
  return std::move(server.value());
}

std::string Url(const HttpServer& server, const std::string& path) {
  return "http://127.0.0.1:" + std::to_string(server.Port()) + path;
}

TEST(HttpTest, ClientGetsTheHandlersResponse) {
  const auto server = StartEcho();
  const auto client = HttpClient::Create();
  HttpCall call;
  call.method = "POST";
  call.url = Url(*server, "/echo/ann");
  call.body = "hello";
  const HttpOutcome outcome = client->Call(call);
  ASSERT_TRUE(outcome.has_value()) << outcome.error().message;
  EXPECT_EQ(outcome->body, "ann:hello");
  EXPECT_TRUE(outcome->framed);
}

TEST(HttpTest, DistinguishesWrongMethodFromWrongPath) {
  const auto server = StartEcho();
  const auto client = HttpClient::Create();
  HttpCall call;
  call.url = Url(*server, "/echo/ann");
  EXPECT_EQ(client->Call(call)->status, 405);
  call.url = Url(*server, "/nothing");
  EXPECT_EQ(client->Call(call)->status, 404);
}

TEST(HttpTest, RefusedConnectionIsNotSent) {
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context,
                                   {asio::ip::address_v4::loopback(), 0});
  const auto port = acceptor.local_endpoint().port();
  acceptor.close();
  const auto client = HttpClient::Create();
  HttpCall call;
  call.url = "http://127.0.0.1:" + std::to_string(port) + "/";
  const HttpOutcome outcome = client->Call(call);
  ASSERT_FALSE(outcome.has_value());
  EXPECT_EQ(outcome.error().state, SendState::kNotSent);
}

// Sends the given bytes to one connection and closes it.
class OneShotPeer {
 public:
  explicit OneShotPeer(std::string answer)
      : m_acceptor(m_context, {asio::ip::address_v4::loopback(), 0}),
        m_thread([this, answer = std::move(answer)] {
          asio::ip::tcp::socket socket(m_context);
          m_acceptor.accept(socket);
          std::array<char, 1024> buffer{};
          socket.read_some(asio::buffer(buffer));
          asio::write(socket, asio::buffer(answer));
        }) {}
  ~OneShotPeer() { m_thread.join(); }

  std::string Url() const {
    return "http://127.0.0.1:" +
           std::to_string(m_acceptor.local_endpoint().port()) + "/";
  }

 private:
  asio::io_context m_context;
  asio::ip::tcp::acceptor m_acceptor;
  std::thread m_thread;
};

TEST(HttpTest, ShortBodyIsAFailure) {
  const OneShotPeer peer("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
  const auto client = HttpClient::Create();
  HttpCall call;
  call.url = peer.Url();
  const HttpOutcome outcome = client->Call(call);
  ASSERT_FALSE(outcome.has_value());
  EXPECT_EQ(outcome.error().state, SendState::kMaybeSent);
}

TEST(HttpTest, ResponseWithoutFramingIsMarked) {
  const OneShotPeer peer("HTTP/1.1 200 OK\r\n\r\nabc");
  const auto client = HttpClient::Create();
  HttpCall call;
  call.url = peer.Url();
  const HttpOutcome outcome = client->Call(call);
  ASSERT_TRUE(outcome.has_value());
  EXPECT_FALSE(outcome->framed);
}

TEST(HttpTest, DrainAnswersAcceptedRequests) {
  std::promise<void> entered;
  std::promise<void> release;
  Router router;
  std::thread answering;
  router.Add("GET", "/slow",
             [&](const HttpRequest&, const HttpResponder& respond) {
               answering = std::thread([&entered, &release, respond] {
                 entered.set_value();
                 release.get_future().wait();
                 respond(HttpResponse{});
               });
             });
  auto server = HttpServer::Start({}, std::move(router)).value();
  const auto client = HttpClient::Create();
  std::promise<HttpOutcome> answered;
  HttpCall call;
  call.url = Url(*server, "/slow");
  client->Start(call, [&answered](HttpOutcome outcome) {
    answered.set_value(std::move(outcome));
  });
  entered.get_future().wait();
  std::thread releasing([&release] {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    release.set_value();
  });
  EXPECT_EQ(server->Drain(std::chrono::milliseconds(0),
                          std::chrono::milliseconds(10000)),
            0U);
  const HttpOutcome outcome = answered.get_future().get();
  ASSERT_TRUE(outcome.has_value()) << outcome.error().message;
  EXPECT_EQ(FindHeader(outcome->headers, "Connection"), "close");
  releasing.join();
  answering.join();
}

TEST(HttpTest, TransientErrorsCarryRetryAfter) {
  const auto retry_after = [](base::ErrorCode code) {
    return FindHeader(MakeErrorResponse({code, "It is busy."}).headers,
                      "Retry-After");
  };
  EXPECT_EQ(retry_after(base::ErrorCode::kOverloaded), "1");
  EXPECT_EQ(retry_after(base::ErrorCode::kUnavailable), "1");
  EXPECT_EQ(retry_after(base::ErrorCode::kInvalid), std::nullopt);
}

TEST(HttpTest, ProblemCarriesExecutionAndRetryAfter) {
  Problem problem;
  problem.status = 429;
  problem.type = "queue-full";
  problem.retry_after = std::chrono::milliseconds(1200);
  const HttpResponse response = MakeProblemResponse(problem);
  EXPECT_EQ(FindHeader(response.headers, "retry-after"), "2");
  EXPECT_NE(response.body.find("\"execution\":\"not-run\""), std::string::npos);
}

}  // namespace
}  // namespace cassiastile::wire
