#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/decision.hpp"
#include "cassiastile/base/random.hpp"
#include "cassiastile/config/fleet.hpp"
#include "cassiastile/fleet/host_view.hpp"
#include "cassiastile/work/placement.hpp"
#include "cassiastile/work/share_account.hpp"
#include "cassiastile/work/size_estimate.hpp"
#include "cassiastile/work/task_index.hpp"
#include "cassiastile/work/task_poll.hpp"
#include "cassiastile/work/worker_health.hpp"

namespace cassiastile::work {

// The time on both clocks. Decisions use `now`; `wall` is stored in records.
struct Moment {
  base::TimePoint now;
  base::WallTime wall;
};

// Settings of a TaskShard.
struct TaskShardOptions {
  // A worker stops its runs when no poll was answered for this long.
  base::Duration lease = std::chrono::seconds(6);
  // Allows for clocks that run at different speeds: runs are given to another
  // worker only after the lease plus this margin.
  base::Duration lease_margin = std::chrono::seconds(2);
  base::Duration poll_after = std::chrono::milliseconds(500);
  // A worker that has not polled for longer gets no new tasks.
  base::Duration max_silence = std::chrono::seconds(2);
  // The fraction of a pool's cores kept free for urgent tasks, if the pool has
  // an urgent queue.
  double urgent_reserve = 0.05;
  Resources reserve_piece{4, 16, 0};  // What SpreadReserve reserves per host.
  // Failures after which an idempotent task is given up. Those on unhealthy
  // workers don't count, but twice as many failures of any kind end it too.
  std::uint32_t max_tries = 3;
  std::size_t max_tasks = 50000;
  // How long ended tasks are kept, and how many a batch deletes at most.
  base::Duration retention = std::chrono::hours(1);
  std::size_t max_deletions = 64;
  // How long a team below half of its entitlement waits before runs that can be
  // checkpointed are preempted for it.
  base::Duration preemption_delay = std::chrono::seconds(5);
  WorkerHealthOptions health;
};

// A task was submitted.
struct SubmitEvent {
  TaskSpec spec;
};

// A submitter cancels the task with this key.
struct CancelEvent {
  std::string key;
};

// An operator's decision on a task in doubt, or on runs that can't be confirmed
// as stopped.
struct ResolveEvent {
  std::string key;
  TaskOutcome outcome = TaskOutcome::kNone;  // kNone requeues the task.
  std::string operator_name;
};

using TaskEvent =
    std::variant<SubmitEvent, CancelEvent, ResolveEvent, WorkerPoll>;

// The shard's verdict on one event.
enum class Verdict : std::uint8_t {
  kDone,      // Takes effect once the batch's rows are written.
  kSame,      // It had already been done.
  kConflict,  // The id was used with another body, or the state forbids it.
  kRefused,   // It can never run; see the reason.
  kFull,      // The shard holds its maximum of tasks.
  kNotFound,
  kStale,  // The poll is older than one already seen.
};

std::string_view NameOf(Verdict verdict);

// The shard's reply to one event of a batch. kDone and kSame hold only once the
// batch is confirmed.
struct TaskReply {
  Verdict verdict = Verdict::kDone;
  std::string reason;
  std::string decision_id;
};

// Changes that take effect together.
struct TaskBatch {
  std::vector<TaskReply> replies;  // One for each event, in their order.
  std::vector<TaskRowChange> rows;
  std::vector<base::Decision> decisions;
};

// Schedules the tasks of one pool: their state, their order, and their
// placement. Does no I/O and reads no clock: events and the time go in, rows
// and answers come out. Not thread-safe.
//
// A proposed batch is either confirmed after its rows were written, or rolled
// back; until then no answer may be given. Until all rows were read from the
// table, the shard accepts submissions and starts nothing.
class TaskShard {
 public:
  TaskShard(std::string pool, TaskShardOptions options, base::Random random);

