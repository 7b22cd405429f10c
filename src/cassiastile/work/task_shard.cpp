#include "cassiastile/work/task_shard.hpp"

#include <algorithm>
#include <array>
#include <limits>

#include <fmt/core.h>

#include "cassiastile/base/enum_names.hpp"

namespace cassiastile::work {

namespace {

constexpr std::array<base::EnumName<Verdict>, 7> kVerdictNames{{
    {Verdict::kDone, "done"},
    {Verdict::kSame, "same"},
    {Verdict::kConflict, "conflict"},
    {Verdict::kRefused, "refused"},
    {Verdict::kFull, "full"},
    {Verdict::kNotFound, "not-found"},
    {Verdict::kStale, "stale"},
}};

std::int64_t WallMilliseconds(base::WallTime wall) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             wall.time_since_epoch())
      .count();
}

Resources CapacityOf(const config::Host& host) {
  return {static_cast<double>(host.cores), static_cast<double>(host.memory_gb),
          static_cast<double>(host.accelerators)};
}

Resources MaxOfEach(const Resources& left, const Resources& right) {
  return {std::max(left.cores, right.cores),
          std::max(left.memory_gb, right.memory_gb),
          std::max(left.accelerators, right.accelerators)};
}

PlacementHost MakePlacementHost(const fleet::HostView& view) {
  PlacementHost host;
  host.name = view.host.name;
  host.capacity = CapacityOf(view.host);
  host.draining = view.state == fleet::HostState::kDraining;
  host.in_service = view.state == fleet::HostState::kInService;
  host.drain_expected = view.drain_expected;
  return host;
}

// The number assigned to a name; assigns the next one to a new name.
std::size_t NumberOf(std::map<std::string, std::size_t>& numbers,
                     const std::string& name) {
  return numbers.try_emplace(name, numbers.size()).first->second;
}

}  // namespace

std::string_view NameOf(Verdict verdict) {
  return base::FindName(kVerdictNames, verdict);
}

TaskShard::TaskShard(std::string pool,
                     TaskShardOptions options,
                     base::Random random)
    : m_pool(std::move(pool)),
      m_options(options),
      m_random(random),
      m_health(options.health) {}

void TaskShard::BeginLoad() {
  m_tasks.Clear();
  m_workers.clear();
  m_loaded = false;
}

void TaskShard::Load(Task task, std::uint64_t version) {
  if (m_tasks.Find(KeyOf(task.spec)) == nullptr) {
    m_tasks.Load(std::move(task), version);
  }
}

void TaskShard::EndLoad(Moment moment) {
  m_loaded = true;
  m_moment = moment;
  m_pass_needed = true;
  m_recheck_unschedulable = true;
  for (const auto& [worker, tasks] : m_tasks.Workers()) {
    m_workers[worker].last_poll = moment.now;
  }
}

bool TaskShard::IsLoaded() const {
  return m_loaded;
}

void TaskShard::SetFleet(const config::AcceptedFleet& accepted) {
  m_fleet_version = accepted.version;
  m_limits.clear();
  for (const config::Limit& limit : accepted.fleet.limits) {
    m_limits[limit.team] = limit.tasks;
  }
  for (const config::Share& share : accepted.fleet.shares) {
    m_shares.SetWeight(share.team, share.weight);
  }
  m_has_urgent =
      std::any_of(accepted.fleet.queues.begin(), accepted.fleet.queues.end(),
                  [this](const config::Queue& queue) {
                    return queue.pool == m_pool && queue.urgent;
                  });
  m_pass_needed = true;
}

void TaskShard::SetHosts(const std::vector<fleet::HostView>& hosts) {
  m_hosts.clear();
  m_host_index.clear();
  m_zones.clear();
  m_racks.clear();
  m_max_per_host = {};
  Resources capacity;
  for (const fleet::HostView& view : hosts) {
    m_host_index[view.host.name] = m_hosts.size();
    m_hosts.push_back(MakePlacementHost(view));
    m_hosts.back().zone = NumberOf(m_zones, view.host.zone);
    m_hosts.back().rack = NumberOf(m_racks, view.host.rack);
    capacity = capacity + m_hosts.back().capacity;
    m_max_per_host = MaxOfEach(m_max_per_host, m_hosts.back().capacity);
  }
  m_shares.SetCapacity(capacity);
  m_recheck_unschedulable = true;
  m_pass_needed = true;
}

void TaskShard::SetGrants(std::map<std::string, std::uint32_t> grants) {
  m_pass_needed = m_pass_needed || grants != m_grants;
  m_grants = std::move(grants);
}

