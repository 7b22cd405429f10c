#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "cassiastile/base/enum_names.hpp"
#include "cassiastile/wire/connection_table.hpp"

namespace cassiastile::host {

// The ports of a host, by who calls them.
enum class Listener : std::uint8_t {
  kCallers,
  kReadiness,  // The load balancer.
  kPeers,      // Other hosts.
  kMetrics,
};

inline constexpr std::array<base::EnumName<Listener>, 4> kListenerNames{{
    {Listener::kCallers, "callers"},
    {Listener::kReadiness, "readiness"},
    {Listener::kPeers, "peers"},
    {Listener::kMetrics, "metrics"},
}};

// What the process of a host may use of its machine.
struct MachineLimits {
  std::size_t memory_mb = 260;
  std::size_t descriptors = 4100;

  friend bool operator==(const MachineLimits&, const MachineLimits&) = default;
};

// Limits of what the clients of one port may cost.
struct ListenerLimits {
  wire::ConnectionLimits connections;
  std::size_t max_body_bytes = 0;
  // See wire::HttpServerOptions.
  std::size_t socket_buffer_bytes = 0;
};

// The limits of a port. Each port has its own part of the machine, so that a
// crowd on one takes nothing from the others; all parts together leave enough
// for the rest of the process. No part is too small for a few requests, however
// small the machine is.
ListenerLimits LimitsOf(Listener listener, const MachineLimits& machine);

}  // namespace cassiastile::host
