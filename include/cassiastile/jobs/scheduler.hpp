#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/jobs/admission.hpp"
#include "cassiastile/jobs/advice_calls.hpp"
#include "cassiastile/jobs/arrival_meter.hpp"
#include "cassiastile/jobs/duration_model.hpp"
#include "cassiastile/jobs/fleet_config.hpp"
#include "cassiastile/jobs/free_capacity.hpp"
#include "cassiastile/jobs/job.hpp"
#include "cassiastile/jobs/known_incarnations.hpp"
#include "cassiastile/jobs/orders.hpp"
#include "cassiastile/jobs/planning_work.hpp"
#include "cassiastile/jobs/pool_shares.hpp"
#include "cassiastile/jobs/scheduler_options.hpp"
#include "cassiastile/jobs/worker_state.hpp"
#include "cassiastile/jobs/worker_view.hpp"
#include "cassiastile/jobs/zone_evacuations.hpp"

namespace cassiastile::jobs {

// Why a long-running task has no confirmed run.
enum class StallReason : std::uint8_t {
  kNotPlaced,     // No usable worker has room for it.
  kOverLimit,     // Its customer's limit is reached.
  kBound,         // A withdrawn start binds it to a worker.
  kNotCommitted,  // Placed; its row is not committed yet.
  kStarting,      // The start order is not answered yet.
  kStartUnknown,  // The outcome of the start order is unknown.
  kStopping,      // A run is being stopped.
  kNotConfirmed,  // Recovered; its worker has not reported yet.
};

inline constexpr std::array<base::EnumName<StallReason>, 8> kStallReasonNames{{
    {StallReason::kNotPlaced, "not placed"},
    {StallReason::kOverLimit, "over limit"},
    {StallReason::kBound, "bound"},
    {StallReason::kNotCommitted, "not committed"},
    {StallReason::kStarting, "starting"},
    {StallReason::kStartUnknown, "start unknown"},
    {StallReason::kStopping, "stopping"},
    {StallReason::kNotConfirmed, "not confirmed"},
}};

// A long-running task without a confirmed run, and its worker, if it has a run
// or is bound to one.
struct StalledTask {
  TaskId task;
  StallReason reason = StallReason::kNotPlaced;
  base::Duration stalled{};
  std::string worker;
};

// A row of the store to write, or to remove if it has no bytes.
struct JobRow {
  std::string job;
  bool is_record = false;  // The job's record, else of its progress.
  std::optional<std::string> bytes;
  // The segment of the progress that the row is of; none for the job's own row.
  std::optional<SegmentNumber> segment;
  std::uint32_t place = 0;  // Among the rows of the segment.
};

// The rows of one transaction, and what may take effect once it is committed.
struct Batch {
  std::vector<JobRow> rows;
  // Starts to order, as task and run number.
  std::vector<std::pair<TaskRef, std::uint32_t>> starts;
  std::vector<std::string> accepted;  // Jobs whose acceptance it commits.
  std::vector<std::pair<std::string, JobPhase>> phases;  // By job.
  std::vector<std::string> removed;  // Forgotten jobs whose rows it deletes.
  // Sequence number of the last end that the rows cover, by worker.
  std::vector<std::pair<WorkerId, std::uint64_t>> ends;
};

// What is left of a finished job until its rows are removed.
struct ForgottenJob {
  JobPhase phase = JobPhase::kDone;
  std::string customer;
};

// The outcome of a job submission.
struct Submission {
  enum class Verdict : std::uint8_t {
    kNew,      // Accepted; acknowledge once its record is committed.
    kPending,  // Submitted before; its record is not committed yet.
    kKnown,    // Submitted before and committed.
    kRefused,  // Not accepted; it will not run unless submitted again.
  };
  Verdict verdict = Verdict::kNew;
  RefusalReason reason = RefusalReason::kNone;
  std::chrono::milliseconds retry_after{0};
  // The values behind a refusal: the expected wait, the longest wait with which
  // the job meets its objective, the time since it was first submitted, and
  // whether its customer was beyond its share.
  std::chrono::milliseconds wait{0};
  std::chrono::milliseconds slack{0};
  std::chrono::milliseconds age{0};
  bool beyond_share = false;
  // The part of the pool that its customer can count on; 1 unless the pool is
  // divided by weight and the customer is within its share.
  double share = 1.0;
};

// Decides which tasks run where, on the leader only and without I/O:
// observations and the time go in, orders and rows come out. Each start is
// recorded in the store before it is ordered, so that the next leader knows
// every run that may be alive. Not thread-safe.
class Scheduler {
 public:
  explicit Scheduler(SchedulerOptions options);

  // Replaces the configuration.
  void ApplyConfig(std::shared_ptr<const FleetConfig> config);

  // Tells what the store's clock shows now, at the earliest and at the latest.
  void SetStoreClock(std::chrono::milliseconds earliest,
                     std::chrono::milliseconds latest,
                     base::TimePoint now);
  // Takes over the jobs of the previous leader. Runs on workers that do not
  // report count as alive until `latest_lease_end`, or longer by
  // Incarnations(). These must have been recovered before, and the store's
  // clock must be known.
  void Recover(std::vector<Job> jobs,
               base::TimePoint now,
               base::WallTime wall,
               base::TimePoint latest_lease_end);

  // Requests of callers.

