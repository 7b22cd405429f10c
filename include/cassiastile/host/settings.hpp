#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cassiastile/base/error.hpp"
#include "cassiastile/host/listener_limits.hpp"

namespace cassiastile::host {

// An IPv4 address and a port.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  // Returns "ADDRESS:PORT".
  std::string Text() const { return address + ":" + std::to_string(port); }
  friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

// Fails with kInvalid for text that is not "ADDRESS:PORT" with an IPv4 address.
base::Result<Endpoint> ParseEndpoint(std::string_view text);
// Fails also for an address that no call can go to, see wire::Ipv4Endpoint.
base::Result<Endpoint> ParseDestination(std::string_view text);

// Settings of one host, read from a JSON file that may have comments. Unknown
// members are ignored.
struct HostSettings {
  std::string host;
  std::string availability_zone;
  std::string address;
  std::uint16_t peer_port = 0;
  std::uint16_t metrics_port = 0;
  Endpoint client_endpoint;
  Endpoint ready_endpoint;
  Endpoint table_endpoint;
  Endpoint machines_endpoint;
  std::string advice_endpoint;  // Empty if no queue uses advice.
  // Upper bound of lease extensions; a start extends the lease by kWorkerLease.
  std::chrono::milliseconds max_worker_lease{10000};
  // A worker expects no starts later than this after it reports that it drains.
  std::chrono::milliseconds drain_time{2000};
  // How soon after operators have asked to evacuate a zone nothing may start in
  // it any more; more than 1 s. May be missing: no zones are evacuated.
  std::chrono::milliseconds evacuation_time{0};
  // How long a graceful stop may take.
  std::chrono::milliseconds stop_grace{6000};
  // How long a finished job's state is kept.
  std::chrono::milliseconds keep_finished{120000};
  // How long a machine order of a previous leader may still be in flight.
  std::chrono::milliseconds machine_order_lease{3000};
  // Fleets of fewer workers are called by the leader itself. May be missing.
  std::size_t min_relayed_workers = 100;
  // See jobs::SchedulerOptions. May be missing.
  std::size_t max_reserved_starts = 0;
  // See jobs::SchedulerOptions. May be missing.
  bool share_by_weight = false;
  bool avoid_slow_workers = false;
  double processor_share = 1.0;  // Of one core.
  // Its members may be missing.
  MachineLimits machine;

  friend bool operator==(const HostSettings&, const HostSettings&) = default;
};

// Fails with kInvalid; the message lists every missing or invalid member.
base::Result<HostSettings> ParseHostSettings(const std::string& text);

}  // namespace cassiastile::host