TaskBatch TaskShard::Propose(const std::vector<TaskEvent>& events,
                             Moment moment) {
  m_moment = moment;
  m_decisions.clear();
  m_shares.Advance(moment.now);
  TaskBatch batch;
  batch.replies.resize(events.size());
  for (std::size_t index = 0; index < events.size(); ++index) {
    batch.replies[index] = std::visit(
        [this](const auto& event) { return On(event); }, events[index]);
  }
  if (m_loaded) {
    ExpireSilentWorkers();
    RecheckUnschedulable();
    Dispatch();
    DeleteExpired();
  }
  SyncShares();
  batch.rows = m_tasks.Rows();
  batch.decisions = std::move(m_decisions);
  return batch;
}

std::vector<base::Decision> TaskShard::Confirm() {
  m_tasks.Confirm();
  m_decisions.clear();
  for (const Observation& observation : m_observations) {
    std::visit([this](const auto& observed) { Learn(observed); }, observation);
  }
  m_observations.clear();
  return std::move(m_decisions);
}

void TaskShard::RollBack() {
  m_tasks.RollBack();
  m_observations.clear();
  m_pass_needed = true;
  SyncShares();
}

const TaskEntry* TaskShard::Find(const std::string& key) const {
  return m_tasks.Find(key);
}

std::string TaskShard::Explain(const std::string& key) const {
  const TaskEntry* entry = m_tasks.Find(key);
  if (entry == nullptr) {
    return "";
  }
  const Task& task = entry->task;
  if (task.state != TaskState::kQueued || entry->unschedulable) {
    return task.reason;
  }
  const auto wait = m_waits.find(task.spec.team);
  if (wait == m_waits.end() || wait->second.reason.empty()) {
    return task.reason;
  }
  return wait->second.reason;
}

const TaskIndex& TaskShard::Tasks() const {
  return m_tasks;
}

const ShareAccount& TaskShard::Shares() const {
  return m_shares;
}

const WorkerHealthTracker& TaskShard::Health() const {
  return m_health;
}

const std::string& TaskShard::Pool() const {
  return m_pool;
}

std::uint32_t TaskShard::InUse(const std::string& team) const {
  return m_tasks.TeamOf(team).in_use;
}

std::uint32_t TaskShard::Wanted(const std::string& team) const {
  const TeamTasks& tasks = m_tasks.TeamOf(team);
  const std::size_t wanted =
      tasks.in_use + tasks.urgent.size() + tasks.normal.size();
  return static_cast<std::uint32_t>(wanted);
}

TaskReply TaskShard::On(const SubmitEvent& event) {
  const TaskSpec& spec = event.spec;
  const std::string key = KeyOf(spec);
  if (const TaskEntry* known = m_tasks.Find(key)) {
    if (known->task.spec == spec) {
      return {Verdict::kSame, "", ""};
    }
    return Refuse(spec, Verdict::kConflict,
                  "the id was used before with another body");
  }
  if (m_tasks.Size() >= m_options.max_tasks) {
    return Refuse(spec, Verdict::kFull,
                  fmt::format("the pool keeps {} tasks", m_tasks.Size()));
  }
  const std::string unschedulable = WhyUnschedulable(spec);
  if (!unschedulable.empty()) {
    return Refuse(spec, Verdict::kRefused, unschedulable);
  }
  TaskEntry entry;
  entry.task.spec = spec;
  entry.placed = spec.declared;
  entry.charged = spec.declared;
  const auto wall = static_cast<std::uint64_t>(WallMilliseconds(m_moment.wall));
  entry.task.sequence = std::max(m_tasks.LastSequence() + 1, wall);
  Write(std::move(entry), "waits for its turn");
  m_pass_needed = true;
  return {};
}

TaskReply TaskShard::On(const CancelEvent& event) {
  const TaskEntry* found = m_tasks.Find(event.key);
  if (found == nullptr) {
    return {Verdict::kNotFound, "no such task", ""};
  }
  TaskEntry entry = *found;
  if (entry.task.state == TaskState::kEnded || entry.task.cancel_requested) {
    return {Verdict::kSame, "", ""};
  }
  if (MayBeRunning(entry.task)) {
    entry.task.cancel_requested = true;
    Write(std::move(entry), "cancelled; its worker has yet to stop it");
    return {};
  }
  const bool in_doubt = entry.task.state == TaskState::kInDoubt;
  EndTask(std::move(entry), TaskOutcome::kCancelled,
          in_doubt ? "cancelled while in doubt; it may have run in part"
                   : "cancelled before it was started again");
  return {};
}

TaskReply TaskShard::On(const ResolveEvent& event) {
  const TaskEntry* found = m_tasks.Find(event.key);
  if (found == nullptr) {
    return {Verdict::kNotFound, "no such task", ""};
  }
  TaskEntry entry = *found;
  const bool in_doubt = entry.task.state == TaskState::kInDoubt;
  if (!in_doubt && entry.task.unconfirmed.empty()) {
    return {Verdict::kConflict, "the task is not in doubt", ""};
  }
  entry.task.unconfirmed.clear();
  m_pass_needed = true;
  const std::string reason = "resolved by " + event.operator_name;
  AddDecision(base::DecisionKind::kChange, entry.task, "resolved",
              {"operator's word", "", m_fleet_version, reason});
  if (!in_doubt) {
    Write(std::move(entry), reason);
  } else if (event.outcome == TaskOutcome::kNone) {
    Requeue(std::move(entry), reason);
  } else {
    EndTask(std::move(entry), event.outcome, reason);
  }
  return {};
}