  // Accepts or refuses a job, or says that it was accepted before.
  Submission Submit(const std::string& id,
                    const QueueConfig& queue,
                    const std::string& customer,
                    JobSpec spec,
                    base::TimePoint now,
                    base::WallTime wall);
  // Removes a submitted job whose record no batch has had, so that it surely
  // does not run. Returns whether it was removed.
  bool Withdraw(const std::string& id, base::TimePoint now);
  // Cancels a job unless it is finished; acknowledge once its phase is
  // committed. Returns false when there is no such job.
  bool Cancel(const std::string& id, base::TimePoint now);
  // The job, or null.
  const Job* FindJob(const std::string& id) const;
  // A finished job that is forgotten, but whose rows the next leader may still
  // read; or null.
  const ForgottenJob* FindForgotten(const std::string& id) const;
  // Whether an unfinished job is to run on workers of this service.
  bool IsServiceInUse(const std::string& service) const;
  // Number of accepted jobs of a queue that have not started.
  std::size_t CountQueuedJobs(const std::string& queue) const;

  // Observations of workers, and answers to orders.

  // The platform's whole list was read. A later incarnation of a worker drops
  // the listed runs of the one before and takes over the others. Entries are
  // written late and start times come from clocks that may be set back, so the
  // entry of another incarnation counts only for a worker that does not answer;
  // others are asked for a report. An unlisted worker is kept while it has runs
  // or its lease may be valid.
  void WorkersListed(const std::vector<WorkerEntry>& entries,
                     base::TimePoint now);
  // The list that was given last lacked no change that the platform had at
  // `as_of`.
  void ListConfirmed(base::TimePoint as_of);
  // A worker has reported; `asked_at` is when the report was requested. A run
  // that is missing from it has ended if it was recovered or was confirmed
  // before `asked_at`; it is stopped if its start became unknown before that. A
  // report without all ends settles no run that is missing from it. Returns
  // false for the report of a former incarnation, which is ignored. A report
  // that was requested after the last sign of the current incarnation comes
  // from that one or a later one, whatever their start times.
  bool WorkerReported(const std::string& worker,
                      const WorkerReport& report,
                      base::TimePoint asked_at,
                      base::TimePoint now);
  // A call to the worker got no answer.
  void WorkerSilent(const std::string& worker, base::TimePoint now);
  // The platform said at `seen_at` that the worker's machine is down: all its
  // incarnations up to then have ended. It may come back under the same id.
  void WorkerGone(const WorkerId& worker,
                  base::TimePoint seen_at,
                  base::TimePoint now);
  // The worker's machine has another worker: none of this id comes back.
  void WorkerReplaced(const WorkerId& worker, base::TimePoint now);
  // The same, by the leader's own order: the worker need not be asked for
  // reports any more.
  void WorkerTerminated(const WorkerId& worker, base::TimePoint now);
  // A lease is sent to the worker that ends at `bound` at the latest.
  void LeaseSent(const std::string& worker,
                 base::TimePoint bound,
                 base::TimePoint now);
  // A start was answered by a clock that is not the one of this incarnation:
  // by the next one, which has not reported yet.
  void UnheardIncarnationAnswered(const WorkerId& worker, base::TimePoint now);
  // A call that acknowledges ends was sent to the worker, and was answered.
  void AcknowledgementSent(const std::string& worker, base::TimePoint now);
  void AcknowledgementAnswered(const std::string& worker,
                               base::TimePoint sent_at);
  // A start order was answered, or its outcome is unknown.
  void StartAnswered(const WorkerId& worker,
                     const TaskId& task,
                     std::uint32_t run,
                     StartResult result,
                     base::TimePoint now);
  // A stop order was answered: the run ends soon and cannot start any more.
  void StopAnswered(const WorkerId& worker,
                    const TaskId& task,
                    std::uint32_t run,
                    base::TimePoint now);
  // The advisor has answered, maybe late. `allowed` holds the ids of workers
  // that may run the step, with their placement tickets.
  void AdviceAnswered(
      const AdviceRequest& request,
      const std::vector<std::pair<std::string, std::string>>& allowed,
      std::chrono::milliseconds validity,
      base::TimePoint now);
  // The advisor turned a call away, or gave no answer in time. Returns for how
  // long it is asked nothing.
  std::chrono::milliseconds AdviceFailed(const AdviceRequest& request,
                                         base::TimePoint now);
  // Number of steps that waited for advice in the last planning round.
  std::size_t CountStepsWaitingForAdvice() const;

  // Drops runs that can't be alive any more, begins occurrences that are due
  // and places waiting tasks, unless the list of workers may be out of date.
  void Plan(base::TimePoint now, base::WallTime wall);

  // Which rows a batch may have: those that must not wait (acceptances, starts,
  // completed steps, ends of jobs), or all.
  enum class RowChoice : std::uint8_t { kUrgent, kAll };
  // The next batch to commit, of at most `max_rows` rows, which must be 2 or
  // more, and as many bytes as a transaction takes besides others: urgent ones
  // first, but for a share of a batch of all rows, and each kind in the order
  // of the jobs' oldest changes. It covers the ends that workers had listed
  // before the oldest change that it leaves to write. Its jobs count as
  // written, so a scheduler whose batch could not be committed must be
  // discarded.
  Batch TakeBatch(std::size_t max_rows,
                  base::TimePoint now,
                  RowChoice choice = RowChoice::kAll);
  // Whether there are rows that should be written without delay.
  bool HasUrgentRows() const { return !m_urgent.empty(); }
  // Number of such rows; a job's record and its progress count as one.
  std::size_t UrgentRows() const { return m_urgent.size(); }
  bool HasRows() const { return !m_urgent.empty() || !m_deferred.empty(); }
  // The batch is committed: updates the jobs and orders the starts in it. A
  // start whose worker takes no tasks any more, as far as an up-to-date list of
  // workers tells, is not ordered; its run is dropped and its task placed
  // again, as are all members of its gang.
  void Confirm(const Batch& batch, base::TimePoint now);

