#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cassiastile/base/error.hpp"
#include "cassiastile/fleet/records.hpp"
#include "cassiastile/platform/table.hpp"

namespace cassiastile::fleet {

// A record with the version of the row that it was read from; version zero
// means that there is no row yet.
template <typename Record>
struct Stored {
  Record record;
  std::uint64_t version = 0;
};

// The rows of all pools, hosts and waves. They are read one after another, not
// as one snapshot, so that rows may be inconsistent with each other; a change
// names the version of each row that it was decided from.
struct FleetState {
  std::map<std::string, Stored<PoolRecord>> pools;
  std::map<std::string, Stored<HostRecord>> hosts;
  std::map<std::string, Stored<WaveRecord>> waves;
  platform::Precondition document_row;  // The row of the accepted document.
  std::uint64_t document_version = 0;
};

// Returns the stored pool or wave, or an empty record at version zero.
Stored<PoolRecord> FindPoolRecord(const FleetState& state,
                                  const std::string& pool);
Stored<WaveRecord> FindWaveRecord(const FleetState& state,
                                  const std::string& wave);

// Reads the state incrementally: every change to a host writes its pool's row,
// so only hosts that a changed pool row names are read again. Not thread-safe.
class StateReader {
 public:
  explicit StateReader(platform::Table& table);

  // Updates a state, which may include the caller's own changes since the last
  // read. Fails and leaves the state unchanged if the table does not answer or
  // a row can't be parsed.
  base::Result<void> Read(FleetState& state);

  // Makes the next Read read all hosts.
  void Invalidate();

 private:
  base::Result<void> ReadHosts(FleetState& next, const FleetState& last);
  base::Result<bool> ReadChangedHosts(FleetState& next, const FleetState& last);

  platform::Table& m_table;
  bool m_has_all_hosts = false;  // Whether the state has the rows of all hosts.
};

}  // namespace cassiastile::fleet
