#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "cassiastile/base/error.hpp"
#include "cassiastile/wire/router.hpp"

namespace asio {
class io_context;
}

namespace cassiastile::wire {

struct HttpServerOptions {
  // The loop to serve on, run by the caller; null for threads of the server's
  // own. The loop must outlive the server.
  asio::io_context* context = nullptr;
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;  // 0 takes a free one.
  std::size_t threads = 2;
  std::size_t max_connections = 4096;
  std::size_t max_body_bytes = 4U << 20U;
  std::size_t max_header_bytes = 16U << 10U;  // For one field's value.
  std::size_t max_header_count = 100;
  // How long a caller may take to send a whole request, and how long a
  // connection may stay idle.
  std::chrono::milliseconds read_timeout{15000};
  // How long a handler may take to answer.
  std::chrono::milliseconds handle_timeout{120000};
};

// An HTTP/1.1 server that hands requests to a router. Handlers run on the
// server's threads and must not block for long if other requests shall go on.
class HttpServer {
 public:
  // Fails when the address can't be bound.
  static base::Result<std::unique_ptr<HttpServer>> Start(
      HttpServerOptions options,
      Router router);
  static base::Result<std::unique_ptr<HttpServer>> Start(
      HttpServerOptions options,
      HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  std::uint16_t Port() const;

  // Requests taken and not yet answered.
  std::size_t InFlight() const;

  // From now on each answer asks its connection to close.
  void BeginDrain();

  // Stops gracefully; not for servers on a caller's loop. For `notice` new
  // connections are still served while each answer asks its connection to
  // close; then no new connection is taken, and the server ends once every
  // request taken is answered or `deadline` is over. Returns the number of
  // requests cut off, zero when all were answered.
  std::size_t Drain(std::chrono::milliseconds notice,
                    std::chrono::milliseconds deadline);

 private:
  class Impl;
  explicit HttpServer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> m_impl;
};

}  // namespace cassiastile::wire