  // A row of a job in a batch that was committed otherwise can't be stored. The
  // job goes no further: it fails or, if it is not accepted yet, is removed.
  // Returns false in the latter case. Takes the job out of the batch; must be
  // called before Confirm.
  bool SetAside(const std::string& id, Batch& batch, base::TimePoint now);
  // Removes segments whose job is gone, with one of the next batches.
  void RemoveSegments(const std::string& job, const StoredSegments& segments);

  // Returns the orders given since the last call.
  Orders TakeOrders();

  // The long-running tasks that have had no confirmed run for this long, in
  // calls that follow each other closely. For logs.
  std::vector<StalledTask> FindStalledTasks(base::Duration at_least,
                                            base::TimePoint now);
  // What waits to be written. For logs.
  struct RowBacklog {
    std::size_t urgent = 0;         // Rows that must not wait.
    std::size_t deferred = 0;       // Other rows.
    std::size_t starts = 0;         // Placed runs that are in no batch yet.
    base::Duration oldest_start{};  // Since the oldest of them was placed.
  };
  RowBacklog GetRowBacklog(base::TimePoint now) const;

  // Whether all runs on a machine may be ended now without exceeding the
  // max_unavailable of a step. Includes workers that are not listed, since
  // their runs may be alive.
  bool CanDrainMachine(const std::string& machine) const;
  // Stops the long-running tasks of a cordoned worker that may become
  // unavailable now by their step's max_unavailable and for which another
  // worker has room; they are restarted there. Tasks without such a limit run
  // until the worker ends.
  void Evacuate(const std::string& worker, base::TimePoint now);
  // The zones in which nothing new starts. Their long-running tasks are moved
  // to other zones as their max_unavailable allows, those without a limit one
  // at a time, once there is room; finite tasks end where they run.
  ZoneEvacuations& Evacuations() { return m_evacuations; }
  const ZoneEvacuations& Evacuations() const { return m_evacuations; }
  // A task because of which CanDrainMachine is false, or nothing.
  std::optional<TaskId> DrainBlocker(const std::string& machine) const;
  // Cordons a worker whose runs are about to be ended on purpose, and counts
  // its long-running tasks as unavailable.
  void CordonAndMarkUnavailable(const std::string& worker, base::TimePoint now);
  // The same for a worker that may go on running: tasks with withdrawn starts
  // on it stay bound to it.
  void CordonInDoubt(const std::string& worker, base::TimePoint now);
  // Sets whether a worker gets no new tasks, before it is moved or maintained.
  void SetCordoned(const std::string& worker, bool cordoned);
  // The load of a pool, for the pool planner.
  struct PoolLoad {
    Resources capacity;
    Resources used;
    Resources long_running_used;  // Used by long-running tasks.
    Resources unplaced;           // Needed by tasks that could not be placed.
    // The part of it for long-running tasks, with those that can't leave a
    // cordoned worker for want of room; and what those use that must leave one.
    Resources unplaced_long_running;
    Resources evacuating;
    // Capacity of the workers that have long-running tasks.
    Resources long_running_capacity;
    Work backlog;  // Remaining, of jobs not yet worthless.
    // In the last planning round: starts reserved, customers among which the
    // pool was divided, and jobs that were placed after those within their
    // share.
    std::size_t reserved_starts = 0;
    std::size_t contending_customers = 0;
    std::size_t jobs_beyond_share = 0;
    std::size_t slow_workers = 0;
    Work arriving_work;  // Submitted per millisecond.
    std::size_t workers = 0;
    // Distinct workers that long-running steps need, plus one to move a task
    // to.
    std::size_t min_workers = 0;
  };
  using PoolLoads = std::map<std::string, PoolLoad>;  // By service.
  PoolLoads GetPoolLoads(base::TimePoint now);
  // Sets by service what is being moved into each pool, in the order of time,
  // and the capacity for finite tasks that it would get if it needed it.
  void SetPoolProspects(
      std::map<std::string, std::vector<CapacityStep>> arriving,
      std::map<std::string, Resources> reachable) {
    m_arriving_capacity = std::move(arriving);
    m_reachable_capacity = std::move(reachable);
  }

  const std::map<std::string, WorkerState>& Workers() const {
    return m_workers;
  }
  // The worker, or null.
  WorkerState* FindWorker(const std::string& id);
  // The newest listed incarnation of a worker on a machine, or null.
  const WorkerState* FindWorkerOnMachine(const std::string& machine) const;
  std::size_t JobCount() const { return m_jobs.size(); }
  const PlanningWork& GetPlanningWork() const { return m_work; }

  // Sets the durations that the previous leader has learnt. Must be called
  // before Recover.
  void SetDurations(DurationModel durations) {
    m_durations = std::move(durations);
  }
  const DurationModel& Durations() const { return m_durations; }
  // What leaders have heard of the workers' incarnations.
  KnownIncarnations& Incarnations() { return m_known_incarnations; }

