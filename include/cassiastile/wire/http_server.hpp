#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "cassiastile/base/error.hpp"
#include "cassiastile/wire/connection_table.hpp"
#include "cassiastile/wire/router.hpp"

namespace asio {
class io_context;
}

namespace cassiastile::wire {

struct HttpServerOptions {
  // The event loop to serve on, run by the caller; it must outlive the server.
  // Null makes the server run its own loop and threads.
  asio::io_context* context = nullptr;
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;   // 0 picks a free port.
  std::size_t threads = 2;  // Unused with a caller's loop.
  ConnectionLimits limits;
  std::size_t max_body_bytes = 4U << 20U;
  // Of the target of a request, and of the name and the value of one header.
  std::size_t max_field_bytes = 16U << 10U;
  std::size_t max_header_count = 100;  // Trailers included.
  // Of what the system keeps for one connection before it is read or after it
  // is written; 0 leaves the system's defaults.
  std::size_t socket_buffer_bytes = 0;
  // Time limit for receiving a whole request, and for an idle connection.
  std::chrono::milliseconds read_timeout{15000};
  // Time limit for a handler to respond.
  std::chrono::milliseconds handle_timeout{120000};
};

// An HTTP/1.1 server that passes requests to a router or handler. What its
// clients can cost together is limited, see ConnectionTable: a request beyond
// the limits is answered with 413 or 503, or its connection is closed, and it
// is not passed on. Handlers run on the server's threads, or on the caller's
// loop, and must not block for long, or other requests are delayed.
class HttpServer {
 public:
  // Starts listening. Fails with kUnavailable when the address can't be bound.
  static base::Result<std::unique_ptr<HttpServer>> Start(
      HttpServerOptions options,
      Router router);
  static base::Result<std::unique_ptr<HttpServer>> Start(
      HttpServerOptions options,
      HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // The port that the server listens on.
  std::uint16_t Port() const;

  // The number of requests accepted and not yet answered.
  std::size_t InFlight() const;

  // What the clients cost now, and what was closed for it since the start.
  ConnectionUsage Usage() const;

  // From now on each response carries "Connection: close".
  void BeginDrain();

  // Stops gracefully and returns the number of requests that were cut off. Not
  // for servers on a caller's loop.
  //
  // From now on each response carries "Connection: close". New connections are
  // accepted for the duration of `notice`; then the server stops accepting and
  // ends once every accepted request is answered or `deadline` has passed.
  std::size_t Drain(std::chrono::milliseconds notice,
                    std::chrono::milliseconds deadline);

 private:
  class Impl;
  explicit HttpServer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> m_impl;
};

}  // namespace cassiastile::wire
