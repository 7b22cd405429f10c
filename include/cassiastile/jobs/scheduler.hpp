#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/jobs/admission.hpp"
#include "cassiastile/jobs/arrival_meter.hpp"
#include "cassiastile/jobs/duration_model.hpp"
#include "cassiastile/jobs/fleet_config.hpp"
#include "cassiastile/jobs/job.hpp"
#include "cassiastile/jobs/scheduler_options.hpp"
#include "cassiastile/jobs/worker_health.hpp"
#include "cassiastile/jobs/worker_view.hpp"

namespace cassiastile::jobs {

struct StartOrder {
  WorkerId worker;
  TaskId task;
  std::uint32_t run = 0;
  std::string payload;
  std::string checkpoint;
  std::string ticket;
};

struct StopOrder {
  WorkerId worker;
  TaskId task;
  std::uint32_t run = 0;
  StopReason reason = StopReason::kUnknown;
};

struct PaceOrder {
  WorkerId worker;
  TaskId task;
  std::uint32_t run = 0;
  int percent = 100;
};

// Asks the placement advisor of a queue which workers may run a step.
struct AdviceRequest {
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::vector<std::string> workers;
  std::chrono::milliseconds validity{0};
};

// What the caller must carry out. Starts come only out of Confirm.
struct Orders {
  std::vector<StartOrder> starts;
  std::vector<StopOrder> stops;
  std::vector<PaceOrder> paces;
  std::vector<AdviceRequest> advice;
};

// A row to write; no bytes means that the row goes.
struct JobRow {
  std::string job;
  bool is_record = false;  // The record, else the progress.
  std::optional<std::string> bytes;
};

// What one transaction makes last, and what may happen once it is committed.
struct Batch {
  std::vector<JobRow> rows;
  std::vector<std::pair<TaskRef, std::uint32_t>> starts;
  std::vector<std::string> accepted;
  std::vector<std::pair<std::string, JobPhase>> phases;
  // Sequence of the last end that the rows cover, by worker.
  std::vector<std::pair<WorkerId, std::uint64_t>> ends;
};

// What became of a job that was handed in.
struct Submission {
  enum class Verdict : std::uint8_t {
    kNew,      // Taken; acknowledge once its record is committed.
    kPending,  // Handed in before; its record is not committed yet.
    kKnown,    // Handed in before and committed.
    kRefused,  // Not taken; it will not run unless handed in again.
  };
  Verdict verdict = Verdict::kNew;
  RefusalReason reason = RefusalReason::kNone;
  std::chrono::milliseconds retry_after{0};
  // What decided: the wait behind other work, what the job could bear, the
  // time since it was first handed in, and whether its customer was beyond its
  // share.
  std::chrono::milliseconds wait{0};
  std::chrono::milliseconds slack{0};
  std::chrono::milliseconds age{0};
  bool beyond_share = false;
};

// A worker as the scheduler knows it.
struct WorkerState {
  WorkerEntry entry;
  bool listed = false;        // In the platform's list now.
  bool has_reported = false;  // Has reported in this term of the scheduler.
  base::TimePoint last_report{};
  // After this nothing that was ordered so far can still run there.
  base::TimePoint lease_bound{};
  Resources used;               // By runs that may be alive.
  Resources long_running_used;  // The part of it used by long-running tasks.
  std::int64_t long_running_runs = 0;  // Long-running ones that are no fillers.
  // Kept free in this round for a task that fits nowhere yet.
  Resources reserved;
  std::vector<std::pair<TaskRef, std::uint32_t>> runs;
  std::uint64_t last_end = 0;   // Newest end seen.
  std::uint64_t acked_end = 0;  // Newest end that the store covers.
  WorkerHealth health;
  bool terminated = false;    // This life was ended on purpose.
  bool silent = false;        // Did not answer the last time.
  bool cordoned = false;      // About to move or to be maintained.
  bool wants_report = false;  // A report sent now would decide something.

  // Books a run of a step, and takes it off again.
  void Use(const StepSpec& step);
  void Release(const StepSpec& step);
};

// Decides which tasks run where. Pure: observations and the time go in, orders
// and rows come out. One scheduler is in office at a time; what it orders is
// recorded in the store first, so that its successor knows each run that may
// be alive.
class Scheduler {
 public:
  explicit Scheduler(SchedulerOptions options);

  void ApplyConfig(std::shared_ptr<const FleetConfig> config);

  // Takes over the jobs of a predecessor. Runs at workers that do not report
  // count as alive until `latest_lease_end`.
  void Recover(std::vector<Job> jobs,
               base::TimePoint now,
               base::WallTime wall,
               base::TimePoint latest_lease_end);

  // Callers.
  Submission Submit(const std::string& id,
                    const QueueConfig& queue,
                    const std::string& customer,
                    JobSpec spec,
                    base::TimePoint now,
                    base::WallTime wall);
  // False when there is no such job. Acknowledge once the phase is committed.
  bool Cancel(const std::string& id, base::TimePoint now);
  const Job* FindJob(const std::string& id) const;
  std::size_t QueuedJobs(const std::string& queue) const;