 private:
  // The state of a pool that admission checks a new job against. Renewed after
  // 20 ms.
  struct AdmissionSnapshot {
    base::TimePoint taken_at{};
    // Remaining work of jobs whose result still has value.
    Work backlog;
    Resources pool;  // Capacity usable by finite tasks now.
    Resources free;  // Free now, minus the need of unplaced tasks.
    std::vector<CapacityStep> growth;
    // If the pool is divided by weight: the shares, and the part of `backlog`
    // of each customer.
    PoolShares shares;
    std::map<std::string, Work> backlog_of_customer;
    // Steps about which the placement advisor is to be asked yet, by queue.
    std::map<std::string, std::size_t> unadvised_steps;
  };

  // What the placement advisor has said about one step. Whether a worker may
  // run the step does not change; its ticket expires, and is for one
  // incarnation of the worker.
  struct Advice {
    struct Answer {
      bool is_allowed = false;
      std::string ticket;
      std::int64_t incarnation_ms = 0;
      base::TimePoint valid_until{};  // Of the ticket.
      base::TimePoint asked_at{};
    };
    std::map<std::string, Answer> answers;  // By worker.

    bool IsAllowed(const std::string& worker) const;
    // Whether some worker may run the step.
    bool AllowsAny() const;
    // The ticket for this incarnation of a worker; null without a valid one.
    const std::string* FindTicket(const WorkerId& worker,
                                  base::TimePoint now) const;
  };

  // scheduler.cpp
  // The worker of a recovered run or withdrawn start; its incarnation is that
  // of its entry, if it has one.
  WorkerState& RecoverWorker(const Job& job,
                             const WorkerId& id,
                             const std::string& machine);
  // Whether a recovered run or withdrawn start has a higher start time than the
  // worker's entry. Which is the later incarnation is known once the worker
  // reports.
  bool HasLaterRuns(const WorkerState& worker);
  // A row of a job's progress that is to be written: the job's own or that of a
  // segment.
  struct ChangedRow {
    Job* job = nullptr;
    std::optional<SegmentNumber> segment;
  };
  using ChangedRows = std::map<std::uint64_t, ChangedRow>;  // By oldest change.
  // The job's own row is to be written.
  void MarkDirty(Job& job, bool urgent);
  // The row that holds the task is to be written.
  void MarkDirty(const TaskRef& ref, bool urgent);
  void MarkSegmentDirty(Job& job, SegmentNumber segment, bool urgent);
  // The task's step is done, all of it at once or with this task.
  void MarkStepDirty(const TaskRef& ref, bool at_once);
  // Notes a change of a row whose oldest unwritten change is `oldest`.
  void MarkRowDirty(const ChangedRow& row, std::uint64_t& oldest, bool urgent);
  // The work that is left of a job, up to kMaxRemainingAge old.
  const Work& RemainingWorkOf(Job& job, base::TimePoint now);
  void AddUnfinished(Job& job);
  void RemoveUnfinished(const std::string& id);
  void Finish(Job& job, JobPhase phase, base::TimePoint now);
  // Drops the planned runs of a job that is not accepted, and the job.
  void RemoveUnaccepted(Job& job, base::TimePoint now);
  void StopAllRuns(Job& job, base::TimePoint now);
  void RemoveFinished(base::TimePoint now);
  // Moves rows from those to write to the next batch.
  void TakeRows(std::size_t max_rows, RowChoice choice, Batch& batch);
  // The same from one of the two kinds, up to a number of rows in the batch and
  // while there is room for `bytes` more.
  void TakeRowsOf(ChangedRows& changed,
                  std::size_t up_to,
                  std::size_t& bytes,
                  Batch& batch);
  // The rows that the changed one stands for. A segment is preceded by the
  // job's own row if that has changed too: it says which occurrences the
  // segment is of.
  static std::vector<JobRow> RowsToWrite(const ChangedRow& changed,
                                         bool ends_split);
  // Whether the job's own row is among them.
  static bool HasOwnRow(const ChangedRow& changed);
  // Notes that these rows are in the batch.
  void NoteTaken(const ChangedRow& changed,
                 const std::vector<JobRow>& rows,
                 Batch& batch);
  // Has those segments of a job removed of which nothing has begun.
  void RemoveEmptySegments(Job& job);
  // Has all segments of a finished job removed.
  void RemoveAllSegments(Job& job);
  // Begins to split the progress of a job that has become too large for a row.
  void BeginSplit(Job& job);
  // Whether the record of a planned run is in this batch or an earlier one,
  // with all that the next leader must know before it.
  static bool IsStartStored(const TaskRef& ref);
  // Forgets the occurrences that are over.
  void RemoveOverOccurrences();
  // Whether another occurrence that is due may begin.
  bool MayBeginOccurrence(const Job& job) const;
  // Adds the ends whose changes are all in this batch or earlier ones.
  void CoverEnds(Batch& batch);
  // Updates the indices of workers by machine and by service.
  void IndexWorkers();
  // The known workers of a service, in the order of their ids.
  const std::vector<WorkerState*>& WorkersOf(const std::string& service) const;
  const std::string& ServiceOf(const Job& job) const;
  // By the newest configuration that has the queue or the customer, or as they
  // were when a job was accepted; null only if neither is known.
  const QueueConfig* QueueOf(const Job& job) const;
  const CustomerConfig* CustomerOf(const std::string& name) const;
  void RememberTerms(const Job& job);
  // Fails jobs with a task that has failed as often as their queue allows now.
  void FailExhaustedJobs(base::TimePoint now);
  bool IsBeyondShare(const std::string& customer, base::TimePoint now);
  AdmissionSnapshot& AdmissionSnapshotOf(const std::string& service,
                                         base::TimePoint now);
  AdmissionInput MakeAdmissionInput(const Job& job, base::TimePoint now);
  void SetObjective(Job& job, const QueueConfig& queue);

