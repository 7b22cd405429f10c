#include "cassiastile/jobs/free_capacity.hpp"

#include <algorithm>

namespace cassiastile::jobs {

FreeCapacity::Entry FreeCapacity::MakeEntry(const WorkerState& worker) {
  const Resources& capacity = worker.entry.capacity;
  return {capacity - worker.used - worker.unaccounted - worker.reserved -
              worker.withheld,
          capacity.cpu - worker.used.cpu};
}

void FreeCapacity::Reset(const std::vector<WorkerState*>& workers) {
  m_workers = workers;
  m_entries.clear();
  m_entries.reserve(workers.size());
  for (std::size_t i = 0; i < workers.size(); ++i) {
    workers[i]->position_in_pool = i;
    m_entries.push_back(MakeEntry(*workers[i]));
  }
}

void FreeCapacity::Update(const WorkerState& worker) {
  const std::size_t position = worker.position_in_pool;
  if (position < m_workers.size() && m_workers[position] == &worker) {
    m_entries[position] = MakeEntry(worker);
  }
}

bool FreeCapacity::HasRoom(const Resources& need) const {
  return std::ranges::any_of(m_entries, [&need](const Entry& entry) {
    return Fits(need, entry.free);
  });
}

}  // namespace cassiastile::jobs
