#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/platform/memory_platform.hpp"
#include "cassiastile/wire/http_server.hpp"

namespace cassiastile::standin {

struct PlatformServerOptions {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;  // 0 picks a free port.
  std::size_t threads = 4;
  // The delay until a change to the host list becomes visible.
  std::chrono::milliseconds list_lag{500};
  // How long a machine takes to reboot.
  std::chrono::milliseconds reboot_time{1000};
  std::uint64_t seed = 1;
};

// A stand-in for the platform: its table, object store, host list and machine
// service over HTTP, kept in memory. Faults are injected over HTTP as well.
// docs/PLATFORM.md describes the calls.
class PlatformServer {
 public:
  // The clock must outlive the server. Fails with kUnavailable when the address
  // can't be bound.
  static base::Result<std::unique_ptr<PlatformServer>> Start(
      const base::Clock& clock,
      PlatformServerOptions options);

  std::uint16_t Port() const;
  // Stops accepting connections, and ends once every accepted request is
  // answered or 2 s have passed.
  void Drain();

  platform::MemoryTable& Table();

 private:
  PlatformServer(const base::Clock& clock, PlatformServerOptions options);

  void AddTableRoutes(wire::Router& router);
  void AddObjectRoutes(wire::Router& router);
  void AddHostRoutes(wire::Router& router);
  void AddMachineRoutes(wire::Router& router);
  void AddFaultRoutes(wire::Router& router);
  // Adds a route that answers after the injected response delay. The
  // answer is kInvalid when the body is not the JSON that `answer` reads.
  void AddRoute(
      wire::Router& router,
      const std::string& method,
      const std::string& pattern,
      std::function<wire::HttpResponse(const wire::HttpRequest&)> answer);

  wire::HttpResponse SetFaults(const wire::HttpRequest& request);
  std::vector<platform::ListedHost> CurrentHosts();
  void FinishReboots();

  const base::Clock& m_clock;
  PlatformServerOptions m_options;
  platform::MemoryTable m_table;
  platform::MemoryObjectStore m_objects;
  platform::MemoryMachines m_machines;

  std::mutex m_mutex;
  std::chrono::milliseconds m_response_delay{0};
  bool m_list_down = false;
  // Changes to the host list that are not visible yet. For a removal only the
  // name of the host is set.
  struct ListChange {
    base::TimePoint visible_at;
    platform::ListedHost host;
    bool removed = false;
  };
  std::deque<ListChange> m_list_changes;
  std::map<std::string, platform::ListedHost> m_listed;
  std::map<std::string, base::TimePoint> m_reboot_ends;  // By host.

  std::unique_ptr<wire::HttpServer> m_server;
};

}  // namespace cassiastile::standin