  // scheduler_runs.cpp
  Run* FindRun(const TaskRef& ref, std::uint32_t number);
  std::optional<TaskRef> FindTaskRef(const TaskId& id);
  void BeginRun(const TaskRef& ref, WorkerState& worker, base::TimePoint now);
  // Removes a run from the scheduler's state and, unless its task is done,
  // queues the task again. The reason is kNone if its worker has listed its
  // end.
  void DropRun(const TaskRef& ref,
               std::uint32_t number,
               DropReason reason,
               base::TimePoint now);
  // Describes a run that is given up, for logs.
  DroppedRun DescribeDrop(const TaskRef& ref,
                          const Run& run,
                          DropReason reason) const;
  // Whether an acknowledgement for this incarnation or a former one may yet be
  // carried out by the next one.
  bool MayGetLateAcknowledgement(const WorkerState& worker,
                                 base::TimePoint now) const;
  // Whether no run that an order began in a later incarnation can be alive.
  bool IsStartOver(const Run& run,
                   const WorkerState& worker,
                   base::TimePoint now) const;
  // Drops the runs of one incarnation of a worker.
  void DropRunsOf(const WorkerId& id, DropReason reason, base::TimePoint now);
  // Orders the worker to stop a run. The run is kept until it is known to have
  // ended.
  void StopRun(const TaskRef& ref,
               Run& run,
               StopReason reason,
               base::TimePoint now);
  // Applies an end that a worker lists: drops the run and, if it succeeded or
  // failed, completes the task or records the failure.
  void ApplyEnd(const TaskRef& ref,
                WorkerState& worker,
                const ListedEnd& end,
                base::TimePoint now);
  void CompleteTask(const TaskRef& ref, base::TimePoint now);
  void RecordFailedRun(const TaskRef& ref,
                       std::uint32_t run,
                       const std::string& worker,
                       base::TimePoint now);
  // Updates a listed run, or stops it if it is unknown. Returns the task if it
  // is known.
  std::optional<TaskRef> UpdateListedRun(WorkerState& worker,
                                         const ListedRun& listed,
                                         base::TimePoint now);
  // Drops runs whose lease has ended, stops those whose start was not answered
  // in time, and repeats stop orders that were not answered.
  void ExpireRuns(base::TimePoint now);

  // scheduler_incarnations.cpp
  // Whether an entry of another incarnation is taken for the current one's.
  static bool IsSuccessor(const WorkerState& worker, const WorkerEntry& entry);
  // Logs an entry for which that does not hold. Unless it is a former
  // incarnation's, the worker is asked, at the entry's address if it does not
  // answer: only a report tells whether the incarnation is the next one.
  void RejectEntry(WorkerState& worker, const WorkerEntry& entry);
  // Whether a report of another incarnation is newer than what is known.
  static bool IsSuccessor(const WorkerState& worker,
                          const WorkerReport& report,
                          base::TimePoint asked_at);
  // Tells of an incarnation: an entry, which may be one of a former incarnation
  // that is written late, or a report.
  enum class IncarnationEvidence : std::uint8_t { kEntry, kReport };
  // Makes an incarnation of the worker the current one. Runs that a former one
  // has listed are dropped, unless they may go on since the entry may be older.
  // The start orders of the others may still be carried out, so they are
  // expected and stopped at the new one.
  void BeginIncarnation(WorkerState& worker,
                        std::int64_t incarnation_ms,
                        IncarnationEvidence evidence,
                        base::TimePoint now);
  // The longest time from a call's arrival for which a worker keeps its runs by
  // it, on a clock that may be slow.
  base::Duration LongestLease() const;
  // Bounds the leases that a worker may have by calls that were meant for its
  // former incarnations, when one of its incarnations reports to this leader
  // for the first time, and notes it for the next leader.
  void BoundFormerLeases(WorkerState& worker, base::TimePoint now);
  // The same at a takeover, by what is stored. An incarnation that has listed a
  // run is stored no later than that, but not by older programs.
  base::TimePoint RecoveredLeaseBound(const WorkerState& worker,
                                      base::TimePoint now);
  // A time by the store's clock. Read back by any leader it is not earlier.
  std::chrono::milliseconds ToStoreClock(base::TimePoint time) const;
  base::TimePoint FromStoreClock(std::chrono::milliseconds store_time) const;
  // Whether the order of a run that was stopped, or was recovered and is not
  // listed, may still be carried out by a later incarnation.
  bool MayStartLater(const TaskRef& ref,
                     const Run& run,
                     base::TimePoint now) const;
  void Withdraw(const TaskRef& ref, const Run& run);
  // Turns a withdrawn start of a task into a run again, which the worker's
  // incarnation is ordered to stop.
  void StopWithdrawn(const TaskRef& ref,
                     const WithdrawnStart& start,
                     WorkerState& worker,
                     base::TimePoint now);
  // Whether no run that a withdrawn start has begun late can be unknown.
  bool IsWithdrawnOver(const WithdrawnStart& start,
                       const WorkerState& worker,
                       base::TimePoint now) const;
  // Forgets withdrawn starts on a worker whose order can't be carried out any
  // more, or all of them.
  void ForgetLateWithdrawn(WorkerState& worker, base::TimePoint now);
  void ForgetWithdrawnOn(WorkerState& worker);
  void ForgetWithdrawnOf(const TaskRef& ref);

