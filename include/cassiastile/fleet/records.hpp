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
  kWave,      // A maintenance wave drains or reboots it.
  kOperator,  // An operator drained it.
  kFailed,    // A failure, not planned work.
  kMoving,    // It moves to another pool.
  kRemoving,  // It is no longer in the document.
};

std::string_view NameOf(OutReason reason);
std::optional<OutReason> FindOutReason(std::string_view name);

// The value of the row `host/<host>`.
struct HostRecord {
  std::string host;
  std::string pool;
  HostState state = HostState::kInService;
  std::optional<OutReason> reason;  // Absent while in service.
  std::string wave;                 // The wave that drained it.
  std::uint64_t wave_run = 0;       // The run of that wave.
  std::string bound_for;            // The pool that it is moving to.
  std::string replaces;             // The failed host that it replaces.
  // The machine's boot count when its reboot was decided; the reboot is
  // complete once the count is higher. Absent if no reboot was requested.
  std::optional<std::uint64_t> boots;
  std::uint64_t epoch = 0;     // Incremented by every move to another pool.
  std::string done_wave;       // The last wave that maintained it.
  std::uint64_t done_run = 0;  // The run of that wave.
  std::string detail;          // Why it is in its state, for operators.
  // When the state was entered, in Unix milliseconds; informational only.
  std::int64_t since_ms = 0;

  bool operator==(const HostRecord&) const = default;
};

// One host of a pool that is out of service.
struct OutEntry {
  OutReason reason = OutReason::kWave;
  std::string replaced_by;  // The host of the spare pool that replaces it.

  bool operator==(const OutEntry&) const = default;
};

// The value of the row `pool/<pool>`: the pool's hosts that are out of service
// for any cause. Every change to one of the pool's hosts writes this row, so
// that two changes decided from the same version never both commit.
struct PoolRecord {
  std::string pool;
  std::uint64_t epoch = 0;             // Incremented by every write.
  std::uint64_t document_version = 0;  // The document of the last change.
  std::string last_host;               // The host that the last write changed.
  std::map<std::string, OutEntry> out;

  bool operator==(const PoolRecord&) const = default;
};

// The state of a wave's current or last run.
enum class WaveState : std::uint8_t {
  kPlanned,
  kRunning,
  kPaused,
  kHalted,  // By failures; an operator must resume or abort it.
  kFinished,
  kAborted,
};

std::string_view NameOf(WaveState state);
std::optional<WaveState> FindWaveState(std::string_view name);

// A host that failed during a wave, and the evidence of the failure.
struct WaveFailure {
  std::string host;
  std::string evidence;

  bool operator==(const WaveFailure&) const = default;
};

// The value of the row `wave/<wave>`. It is written when the wave changes
// state, when a host fails, and when a canary goes out and returns. Every drain
// for the wave names its version, so that no host is drained once a pause or
// halt has committed. Hosts that the wave has maintained are marked in their
// own rows.
struct WaveRecord {
  std::string wave;
  WaveState state = WaveState::kPlanned;
  std::uint64_t run = 0;            // Incremented by every start.
  std::string canary;               // The canary out of service, if any.
  std::uint32_t canaries_done = 0;  // Maintained canaries of this run.
  std::vector<WaveFailure> failures;
  // How many of the failures an operator has accepted by resuming the wave.
  std::uint32_t accepted_failures = 0;
  std::string changed_by;
  std::string detail;
  // When the state was entered, in Unix milliseconds; informational only.
  std::int64_t since_ms = 0;

  bool operator==(const WaveRecord&) const = default;
};

// The table keys of the rows.
std::string HostKey(std::string_view host);
std::string PoolKey(std::string_view pool);
std::string WaveKey(std::string_view wave);

// Convert records to and from the JSON of their rows. A parse error, kInvalid,
// names the faulty member.
std::string ToJson(const HostRecord& record);
std::string ToJson(const PoolRecord& record);
std::string ToJson(const WaveRecord& record);
base::Result<HostRecord> ParseHostRecord(std::string_view json);
base::Result<PoolRecord> ParsePoolRecord(std::string_view json);
base::Result<WaveRecord> ParseWaveRecord(std::string_view json);

// Unix time in milliseconds.
std::int64_t WallMilliseconds(base::WallTime time);

}  // namespace cassiastile::fleet
