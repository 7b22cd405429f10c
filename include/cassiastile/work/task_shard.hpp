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

// The time on both clocks. Decisions use `now`; `wall` goes into records.
struct Moment {
  base::TimePoint now;
  base::WallTime wall;
};

struct TaskShardOptions {
  // A worker stops its runs when no poll was answered for so long.
  base::Duration lease = std::chrono::seconds(6);
  // For clocks that run at different speeds; runs are given to another worker
  // only after the lease and this.
  base::Duration lease_margin = std::chrono::seconds(2);
  base::Duration poll_after = std::chrono::milliseconds(500);
  // A worker silent for longer gets no new tasks.
  base::Duration silence = std::chrono::seconds(2);
  // The part of a pool's cores kept free for urgent tasks where it has a queue
  // for them.
  double urgent_reserve = 0.05;
  Resources reserve_piece{4, 16, 0};
  std::uint32_t max_tries = 3;
  std::size_t max_tasks = 50000;
  base::Duration retention = std::chrono::hours(1);
  std::size_t max_deletions = 64;
  // How long a team below half of its entitlement waits before tasks that can
  // be checkpointed make room for it.
  base::Duration preemption_delay = std::chrono::seconds(5);
  WorkerHealthOptions health;
};

struct SubmitEvent {
  TaskSpec spec;
};

struct CancelEvent {
  std::string key;
};

// An operator's word on a task in doubt, or on runs that can't be confirmed as
// stopped.
struct ResolveEvent {
  std::string key;
  TaskOutcome outcome = TaskOutcome::kNone;  // None puts it back in the queue.
  std::string who;
};

using TaskEvent =
    std::variant<SubmitEvent, CancelEvent, ResolveEvent, WorkerPoll>;

enum class Verdict : std::uint8_t {
  kDone,      // Takes effect once the batch's rows are written.
  kSame,      // It had been done before.
  kConflict,  // The id was used with another body, or the state forbids it.
  kRefused,   // It can never run; see the reason.
  kFull,      // The shard keeps as many tasks as it may.
  kNotFound,
  kStale,  // A poll older than one already seen.
};

std::string_view NameOf(Verdict verdict);

// What a batch does with one event.
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

// The tasks of one pool: their life, who comes next, and where they run. Pure:
// events and the time go in, rows and answers come out. A batch that was
// proposed is either confirmed, after its rows were written, or taken back; no
// answer may be given before. Until all rows were read from the table it takes
// submissions and gives out nothing.
class TaskShard {
 public:
  TaskShard(std::string pool, TaskShardOptions options, base::Random random);

  // Reading the table: begin, any number of records, end.
  void BeginLoad();
  void Load(Task task, std::uint64_t version);
  void EndLoad(Moment moment);
  bool IsLoaded() const;

  void SetFleet(const config::AcceptedFleet& accepted);
  void SetHosts(const std::vector<fleet::HostView>& hosts);

  // How many runs of each team the shard may have; teams without an upper limit
  // need none.
  void SetGrants(std::map<std::string, std::uint32_t> grants);

  // Decides on the events and on what the time brings. Ends with Confirm or
  // RollBack.
  TaskBatch Propose(const std::vector<TaskEvent>& events, Moment moment);
  // Returns decisions that follow from what was confirmed.
  std::vector<base::Decision> Confirm();
  void RollBack();

  // Notes that a worker polled while nothing can be written, so that the
  // shard's own trouble does not count as the worker's silence.
  void RecordPoll(const WorkerPoll& poll, base::TimePoint now);

  // What to tell a worker, from what is confirmed.
  PollAnswer Answer(const WorkerPoll& poll) const;

  // Asks that tasks which can be checkpointed leave a host.
  void RequestEvacuation(const std::string& host, base::TimePoint now);
  fleet::HostWork WorkOn(const std::string& host, base::TimePoint now) const;

  const TaskEntry* Find(const std::string& key) const;
  // Why the task waits, is in doubt or ended.
  std::string Explain(const std::string& key) const;
  const TaskIndex& Tasks() const;
  const ShareAccount& Shares() const;
  const WorkerHealthTracker& Health() const;
  const std::string& Pool() const;

  // For the ledger of upper limits.
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
  // What holds a team's tasks back, as of the last pass.
  struct TeamWait {
    std::string reason;
    base::TimePoint waiting_since{};
  };
  // What a report teaches. Learnt once the report's effects are confirmed, so
  // that a report repeated while nothing can be written counts once.
  struct EndLesson {
    TaskSpec spec;
    std::string worker;
    bool succeeded = false;
    double seconds = 0;
  };
  struct UsageLesson {
    TaskSpec spec;
    Resources usage;
  };
  // Resources times seconds that a team was charged too little.
  struct ChargeLesson {
    std::string team;
    Resources correction;
  };
  using Lesson = std::variant<EndLesson, UsageLesson, ChargeLesson>;