  // scheduler_capacity.cpp
  // Drops the runs of a batch whose workers have shrunk since they were placed;
  // of a gang, all.
  void DropStartsWithoutRoom(const Batch& batch, base::TimePoint now);
  // Whether the worker has room for a run that is among its runs.
  bool StillFits(const Run& run) const;
  // Sums up WorkerState::unaccounted.
  void CountUnaccounted(WorkerState& worker, const WorkerReport& report);

  // scheduler_crashes.cpp
  // Notes under a task that its worker has ended unasked, unless the run can't
  // have been there. Returns whether the task is to blame.
  bool RecordCrash(const TaskRef& ref, const Run& run, DropReason reason);
  // Whether the worker was about to end anyway, by its own word or by an order,
  // so that its end tells nothing of the run.
  bool IsEndPlanned(const WorkerState& worker, const Run& run) const;
  // Whether it may not be started again, since workers have crashed under it.
  static bool IsStartLimitReached(const Task& task);
  // Fails the task's job. A long-running job with tasks that serve goes on
  // without the task.
  // Returns whether the job has failed.
  bool GiveUp(const TaskRef& ref, base::TimePoint now);
  // Whether the task waits for a worker without finite tasks.
  static bool IsIsolationSought(const TaskRef& ref, base::TimePoint now);
  // Updates Run::proven, and ends the suspicion against a run that works for
  // long.
  void ProveRun(const TaskRef& ref, Run& run, base::TimePoint now);
  // Asks for a report of the worker when a suspected run may be proven.
  void RequestProof(WorkerState& worker, base::TimePoint now);
  // Whether suspicion against the task, or against a run on the worker, keeps
  // the task off the worker.
  bool IsKeptApart(const WorkerState& worker, const TaskRef& ref) const;
  // Whether the worker has a suspected run that keeps other jobs off it.
  static bool HasTrial(const WorkerState& worker);
  // Whether a run of another job on the worker is unproven.
  static bool HasUnprovenRun(const WorkerState& worker, const Job& other);
  // What a crash of the worker would cost, to choose one for a suspected task.
  static std::int64_t CrashCost(const WorkerState& worker, const Job& job);
  // Reserves a whole worker for a task that must be isolated.
  // Returns whether there was one.
  bool ReserveWorker(const TaskRef& ref,
                     const std::vector<WorkerState*>& workers,
                     const Advice* advice);

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
  // Places all tasks of a step or none. Returns whether they were placed.
  bool PlaceGang(Job& job,
                 Occurrence& occurrence,
                 std::uint32_t step,
                 std::vector<WorkerState*>& workers,
                 const Advice* advice,
                 base::TimePoint now);
  // Whether the task of a withdrawn start need not stay on its worker: it has
  // left before, or the worker gets no new tasks or would refuse this one.
  bool MayLeave(const TaskRef& ref, const WithdrawnStart& start) const;
  // Whether withdrawn starts bind a task to one worker.
  bool IsBound(const TaskRef& ref) const;
  // What tasks need that wait and that withdrawn starts bind to the worker.
  static Resources WithheldCapacity(const WorkerState& worker);
  // Whether no worker has room for `need`, regardless of other constraints.
  bool IsFull(const Resources& need);
  // Reserves capacity that becomes free on one worker for a task that could not
  // be placed. Returns whether there was one.
  bool Reserve(const TaskRef& ref,
               const std::vector<WorkerState*>& workers,
               const Advice* advice);
  // Reserves capacity on a worker for the rest of the planning round.
  void ReserveOn(WorkerState& worker, const Resources& need);
  // scheduler_shares.cpp
  // Divides what a pool has for finite tasks among its customers.
  PoolShares DividePool(const std::string& service,
                        const Resources& capacity) const;
  // Which of the jobs, in the order of placement, begin beyond their customer's
  // share of the pool.
  std::set<const Job*> FindJobsBeyondShare(const std::string& service,
                                           const std::vector<Job*>& in_order,
                                           base::TimePoint now);
  // The customer's share for admission, or nothing if it is beyond it or the
  // pool has room for all.
  static std::optional<CustomerShare> ShareOf(const AdmissionSnapshot& snapshot,
                                              const std::string& customer,
                                              double weight);
  // scheduler_speed.cpp
  // Judges the speed of all workers, and which pools have slow ones to avoid.
  void MeasureSpeeds(base::TimePoint now);
  // What the task takes here as a multiple of the usual time, if it tells of
  // the worker's speed.
  std::optional<double> MultipleOf(const TaskRef& ref,
                                   const Run& run,
                                   const WorkerState& worker,
                                   base::TimePoint now) const;
  bool IsAvoidedAsSlow(const WorkerState& worker) const {
    return worker.speed.IsSlow() &&
           m_pools_avoiding_slow.contains(worker.entry.service);
  }
  // Whether the task's job would be late if the task ran on this slow worker,
  // and may yet be in time elsewhere.
  bool WouldBeLateOn(const WorkerState& worker,
                     const TaskRef& ref,
                     base::TimePoint now) const;
  // scheduler_reserve.cpp
  // When a task of the step surely ends if it is placed now, or the end of
  // time. Always that unless starts are reserved.
  base::TimePoint EndsBy(const Job& job,
                         const StepSpec& step,
                         base::TimePoint now) const;
  // The earliest start of the task on the worker, by what is expected to end.
  std::optional<ReservedStart> EarliestStartOn(const WorkerState& worker,
                                               const Resources& need,
                                               base::TimePoint now) const;
  // Reserves the earliest start of a finite task that fits nowhere, and for a
  // gang the earliest at which all members fit, if it has not been reserved for
  // too many others. No start is reserved on a worker twice. ReserveStart
  // returns whether a worker had one.
  bool ReserveStart(const TaskRef& ref,
                    const std::vector<WorkerState*>& workers,
                    const Advice* advice,
                    base::TimePoint now);
  void ReserveGang(Job& job,
                   const Occurrence& occurrence,
                   std::uint32_t step,
                   const std::vector<WorkerState*>& workers,
                   const Advice* advice,
                   base::TimePoint now);
  // The worker with the best start for the task that has no reserved one.
  WorkerState* FindReservable(const TaskRef& ref,
                              const std::vector<WorkerState*>& workers,
                              const Advice* advice,
                              base::TimePoint now,
                              ReservedStart& start) const;

