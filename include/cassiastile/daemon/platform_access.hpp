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

struct PlatformAccessOptions {
  std::string address;  // IP:PORT of the platform's services.
  std::string process;  // Names this process and run in stored decisions.
  std::chrono::milliseconds timeout{800};
  platform::StoreGuardOptions guard;
};

// Reads "platform", "platform_timeout_ms", "store_writes_per_second" and
// "store_reads_per_second".
PlatformAccessOptions ReadPlatformOptions(config::Settings& settings);

// A process's access to the platform: one client, the guarded table, the other
// services and the log of decisions.
class PlatformAccess {
 public:
  // The clock outlives the access.
  PlatformAccess(const base::Clock& clock,
                 const PlatformAccessOptions& options);

  platform::Table& Table() { return m_guard; }
  platform::ObjectStore& Objects() { return m_objects; }
  platform::HostList& Hosts() { return m_hosts; }
  platform::Machines& Machines() { return m_machines; }
  platform::DecisionLog& Decisions() { return *m_decisions; }

  // Brings the gauges of the store and of the decisions up to date.
  void UpdateMetrics(wire::Metrics& metrics) const;

 private:
  std::unique_ptr<wire::HttpClient> m_client;
  platform::HttpTable m_table;
  platform::StoreGuard m_guard;
  platform::HttpObjects m_objects;
  platform::HttpHostList m_hosts;
  platform::HttpMachines m_machines;
  std::unique_ptr<platform::DecisionLog> m_decisions;
};

}  // namespace cassiastile::daemon
