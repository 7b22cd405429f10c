#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "cassiastile/base/clock.hpp"

namespace cassiastile::work {

// Whether a runner gets requests.
enum class RunnerHealth : std::uint8_t {
  kHealthy,
  kEjected,  // Gets no requests until ejected_until.
  kProbing,  // Gets requests once a health check succeeds.
};

// A backend server as seen by this entry host.
struct Runner {
  std::string name;
  std::string address;  // IP:PORT.
  std::string zone;
  std::uint64_t incarnation = 0;
  bool leaving = false;  // Listed as leaving, or no longer listed.

  std::uint32_t granted = 0;  // Slots granted to this host.
  std::uint32_t in_use = 0;   // Of these, the ones that are or may be occupied.

  // Moving average over complete answers other than server errors. Zero before
  // the first, and again after a restart or an ejection for slowness.
  base::Duration latency{};
  std::uint32_t failures = 0;  // Consecutive.
  base::TimePoint last_answer{};
  // Connections to it are not reused before this time.
  base::TimePoint fresh_connections_until{};

  RunnerHealth health = RunnerHealth::kHealthy;
  base::TimePoint ejected_until{};
  std::uint32_t ejections = 0;  // Consecutive, without an answer between.
};

}  // namespace cassiastile::work
