#include "cassiastile/wire/loop_client.hpp"

#include <mutex>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>

#include "cassiastile/base/random.hpp"
#include "cassiastile/sim/odd_values.hpp"
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
                       const std::string& path,
                       bool repeatable = false) {
    HttpCall call;
    call.repeatable = repeatable;
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

// A server that answers the first request with 200 and the requests of later
// connections with 409. Its first connection ends after the first answer, or
// only when the second request has arrived.
class ClosingServer {
 public:
  ClosingServer(asio::io_context& context, bool takes_second_request)
      : m_acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}),
        m_takes_second_request(takes_second_request) {
    Accept();
  }

  std::uint16_t Port() const { return m_acceptor.local_endpoint().port(); }
  int Requests() const { return m_requests; }

 private:
  struct Peer {
    explicit Peer(asio::ip::tcp::socket&& accepted)
        : socket(std::move(accepted)) {}
    asio::ip::tcp::socket socket;
    asio::streambuf bytes;
  };

  void Accept() {
    m_acceptor.async_accept(
        [this](const asio::error_code& error, asio::ip::tcp::socket socket) {
          if (!error) {
            Read(std::make_shared<Peer>(std::move(socket)));
            Accept();
          }
        });
  }

  void Read(const std::shared_ptr<Peer>& peer) {
    asio::async_read_until(
        peer->socket, peer->bytes, "\r\n\r\n",
        [this, peer](const asio::error_code& error, std::size_t size) {
          if (error) {
            return;
          }
          peer->bytes.consume(size);
          ++m_requests;
          const bool first = m_requests == 1;
          if (m_takes_second_request && m_requests == 2) {
            peer->socket.close();
            return;
          }
          asio::write(peer->socket,
                      asio::buffer(std::string(first ? "HTTP/1.1 200 OK"
                                                     : "HTTP/1.1 409 No") +
                                   "\r\nContent-Length: 0\r\n\r\n"));
          if (first && !m_takes_second_request) {
            peer->socket.close();
            return;
          }
          Read(peer);
        });
  }

  asio::ip::tcp::acceptor m_acceptor;
  bool m_takes_second_request;
  int m_requests = 0;
};

TEST_F(LoopClientTest, CallOnABreakingConnectionIsNotAnsweredByASecondCopy) {
  const ClosingServer server(m_context, true);
  ASSERT_TRUE(CallPort(server.Port(), "POST", "/").has_value());
  const HttpOutcome outcome = CallPort(server.Port(), "POST", "/");
  ASSERT_FALSE(outcome.has_value()) << "answered " << outcome->status;
  EXPECT_EQ(outcome.error().state, SendState::kMaybeSent);
  EXPECT_EQ(server.Requests(), 2);
}

TEST_F(LoopClientTest, RepeatableCallIsSentAgainOnANewConnection) {
  const ClosingServer server(m_context, true);
  ASSERT_TRUE(CallPort(server.Port(), "POST", "/").has_value());
  const HttpOutcome outcome = CallPort(server.Port(), "POST", "/", true);
  ASSERT_TRUE(outcome.has_value());
  EXPECT_EQ(outcome->status, 409);
  EXPECT_EQ(server.Requests(), 3);
}

TEST_F(LoopClientTest, ConnectionClosedWhileIdleIsNotUsed) {
  const ClosingServer server(m_context, false);
  ASSERT_TRUE(CallPort(server.Port(), "POST", "/").has_value());
  m_context.restart();
  m_context.poll();
  const HttpOutcome outcome = CallPort(server.Port(), "POST", "/");
  ASSERT_TRUE(outcome.has_value());
  EXPECT_EQ(outcome->status, 409);
  EXPECT_EQ(server.Requests(), 2);
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

// A call to what is no address ended the process: it was taken out of the list
// of calls, where it had never been put.
TEST_F(LoopClientTest, CallThatCannotBeSentFailsOnceBesideOthers) {
  base::Random random(47);
  constexpr int kCalls = 400;
  int failed = 0;
  int answered = 0;
  for (int i = 0; i < kCalls; ++i) {
    const std::string endpoint = sim::DrawNoDestination(random);
    HttpCall odd;
    odd.url = "http://" + endpoint + "/hello";
    m_client->Start(std::move(odd),
                    [&failed, endpoint](const HttpOutcome& outcome) {
                      ++failed;
                      ASSERT_FALSE(outcome.has_value()) << endpoint;
                      EXPECT_EQ(outcome.error().state, SendState::kNotSent);
                      EXPECT_FALSE(outcome.error().timed_out);
                    });
    HttpCall good;
    good.url =
        "http://127.0.0.1:" + std::to_string(m_server->Port()) + "/hello";
    m_client->Start(std::move(good), [&answered](const HttpOutcome& outcome) {
      answered += outcome.has_value() ? 1 : 0;
    });
    m_context.restart();
    m_context.poll();
  }
  while (failed + answered < 2 * kCalls && m_context.run_one() > 0) {
    m_context.restart();
  }
  EXPECT_EQ(failed, kCalls);
  EXPECT_EQ(answered, kCalls);
}

TEST_F(LoopClientTest, HeaderWithAControlCharacterIsNotSent) {
  for (const std::string odd : {"a\r\nX-Odd: 1", "\n", "\x7f"}) {
    HttpCall call;
    call.url =
        "http://127.0.0.1:" + std::to_string(m_server->Port()) + "/hello";
    call.headers.emplace_back("X-Name", odd);
    std::optional<HttpOutcome> result;
    m_client->Start(std::move(call), [&result](HttpOutcome outcome) {
      result = std::move(outcome);
    });
    m_context.restart();
    m_context.poll();
    ASSERT_TRUE(result.has_value());
    ASSERT_FALSE(result->has_value());
    EXPECT_EQ(result->error().state, SendState::kNotSent);
  }
}

TEST_F(LoopClientTest, CallThatCannotBeSentIsDroppedWithItsClient) {
  HttpCall call;
  call.url = "http://worker.example:80/hello";
  bool completed = false;
  m_client->Start(std::move(call),
                  [&completed](const HttpOutcome&) { completed = true; });
  m_client.reset();
  m_context.poll();
  EXPECT_FALSE(completed);
}

}  // namespace
}  // namespace cassiastile::wire