  // Loads the rows of the table: call BeginLoad, Load for each record, then
  // EndLoad.
  void BeginLoad();
  void Load(Task task, std::uint64_t version);
  void EndLoad(Moment moment);
  bool IsLoaded() const;

  void SetFleet(const config::AcceptedFleet& accepted);
  void SetHosts(const std::vector<fleet::HostView>& hosts);

  // Sets how many runs of each team the shard may have. Teams without an upper
  // limit need no grant.
  void SetGrants(std::map<std::string, std::uint32_t> grants);

  // Decides on the events and on timeouts. Must be followed by Confirm or
  // RollBack.
  TaskBatch Propose(const std::vector<TaskEvent>& events, Moment moment);
  // Returns decisions that follow from the confirmed batch.
  std::vector<base::Decision> Confirm();
  void RollBack();

  // Records that a worker polled while nothing can be written, so that the
  // shard's own failure does not count as the worker's silence.
  void RecordPoll(const WorkerPoll& poll, base::TimePoint now);

  // The answer to a worker's poll, from the confirmed state.
  PollAnswer Answer(const WorkerPoll& poll) const;

  // Asks the runs on a host that can be checkpointed to stop at a checkpoint,
  // and places no new tasks on it for 60 seconds.
  void RequestEvacuation(const std::string& host, base::TimePoint now);
  // The runs on a host, and an upper estimate of the time until the last of
  // them ends.
  fleet::HostWork WorkOn(const std::string& host, base::TimePoint now) const;

  const TaskEntry* Find(const std::string& key) const;
  // Why the task waits, is in doubt or ended; empty when there is no such task.
  std::string Explain(const std::string& key) const;
  const TaskIndex& Tasks() const;
  const ShareAccount& Shares() const;
  const WorkerHealthTracker& Health() const;
  const std::string& Pool() const;

  // A team's runs, and its runs plus waiting tasks, for the ledger of upper
  // limits.
  std::uint32_t InUse(const std::string& team) const;
  std::uint32_t Wanted(const std::string& team) const;

 private:
  struct WorkerState {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    base::TimePoint last_poll{};
    bool polled = false;
    bool leaving = false;
  };
  // Why a team's tasks waited in the last scheduling pass, and since when there
  // has been no room for them.
  struct TeamWait {
    std::string reason;
    base::TimePoint waiting_since{};
  };
  // What a report says about how a task ended or what it used. Applied once the
  // report is confirmed, so that a report repeated while nothing can be written
  // counts once.
  struct RunEndObservation {
    TaskSpec spec;
    std::string worker;
    bool succeeded = false;
    double seconds = 0;
  };
  struct UsageObservation {
    TaskSpec spec;
    Resources usage;
  };
  // Resources times seconds that a team was charged too little.
  struct ChargeCorrection {
    std::string team;
    Resources correction;
  };
  using Observation =
      std::variant<RunEndObservation, UsageObservation, ChargeCorrection>;

  enum class PlaceResult : std::uint8_t { kPlaced, kNoRoom, kAtLimit, kNoTask };

  // Submissions, cancellations and operators' decisions.
  TaskReply On(const SubmitEvent& event);
  TaskReply On(const CancelEvent& event);
  TaskReply On(const ResolveEvent& event);
  TaskReply Refuse(const TaskSpec& spec, Verdict verdict, std::string reason);
  // Why the task can't run: its team's limit is zero, or no host of the pool
  // could hold it. Empty when it can. While no hosts are known, any task fits.
  std::string WhyUnschedulable(const TaskSpec& spec) const;
  void RecheckUnschedulable();

  // Polls.
  TaskReply On(const WorkerPoll& poll);
  void Learn(const RunEndObservation& observation);
  void Learn(const UsageObservation& observation);
  void Learn(const ChargeCorrection& observation);
  void OnNewIncarnation(const WorkerPoll& poll);
  void OnReportedRun(const WorkerPoll& poll, const HeldRun& held);
  void OnMeasured(TaskEntry& entry, const Resources& usage);
  void AccrueCharge(TaskEntry& entry) const;
  void OnReportedEnd(const WorkerPoll& poll, const EndedRun& ended);
  void OnRunEnd(TaskEntry entry, const EndedRun& ended);
  void OnRunFailed(TaskEntry entry, const EndedRun& ended);
  void OnUnreportedRuns(const WorkerPoll& poll);
  void Throttle(const WorkerPoll& poll);

