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
  std::uint16_t port = 0;
  std::size_t threads = 4;
  // How far the host list lags behind what was set.
  std::chrono::milliseconds list_lag{500};
  // How long a machine takes to reboot.
  std::chrono::milliseconds reboot_time{1000};
  std::uint64_t seed = 1;
};

// Stands in for the platform: its table, object store, host list and machine
// service over HTTP, kept in memory. Faults are injected over HTTP as well.
// docs/PLATFORM.md describes the calls.
class PlatformServer {
 public:
  static base::Result<std::unique_ptr<PlatformServer>> Start(
      const base::Clock& clock,
      PlatformServerOptions options);

  std::uint16_t Port() const;
  void Drain();

  platform::MemoryTable& Table();

 private:
  PlatformServer(const base::Clock& clock, PlatformServerOptions options);

  void AddTableRoutes(wire::Router& router);
  void AddObjectRoutes(wire::Router& router);
  void AddHostRoutes(wire::Router& router);
  void AddMachineRoutes(wire::Router& router);
  void AddFaultRoutes(wire::Router& router);
  void Add(wire::Router& router,
           const std::string& method,
           const std::string& pattern,
           std::function<wire::HttpResponse(const wire::HttpRequest&)> answer);

  wire::HttpResponse SetFaults(const wire::HttpRequest& request);
  std::vector<platform::ListedHost> ListedNow();
  void FinishReboots();

  const base::Clock& m_clock;
  PlatformServerOptions m_options;
  platform::MemoryTable m_table;
  platform::MemoryObjects m_objects;
  platform::MemoryMachines m_machines;

  std::mutex m_mutex;
  std::chrono::milliseconds m_slowness{0};
  bool m_down = false;
  // Changes to the list that are not yet seen, with the time they will be. A
  // host without a name's state removes it.
  struct ListChange {
    base::TimePoint seen_at;
    platform::ListedHost host;
    bool removed = false;
  };
  std::deque<ListChange> m_list_changes;
  std::map<std::string, platform::ListedHost> m_listed;
  std::map<std::string, base::TimePoint> m_rebooting;

  std::unique_ptr<wire::HttpServer> m_server;
};

}  // namespace cassiastile::standin
