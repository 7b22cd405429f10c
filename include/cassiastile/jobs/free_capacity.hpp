#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "cassiastile/jobs/worker_state.hpp"

namespace cassiastile::jobs {

// What the workers of a pool have free in one planning round, packed so that
// looking for room for a task reads a few bytes of each worker instead of its
// whole state. Refers to workers by their position in the pool.
class FreeCapacity {
 public:
  // Takes the pool's workers, in the order in which equal ones are preferred.
  // They must outlive the round.
  void Reset(const std::vector<WorkerState*>& workers);
  // Takes over that a worker's `used`, `reserved` or `withheld` has changed.
  // Does nothing for a worker that is not of the pool.
  void Update(const WorkerState& worker);

  // Whether any worker has room for this need.
  bool HasRoom(const Resources& need) const;
  // Calls `visit` with each worker that has room, in order, and with how much
  // CPU it has unused. `visit` returns the least unused CPU that is of no
  // interest any more; workers with as much or more are left out from then on.
  template <typename Visit>
  void ForEachWithRoom(const Resources& need, Visit visit) const {
    std::int64_t limit = kNoLimit;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
      const Entry& entry = m_entries[i];
      if (entry.unused_cpu < limit && Fits(need, entry.free)) {
        limit = visit(*m_workers[i], entry.unused_cpu);
      }
    }
  }
  static constexpr std::int64_t kNoLimit = INT64_MAX;

 private:
  struct Entry {
    Resources free;  // Without what is reserved or withheld.
    std::int64_t unused_cpu = 0;
  };
  static Entry MakeEntry(const WorkerState& worker);

  std::vector<Entry> m_entries;
  std::vector<WorkerState*> m_workers;
};

}  // namespace cassiastile::jobs
