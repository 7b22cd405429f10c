#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "cassiastile/base/enum_names.hpp"
#include "cassiastile/base/error.hpp"

namespace cassiastile::soak {

enum class FaultKind : std::uint8_t {
  kKill,           // SIGKILL; the process starts again soon after.
  kStop,           // SIGTERM, the same.
  kPause,          // SIGSTOP for a time, then SIGCONT.
  kReload,         // SIGHUP with changed settings.
  kDelay,          // Each piece of data is held up for a moment.
  kReset,          // All connections are reset.
  kCutToServer,    // Nothing gets to the server, for a time.
  kCutFromServer,  // Nothing comes back from the server, for a time.
  kSilence,        // Open connections go silent for good; new ones work.
  kRefuse,         // The table answers that nothing was done, for a time.
  kLoseAnswers,    // The table applies some commits without an answer.
  kForget,         // The table forgets its history.
  kCrash,          // A worker ends; another life begins later.
  kLate,           // A worker carries out starts late and without an answer.
  kConfigure,      // The operators change the configuration.
  kWave,           // The operators ask for upkeep of all machines.
};

inline constexpr std::array<base::EnumName<FaultKind>, 16> kFaultNames{{
    {FaultKind::kKill, "kill"},
    {FaultKind::kStop, "stop"},
    {FaultKind::kPause, "pause"},
    {FaultKind::kReload, "reload"},
    {FaultKind::kDelay, "delay"},
    {FaultKind::kReset, "reset"},
    {FaultKind::kCutToServer, "cut there"},
    {FaultKind::kCutFromServer, "cut back"},
    {FaultKind::kSilence, "silence"},
    {FaultKind::kRefuse, "refuse"},
    {FaultKind::kLoseAnswers, "lose answers"},
    {FaultKind::kForget, "forget"},
    {FaultKind::kCrash, "crash"},
    {FaultKind::kLate, "late"},
    {FaultKind::kConfigure, "configure"},
    {FaultKind::kWave, "wave"},
}};

// What a fault happens to; `target` counts within it.
enum class Place : std::uint8_t {
  kHost,         // A process.
  kHostCallers,  // The connections from callers to a host.
  kHostTable,    // The connections from a host to the table.
  kWorker,       // A worker, or the connections to it.
  kTable,
  kOperators,
};

inline constexpr std::array<base::EnumName<Place>, 6> kPlaceNames{{
    {Place::kHost, "host"},
    {Place::kHostCallers, "callers to host"},
    {Place::kHostTable, "host to table"},
    {Place::kWorker, "worker"},
    {Place::kTable, "table"},
    {Place::kOperators, "operators"},
}};

struct Fault {
  std::chrono::milliseconds at{0};  // From the begin of the run.
  FaultKind kind = FaultKind::kKill;
  Place place = Place::kHost;
  std::size_t target = 0;
  std::chrono::milliseconds lasts{0};

  friend bool operator==(const Fault&, const Fault&) = default;
};

struct PlanOptions {
  std::size_t hosts = 5;
  std::size_t workers = 10;
  std::chrono::milliseconds length{10000};
  // Faults come in series of up to four, about so far apart.
  std::chrono::milliseconds gap{700};
};

using FaultPlan = std::vector<Fault>;

// The same seed and options make the same plan.
FaultPlan MakePlan(std::uint64_t seed, const PlanOptions& options);

// One fault a line, as JSON.
std::string EncodePlan(const FaultPlan& plan);
// Fails with kInvalid; the message names the line.
base::Result<FaultPlan> DecodePlan(const std::string& text);

}  // namespace cassiastile::soak