TaskReply TaskShard::Refuse(const TaskSpec& spec,
                            Verdict verdict,
                            std::string reason) {
  Task task;
  task.spec = spec;
  const base::Decision& decision = AddDecision(
      base::DecisionKind::kRefusal, task, "not run",
      {std::string(NameOf(verdict)), "pools", m_fleet_version, reason});
  return {verdict, std::move(reason), decision.id};
}

std::string TaskShard::WhyUnschedulable(const TaskSpec& spec) const {
  const auto limit = m_limits.find(spec.team);
  if (limit != m_limits.end() && limit->second == 0) {
    return "the upper limit of team " + spec.team + " is 0 tasks";
  }
  const bool fits = std::any_of(m_hosts.begin(), m_hosts.end(),
                                [&spec](const PlacementHost& host) {
                                  return Fits(spec.declared, host.capacity);
                                });
  if (fits || m_hosts.empty()) {
    return "";
  }
  return fmt::format(
      "no host of pool {} can hold {} cores, {} GB and {} accelerators", m_pool,
      spec.declared.cores, spec.declared.memory_gb, spec.declared.accelerators);
}

void TaskShard::RecheckUnschedulable() {
  if (!m_recheck_unschedulable) {
    return;
  }
  m_recheck_unschedulable = false;
  std::vector<std::string> waiting;
  for (const auto& [team, tasks] : m_tasks.Teams()) {
    for (const TaskOrder* order :
         {&tasks.urgent, &tasks.normal, &tasks.unschedulable}) {
      for (const auto& [sequence, key] : *order) {
        waiting.push_back(key);
      }
    }
  }
  for (const std::string& key : waiting) {
    TaskEntry entry = *m_tasks.Find(key);
    const std::string why = WhyUnschedulable(entry.task.spec);
    if (entry.unschedulable == !why.empty()) {
      continue;
    }
    entry.unschedulable = !why.empty();
    entry.task.reason = why.empty() ? "waits for its turn" : why;
    AddDecision(base::DecisionKind::kChange, entry.task,
                why.empty() ? "can run again" : "can't run",
                {"fits a host", "pools", m_fleet_version, entry.task.reason});
    m_tasks.Put(std::move(entry), false);
  }
}

void TaskShard::Write(TaskEntry entry, std::string reason) {
  entry.task.reason = std::move(reason);
  entry.task.changed_ms = WallMilliseconds(m_moment.wall);
  m_tasks.Put(std::move(entry), true);
}

void TaskShard::EndTask(TaskEntry entry,
                        TaskOutcome outcome,
                        std::string reason) {
  entry.task.state = TaskState::kEnded;
  entry.task.outcome = outcome;
  entry.task.lease.worker.clear();
  m_pass_needed = true;
  Write(std::move(entry), std::move(reason));
}

void TaskShard::Requeue(TaskEntry entry, std::string reason) {
  if (entry.task.cancel_requested) {
    EndTask(std::move(entry), TaskOutcome::kCancelled, "cancelled; " + reason);
    return;
  }
  entry.task.state = TaskState::kQueued;
  entry.task.lease.worker.clear();
  entry.request = RunRequest::kNone;
  entry.measured = false;
  m_pass_needed = true;
  Write(std::move(entry), std::move(reason));
}

void TaskShard::DeleteExpired() {
  const std::int64_t oldest =
      WallMilliseconds(m_moment.wall) - base::Milliseconds(m_options.retention);
  std::vector<std::string> old;
  for (const auto& [changed, key] : m_tasks.Ended()) {
    if (changed > oldest || old.size() >= m_options.max_deletions) {
      break;
    }
    old.push_back(key);
  }
  for (const std::string& key : old) {
    m_tasks.Erase(key);
  }
}

base::Decision& TaskShard::AddDecision(base::DecisionKind kind,
                                       const Task& task,
                                       std::string outcome,
                                       base::Reason reason) {
  base::Decision decision;
  decision.id = base::MakeId(m_random);
  decision.kind = kind;
  decision.subject = "task " + KeyOf(task.spec);
  decision.team = task.spec.team;
  decision.outcome = std::move(outcome);
  decision.reasons.push_back(std::move(reason));
  decision.at = m_moment.wall;
  m_decisions.push_back(std::move(decision));
  return m_decisions.back();
}

}  // namespace cassiastile::work
