// What an HTTP server does at and beyond its limits, as seen by clients that
// write their requests byte by byte.
#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <asio.hpp>

#include "cassiastile/wire/http_server.hpp"

namespace cassiastile::wire {
namespace {

using testing::HasSubstr;
using testing::IsEmpty;
using testing::StartsWith;

constexpr ConnectionLimits kLimits{.max_connections = 4,
                                   .max_request_bytes = 40000,
                                   .max_held_bytes = 100000};
constexpr std::size_t kMaxBodyBytes = 8000;

// A connection of a client.
class Client {
 public:
  Client(asio::io_context& context, const HttpServer& server)
      : m_socket(context) {
    m_socket.connect({asio::ip::address_v4::loopback(), server.Port()});
  }

  // Ends early if the server has closed the connection.
  void Send(const std::string& text) {
    asio::error_code ignored;
    asio::write(m_socket, asio::buffer(text), ignored);
  }

  // What the server sends until it closes the connection, or until the end of
  // the first response.
  std::string Receive() {
    std::string text;
    asio::error_code error;
    while (!error && !text.ends_with("\r\n\r\n") && !text.ends_with("end")) {
      std::array<char, 4096> buffer{};
      const std::size_t size = m_socket.read_some(asio::buffer(buffer), error);
      text.append(buffer.data(), size);
    }
    return text;
  }

 private:
  asio::ip::tcp::socket m_socket;
};

std::string Announced(const std::string& body) {
  return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string InChunksOfOneByte(const std::string& body) {
  std::string text =
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const char each : body) {
    text += std::string("1\r\n") + each + "\r\n";
  }
  return text + "0\r\n\r\n";
}

class HttpLimitsTest : public testing::Test {
 protected:
  HttpLimitsTest() {
    HttpServerOptions options;
    options.limits = kLimits;
    options.max_body_bytes = kMaxBodyBytes;
    m_server = HttpServer::Start(options, [](const HttpRequest& request,
                                             const HttpResponder& respond) {
                 HttpResponse response;
                 response.body = std::to_string(request.body.size()) + " end";
                 respond(response);
               }).value();
  }

  Client& Connect() {
    m_clients.push_back(std::make_unique<Client>(m_context, *m_server));
    return *m_clients.back();
  }

  std::string Exchange(const std::string& request) {
    Client& client = Connect();
    client.Send(request);
    return client.Receive();
  }