  // Observations.
  void WorkersListed(const std::vector<WorkerEntry>& entries,
                     base::TimePoint now);
  // `asked_at` is when the report was asked for.
  void WorkerReported(const std::string& worker,
                      const WorkerReport& report,
                      base::TimePoint asked_at,
                      base::TimePoint now);
  void WorkerSilent(const std::string& worker, base::TimePoint now);
  // The platform says that this life of a worker is over.
  void WorkerGone(const WorkerId& worker, base::TimePoint now);
  // The same, by an order of our own: there is no need to ask it any more.
  void WorkerTerminated(const WorkerId& worker, base::TimePoint now);
  // An order was sent that lets the worker go on until `bound`.
  void LeaseSent(const std::string& worker, base::TimePoint bound);
  void StartAnswered(const WorkerId& worker,
                     const TaskId& task,
                     std::uint32_t run,
                     StartResult result,
                     base::TimePoint now);
  // A stop was answered: the run ends soon and will not start any more.
  void StopAnswered(const WorkerId& worker,
                    const TaskId& task,
                    std::uint32_t run,
                    base::TimePoint now);
  void AdviceAnswered(
      const AdviceRequest& request,
      const std::vector<std::pair<std::string, std::string>>& allowed,
      std::chrono::milliseconds validity,
      base::TimePoint now);

  // Drops what can't be alive any more, begins occurrences that are due and
  // places waiting tasks.
  void Plan(base::TimePoint now, base::WallTime wall);

  // What is to be written next, at most `max_rows` rows; empty if nothing is.
  Batch TakeBatch(std::size_t max_rows, base::TimePoint now);
  // Whether something waits for a write that should not be put off.
  bool HasUrgentRows() const { return m_urgent; }
  bool HasRows() const { return !m_dirty.empty(); }
  void Confirm(const Batch& batch, base::TimePoint now);

  // Orders since the last call.
  Orders TakeOrders();

  // Whether all that may run on a machine may be ended now without taking more
  // tasks of a step away than it allows. Counts workers that are not listed,
  // too: a run of theirs may be alive.
  bool CanDrainMachine(const std::string& machine) const;
  // Stops those long-running tasks of a withheld worker that may be taken away
  // now; they start again elsewhere.
  void Evacuate(const std::string& worker, base::TimePoint now);
  // A task that forbids it, or nothing.
  std::optional<TaskId> DrainBlocker(const std::string& machine) const;
  // Everything on a worker is about to be ended on purpose.
  void MarkVacated(const std::string& worker, base::TimePoint now);
  // Places nothing more on a worker that is about to be taken away.
  void SetCordoned(const std::string& worker, bool cordoned);
  // What the pools' planner looks at.
  struct PoolLoad {
    Resources capacity;
    Resources used;
    Resources long_running_used;  // Used by long-running tasks.
    Resources unplaced;           // Needed by tasks that found no room.
    Work backlog;                 // Left of the jobs that are worth something.
    Work arriving_work;           // Handed in per millisecond.
    std::size_t workers = 0;
    // Distinct workers that long-running steps need, with one to move to.
    std::size_t min_workers = 0;
  };
  using PoolLoads = std::map<std::string, PoolLoad>;  // By service.
  PoolLoads GetPoolLoads(base::TimePoint now);
  // Capacity on its way to each pool.
  void SetArrivingCapacity(std::map<std::string, Resources> arriving) {
    m_arriving = std::move(arriving);
  }

  const std::map<std::string, WorkerState>& Workers() const {
    return m_workers;
  }
  WorkerState* FindWorker(const std::string& id);
  // The newest listed worker that lives on a machine, or null.
  const WorkerState* FindWorkerOnMachine(const std::string& machine) const;
  std::size_t JobCount() const { return m_jobs.size(); }

  // How long tasks take, as a predecessor has learnt it; before Recover.
  void SetDurations(DurationModel durations) {
    m_durations = std::move(durations);
  }
  const DurationModel& Durations() const { return m_durations; }

 private:
  // What admission weighs a new job against.
  struct PoolView {
    base::TimePoint taken_at{};
    Work backlog;    // Left of the jobs that are worth something.
    Resources pool;  // What finite tasks can use, with what is on its way.
    Resources free;  // Now, less what waits for room.
  };

  struct Advice {
    base::TimePoint valid_until{};
    base::TimePoint asked_at{};
    std::map<std::string, std::string> ticket_of_worker;
    std::set<std::string> asked;
  };

  // scheduler.cpp
  void MarkDirty(Job& job, bool urgent);
  void Finish(Job& job, JobPhase phase, base::TimePoint now);
  void StopAllRuns(Job& job, base::TimePoint now);
  void ReleaseFinished(base::TimePoint now);
  void IndexMachines();
  std::string ServiceOf(const Job& job) const;
  const QueueConfig* QueueOf(const Job& job) const;
  bool IsBeyondShare(const std::string& customer, base::TimePoint now);
  PoolView& ViewOf(const std::string& service, base::TimePoint now);
  AdmissionInput MakeAdmissionInput(const Job& job, base::TimePoint now);
  void SetObjective(Job& job, const QueueConfig& queue);

