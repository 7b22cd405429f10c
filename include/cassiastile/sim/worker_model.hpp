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

// Observes the runs of workers.
class RunObserver {
 public:
  virtual ~RunObserver() = default;
  virtual void RunStarted(const jobs::WorkerId& worker,
                          const jobs::StartOrder& order) = 0;
  virtual void RunEnded(const jobs::WorkerId& worker,
                        const jobs::TaskId& task,
                        std::uint32_t run,
                        jobs::RunEnd how) = 0;
  // The scheduler has acknowledged a successful end, which is final.
  // `lease_held` says whether the lease was valid all the time in between.
  virtual void EndAcknowledged(const jobs::TaskId& task,
                               std::uint32_t run,
                               bool lease_held) = 0;
};

// Models one incarnation of a worker: its fencing token, lease and runs, and
// the list of ended runs, of which a report contains the oldest 500. Time is
// passed in, and Advance must be called at NextEvent or later. Not thread-safe.
class WorkerModel {
 public:
  // The observer must outlive the model. The worker's own clock runs at
  // `clock_rate`.
  WorkerModel(jobs::WorkerEntry entry,
              base::TimePoint started,
              RunObserver& observer,
              double clock_rate = 1.0);

  // Starts a run, and extends the lease to `lease_until` by the worker's own
  // clock. `step` says what the task needs and how long it takes; `fence` is
  // the leader's fencing token.
  jobs::StartResult Start(const jobs::StartOrder& order,
                          const jobs::StepSpec& step,
                          std::uint64_t fence,
                          std::chrono::milliseconds lease_until,
                          base::TimePoint now);
  // Stops a run, which ends 0.15 s later, and refuses its start from then on.
  // Returns false when a newer fencing token has been seen.
  bool Stop(const jobs::TaskId& task,
            std::uint32_t run,
            std::uint64_t fence,
            base::TimePoint now);
  // Extends the lease and drops acknowledged ends. Returns false when a newer
  // fencing token has been seen.
  bool ExtendLease(const host::LeaseExtension& extension, base::TimePoint now);
  // The report of the worker, with its runs and ends.
  jobs::WorkerReport Report(base::TimePoint now) const;
  // Ends the runs that are done, or whose lease has expired, by `now`.
  void Advance(base::TimePoint now);
  // When the next run is done or the lease expires; nothing without runs.
  std::optional<base::TimePoint> NextEvent() const;
  // Ends all runs without listing them, as in a crash.
  void Crash();

  const jobs::WorkerEntry& Entry() const { return m_entry; }
  // Whether ends have not been acknowledged yet.
  bool HasEnds() const { return !m_ended.empty(); }
  std::size_t RunCount() const { return m_running.size(); }
  // The worker's own clock: the time since it started.
  std::chrono::milliseconds Clock(base::TimePoint now) const;
  // When the lease ends unless it is extended.
  base::TimePoint LeaseEnd() const;

 private:
  struct Run {
    std::uint32_t number = 0;
    base::TimePoint began{};
    base::TimePoint ends{};  // Zero for a long-running task.
    // When a stop that has been answered is complete; zero before a stop.
    base::TimePoint stops{};
    jobs::Resources need;
  };

  // When a run ends, if nothing changes.
  base::TimePoint EndOf(const Run& run) const;
  // Extends the lease to a time of its own clock, by 10 s at most.
  void HoldUntil(std::chrono::milliseconds until, base::TimePoint now);
  // Notes an expiry of the lease up to now.
  void NoteExpiry(base::TimePoint now);
  void Finish(const jobs::TaskId& task, jobs::RunEnd how);

  jobs::WorkerEntry m_entry;
  base::TimePoint m_started;
  RunObserver& m_observer;
  double m_clock_rate;
  std::uint64_t m_fence = 0;
  // End of the lease, by its own clock.
  std::chrono::milliseconds m_lease_until{0};
  jobs::Resources m_used;
  std::map<jobs::TaskId, Run> m_running;
  // For each task, the number up to which its runs are refused.
  std::map<jobs::TaskId, std::uint32_t> m_refused_up_to;
  std::vector<jobs::ListedEnd> m_ended;
  std::uint64_t m_sequence = 0;  // Of the last listed end.
  // Sequence number up to which the lease has expired since the end.
  std::uint64_t m_expired_up_to = 0;
};

}  // namespace cassiastile::sim
