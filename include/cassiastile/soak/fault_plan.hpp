#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "cassiastile/base/enum_names.hpp"
#include "cassiastile/base/error.hpp"

namespace cassiastile::soak {

// What goes wrong, or what the operators do, during a run.
enum class FaultKind : std::uint8_t {
  kKill,            // SIGKILL; the process restarts soon after.
  kStop,            // SIGTERM; the process restarts soon after.
  kPause,           // SIGSTOP for a time, then SIGCONT.
  kPauseLeader,     // The same for the host that is the leader then.
  kReload,          // SIGHUP with changed settings.
  kDelay,           // All data is delayed by 80 ms.
  kReset,           // All connections are reset.
  kCutToServer,     // No data reaches the server for a time.
  kCutFromServer,   // No data comes from the server for a time.
  kBlackhole,       // Open connections carry no data any more; new ones work.
  kRefuseCalls,     // The table refuses all calls for a time.
  kLoseAnswers,     // The table leaves some applied commits unanswered.
  kCompactHistory,  // The table discards its change history.
  kCrash,           // A worker ends; its next incarnation begins later.
  kDelayStarts,     // A worker carries out starts late, without an answer.
  kConfigure,       // The operators change the configuration.
  kWave,            // The operators request maintenance of all machines.
  kEvacuate,        // The operators evacuate a zone for a time.
  // A worker is silent for a time and restarts in its place under its id. Calls
  // of that time reach the new incarnation.
  kRestart,
  kCut,         // No data passes in either direction for a time.
  kKillLeader,  // SIGKILL of the host that is the leader then.
  kStopLeader,  // SIGTERM of it.
  kBurst,       // Many jobs at once, whose tasks take the duration each.
};

inline constexpr std::array<base::EnumName<FaultKind>, 23> kFaultNames{{
    {FaultKind::kKill, "kill"},
    {FaultKind::kStop, "stop"},
    {FaultKind::kPause, "pause"},
    {FaultKind::kPauseLeader, "pause leader"},
    {FaultKind::kReload, "reload"},
    {FaultKind::kDelay, "delay"},
    {FaultKind::kReset, "reset"},
    {FaultKind::kCutToServer, "cut there"},
    {FaultKind::kCutFromServer, "cut back"},
    {FaultKind::kBlackhole, "silence"},
    {FaultKind::kRefuseCalls, "refuse"},
    {FaultKind::kLoseAnswers, "lose answers"},
    {FaultKind::kCompactHistory, "forget"},
    {FaultKind::kCrash, "crash"},
    {FaultKind::kDelayStarts, "late"},
    {FaultKind::kConfigure, "configure"},
    {FaultKind::kWave, "wave"},
    {FaultKind::kEvacuate, "evacuate"},
    {FaultKind::kRestart, "restart"},
    {FaultKind::kCut, "cut"},
    {FaultKind::kKillLeader, "kill leader"},
    {FaultKind::kStopLeader, "stop leader"},
    {FaultKind::kBurst, "burst"},
}};

// What a fault applies to. `Fault::target` is an index among these.
enum class Place : std::uint8_t {
  kHost,         // A host process.
  kHostCallers,  // The connections from callers to a host.
  kHostTable,    // The connections from a host to the table.
  kWorker,       // A worker, or the connections to it.
  kTable,
  kOperators,
  kCallers,
};

inline constexpr std::array<base::EnumName<Place>, 7> kPlaceNames{{
    {Place::kHost, "host"},
    {Place::kHostCallers, "callers to host"},
    {Place::kHostTable, "host to table"},
    {Place::kWorker, "worker"},
    {Place::kTable, "table"},
    {Place::kOperators, "operators"},
    {Place::kCallers, "callers"},
}};

// A fault, or an action of the operators, at a given time.
struct Fault {
  std::chrono::milliseconds at{0};  // From the end of the run's warm-up.
  FaultKind kind = FaultKind::kKill;
  Place place = Place::kHost;
  std::size_t target = 0;
  // Zero for a fault without a duration.
  std::chrono::milliseconds active_for{0};

  friend bool operator==(const Fault&, const Fault&) = default;
};

// Size of the fleet and of the plan.
struct PlanOptions {
  std::size_t hosts = 5;
  std::size_t workers = 10;
  std::chrono::milliseconds duration{10000};
  // Between series of faults; a series has up to four.
  std::chrono::milliseconds mean_gap{700};
  // Whether workers restart under their ids, mostly shortly before a change of
  // the leader, and are cut off soon after that. Other faults are rarer then.
  bool restarts = false;
};

using FaultPlan = std::vector<Fault>;

// Makes a random plan. The same seed and options give the same plan.
FaultPlan MakePlan(std::uint64_t seed, const PlanOptions& options);

// Encodes a plan as JSON, one fault per line.
std::string EncodePlan(const FaultPlan& plan);
// Decodes a plan; empty lines and lines that start with '#' are skipped. Fails
// with kInvalid; the message names the line.
base::Result<FaultPlan> DecodePlan(const std::string& text);

}  // namespace cassiastile::soak
