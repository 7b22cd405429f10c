#include <algorithm>
#include <chrono>

#include <fmt/core.h>

#include "cassiastile/work/task_shard.hpp"

// Scheduling: which team's task a shard starts next, and where.

namespace cassiastile::work {

namespace {

// How many of a team's first tasks are tried for placement before the team
// waits.
constexpr std::size_t kTasksTriedPerTeam = 4;
// A pass is made after this time even if nothing changed.
constexpr base::Duration kPassInterval = std::chrono::seconds(1);
// How long a host gets no new tasks after an evacuation was requested. A
// maintenance wave that requested it drains the host by then.
constexpr base::Duration kEvacuationPeriod = std::chrono::seconds(60);
// How long resources freed by preemption are reserved for an urgent task.
constexpr base::Duration kUrgentReservationTime = std::chrono::seconds(5);
// A host is reserved for a team whose first task has waited for longer than
// this.
constexpr base::Duration kReserveHostAfter = std::chrono::milliseconds(500);
// Tasks are preempted for a team whose share is below this fraction of its
// entitlement.
constexpr double kPreemptionThreshold = 0.5;

const TaskOrder& OrderOf(const TeamTasks& tasks, bool urgent) {
  return urgent ? tasks.urgent : tasks.normal;
}

std::vector<std::string> FirstOf(const TaskOrder& order, std::size_t count) {
  std::vector<std::string> keys;
  for (const auto& [sequence, key] : order) {
    if (keys.size() >= count) {
      break;
    }
    keys.push_back(key);
  }
  return keys;
}

}  // namespace

void TaskShard::Dispatch() {
  const bool due = m_moment.now - m_last_dispatch.now >= kPassInterval;
  if (!m_pass_needed && !due) {
    return;
  }
  m_pass_needed = false;
  m_last_dispatch = m_moment;
  RequestEvacuations();
  RefreshHosts();
  SyncShares();
  DispatchWaiting(true);
  PreemptForUrgent();
  DispatchWaiting(false);
  PreemptForShares();
}

void TaskShard::RefreshHosts() {
  for (PlacementHost& host : m_hosts) {
    RefreshHost(host);
  }
  if (m_has_urgent) {
    double cores = 0;
    for (const PlacementHost& host : m_hosts) {
      cores += host.open ? host.capacity.cores : 0;
    }
    SpreadReserve(m_hosts, cores * m_options.urgent_reserve,
                  m_options.reserve_piece);
  }
}

void TaskShard::RefreshHost(PlacementHost& host) const {
  const WorkerTasks& tasks = m_tasks.WorkerOf(host.name);
  host.placed = tasks.placed;
  host.promised = {};
  host.reserve = {};
  const auto reservation = m_reserved_until.find(host.name);
  host.reserved = reservation != m_reserved_until.end() &&
                  m_moment.now < reservation->second;
  host.reserved_for_team.clear();
  const auto worker = m_workers.find(host.name);
  host.open = host.in_service && !m_evacuating_until.contains(host.name) &&
              worker != m_workers.end() && worker->second.polled &&
              !worker->second.leaving &&
              m_moment.now - worker->second.last_poll <= m_options.max_silence;
  const WorkerHealthState health_state =
      m_health.HealthOf(host.name, m_moment.now);
  host.idempotent_only = health_state == WorkerHealthState::kProbing;
  if (health_state == WorkerHealthState::kQuarantined ||
      (health_state == WorkerHealthState::kProbing && !tasks.runs.empty())) {
    host.open = false;
  }
}

void TaskShard::DispatchWaiting(bool urgent) {
  std::vector<std::string> teams = WaitingTeams(urgent);
  bool first_blocked = true;
  while (!teams.empty()) {
    const auto next = std::min_element(
        teams.begin(), teams.end(),
        [this](const std::string& left, const std::string& right) {
          return m_shares.ProjectedUsage(left) < m_shares.ProjectedUsage(right);
        });
    const std::string team = *next;
    const PlaceResult result = PlaceNext(team, urgent);
    if (result == PlaceResult::kPlaced) {
      m_shares.SetUse(team, m_tasks.TeamOf(team).charged, DemandOf(team));
      m_waits[team] = {};
      continue;
    }
    teams.erase(next);
    if (result == PlaceResult::kNoRoom && !urgent && first_blocked) {
      first_blocked = false;
      const TaskOrder& order = m_tasks.TeamOf(team).normal;
      const TaskEntry* head = m_tasks.Find(order.begin()->second);
      ReserveEmptiestHost(team, EstimateFor(head->task.spec).size);
    }
  }
}

TaskShard::PlaceResult TaskShard::PlaceNext(const std::string& team,
                                            bool urgent) {
  const TeamTasks& tasks = m_tasks.TeamOf(team);
  const TaskOrder& order = OrderOf(tasks, urgent);
  if (order.empty()) {
    return PlaceResult::kNoTask;
  }
  TeamWait& wait = m_waits[team];
  if (AtLimit(team)) {
    wait.reason = fmt::format(
        "upper limit of team {}: {} runs in use, all that pool {} was granted",
        team, tasks.in_use, m_pool);
    return PlaceResult::kAtLimit;
  }
  const TeamSpread spread = SpreadOf(team);
  for (const std::string& key : FirstOf(order, kTasksTriedPerTeam)) {
    if (PlaceOne(*m_tasks.Find(key), spread)) {
      return PlaceResult::kPlaced;
    }
  }
  wait.reason = fmt::format(
      "the pool is full: team {} has {:.1f} % of it, entitled to {:.1f} %",
      team, 100 * m_shares.CurrentShare(team),
      100 * m_shares.Entitlement(team));
  if (wait.waiting_since == base::TimePoint{}) {
    wait.waiting_since = m_moment.now;
  }
  return PlaceResult::kNoRoom;
}

bool TaskShard::PlaceOne(const TaskEntry& entry, const TeamSpread& spread) {
  const SizeEstimate estimate = EstimateFor(entry.task.spec);
  const auto index =
      PickHost(m_hosts, MakeRequest(entry, estimate, spread), m_moment.now);
  if (!index) {
    return false;
  }
  Lease(entry, m_hosts[*index], estimate);
  return true;
}

void TaskShard::Lease(TaskEntry entry,
                      PlacementHost& host,
                      const SizeEstimate& estimate) {
  Task& task = entry.task;
  task.state = TaskState::kLeased;
  task.lease.worker = host.name;
  task.lease.incarnation = m_workers[host.name].incarnation;
  ++task.lease.epoch;
  entry.placed = estimate.size;
  entry.charged = estimate.size;
  entry.started = m_moment.now;
  entry.charged_usage = {};
  entry.charged_until = m_moment.now;
  entry.measured = false;
  entry.throttle = 1;
  entry.request = RunRequest::kNone;
  host.placed = host.placed + estimate.size;
  base::Decision& decision = AddDecision(
      base::DecisionKind::kPlacement, task, "placed on " + host.name,
      {task.spec.urgent ? "urgent first, then fair share" : "fair share",
       "shares", m_fleet_version,
       fmt::format("team has {:.1f} % of the pool, entitled to {:.1f} %",
                   100 * m_shares.CurrentShare(task.spec.team),
                   100 * m_shares.Entitlement(task.spec.team))});
  decision.reasons.push_back(
      {"spread over zones and racks", "pools", m_fleet_version,
       fmt::format("fewest of the team's runs in its zone and rack, {} size "
                   "{:.1f} cores {:.1f} GB",
                   estimate.cores_learnt ? "learnt" : "declared",
                   estimate.size.cores, estimate.size.memory_gb)});
  task.placement = decision.id;
  Write(std::move(entry), "given to worker " + host.name);
}

PlacementRequest TaskShard::MakeRequest(const TaskEntry& entry,
                                        const SizeEstimate& estimate,
                                        const TeamSpread& spread) const {
  const Task& task = entry.task;
  PlacementRequest request;
  request.team = task.spec.team;
  request.size = estimate.size;
  request.seconds_upper = estimate.seconds_upper;
  request.urgent = task.spec.urgent;
  request.idempotent = task.spec.idempotent;
  request.spread = &spread;
  for (const TaskLease& lease : task.unconfirmed) {
    request.excluded_workers.push_back(lease.worker);
  }
  if (task.failed_on.size() < m_hosts.size()) {
    request.excluded_workers.insert(request.excluded_workers.end(),
                                    task.failed_on.begin(),
                                    task.failed_on.end());
  }
  return request;
}

SizeEstimate TaskShard::EstimateFor(const TaskSpec& spec) const {
  SizeEstimate estimate = m_sizes.Estimate(spec);
  estimate.size.cores = std::min(estimate.size.cores, m_max_per_host.cores);
  estimate.size.memory_gb =
      std::min(estimate.size.memory_gb, m_max_per_host.memory_gb);
  return estimate;
}

TeamSpread TaskShard::SpreadOf(const std::string& team) const {
  TeamSpread spread;
  spread.zones.resize(m_zones.size());
  spread.racks.resize(m_racks.size());
  for (const auto& [worker, count] : m_tasks.TeamOf(team).on_worker) {
    const auto index = m_host_index.find(worker);
    if (index != m_host_index.end()) {
      spread.zones[m_hosts[index->second].zone] += count;
      spread.racks[m_hosts[index->second].rack] += count;
    }
  }
  return spread;
}

bool TaskShard::AtLimit(const std::string& team) const {
  const auto limit = m_limits.find(team);
  if (limit == m_limits.end()) {
    return false;
  }
  const auto grant = m_grants.find(team);
  const std::uint32_t granted =
      grant == m_grants.end() ? 0 : std::min(grant->second, limit->second);
  return m_tasks.TeamOf(team).in_use >= granted;
}

void TaskShard::PreemptForUrgent() {
  for (const std::string& team : WaitingTeams(true)) {
    if (AtLimit(team)) {
      continue;
    }
    const TaskOrder& order = m_tasks.TeamOf(team).urgent;
    for (const std::string& key : FirstOf(order, kTasksTriedPerTeam)) {
      Preempt(EstimateFor(m_tasks.Find(key)->task.spec).size, "");
    }
  }
}

void TaskShard::PreemptForShares() {
  for (const std::string& team : WaitingTeams(false)) {
    const base::TimePoint since = m_waits[team].waiting_since;
    const bool within_delay = since == base::TimePoint{} ||
                              m_moment.now - since < m_options.preemption_delay;
    const bool near_entitlement =
        m_shares.CurrentShare(team) >=
        kPreemptionThreshold * m_shares.Entitlement(team);
    if (within_delay || near_entitlement || AtLimit(team)) {
      continue;
    }
    const std::string key = m_tasks.TeamOf(team).normal.begin()->second;
    Preempt(EstimateFor(m_tasks.Find(key)->task.spec).size, team);
  }
}

void TaskShard::Preempt(const Resources& size, const std::string& for_team) {
  PlacementHost* best = nullptr;
  std::vector<std::string> best_runs;
  for (PlacementHost& host : m_hosts) {
    if (!host.open || host.idempotent_only) {
      continue;
    }
    auto runs = FindRunsToPreempt(host, size, for_team);
    if (runs && (best == nullptr || runs->size() < best_runs.size())) {
      best = &host;
      best_runs = std::move(*runs);
    }
  }
  if (best == nullptr) {
    return;
  }
  for (const std::string& key : best_runs) {
    RequestCheckpoint(key);
  }
  best->promised = best->promised + size;
  best->reserved = true;
  best->reserved_for_team = for_team;
  if (for_team.empty()) {
    m_reserved_until[best->name] = m_moment.now + kUrgentReservationTime;
  }
}

std::optional<std::vector<std::string>> TaskShard::FindRunsToPreempt(
    const PlacementHost& host,
    const Resources& size,
    const std::string& for_team) const {
  Resources free = host.capacity - host.placed - host.promised;
  std::vector<const TaskEntry*> preemptible;
  for (const std::string& key : m_tasks.WorkerOf(host.name).runs) {
    const TaskEntry* entry = m_tasks.Find(key);
    if (entry->request == RunRequest::kCheckpoint) {
      free = free + entry->placed;
    } else if (IsPreemptible(*entry, for_team)) {
      preemptible.push_back(entry);
    }
  }
  std::sort(preemptible.begin(), preemptible.end(),
            [](const TaskEntry* left, const TaskEntry* right) {
              return left->placed.cores > right->placed.cores;
            });
  std::vector<std::string> keys;
  for (const TaskEntry* entry : preemptible) {
    if (Fits(size, free)) {
      break;
    }
    free = free + entry->placed;
    keys.push_back(KeyOf(entry->task.spec));
  }
  if (!Fits(size, free)) {
    return std::nullopt;
  }
  return keys;
}

bool TaskShard::IsPreemptible(const TaskEntry& entry,
                              const std::string& for_team) const {
  const Task& task = entry.task;
  if (task.state != TaskState::kRunning || !task.spec.checkpointable ||
      task.spec.urgent || task.cancel_requested) {
    return false;
  }
  const std::string& team = task.spec.team;
  return for_team.empty() ||
         (team != for_team &&
          m_shares.CurrentShare(team) > m_shares.Entitlement(team));
}

void TaskShard::RequestCheckpoint(const std::string& key) {
  TaskEntry entry = *m_tasks.Find(key);
  entry.request = RunRequest::kCheckpoint;
  m_tasks.Put(std::move(entry), false);
}

void TaskShard::ReserveEmptiestHost(const std::string& team,
                                    const Resources& size) {
  const base::TimePoint since = m_waits[team].waiting_since;
  if (since == base::TimePoint{} || m_moment.now - since < kReserveHostAfter) {
    return;
  }
  PlacementHost* best = nullptr;
  for (PlacementHost& host : m_hosts) {
    if (!host.open || host.reserved || host.idempotent_only ||
        !Fits(size, host.capacity - host.reserve)) {
      continue;
    }
    const auto free = [](const PlacementHost& of) {
      return of.capacity.cores - of.placed.cores;
    };
    if (best == nullptr || free(host) > free(*best)) {
      best = &host;
    }
  }
  if (best != nullptr) {
    best->reserved = true;
    best->reserved_for_team = team;
  }
}

void TaskShard::SyncShares() {
  for (const auto& [team, tasks] : m_tasks.Teams()) {
    m_shares.SetUse(team, tasks.charged, DemandOf(team));
  }
}

TeamDemand TaskShard::DemandOf(const std::string& team) const {
  const TeamTasks& tasks = m_tasks.TeamOf(team);
  const bool waits = !tasks.urgent.empty() || !tasks.normal.empty();
  if (waits && !AtLimit(team)) {
    return TeamDemand::kWaiting;
  }
  return tasks.in_use > 0 || waits ? TeamDemand::kMet : TeamDemand::kNone;
}

std::vector<std::string> TaskShard::WaitingTeams(bool urgent) const {
  std::vector<std::string> teams;
  for (const auto& [team, tasks] : m_tasks.Teams()) {
    if (!OrderOf(tasks, urgent).empty()) {
      teams.push_back(team);
    }
  }
  return teams;
}

void TaskShard::RequestEvacuation(const std::string& host,
                                  base::TimePoint now) {
  m_evacuating_until[host] = now + kEvacuationPeriod;
  m_pass_needed = true;
}

void TaskShard::RequestEvacuations() {
  std::erase_if(m_evacuating_until, [this](const auto& asked) {
    return m_moment.now >= asked.second;
  });
  for (const PlacementHost& host : m_hosts) {
    if (!host.draining && !m_evacuating_until.contains(host.name)) {
      continue;
    }
    const std::set<std::string> runs = m_tasks.WorkerOf(host.name).runs;
    for (const std::string& key : runs) {
      const TaskEntry* entry = m_tasks.Find(key);
      if (entry->task.spec.checkpointable &&
          entry->request == RunRequest::kNone) {
        RequestCheckpoint(key);
      }
    }
  }
}

fleet::HostWork TaskShard::WorkOn(const std::string& host,
                                  base::TimePoint now) const {
  fleet::HostWork work;
  for (const std::string& key : m_tasks.WorkerOf(host).runs) {
    const TaskEntry* entry = m_tasks.Find(key);
    ++work.running;
    work.without_checkpoint += entry->task.spec.checkpointable ? 0 : 1;
    const std::chrono::duration<double> ran = now - entry->started;
    const double left =
        m_sizes.Estimate(entry->task.spec).seconds_upper - ran.count();
    const auto remaining = std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(std::max(left, 0.0)));
    work.longest_remaining = std::max(work.longest_remaining, remaining);
  }
  return work;
}

}  // namespace cassiastile::work
