#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cassiastile/base/error.hpp"
#include "cassiastile/fleet/records.hpp"
#include "cassiastile/platform/table.hpp"

namespace cassiastile::fleet {

// A record with the version of the row that it was read from; zero where there
// is no row yet.
template <typename Record>
struct Stored {
  Record record;
  std::uint64_t version = 0;
};

// The rows of all pools, hosts and waves, as read one after another. Nothing
// holds between rows; a change names the version of each row that it was
// decided from.
struct FleetState {
  std::map<std::string, Stored<PoolRecord>> pools;
  std::map<std::string, Stored<HostRecord>> hosts;
  std::map<std::string, Stored<WaveRecord>> waves;
  platform::Precondition head;  // The row of the accepted document.
  std::uint64_t document_version = 0;
};

// The stored pool or wave, or an empty record at version zero.
Stored<PoolRecord> FindPoolRecord(const FleetState& state,
                                  const std::string& pool);
Stored<WaveRecord> FindWaveRecord(const FleetState& state,
                                  const std::string& wave);

// Reads the state and keeps reads small: every change to a host writes its
// pool's row, so that only the hosts of pools whose row has changed are read
// again. Not safe for use by several threads.
class StateReader {
 public:
  explicit StateReader(platform::Table& table);

  // Brings a state up to date; it may hold what the caller itself has changed
  // since. Fails, leaving the state as it is, when the table does not answer or
  // a row can't be read.
  base::Result<void> Read(FleetState& state);

  // Reads everything at the next read.
  void Forget();

 private:
  base::Result<void> ReadHosts(FleetState& next, const FleetState& last);
  base::Result<bool> ReadChangedHosts(FleetState& next, const FleetState& last);

  platform::Table& m_table;
  bool m_whole = false;  // Whether the state has all hosts.
};

}  // namespace cassiastile::fleet
