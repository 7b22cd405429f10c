#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/jobs/scheduler.hpp"

namespace cassiastile::jobs {

// A scheduler with simulated workers, for tests. Commits succeed at once;
// orders are returned for the test to answer.
class SchedulerBench {
 public:
  explicit SchedulerBench(std::uint32_t max_attempts = 2,
                          SchedulerOptions options = {});

  // A job of one task that needs `cpu` thousandths of a core.
  static JobSpec OneTask(std::int64_t cpu = 1000);
  // A job of one long-running step.
  static JobSpec LongRunning(std::uint32_t tasks,
                             std::uint32_t max_unavailable);

  // Makes the queue's placement advisor decide from now on.
  void RequireAdvice(std::chrono::milliseconds validity);
  void AddWorker(const std::string& id, std::int64_t incarnation_ms = 1);
  void RemoveWorker(const std::string& id);
  // Changes what a worker says of itself while it runs.
  void SetDraining(const std::string& id);
  void SetZone(const std::string& id, const std::string& zone);
  void SetCapacity(const std::string& id, const Resources& capacity);
  // Puts a new version in force: the one before it with a change.
  void Configure(const std::function<void(FleetConfig&)>& change);
  // Replaces the customers by some of equal weight.
  void SetCustomers(const std::vector<std::string>& names);
  Submission Submit(const std::string& id,
                    JobSpec spec,
                    const std::string& customer = "customer",
                    std::size_t queue = 0);
  // Plans, commits all rows and returns the orders.
  Orders Step();
  // Stores the rows of a batch and tells the scheduler.
  void Commit(const Batch& batch);
  // The largest row and batch so far, and all that was written, in bytes.
  std::size_t LargestRow() const { return m_largest_row; }
  std::size_t LargestBatch() const { return m_largest_batch; }
  std::size_t StoredBytes() const { return m_stored_bytes; }
  // Number of segments that a job has in the store.
  std::size_t CountSegments(const std::string& job) const;
  // Leaves a start without an answer until its stop is confirmed.
  void Withdraw(const StartOrder& start);
  // Answers all starts with success and returns them.
  std::vector<StartOrder> Answer(const Orders& orders);
  // Steps and answers all starts.
  std::vector<StartOrder> StepAndStart();
  // The same; also answers all stops, after which no report lists their runs.
  std::vector<StartOrder> StepStartAndStop();
  void Report(const std::string& worker, const WorkerReport& report);
  // A report that lists the runs and ends of the worker.
  WorkerReport Listing(const std::string& worker) const;
  // Ends a run with this sequence number and reports it.
  void End(const StartOrder& order, RunEnd how, std::uint64_t sequence);
  // Ends runs with one report for each worker. `sequences` has the number of
  // the last end of each.
  void EndTogether(const std::vector<StartOrder>& orders,
                   RunEnd how,
                   std::map<std::string, std::uint64_t>& sequences);
  // All runs that are alive.
  std::vector<StartOrder> Running() const;
  // The jobs in the store, as the next leader reads them.
  std::vector<Job> Stored() const;
  // A bench whose scheduler has taken over from this one. Runs on workers that
  // do not report count as alive for `silent_for`.
  SchedulerBench Successor(std::chrono::milliseconds silent_for) const;
  // The same with a host that has never seen a configuration before this one.
  SchedulerBench Successor(std::chrono::milliseconds silent_for,
                           std::shared_ptr<FleetConfig> config) const;
  // The rows of KnownIncarnations in the store. An older program leaves them as
  // they are.
  std::map<std::string, std::string>& StoredIncarnations() {
    return m_known_incarnations;
  }
  void Advance(std::chrono::milliseconds by) { m_clock.Advance(by); }
  base::TimePoint Now() const { return m_clock.Now(); }
  Scheduler& GetScheduler() { return *m_scheduler; }

 private:
  void ListWorkers();
  void Store(const JobRow& row);
  // The store's clock is that of the bench.
  void SetStoreClock();

  base::ManualClock m_clock;
  std::uint32_t m_max_attempts;
  SchedulerOptions m_options;
  std::unique_ptr<Scheduler> m_scheduler;
  std::map<std::string, WorkerEntry> m_entries;
  std::map<std::string, std::vector<StartOrder>> m_running;
  std::map<std::string, std::vector<ListedEnd>> m_ended;
  std::map<std::string, std::string> m_records;
  std::map<std::string, std::string> m_progress;
  // By job, segment and place.
  std::map<std::string,
           std::map<SegmentNumber, std::map<std::uint32_t, std::string>>>
      m_segments;
  std::map<std::string, std::string> m_known_incarnations;
  std::shared_ptr<FleetConfig> m_config;
  std::size_t m_largest_row = 0;
  std::size_t m_largest_batch = 0;
  std::size_t m_stored_bytes = 0;
};

}  // namespace cassiastile::jobs
