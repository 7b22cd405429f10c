// A small HTTP/1.1 server and client on one event loop, for the stand-ins.
#pragma once

// asio does not know that clang has standard coroutines; the linter does.
#if defined(__clang__)
#define ASIO_HAS_CO_AWAIT 1
#define ASIO_HAS_STD_COROUTINE 1
#endif

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <asio.hpp>

namespace review {

using asio::awaitable;
using asio::ip::tcp;
using SteadyClock = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct HttpRequest {
  std::string method;
  std::string path;  // Without the query.
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;
};

struct HttpResponse {
  int status = 200;
  std::string body = "{}";
  // Closes the connection instead of answering.
  bool is_dropped = false;
};

using HttpHandler = std::function<awaitable<HttpResponse>(HttpRequest)>;

// Waits on the loop.
awaitable<void> Sleep(milliseconds time);

// Serves a loopback port until it is destroyed. The handler runs on the loop.
class HttpServer {
 public:
  HttpServer(asio::io_context& context, HttpHandler handler);
  ~HttpServer();

  std::uint16_t Port() const { return m_port; }
  // While it is false, connections are reset and new ones are refused.
  void SetListening(bool listens);

 private:
  struct State;
  static awaitable<void> Accept(std::shared_ptr<State> state);
  static awaitable<void> Serve(std::shared_ptr<State> state,
                               std::shared_ptr<tcp::socket> socket);

  std::shared_ptr<State> m_state;
  std::uint16_t m_port = 0;
};

// Makes one call on a new connection. Returns nothing if there is no complete
// answer within the time.
awaitable<std::optional<HttpResponse>> Call(
    std::string endpoint,
    std::string method,
    std::string target,
    std::vector<std::pair<std::string, std::string>> headers,
    std::string body,
    milliseconds timeout);

}  // namespace review
