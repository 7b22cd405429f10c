#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "cassiastile/base/error.hpp"
#include "cassiastile/standin/backend_fault.hpp"

namespace cassiastile::standin {

struct BackendOptions {
  std::string name = "runner";
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;  // 0 picks a free port.
  std::uint32_t slots = 8;
  std::uint32_t connections = 64;
  std::chrono::milliseconds service_time{0};
};

// One execution of a request, as the runner (a backend server) logs it.
struct LoggedExecution {
  std::string method;
  std::string path;
  std::string request_id;  // The X-Request-Id that the runner received.
  std::string caller_id;   // The Caller-Id header, if any.
  std::string body;
};

struct BackendCounts {
  std::uint32_t peak_running = 0;       // The most requests at once.
  std::uint32_t peak_connections = 0;   // The most connections at once.
  std::uint64_t starts_over_slots = 0;  // Starts while all slots were in use.
};

// A stand-in for a runner, over HTTP. It answers each request with the
// request's own body after the service time, stops at the timeout the request
// names (60 s if it names none), and logs what it executes.
//
// Faults are set by calls here or by POST /admin/fault with {"fault", "count",
// "service_ms", "silence"}; "silence": true calls BlackholeConnections. GET
// /admin/log returns the log; GET /healthz answers while it runs. Thread-safe.
class Backend {
 public:
  // Fails with kUnavailable when the address can't be bound.
  static base::Result<std::unique_ptr<Backend>> Start(BackendOptions options);
  // Closes all connections.
  ~Backend();
  Backend(const Backend&) = delete;
  Backend& operator=(const Backend&) = delete;

  // IP:PORT
  std::string Address() const;

  // Makes the next `count` requests fail with the fault.
  void SetFault(BackendFault fault, std::uint32_t count);
  void SetServiceTime(std::chrono::milliseconds service_time);
  // Ignores all further requests on the connections that are open now, without
  // closing them; new connections work.
  void BlackholeConnections();

  std::vector<LoggedExecution> Log() const;
  BackendCounts Counts() const;

 private:
  class Impl;
  explicit Backend(std::shared_ptr<Impl> impl);

  std::shared_ptr<Impl> m_impl;
};

}  // namespace cassiastile::standin