  enum class PlaceResult : std::uint8_t { kPlaced, kNoRoom, kAtLimit, kNone };

  // Submissions, cancellations and operators' words.
  TaskReply On(const SubmitEvent& event);
  TaskReply On(const CancelEvent& event);
  TaskReply On(const ResolveEvent& event);
  TaskReply Refuse(const TaskSpec& spec, Verdict verdict, std::string reason);
  std::string WhyHopeless(const TaskSpec& spec) const;
  void RecheckHopeless();

  // Polls.
  TaskReply On(const WorkerPoll& poll);
  void Learn(const EndLesson& lesson);
  void Learn(const UsageLesson& lesson);
  void Learn(const ChargeLesson& lesson);
  void OnNewIncarnation(const WorkerPoll& poll);
  void OnHeld(const WorkerPoll& poll, const HeldTask& held);
  void OnMeasured(TaskEntry& entry, const Resources& usage);
  void Account(TaskEntry& entry) const;
  void OnEnded(const WorkerPoll& poll, const EndedRun& ended);
  void OnRunEnd(TaskEntry entry, const EndedRun& ended);
  void OnFailed(TaskEntry entry, const EndedRun& ended);
  void OnNotHeld(const WorkerPoll& poll);
  void Throttle(const WorkerPoll& poll);

  // Changes of state.
  void Write(TaskEntry entry, std::string reason);
  void End(TaskEntry entry, TaskOutcome outcome, std::string reason);
  void Requeue(TaskEntry entry, std::string reason);
  void GiveUpRun(TaskEntry entry, const std::string& why);
  void OnRunStopped(TaskEntry entry, bool started, const std::string& why);
  void ClearUnconfirmed(const std::string& key, const TaskLease& lease);
  void LapseSilentWorkers();
  void DeleteOld();

  // Who comes next, and where.
  void Dispatch();
  void PrepareHosts();
  void PrepareHost(PlacementHost& host) const;
  void DispatchUrgency(bool urgent);
  PlaceResult PlaceNext(const std::string& team, bool urgent);
  bool PlaceOne(const TaskEntry& entry, const TeamSpread& spread);
  void Lease(TaskEntry entry, PlacementHost& host, const SizeEstimate& size);
  PlacementRequest MakeRequest(const TaskEntry& entry,
                               const SizeEstimate& estimate,
                               const TeamSpread& spread) const;
  SizeEstimate EstimateFor(const TaskSpec& spec) const;
  TeamSpread SpreadOf(const std::string& team) const;
  bool AtLimit(const std::string& team) const;
  void MakeRoomForUrgent();
  void MakeRoomForShares();
  void MakeRoom(const Resources& size, const std::string& for_team);
  // The runs that would have to leave a host to make room on it; nothing when
  // that is not enough.
  std::optional<std::vector<std::string>> RunsInTheWay(
      const PlacementHost& host,
      const Resources& size,
      const std::string& for_team) const;
  bool MayYield(const TaskEntry& entry, const std::string& for_team) const;
  void AskRunsToLeave();
  void AskForCheckpoint(const std::string& key);
  void HoldRoomiestHost(const std::string& team, const Resources& size);
  void SyncShares();
  Demand DemandOf(const std::string& team) const;
  std::vector<std::string> WaitingTeams(bool urgent) const;

  base::Decision& Decide(base::DecisionKind kind,
                         const Task& task,
                         std::string outcome,
                         base::Reason reason);

  std::string m_pool;
  TaskShardOptions m_options;
  base::Random m_random;
  bool m_loaded = false;
  std::uint64_t m_version = 0;  // Of the fleet document.
  std::map<std::string, std::uint32_t> m_limits;
  std::map<std::string, std::uint32_t> m_grants;
  bool m_has_urgent = false;
  bool m_recheck_hopeless = false;
  std::map<std::string, WorkerState> m_workers;
  std::vector<PlacementHost> m_hosts;
  std::map<std::string, std::size_t> m_host_index;
  std::map<std::string, std::size_t> m_zones;
  std::map<std::string, std::size_t> m_racks;
  Resources m_largest;  // The most of each resource that one host has.
  std::map<std::string, TeamWait> m_waits;
  std::map<std::string, base::TimePoint> m_held_until;  // For urgent tasks.
  std::map<std::string, base::TimePoint> m_leaving_until;
  TaskIndex m_book;
  ShareAccount m_shares;
  SizeEstimator m_sizes;
  WorkerHealthTracker m_health;
  Moment m_moment{};
  Moment m_last_dispatch{};
  bool m_changed = true;  // Whether a pass may place more than the last one.
  std::vector<Lesson> m_lessons;
  std::vector<base::Decision> m_decisions;
};

}  // namespace cassiastile::work