  // Whether a task of the worker may yet show if the worker is healthy: a
  // finite one, or a long-running one that has just been started.
  bool HasUnprovenTask(const WorkerState& worker) const;
  // Whether the worker may run the task, apart from its free capacity and from
  // suspicion.
  bool IsSuitable(const WorkerState& worker,
                  const TaskRef& ref,
                  const Advice* advice) const;
  // The same, with regard to suspicion.
  bool IsEligible(const WorkerState& worker,
                  const TaskRef& ref,
                  const Advice* advice) const;
  // How dear it is to place the task on a worker that has so much CPU unused;
  // nothing if it may not run there.
  std::optional<std::int64_t> CostOn(const WorkerState& worker,
                                     const TaskRef& ref,
                                     const Advice* advice,
                                     std::int64_t unused_cpu,
                                     base::TimePoint now) const;
  // The best eligible worker with room, or null.
  WorkerState* ChooseWorker(const TaskRef& ref,
                            const std::vector<WorkerState*>& workers,
                            const Advice* advice,
                            base::TimePoint now) const;
  bool IsServing(const Run& run) const;
  // Whether the max_unavailable of the task's step allows all its runs on a
  // worker to end.
  bool CanEndRunsOn(const TaskRef& ref, const std::string& worker) const;
  // Whether another usable worker of the service has room for the task now.
  bool HasRoomElsewhere(const TaskRef& ref,
                        const WorkerState& worker,
                        base::TimePoint now) const;
  // Number of other tasks of the same step that are not serving now.
  std::uint32_t CountOtherUnavailable(const TaskRef& ref) const;
  // Whether the job's customer may use this much more.
  bool IsWithinLimit(const Job& job, const Resources& need) const;
  // Orders the start of a planned run.
  void OrderStart(const TaskRef& ref, Run& run, base::TimePoint now);
  // Whether the list of workers is recent enough to order starts by it.
  bool IsListCurrent(base::TimePoint now) const;
  // Whether the worker is in a zone that is being evacuated.
  bool IsEvacuated(const WorkerState& worker) const {
    return m_evacuations.Contains(worker.entry.availability_zone);
  }
  // Whether the worker may get new tasks.
  bool IsUsable(const WorkerState& worker, base::TimePoint now) const;

  // scheduler_advice.cpp
  // Whether the placement advisor decides which workers may run the job.
  bool NeedsAdvice(const Job& job) const;
  // A step that waits for advice.
  struct AdvisedStep {
    Job* job = nullptr;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
  };
  // Asks the advisor about the steps that wait, as far as calls may be made:
  // the queues in turn, and on each queue the first step that has a use for it.
  void AskAdvisor(base::TimePoint now);
  // Makes a call for the step if it has a use for one. Returns whether it does.
  bool RequestAdvice(const AdvisedStep& wanted,
                     const std::vector<WorkerState*>& workers,
                     bool needs_room,
                     base::TimePoint now);
  // The workers to name, the best first: those that the advisor has not been
  // asked about, and allowed ones without a ticket. Those without room are only
  // named while none is known to be allowed, and none at all if `needs_room` is
  // set and no worker has room.
  std::vector<const WorkerState*> FindCandidates(
      const AdvisedStep& wanted,
      const std::vector<WorkerState*>& workers,
      bool needs_room,
      base::TimePoint now);
  // How many of the candidates, which are in the order of preference, to name
  // so that the step's waiting tasks probably find room on allowed ones.
  std::size_t CountToName(
      const AdvisedStep& wanted,
      const std::vector<const WorkerState*>& candidates) const;
  // The advisor's time for the steps of the queue's jobs that it is to be asked
  // about yet, or zero for a queue without advice.
  std::chrono::milliseconds AdviceBacklog(const Job& job, base::TimePoint now);
  // Learns from an answer what to name next.
  void RecordAdvice(
      const AdviceRequest& request,
      const std::vector<std::pair<std::string, std::string>>& allowed);
  // The ticket for a run's start; null without a valid one.
  const std::string* FindTicket(const TaskRef& ref,
                                const Run& run,
                                base::TimePoint now) const;
  // Forgets what was said about the steps of a job, or of an occurrence.
  void ForgetAdvice(const std::string& job);
  void ForgetAdvice(const std::string& job, std::uint32_t occurrence);

  // scheduler_stalls.cpp
  // Notes since when a long-running task has had no confirmed run, and returns
  // for how long.
  static base::Duration UpdateStall(const TaskRef& ref, base::TimePoint now);
  StalledTask DescribeStall(const TaskRef& ref, base::TimePoint now) const;

