#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "cassiastile/base/clock.hpp"

namespace cassiastile::work {

// Whether a runner is given work.
enum class RunnerHealth : std::uint8_t {
  kHealthy,
  kEjected,  // Gets nothing until its time is over.
  kProbing,  // Gets a health check; work once that succeeds.
};

// A backend server as this entry host knows it.
struct Runner {
  std::string name;
  std::string address;  // IP:PORT.
  std::string zone;
  std::uint64_t incarnation = 0;
  bool leaving = false;  // Listed as leaving, or no longer listed.

  std::uint32_t granted = 0;  // Slots granted to this host.
  std::uint32_t in_use = 0;   // Of these, taken or still in doubt.

  base::Duration latency{};    // Moving average over whole answers.
  std::uint32_t failures = 0;  // In a row.
  base::TimePoint last_answer{};
  // Until then kept connections to it are not trusted.
  base::TimePoint fresh_connections_until{};

  RunnerHealth health = RunnerHealth::kHealthy;
  base::TimePoint ejected_until{};
  std::uint32_t ejections = 0;  // In a row, without an answer between.
};

}  // namespace cassiastile::work
