#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/decision.hpp"
#include "cassiastile/base/error.hpp"
#include "cassiastile/fleet/records.hpp"
#include "cassiastile/fleet/state.hpp"
#include "cassiastile/platform/table.hpp"

namespace cassiastile::fleet {

// Who changes the fleet, when, and by which document.
struct ChangeContext {
  std::string actor;
  base::WallTime wall{};
  std::uint64_t document_version = 0;
  // The row of the accepted document: a change that takes capacity names its
  // version, so that it does not apply once a newer document is accepted.
  platform::Precondition head;
  // The fence of the shard's owner; nothing for an operator's act on another
  // control host, which the versions of the rows alone keep safe.
  std::optional<platform::Precondition> fence;
};

// One transaction to be: the rows it was decided from and what they become. A
// stored record stands for its new value at the version it was read at.
struct Change {
  std::vector<platform::Precondition> preconditions;  // Read and not written.
  std::vector<Stored<PoolRecord>> pools;
  std::vector<Stored<HostRecord>> hosts;
  std::vector<Stored<HostRecord>> removed_hosts;
  std::vector<Stored<WaveRecord>> waves;
  std::vector<platform::Write> other_writes;  // Such as an audit row.
  base::Decision decision;
};

platform::Transaction MakeTransaction(const Change& change, std::string nonce);

// Brings a state up to what it is once the change has been applied. A row that
// the change made has an unknown version then; the state must be read again
// before that row is changed.
void ApplyChange(const Change& change, FleetState& state);

// What takes a host out of service and by what right.
struct DrainRequest {
  OutReason reason = OutReason::kWave;
  std::string bound_for;      // For moves.
  std::string stands_in_for;  // For moves that replace a failed host.
  std::string detail;         // Why this host now.
  // The wave; the take names its row and, for a canary, writes it.
  std::optional<Stored<WaveRecord>> wave;
  bool canary = false;
  // Rows of the other hosts in the rack: two pools' owners that take from one
  // rack at once can't both succeed.
  std::vector<platform::Precondition> rack_rows;
};

// Takes a host that is in service, if its pool's budget has room: the one way
// by which planned work takes capacity. kConflict when the host is not in
// service in this pool, kOverloaded when the budget has no room.
base::Result<Change> StartHostDrain(const ChangeContext& context,
                                    const config::Pool* pool,
                                    const Stored<PoolRecord>& pool_record,
                                    const Stored<HostRecord>& host,
                                    const std::set<std::string>& unresponsive,
                                    const DrainRequest& order);

// Adds a host that the document names and no row has yet.
Change RegisterHost(const ChangeContext& context,
                    const Stored<PoolRecord>& pool_record,
                    const std::string& host);

// Notes that a host failed by itself, with what was seen. A host that a wave
// had in hand is noted in the wave's row as well, which halts the wave when
// `halt` says so.
struct HostFailure {
  std::string evidence;
  std::optional<Stored<WaveRecord>> wave;
  bool halt = false;
};
Change FailHost(const ChangeContext& context,
                const Stored<PoolRecord>& pool_record,
                const Stored<HostRecord>& host,
                const HostFailure& order);

// Puts a drained host into its reboot, which has happened once the machine
// counts more than `boots`. The wave that took it must not have changed, so
// that nothing is rebooted once a halt has committed.
Change StartReboot(const ChangeContext& context,
                   const Stored<PoolRecord>& pool_record,
                   const Stored<HostRecord>& host,
                   const std::optional<Stored<WaveRecord>>& wave,
                   std::uint64_t boots);

// Starts to probe a host that is back up.
Change StartProbe(const ChangeContext& context,
                  const Stored<PoolRecord>& pool_record,
                  const Stored<HostRecord>& host);

// Puts a host back into service, whether given back undrained or probed. Where
// it is its wave's canary, the wave's row goes along.
Change ReturnHost(const ChangeContext& context,
                  const Stored<PoolRecord>& pool_record,
                  const Stored<HostRecord>& host,
                  const std::optional<Stored<WaveRecord>>& wave,
                  std::string detail);

// Moves a drained or failed host to the pool that it is bound for: both pools'
// rows and the host's in one.
Change MoveHost(const ChangeContext& context,
                const Stored<PoolRecord>& from,
                const Stored<PoolRecord>& to,
                const Stored<HostRecord>& host);

// Deletes the row of a drained or failed host that the document no longer has.
Change RemoveHost(const ChangeContext& context,
                  const Stored<PoolRecord>& pool_record,
                  const Stored<HostRecord>& host);

}  // namespace cassiastile::fleet
