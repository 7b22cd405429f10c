#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/error.hpp"
#include "cassiastile/fleet/host_view.hpp"

namespace cassiastile::fleet {

// Why a host is out of service.
enum class OutReason : std::uint8_t {
  kWave,      // A maintenance wave took it.
  kOperator,  // An operator drained it.
  kFailed,    // It failed by itself.
  kMoving,    // It leaves for another pool.
  kRemoving,  // The document no longer has it.
};

std::string_view NameOf(OutReason reason);
std::optional<OutReason> FindOutReason(std::string_view name);

// A row `host/<host>`.
struct HostRecord {
  std::string host;
  std::string pool;
  HostState state = HostState::kInService;
  std::optional<OutReason> reason;  // Nothing while in service.
  std::string wave;                 // The wave that took it,
  std::uint64_t wave_run = 0;       // and which run of that wave.
  std::string bound_for;            // The pool that it moves to.
  std::string stands_in_for;        // The failed host that it replaces.
  // How often the machine had booted when its reboot was decided on; it has
  // rebooted once it counts more. Nothing when no reboot is awaited.
  std::optional<std::uint64_t> boots;
  std::uint64_t epoch = 0;     // Grows with every change of pool.
  std::string done_wave;       // The last wave that maintained it,
  std::uint64_t done_run = 0;  // and which run of that wave.
  std::string detail;          // What was seen, for people.
  std::int64_t since_ms = 0;   // Wall clock of the state, for people.

  bool operator==(const HostRecord&) const = default;
};

// One host that its pool misses.
struct OutEntry {
  OutReason reason = OutReason::kWave;
  std::string replaced_by;  // The host from the spare that stands in for it.

  bool operator==(const OutEntry&) const = default;
};

// A row `pool/<pool>`: all that is out of service, whatever the cause. Every
// change to one of the pool's hosts writes it, so that two changes decided from
// the same row never both apply.
struct PoolRecord {
  std::string pool;
  std::uint64_t epoch = 0;             // Grows with every write.
  std::uint64_t document_version = 0;  // The document last decided from.
  std::string last_host;               // The host changed by the last write.
  std::map<std::string, OutEntry> out;

  bool operator==(const PoolRecord&) const = default;
};

enum class WaveState : std::uint8_t {
  kPlanned,
  kRunning,
  kPaused,
  kHalted,  // By failures; an operator resumes or aborts it.
  kFinished,
  kAborted,
};

std::string_view NameOf(WaveState state);
std::optional<WaveState> FindWaveState(std::string_view name);

// A host that failed in a wave, and what was seen of it.
struct WaveFailure {
  std::string host;
  std::string evidence;

  bool operator==(const WaveFailure&) const = default;
};

// A row `wave/<wave>`. It is written when the wave changes state, when a host
// fails and around each canary; every take of the wave names its version, so
// that no host is taken once a pause or halt has committed. Hosts that are done
// are marked in their own rows.
struct WaveRecord {
  std::string wave;
  WaveState state = WaveState::kPlanned;
  std::uint64_t run = 0;            // Counts the starts.
  std::string canary;               // The canary that is out, if any.
  std::uint32_t canaries_done = 0;  // In this run.
  std::vector<WaveFailure> failures;
  // Failures that an operator has accepted by resuming the wave.
  std::uint32_t accepted_failures = 0;
  std::string changed_by;
  std::string detail;
  std::int64_t since_ms = 0;  // Wall clock of the state, for people.

  bool operator==(const WaveRecord&) const = default;
};

// The keys of the rows.
std::string HostKey(std::string_view host);
std::string PoolKey(std::string_view pool);
std::string WaveKey(std::string_view wave);

// The records as the JSON of their rows, and back. An error names the member
// that is wrong.
std::string ToJson(const HostRecord& record);
std::string ToJson(const PoolRecord& record);
std::string ToJson(const WaveRecord& record);
base::Result<HostRecord> ParseHostRecord(std::string_view json);
base::Result<PoolRecord> ParsePoolRecord(std::string_view json);
base::Result<WaveRecord> ParseWaveRecord(std::string_view json);

// Milliseconds of the wall clock since its epoch.
std::int64_t WallMilliseconds(base::WallTime time);

}  // namespace cassiastile::fleet
