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
  std::uint16_t port = 0;  // 0 takes a free one.
  std::uint32_t slots = 8;
  std::uint32_t connections = 64;
  std::chrono::milliseconds service_time{0};
};

// One run of a request's work, as the runner logs it.
struct LoggedExecution {
  std::string method;
  std::string path;
  std::string request_id;  // As the runner got it.
  std::string caller_id;   // The header Caller-Id, if any.
  std::string body;
};

struct BackendCounts {
  std::uint32_t peak_running = 0;      // At once.
  std::uint32_t peak_connections = 0;  // At once.
  std::uint64_t over_slots = 0;        // Starts above the slots.
};

// A stand-in runner. It answers every request with the request's own body after
// its service time, stops at the time the request names, logs what it runs, and
// fails as it is told to: by calls here or by POST /admin/fault with
// {"fault", "count", "service_ms", "silence"}. GET /admin/log shows the log;
// GET /healthz says that it runs.
class Backend {
 public:
  // Fails when the address can't be bound.
  static base::Result<std::unique_ptr<Backend>> Start(BackendOptions options);
  // Closes all connections.
  ~Backend();
  Backend(const Backend&) = delete;
  Backend& operator=(const Backend&) = delete;

  // IP:PORT
  std::string Address() const;

  // The next `count` requests meet the fault.
  void SetFault(BackendFault fault, std::uint32_t count);
  void SetServiceTime(std::chrono::milliseconds service_time);
  // The connections that are open now swallow all that is sent on them from now
  // on; new ones work.
  void BlackholeConnections();

  std::vector<LoggedExecution> Log() const;
  BackendCounts Counts() const;

 private:
  class Impl;
  explicit Backend(std::shared_ptr<Impl> impl);

  std::shared_ptr<Impl> m_impl;
};

}  // namespace cassiastile::standin