  // scheduler_supervision.cpp
  void SuperviseRuns(base::TimePoint now);
  void PaceFillers(WorkerState& worker, base::TimePoint now);
  // Stops long-running tasks in zones that are being evacuated.
  void EvacuateZones(base::TimePoint now);
  // Whether a task may be stopped to be started elsewhere, if its step allows
  // `max_unavailable` of its tasks to be unavailable.
  bool MayInterrupt(const TaskRef& ref,
                    const Run& run,
                    std::uint32_t max_unavailable) const;
  void MoveStuckRun(const TaskRef& ref,
                    Run& run,
                    WorkerState& worker,
                    base::TimePoint now);
  void DrainWorker(WorkerState& worker, base::TimePoint now);

  SchedulerOptions m_options;
  std::shared_ptr<const FleetConfig> m_config;
  // The terms of recovered jobs, by name of the queue and of the customer.
  std::map<std::string, QueueConfig> m_accepted_queues;
  std::map<std::string, CustomerConfig> m_accepted_customers;
  // Unfinished jobs with failed runs that a new configuration may make fail.
  std::set<std::string> m_jobs_with_failures;
  bool m_config_is_new = false;
  std::unordered_map<std::string, std::unique_ptr<Job>> m_jobs;
  std::map<std::string, Job*> m_unfinished;
  std::map<std::string, Job*> m_repeating;  // Those of them that repeat.
  std::map<std::string, WorkerState> m_workers;
  base::TimePoint m_list_as_of{};  // See ListConfirmed.
  KnownIncarnations m_known_incarnations;
  base::TimePoint m_recovered_at{};
  std::chrono::milliseconds m_earliest_store_clock{0};
  std::chrono::milliseconds m_latest_store_clock{0};
  base::TimePoint m_store_clock_at{};
  // Ids of the workers known on each machine, listed or not.
  std::unordered_map<std::string, std::vector<std::string>>
      m_workers_on_machine;
  // Workers of each service, in the order of their ids.
  std::unordered_map<std::string, std::vector<WorkerState*>>
      m_workers_of_service;
  std::unordered_map<std::string, Resources> m_used_by_customer;
  FirstArrivals m_first_arrivals;
  std::map<std::string, ArrivalMeter> m_customer_arrivals;
  std::map<std::string, ArrivalMeter> m_arrivals;  // By service.
  std::map<std::string, std::vector<CapacityStep>>
      m_arriving_capacity;                                // By service.
  std::map<std::string, Resources> m_reachable_capacity;  // By service.
  std::map<std::string, Resources> m_unplaced;            // By service.
  std::map<std::string, Resources> m_unplaced_long_running;
  // Needed by tasks that could not be evacuated for want of room since the last
  // GetPoolLoads, by service.
  std::map<std::string, Resources> m_blocked_evacuations;
  std::map<std::string, AdmissionSnapshot>
      m_admission_snapshots;  // By service.
  // Needs found to fit nowhere in the current planning round of a service.
  std::vector<Resources> m_unplaceable;
  FreeCapacity m_free;  // Of the workers of that service.
  // Workers that suspected runs keep other jobs off, in the same round.
  std::size_t m_trials = 0;
  // Workers reserved for finite tasks in the same round.
  std::size_t m_reserved_for_finite = 0;
  // Reserved starts of each service, in its last planning round.
  std::map<std::string, std::size_t> m_reserved_starts;
  // How the pool was divided in its last planning round, by service.
  struct DivisionSummary {
    std::size_t customers = 0;
    std::size_t jobs_beyond_share = 0;
  };
  std::map<std::string, DivisionSummary> m_divisions;
  base::TimePoint m_supervised_at{};
  base::TimePoint m_speeds_measured_at{};
  // Services in which few enough workers are slow to do without them.
  std::set<std::string> m_pools_avoiding_slow;
  ZoneEvacuations m_evacuations;
  base::TimePoint m_zones_evacuated_at{};
  std::map<std::string, Advice> m_advice;  // By job, occurrence and step.
  AdviceCalls m_advice_calls;
  std::map<std::string, AdviceHistory> m_advice_history;  // By queue.
  // The steps that wait in this planning round, by queue, those to be placed
  // first before others; and how many there were in the last one.
  std::map<std::string, std::vector<AdvisedStep>> m_advised_steps;
  std::map<std::string, std::size_t> m_steps_waiting_for_advice;
  std::string m_last_advised_queue;
  std::uint64_t m_last_change = 0;  // Counts MarkDirty.
  // Rows that are to be written: at once, and with others.
  ChangedRows m_urgent;
  ChangedRows m_deferred;
  // Unfinished jobs with occurrences of which all steps are done.
  std::set<std::string> m_jobs_with_done_occurrences;
  // Rows of segments to be removed whose jobs are gone.
  std::vector<JobRow> m_removed_rows;
  // Ends that no batch covers yet, the oldest first: the worker, the sequence
  // number of the last one in a report, and the number of the newest change
  // when it had been applied.
  struct UnwrittenEnd {
    WorkerId worker;
    std::uint64_t sequence = 0;
    std::uint64_t change = 0;
  };
  std::deque<UnwrittenEnd> m_unwritten_ends;
  std::vector<std::string> m_removed_jobs;  // Their rows are to be removed.
  std::map<std::string, ForgottenJob> m_forgotten;
  // Finished jobs that are still kept.
  std::vector<Job*> m_finished;
  DurationModel m_durations;
  mutable PlanningWork m_work;
  Orders m_orders;
  // Number of runs that were placed under suspicion.
  std::size_t m_suspected_runs = 0;
  // Runs in phase kPlanned that are not yet in a batch.
  std::vector<std::pair<TaskRef, std::uint32_t>> m_planned;
};

}  // namespace cassiastile::jobs