  // scheduler_runs.cpp
  Run* FindRun(const TaskRef& ref, std::uint32_t number);
  std::optional<TaskRef> Resolve(const TaskId& id);
  void BeginRun(const TaskRef& ref, WorkerState& worker, base::TimePoint now);
  // Takes a run off the books and, unless its task is over, lists the task as
  // waiting again.
  void DropRun(const TaskRef& ref, std::uint32_t number, base::TimePoint now);
  void DropRunsOf(WorkerState& worker,
                  std::int64_t incarnation_ms,
                  base::TimePoint now);
  void StopRun(const TaskRef& ref,
               Run& run,
               StopReason reason,
               base::TimePoint now);
  void EndRun(const TaskRef& ref,
              WorkerState& worker,
              const ListedEnd& end,
              base::TimePoint now);
  void TaskDone(const TaskRef& ref, base::TimePoint now);
  void TaskFailed(const TaskRef& ref,
                  std::uint32_t run,
                  const std::string& worker,
                  base::TimePoint now);
  // The task that is listed, if it is known.
  std::optional<TaskRef> NoteListed(WorkerState& worker,
                                    const ListedRun& listed,
                                    base::TimePoint now);
  void ExpireRuns(base::TimePoint now);

  // scheduler_place.cpp
  void BeginDueOccurrences(base::WallTime wall);
  void PlaceService(const std::string& service,
                    std::vector<Job*>& jobs,
                    base::TimePoint now);
  void PlaceStep(Job& job,
                 Occurrence& occurrence,
                 std::uint32_t step,
                 std::vector<WorkerState*>& workers,
                 base::TimePoint now);
  bool PlaceGang(Job& job,
                 Occurrence& occurrence,
                 std::uint32_t step,
                 std::vector<WorkerState*>& workers,
                 base::TimePoint now);
  // Whether no worker has room for a task, whatever else it asks for.
  bool IsFull(const Resources& need, const std::vector<WorkerState*>& workers);
  // Keeps what becomes free on one worker for a task that found no room.
  void Reserve(const TaskRef& ref,
               const std::vector<WorkerState*>& workers,
               const Advice* advice);
  bool MayHost(const WorkerState& worker,
               const TaskRef& ref,
               const Advice* advice) const;
  WorkerState* Choose(const TaskRef& ref,
                      const std::vector<WorkerState*>& workers,
                      const Advice* advice) const;
  bool IsAtWork(const Run& run) const;
  // Whether a task's step allows that all of its runs on a worker end.
  bool MayEndWith(const TaskRef& ref, const std::string& worker) const;
  // Tasks of the same step, this one left out, that do not serve now.
  std::uint32_t AwayBeside(const TaskRef& ref) const;
  bool WithinLimit(const Job& job, const Resources& need) const;
  bool IsUsable(const WorkerState& worker, base::TimePoint now) const;
  const Advice* AdviceFor(Job& job,
                          const Occurrence& occurrence,
                          std::uint32_t step,
                          const std::vector<WorkerState*>& workers,
                          base::TimePoint now);

  // scheduler_care.cpp
  void CareForRuns(base::TimePoint now);
  void PaceFillers(WorkerState& worker, base::TimePoint now);
  void MoveStuckRun(const TaskRef& ref, Run& run, base::TimePoint now);
  void LeaveDrainingWorker(WorkerState& worker, base::TimePoint now);

  SchedulerOptions m_options;
  std::shared_ptr<const FleetConfig> m_config;
  std::map<std::string, std::unique_ptr<Job>> m_jobs;
  std::map<std::string, Job*> m_open;  // Those of them not finished.
  std::map<std::string, WorkerState> m_workers;
  // Ids of the workers known on each machine, listed or not.
  std::unordered_map<std::string, std::vector<std::string>>
      m_workers_on_machine;
  std::map<std::string, Resources> m_used_by_customer;
  FirstArrivals m_first_arrivals;
  std::map<std::string, ArrivalMeter> m_customer_arrivals;
  std::map<std::string, ArrivalMeter> m_arrivals;  // By service.
  std::map<std::string, Resources> m_arriving;     // By service.
  std::map<std::string, Resources> m_unplaced;     // By service.
  std::map<std::string, PoolView> m_views;         // By service.
  // Needs that were found to fit nowhere in this round of a service.
  std::vector<Resources> m_full_for;
  std::size_t m_reserved_for_finite = 0;  // In this round of a service.
  base::TimePoint m_cared_at{};
  std::map<std::string, Advice> m_advice;  // By job, occurrence and step.
  std::unordered_set<Job*> m_dirty;
  std::vector<std::string> m_dropped_jobs;  // Rows to remove.
  std::vector<Job*> m_to_release;
  DurationModel m_durations;
  bool m_urgent = false;
  Orders m_orders;
  std::vector<std::pair<TaskRef, std::uint32_t>> m_planned;
};

}  // namespace cassiastile::jobs