  asio::io_context m_context;
  std::unique_ptr<HttpServer> m_server;
  std::vector<std::unique_ptr<Client>> m_clients;
};

TEST_F(HttpLimitsTest, LargestBodyIsTakenHoweverItIsSent) {
  EXPECT_THAT(Exchange(Announced(std::string(kMaxBodyBytes, 'x'))),
              HasSubstr("\r\n8000 end"));
  EXPECT_THAT(Exchange(InChunksOfOneByte(std::string(6000, 'x'))),
              HasSubstr("\r\n6000 end"));
  // The client may see the response before the server knows that it is sent.
  for (int i = 0; i < 500 && m_server->Usage().held_bytes > 0; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  EXPECT_EQ(m_server->Usage().held_bytes, 0U);
}

TEST_F(HttpLimitsTest, LargerBodyIsNotHandled) {
  EXPECT_THAT(Exchange(Announced(std::string(kMaxBodyBytes + 1, 'x'))),
              IsEmpty());
}

TEST_F(HttpLimitsTest, FramingWithoutEndIsAnsweredWith413) {
  std::string request =
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;";
  request += std::string(kLimits.max_request_bytes, 'x');
  Client& client = Connect();
  client.Send(request);
  // The response may be lost if the server closes with bytes unread.
  const std::string response = client.Receive();
  EXPECT_TRUE(response.empty() || response.starts_with("HTTP/1.1 413"));
  EXPECT_EQ(m_server->Usage().closed[1], 1U);
}

TEST_F(HttpLimitsTest, CrowdThatStaysOpenLeavesRoomForARequest) {
  std::vector<Client*> crowd;
  for (std::size_t i = 0; i < 3 * kLimits.max_connections; ++i) {
    crowd.push_back(&Connect());
    crowd.back()->Send(i % 2 == 0 ? "" : "POST / HTTP/1.1\r\nHost: ");
  }
  EXPECT_THAT(Exchange(Announced("x")), HasSubstr("\r\n1 end"));
  EXPECT_LE(m_server->Usage().connections, kLimits.max_connections);
  EXPECT_EQ(m_server->Usage().closed[0], 10U);
  // An idle client is not answered, one in the middle of a request is refused.
  EXPECT_THAT(crowd[0]->Receive(), IsEmpty());
  EXPECT_THAT(crowd[1]->Receive(), StartsWith("HTTP/1.1 503"));
}

TEST_F(HttpLimitsTest, UnfinishedBodiesLeaveRoomForARequest) {
  std::vector<Client*> crowd;
  for (int i = 0; i < 4; ++i) {
    crowd.push_back(&Connect());
    crowd.back()->Send(
        InChunksOfOneByte(std::string(5800, 'x')).substr(0, 34000));
  }
  EXPECT_THAT(Exchange(Announced(std::string(kMaxBodyBytes, 'x'))),
              HasSubstr("\r\n8000 end"));
  EXPECT_LE(m_server->Usage().held_bytes, kLimits.max_held_bytes);
}

// A server on the test's own loop, so that what clients do meanwhile waits for
// it.
class HttpLoopTest : public testing::Test {
 protected:
  HttpLoopTest() {
    HttpServerOptions options;
    options.context = &m_context;
    options.limits = kLimits;
    options.read_timeout = std::chrono::minutes(10);
    m_server = HttpServer::Start(options, [this](const HttpRequest& request,
                                                 const HttpResponder& respond) {
                 ++m_requests;
                 if (request.path == "/waits") {
                   m_waiting.push_back(respond);
                   return;
                 }
                 HttpResponse response;
                 response.body = "end";
                 respond(response);
               }).value();
  }
  ~HttpLoopTest() override { m_waiting.clear(); }

  std::unique_ptr<asio::ip::tcp::socket> Connect() {
    auto socket = std::make_unique<asio::ip::tcp::socket>(m_context);
    socket->connect({asio::ip::address_v4::loopback(), m_server->Port()});
    return socket;
  }

  // Runs the loop until the condition holds, or for long.
  void RunUntil(const std::function<bool()>& condition) {
    constexpr int kSteps = 500;
    for (int i = 0; i < kSteps && !condition(); ++i) {
      m_context.restart();
      m_context.run_for(std::chrono::milliseconds(10));
    }
    EXPECT_TRUE(condition());
  }

  // Runs the loop until the server has sent something or closed, or nothing has
  // happened for long. Returns what it sent; nothing if it did neither.
  std::optional<std::string> Receive(asio::ip::tcp::socket& socket) {
    constexpr std::chrono::seconds kLong{5};
    std::optional<std::string> text;
    std::array<char, 4096> buffer{};
    socket.async_read_some(asio::buffer(buffer),
                           [&](const asio::error_code&, std::size_t size) {
                             text.emplace(buffer.data(), size);
                             m_context.stop();
                           });
    m_context.restart();
    m_context.run_for(kLong);
    if (!text) {
      socket.cancel();
      m_context.restart();
      m_context.poll();
      text.reset();
    }
    return text;
  }

  asio::io_context m_context{1};
  std::size_t m_requests = 0;
  std::vector<HttpResponder> m_waiting;
  std::unique_ptr<HttpServer> m_server;
};

TEST_F(HttpLoopTest, ClientsThatResetBeforeTheyAreAcceptedLeaveThePortOpen) {
  for (std::size_t i = 0; i < 40 * kLimits.max_connections; ++i) {
    const auto client = Connect();
    client->set_option(asio::socket_base::linger(true, 0));
    client->close();
  }
  m_context.poll();
  const auto client = Connect();
  asio::write(*client, asio::buffer(Announced("x")));
  EXPECT_THAT(Receive(*client), testing::Optional(StartsWith("HTTP/1.1 200")));
}

TEST_F(HttpLoopTest, UpgradeIsHandledOnce) {
  const auto client = Connect();
  asio::write(*client, asio::buffer(std::string(
                           "GET / HTTP/1.1\r\nHost: a\r\nConnection: "
                           "Upgrade\r\nUpgrade: websocket\r\n\r\n")));
  EXPECT_THAT(Receive(*client), testing::Optional(StartsWith("HTTP/1.1 200")));
  m_context.restart();
  m_context.run_for(std::chrono::milliseconds(100));
  EXPECT_EQ(m_requests, 1U);
}

TEST_F(HttpLoopTest, ConnectionWithoutRoomIsClosedAtOnce) {
  std::vector<std::unique_ptr<asio::ip::tcp::socket>> clients;
  for (std::size_t i = 0; i < kLimits.max_connections; ++i) {
    clients.push_back(Connect());
    asio::write(*clients.back(),
                asio::buffer(std::string("GET /waits HTTP/1.1\r\n\r\n")));
    RunUntil([&] { return m_requests == i + 1; });
  }
  const auto client = Connect();
  EXPECT_THAT(Receive(*client), testing::Optional(IsEmpty()));
}

TEST_F(HttpLoopTest, RequestOfAClosedConnectionIsNotHandled) {
  const std::string request = "GET /waits HTTP/1.1\r\n\r\n";
  std::vector<std::unique_ptr<asio::ip::tcp::socket>> clients;
  const auto send = [&](const std::string& text) {
    clients.push_back(Connect());
    asio::write(*clients.back(), asio::buffer(text));
    RunUntil([&] { return m_requests == clients.size(); });
  };
  send(request);
  send(request);
  send(request + request);
  send(request);
  ASSERT_EQ(m_requests, 4U);
  // The next connection comes while the third client's response is being sent;
  // its second request waits behind it.
  const auto next = Connect();
  m_waiting[2]({});
  RunUntil([&] { return m_server->Usage().closed[0] == 2; });
  m_context.restart();
  m_context.run_for(std::chrono::milliseconds(100));
  EXPECT_EQ(m_requests, 4U);
}

TEST_F(HttpLoopTest, ClientThatLeavesWhileItIsHandledLeavesNoBytesHeld) {
  auto client = Connect();
  asio::write(*client,
              asio::buffer(std::string("GET /waits HTTP/1.1\r\n\r\n")));
  RunUntil([&] { return m_requests == 1; });
  client->set_option(asio::socket_base::linger(true, 0));
  client.reset();
  m_waiting.front()({.body = "end"});
  m_waiting.clear();
  RunUntil([&] { return m_server->Usage().connections == 0; });
  EXPECT_EQ(m_server->Usage().held_bytes, 0U);
}

TEST_F(HttpLoopTest, RequestsThatArePipelinedAreAllHandled) {
  constexpr std::size_t kPipelined = 5;
  const auto client = Connect();
  std::string text;
  for (std::size_t i = 0; i < kPipelined; ++i) {
    text += Announced(std::string(kMaxBodyBytes - 10, 'x'));
  }
  asio::write(*client, asio::buffer(text));
  RunUntil([&] { return m_requests == kPipelined; });
  EXPECT_EQ(m_server->Usage().connections, 1U);
}

}  // namespace
}  // namespace cassiastile::wire
