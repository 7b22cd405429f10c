#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "cassiastile/base/hash.hpp"
#include "cassiastile/entry/entry_service.hpp"
#include "cassiastile/platform/memory_platform.hpp"
#include "cassiastile/standin/backend.hpp"
#include "cassiastile/wire/http_server.hpp"

namespace cassiastile::entry {

// A fleet document in force that a test can change.
class TestFleet final : public config::FleetSource {
 public:
  TestFleet() {
    auto accepted = std::make_shared<config::AcceptedFleet>();
    accepted->version = 1;
    config::Service closed;
    closed.name = "draw";
    config::Service open;
    open.name = "news";
    open.open = true;
    accepted->fleet.services = {closed, open};
    accepted->fleet.teams = {{"brass", "hlas"}};
    accepted->fleet.keys = {{"k1", "brass", base::Sha256Hex("secret")}};
    m_accepted = std::move(accepted);
  }

  std::shared_ptr<const config::AcceptedFleet> Current() const override {
    const std::lock_guard lock(m_mutex);
    return m_accepted;
  }
  bool IsFresh(base::TimePoint) const override {
    const std::lock_guard lock(m_mutex);
    return m_fresh;
  }
  void SetFresh(bool fresh) {
    const std::lock_guard lock(m_mutex);
    m_fresh = fresh;
  }
  template <typename Change>
  void Edit(const Change& change) {
    const std::lock_guard lock(m_mutex);
    auto next = std::make_shared<config::AcceptedFleet>(*m_accepted);
    ++next->version;
    change(next->fleet);
    m_accepted = std::move(next);
  }

 private:
  mutable std::mutex m_mutex;
  std::shared_ptr<const config::AcceptedFleet> m_accepted;
  bool m_fresh = true;
};

// Keeps the recorded decisions.
class TestSink final : public base::DecisionSink {
 public:
  void Record(base::Decision decision) override {
    const std::lock_guard lock(m_mutex);
    m_decisions.push_back(std::move(decision));
  }
  std::vector<base::Decision> All() const {
    const std::lock_guard lock(m_mutex);
    return m_decisions;
  }

 private:
  mutable std::mutex m_mutex;
  std::vector<base::Decision> m_decisions;
};

// What the entry hosts of a test share.
struct TestPlatform {
  platform::MemoryTable table;
  platform::MemoryHostList hosts;
  TestFleet fleet;
  TestSink decisions;
  base::SystemClock clock;
};

// An entry host over real sockets.
class TestHost {
 public:
  TestHost(TestPlatform& test_platform, const std::string& name) {
    EntryOptions options;
    options.name = name;
    options.zone = "z1";
    options.listing_interval = std::chrono::milliseconds(50);
    options.credit_sync_interval = std::chrono::milliseconds(50);
    options.credit_sync_jitter = std::chrono::milliseconds(20);
    options.claims.claim_write_interval = std::chrono::milliseconds(5);
    options.claims.outcome_write_interval = std::chrono::milliseconds(5);
    options.limits.max_body_bytes = 1000;
    options.limits.max_headers = 20;
    m_service = EntryService::Create(
                    options, {test_platform.table, test_platform.hosts,
                              test_platform.fleet, test_platform.decisions,
                              test_platform.clock, m_metrics})
                    .value();
    wire::Router router;
    m_service->AddRoutes(router);
    m_server = wire::HttpServer::Start({}, std::move(router)).value();
  }
  ~TestHost() { Stop(); }
  TestHost(const TestHost&) = delete;
  TestHost& operator=(const TestHost&) = delete;

  // Stops as the daemon does. Returns the number of requests cut off.
  std::size_t Stop() {
    if (!m_service) {
      return 0;
    }
    m_service->BeginDrain();
    const std::size_t cut = m_server->Drain(std::chrono::milliseconds(100),
                                            std::chrono::seconds(20));
    m_service->ReleaseCredits();
    m_service.reset();
    return cut;
  }

  std::string Url(const std::string& path) const {
    return "http://127.0.0.1:" + std::to_string(m_server->Port()) + path;
  }
  std::uint16_t Port() const { return m_server->Port(); }

 private:
  wire::Metrics m_metrics;
  std::unique_ptr<EntryService> m_service;
  std::unique_ptr<wire::HttpServer> m_server;
};

inline platform::ListedHost ListRunner(const std::string& name,
                                       const std::string& service,
                                       const std::string& address) {
  platform::ListedHost listed;
  listed.name = name;
  listed.role = platform::ListedRole::kRunner;
  listed.zone = "z1";
  listed.service = service;
  listed.address = address;
  listed.incarnation = 1;
  return listed;
}

inline std::unique_ptr<standin::Backend> StartRunner(
    TestPlatform& test_platform,
    const std::string& name,
    const std::string& service = "draw") {
  standin::BackendOptions options;
  options.name = name;
  auto backend = standin::Backend::Start(options).value();
  test_platform.hosts.Set(ListRunner(name, service, backend->Address()));
  return backend;
}

}  // namespace cassiastile::entry
