#pragma once

#include <memory>
#include <string>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/config/settings.hpp"
#include "cassiastile/platform/decision_log.hpp"
#include "cassiastile/platform/http_platform.hpp"
#include "cassiastile/platform/store_guard.hpp"
#include "cassiastile/wire/metrics.hpp"

namespace cassiastile::daemon {

// How a process reaches the platform services.
struct PlatformAccessOptions {
  std::string address;  // IP:PORT of the platform services.
  std::string process;  // Identifies this process run in stored decisions.
  std::chrono::milliseconds timeout{800};  // Of one HTTP call.
  platform::StoreGuardOptions guard;
};

// Reads the settings "platform", "platform_timeout_ms",
// "store_writes_per_second" and "store_reads_per_second". Errors are added to
// the findings of `settings`.
PlatformAccessOptions ReadPlatformOptions(config::Settings& settings);

// A process's clients for the platform services: the table behind a StoreGuard,
// the object store, the host list and the machine service, over one HTTP
// client. Also owns the decision log, which writes to the object store.
class PlatformAccess {
 public:
  // The clock must outlive this object.
  PlatformAccess(const base::Clock& clock,
                 const PlatformAccessOptions& options);

  platform::Table& Table() { return m_guard; }
  platform::ObjectStore& Objects() { return m_objects; }
  platform::HostList& Hosts() { return m_hosts; }
  platform::Machines& Machines() { return m_machines; }
  platform::DecisionLog& Decisions() { return *m_decisions; }

  // Refreshes the gauges of the table and the decision log.
  void UpdateMetrics(wire::Metrics& metrics) const;

 private:
  std::unique_ptr<wire::HttpClient> m_client;
  platform::HttpTable m_table;
  platform::StoreGuard m_guard;
  platform::HttpObjectStore m_objects;
  platform::HttpHostList m_hosts;
  platform::HttpMachines m_machines;
  std::unique_ptr<platform::DecisionLog> m_decisions;
};

}  // namespace cassiastile::daemon