  // State changes.
  void Write(TaskEntry entry, std::string reason);
  void EndTask(TaskEntry entry, TaskOutcome outcome, std::string reason);
  void Requeue(TaskEntry entry, std::string reason);
  void AbandonRun(TaskEntry entry, const std::string& why);
  void OnRunStopped(TaskEntry entry, bool started, const std::string& why);
  void ClearUnconfirmed(const std::string& key, const TaskLease& lease);
  void ExpireSilentWorkers();
  void DeleteExpired();

  // Scheduling order and placement.
  void Dispatch();
  void RefreshHosts();
  void RefreshHost(PlacementHost& host) const;
  void DispatchWaiting(bool urgent);
  PlaceResult PlaceNext(const std::string& team, bool urgent);
  bool PlaceOne(const TaskEntry& entry, const TeamSpread& spread);
  void Lease(TaskEntry entry,
             PlacementHost& host,
             const SizeEstimate& estimate);
  PlacementRequest MakeRequest(const TaskEntry& entry,
                               const SizeEstimate& estimate,
                               const TeamSpread& spread) const;
  SizeEstimate EstimateFor(const TaskSpec& spec) const;
  TeamSpread SpreadOf(const std::string& team) const;
  bool AtLimit(const std::string& team) const;
  void PreemptForUrgent();
  void PreemptForShares();
  void Preempt(const Resources& size, const std::string& for_team);
  // The runs to preempt on a host so that the size fits; nothing when
  // preemption can't free enough.
  std::optional<std::vector<std::string>> FindRunsToPreempt(
      const PlacementHost& host,
      const Resources& size,
      const std::string& for_team) const;
  bool IsPreemptible(const TaskEntry& entry, const std::string& for_team) const;
  void RequestEvacuations();
  void RequestCheckpoint(const std::string& key);
  void ReserveEmptiestHost(const std::string& team, const Resources& size);
  void SyncShares();
  TeamDemand DemandOf(const std::string& team) const;
  std::vector<std::string> WaitingTeams(bool urgent) const;

  base::Decision& AddDecision(base::DecisionKind kind,
                              const Task& task,
                              std::string outcome,
                              base::Reason reason);

  std::string m_pool;
  TaskShardOptions m_options;
  base::Random m_random;
  bool m_loaded = false;
  std::uint64_t m_fleet_version = 0;
  std::map<std::string, std::uint32_t> m_limits;
  std::map<std::string, std::uint32_t> m_grants;
  bool m_has_urgent = false;
  bool m_recheck_unschedulable = false;
  std::map<std::string, WorkerState> m_workers;
  std::vector<PlacementHost> m_hosts;
  std::map<std::string, std::size_t> m_host_index;
  std::map<std::string, std::size_t> m_zones;
  std::map<std::string, std::size_t> m_racks;
  Resources m_max_per_host;  // The most of each resource that one host has.
  std::map<std::string, TeamWait> m_waits;
  // Hosts reserved for urgent tasks, and until when.
  std::map<std::string, base::TimePoint> m_reserved_until;
  std::map<std::string, base::TimePoint> m_evacuating_until;
  TaskIndex m_tasks;
  ShareAccount m_shares;
  SizeEstimator m_sizes;
  WorkerHealthTracker m_health;
  Moment m_moment{};
  Moment m_last_dispatch{};
  // Whether a scheduling pass may place more than the last one.
  bool m_pass_needed = true;
  std::vector<Observation> m_observations;
  std::vector<base::Decision> m_decisions;
};

}  // namespace cassiastile::work
