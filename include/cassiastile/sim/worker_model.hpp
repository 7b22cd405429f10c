#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/host/ports.hpp"
#include "cassiastile/jobs/job.hpp"
#include "cassiastile/jobs/scheduler.hpp"

namespace cassiastile::sim {

// Sees what becomes of runs.
class RunObserver {
 public:
  virtual ~RunObserver() = default;
  virtual void RunStarted(const jobs::WorkerId& worker,
                          const jobs::StartOrder& order) = 0;
  virtual void RunEnded(const jobs::WorkerId& worker,
                        const jobs::TaskId& task,
                        std::uint32_t run,
                        jobs::RunEnd how) = 0;
  // The scheduler has acknowledged a successful end; it counts for good.
  virtual void EndAcknowledged(const jobs::TaskId& task) = 0;
};

// One life of a worker: fences, leases, runs and the list of their ends. Time
// is passed in, and Advance must be called at or after NextEvent.
class WorkerModel {
 public:
  // The watch must outlive the model.
  WorkerModel(jobs::WorkerEntry entry,
              base::TimePoint began,
              RunObserver& watch);

  // `step` says what the task needs and how long it takes.
  jobs::StartResult Start(const jobs::StartOrder& order,
                          const jobs::StepSpec& step,
                          std::uint64_t fence,
                          std::chrono::milliseconds until,
                          base::TimePoint now);
  // False when the fence is too low.
  bool Stop(const jobs::TaskId& task,
            std::uint32_t run,
            std::uint64_t fence,
            base::TimePoint now);
  // Whether the fence is high enough; takes note of acknowledged ends.
  bool Extend(const host::LeaseExtension& extension, base::TimePoint now);
  jobs::WorkerReport Report(base::TimePoint now) const;
  void Advance(base::TimePoint now);
  std::optional<base::TimePoint> NextEvent() const;
  // Nothing runs any more; ends are not listed.
  void Die();

  const jobs::WorkerEntry& Entry() const { return m_entry; }
  bool HasEnds() const { return !m_ended.empty(); }
  std::chrono::milliseconds Clock(base::TimePoint now) const;

 private:
  struct Run {
    std::uint32_t number = 0;
    base::TimePoint began{};
    base::TimePoint ends{};  // Zero for a long-running task.
    jobs::Resources need;
  };

  void Finish(const jobs::TaskId& task, jobs::RunEnd how);

  jobs::WorkerEntry m_entry;
  base::TimePoint m_began;
  RunObserver& m_watch;
  std::uint64_t m_fence = 0;
  std::chrono::milliseconds m_until{0};  // Of the lease, by its own clock.
  jobs::Resources m_used;
  std::map<jobs::TaskId, Run> m_running;
  std::map<jobs::TaskId, std::uint32_t> m_closed;  // Highest run refused.
  std::vector<jobs::ListedEnd> m_ended;
  std::uint64_t m_sequence = 0;
};

}  // namespace cassiastile::sim
