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

// Who changes the fleet, when, and under which document version.
struct ChangeContext {
  std::string actor;
  base::WallTime wall{};
  std::uint64_t document_version = 0;
  // The row of the accepted document. A change that removes capacity names its
  // version, so that it conflicts once a newer document has been accepted.
  platform::Precondition document_row;
  // The fencing token of the shard's owner. Absent for an operator's action,
  // which any control host may make; there, the row versions alone prevent
  // conflicting changes.
  std::optional<platform::Precondition> fence;
};

// A planned transaction: the rows that the decision is based on and their new
// values. Each `Stored` holds the new record with the version that was read.
struct Change {
  std::vector<platform::Precondition> preconditions;  // Read and not written.
  std::vector<Stored<PoolRecord>> pools;
  std::vector<Stored<HostRecord>> hosts;
  std::vector<Stored<HostRecord>> removed_hosts;
  std::vector<Stored<WaveRecord>> waves;
  std::vector<platform::Write> other_writes;  // Such as an audit row.
  base::Decision decision;
};

// Builds the table transaction that commits the change.
platform::Transaction MakeTransaction(const Change& change, std::string nonce);

// Updates a state as the committed change does. The version that the state then
// holds for a row created by the change may differ from the table's, so the
// state must be read again before that row is changed.
void ApplyChange(const Change& change, FleetState& state);

// Why a host is taken out of service, and what the drain depends on.
struct DrainRequest {
  OutReason reason = OutReason::kWave;
  std::string bound_for;  // For moves: the destination pool.
  std::string replaces;   // For moves: the failed host that it replaces.
  std::string detail;     // Why this host now.
  // The wave that drains the host, if any. The change names the version of its
  // row and, for a canary, writes the row.
  std::optional<Stored<WaveRecord>> wave;
  bool canary = false;
  // The rows of the other hosts in the rack, so that the owners of two pools
  // can't both drain a host of one rack from the same state.
  std::vector<platform::Precondition> rack_rows;
};

// Takes a host out of service and starts its drain if its pool's budget allows
// it. All planned removal of capacity goes through this function. Errors:
// kConflict if the host is not in service in this pool; kOverloaded if the
// budget does not allow another host out.
base::Result<Change> StartHostDrain(const ChangeContext& context,
                                    const config::Pool* pool,
                                    const Stored<PoolRecord>& pool_record,
                                    const Stored<HostRecord>& host,
                                    const std::set<std::string>& unresponsive,
                                    const DrainRequest& request);

// Creates the row of a host that the document declares and that has no row yet.
Change RegisterHost(const ChangeContext& context,
                    const Stored<PoolRecord>& pool_record,
                    const std::string& host);

// The evidence of a host's failure. The failure is added to the row of `wave`,
// if any, and halts the wave if `halt` is set.
struct HostFailure {
  std::string evidence;
  std::optional<Stored<WaveRecord>> wave;
  bool halt = false;
};
// Marks a host as failed.
Change FailHost(const ChangeContext& context,
                const Stored<PoolRecord>& pool_record,
                const Stored<HostRecord>& host,
                const HostFailure& failure);

// Marks a drained host as rebooting; the reboot is complete once the machine's
// boot count exceeds `boots`. The change names the version of the wave's row,
// so that no host is rebooted after a halt has committed.
Change StartReboot(const ChangeContext& context,
                   const Stored<PoolRecord>& pool_record,
                   const Stored<HostRecord>& host,
                   const std::optional<Stored<WaveRecord>>& wave,
                   std::uint64_t boots);

// Starts probing a host that is up again.
Change StartProbe(const ChangeContext& context,
                  const Stored<PoolRecord>& pool_record,
                  const Stored<HostRecord>& host);

// Returns a host to service, after its probe or by undraining it. If it is its
// wave's canary, the wave's row is updated too.
Change ReturnHost(const ChangeContext& context,
                  const Stored<PoolRecord>& pool_record,
                  const Stored<HostRecord>& host,
                  const std::optional<Stored<WaveRecord>>& wave,
                  std::string detail);

// Moves a drained or failed host to its destination pool. Both pools' rows and
// the host's row change in one transaction.
Change MoveHost(const ChangeContext& context,
                const Stored<PoolRecord>& from,
                const Stored<PoolRecord>& to,
                const Stored<HostRecord>& host);

// Deletes the row of a drained or failed host that is no longer in the
// document.
Change RemoveHost(const ChangeContext& context,
                  const Stored<PoolRecord>& pool_record,
                  const Stored<HostRecord>& host);

}  // namespace cassiastile::fleet
