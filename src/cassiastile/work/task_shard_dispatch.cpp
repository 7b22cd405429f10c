#include <algorithm>
#include <chrono>

#include <fmt/core.h>

#include "cassiastile/work/task_shard.hpp"

// Whose task a shard starts next, and where.

namespace cassiastile::work {

namespace {

// How many of a team's first tasks are tried before it waits.
constexpr std::size_t kHeadsTried = 4;
// A pass that nothing new calls for is made after so long all the same.
constexpr base::Duration kPassInterval = std::chrono::seconds(1);
// How long a host that was asked to be left gets no new tasks. A wave that
// means it drains the host by then.
constexpr base::Duration kLeaveAsked = std::chrono::seconds(60);
// How long room that was made for an urgent task is kept for it.
constexpr base::Duration kRoomHeld = std::chrono::seconds(5);
// A team's first task that waits for longer has a host kept for it.
constexpr base::Duration kHoldAfter = std::chrono::milliseconds(500);
// Below this part of its entitlement a team has room made for it.
constexpr double kFarBelow = 0.5;

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
  if (!m_changed && !due) {
    return;
  }
  m_changed = false;
  m_last_dispatch = m_moment;
  AskRunsToLeave();
  PrepareHosts();
  SyncShares();
  DispatchUrgency(true);
  MakeRoomForUrgent();
  DispatchUrgency(false);
  MakeRoomForShares();
}

void TaskShard::PrepareHosts() {
  for (PlacementHost& host : m_hosts) {
    PrepareHost(host);
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

void TaskShard::PrepareHost(PlacementHost& host) const {
  const WorkerTasks& tasks = m_book.WorkerOf(host.name);
  host.placed = tasks.placed;
  host.claimed = {};
  host.reserve = {};
  const auto held = m_held_until.find(host.name);
  host.held = held != m_held_until.end() && m_moment.now < held->second;
  host.reserved_for_team.clear();
  const auto worker = m_workers.find(host.name);
  host.open = host.in_service && !m_leaving_until.contains(host.name) &&
              worker != m_workers.end() && worker->second.polled &&
              !worker->second.leaving &&
              m_moment.now - worker->second.last_poll <= m_options.silence;
  const WorkerHealthState trust = m_health.HealthOf(host.name, m_moment.now);
  host.idempotent_only = trust == WorkerHealthState::kProbing;
  if (trust == WorkerHealthState::kQuarantined ||
      (trust == WorkerHealthState::kProbing && !tasks.runs.empty())) {
    host.open = false;
  }
}

void TaskShard::DispatchUrgency(bool urgent) {
  std::vector<std::string> teams = WaitingTeams(urgent);
  bool first_without_room = true;
  while (!teams.empty()) {
    const auto next = std::min_element(
        teams.begin(), teams.end(),
        [this](const std::string& left, const std::string& right) {
          return m_shares.ProjectedUsage(left) < m_shares.ProjectedUsage(right);
        });
    const std::string team = *next;
    const PlaceResult result = PlaceNext(team, urgent);
    if (result == PlaceResult::kPlaced) {
      m_shares.SetUse(team, m_book.TeamOf(team).charged, DemandOf(team));
      m_waits[team] = {};
      continue;
    }
    teams.erase(next);
    if (result == PlaceResult::kNoRoom && !urgent && first_without_room) {
      first_without_room = false;
      const TaskOrder& order = m_book.TeamOf(team).normal;
      const TaskEntry* head = m_book.Find(order.begin()->second);
      HoldRoomiestHost(team, EstimateFor(head->task.spec).size);
    }
  }
}

TaskShard::PlaceResult TaskShard::PlaceNext(const std::string& team,
                                            bool urgent) {
  const TeamTasks& tasks = m_book.TeamOf(team);
  const TaskOrder& order = OrderOf(tasks, urgent);
  if (order.empty()) {
    return PlaceResult::kNone;
  }
  TeamWait& wait = m_waits[team];
  if (AtLimit(team)) {
    wait.reason = fmt::format(
        "upper limit of team {}: {} runs in use, all that pool {} was granted",
        team, tasks.in_use, m_pool);
    return PlaceResult::kAtLimit;
  }
  const TeamSpread spread = SpreadOf(team);
  for (const std::string& key : FirstOf(order, kHeadsTried)) {
    if (PlaceOne(*m_book.Find(key), spread)) {
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
                      const SizeEstimate& size) {
  Task& task = entry.task;
  task.state = TaskState::kLeased;
  task.lease.worker = host.name;
  task.lease.incarnation = m_workers[host.name].incarnation;
  ++task.lease.epoch;
  entry.placed = size.size;
  entry.charged = size.size;
  entry.started = m_moment.now;
  entry.accounted = {};
  entry.accounted_at = m_moment.now;
  entry.measured = false;
  entry.throttle = 1;
  entry.request = RunRequest::kNone;
  host.placed = host.placed + size.size;
  base::Decision& decision =
      Decide(base::DecisionKind::kPlacement, task, "placed on " + host.name,
             {task.spec.urgent ? "urgent first, then fair share" : "fair share",
              "shares", m_version,
              fmt::format("team has {:.1f} % of the pool, entitled to {:.1f} %",
                          100 * m_shares.CurrentShare(task.spec.team),
                          100 * m_shares.Entitlement(task.spec.team))});
  decision.reasons.push_back(
      {"spread over zones and racks", "pools", m_version,
       fmt::format("fewest of the team's runs in its zone and rack, {} size "
                   "{:.1f} cores {:.1f} GB",
                   size.learned ? "learnt" : "declared", size.size.cores,
                   size.size.memory_gb)});
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
  estimate.size.cores = std::min(estimate.size.cores, m_largest.cores);
  estimate.size.memory_gb =
      std::min(estimate.size.memory_gb, m_largest.memory_gb);
  return estimate;
}

TeamSpread TaskShard::SpreadOf(const std::string& team) const {
  TeamSpread spread;
  spread.zones.resize(m_zones.size());
  spread.racks.resize(m_racks.size());
  for (const auto& [worker, count] : m_book.TeamOf(team).on_worker) {
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
  return m_book.TeamOf(team).in_use >= granted;
}

void TaskShard::MakeRoomForUrgent() {
  for (const std::string& team : WaitingTeams(true)) {
    if (AtLimit(team)) {
      continue;
    }
    const TaskOrder& order = m_book.TeamOf(team).urgent;
    for (const std::string& key : FirstOf(order, kHeadsTried)) {
      MakeRoom(EstimateFor(m_book.Find(key)->task.spec).size, "");
    }
  }
}

void TaskShard::MakeRoomForShares() {
  for (const std::string& team : WaitingTeams(false)) {
    const base::TimePoint since = m_waits[team].waiting_since;
    const bool patient = since == base::TimePoint{} ||
                         m_moment.now - since < m_options.preemption_delay;
    const bool near =
        m_shares.CurrentShare(team) >= kFarBelow * m_shares.Entitlement(team);
    if (patient || near || AtLimit(team)) {
      continue;
    }
    const std::string key = m_book.TeamOf(team).normal.begin()->second;
    MakeRoom(EstimateFor(m_book.Find(key)->task.spec).size, team);
  }
}

void TaskShard::MakeRoom(const Resources& size, const std::string& for_team) {
  PlacementHost* best = nullptr;
  std::vector<std::string> best_runs;
  for (PlacementHost& host : m_hosts) {
    if (!host.open || host.idempotent_only) {
      continue;
    }
    auto runs = RunsInTheWay(host, size, for_team);
    if (runs && (best == nullptr || runs->size() < best_runs.size())) {
      best = &host;
      best_runs = std::move(*runs);
    }
  }
  if (best == nullptr) {
    return;
  }
  for (const std::string& key : best_runs) {
    AskForCheckpoint(key);
  }
  best->claimed = best->claimed + size;
  best->held = true;
  best->reserved_for_team = for_team;
  if (for_team.empty()) {
    m_held_until[best->name] = m_moment.now + kRoomHeld;
  }
}

std::optional<std::vector<std::string>> TaskShard::RunsInTheWay(
    const PlacementHost& host,
    const Resources& size,
    const std::string& for_team) const {
  Resources free = host.capacity - host.placed - host.claimed;
  std::vector<const TaskEntry*> yielding;
  for (const std::string& key : m_book.WorkerOf(host.name).runs) {
    const TaskEntry* entry = m_book.Find(key);
    if (entry->request == RunRequest::kCheckpoint) {
      free = free + entry->placed;
    } else if (MayYield(*entry, for_team)) {
      yielding.push_back(entry);
    }
  }
  std::sort(yielding.begin(), yielding.end(),
            [](const TaskEntry* left, const TaskEntry* right) {
              return left->placed.cores > right->placed.cores;
            });
  std::vector<std::string> keys;
  for (const TaskEntry* entry : yielding) {
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

bool TaskShard::MayYield(const TaskEntry& entry,
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

void TaskShard::AskForCheckpoint(const std::string& key) {
  TaskEntry entry = *m_book.Find(key);
  entry.request = RunRequest::kCheckpoint;
  m_book.Put(std::move(entry), false);
}

void TaskShard::HoldRoomiestHost(const std::string& team,
                                 const Resources& size) {
  const base::TimePoint since = m_waits[team].waiting_since;
  if (since == base::TimePoint{} || m_moment.now - since < kHoldAfter) {
    return;
  }
  PlacementHost* best = nullptr;
  for (PlacementHost& host : m_hosts) {
    if (!host.open || host.held || host.idempotent_only ||
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
    best->held = true;
    best->reserved_for_team = team;
  }
}

void TaskShard::SyncShares() {
  for (const auto& [team, tasks] : m_book.Teams()) {
    m_shares.SetUse(team, tasks.charged, DemandOf(team));
  }
}

Demand TaskShard::DemandOf(const std::string& team) const {
  const TeamTasks& tasks = m_book.TeamOf(team);
  const bool waits = !tasks.urgent.empty() || !tasks.normal.empty();
  if (waits && !AtLimit(team)) {
    return Demand::kWaiting;
  }
  return tasks.in_use > 0 || waits ? Demand::kMet : Demand::kNone;
}

std::vector<std::string> TaskShard::WaitingTeams(bool urgent) const {
  std::vector<std::string> teams;
  for (const auto& [team, tasks] : m_book.Teams()) {
    if (!OrderOf(tasks, urgent).empty()) {
      teams.push_back(team);
    }
  }
  return teams;
}

void TaskShard::RequestEvacuation(const std::string& host,
                                  base::TimePoint now) {
  m_leaving_until[host] = now + kLeaveAsked;
  m_changed = true;
}

void TaskShard::AskRunsToLeave() {
  std::erase_if(m_leaving_until, [this](const auto& asked) {
    return m_moment.now >= asked.second;
  });
  for (const PlacementHost& host : m_hosts) {
    if (!host.draining && !m_leaving_until.contains(host.name)) {
      continue;
    }
    const std::set<std::string> runs = m_book.WorkerOf(host.name).runs;
    for (const std::string& key : runs) {
      const TaskEntry* entry = m_book.Find(key);
      if (entry->task.spec.checkpointable &&
          entry->request == RunRequest::kNone) {
        AskForCheckpoint(key);
      }
    }
  }
}

fleet::HostWork TaskShard::WorkOn(const std::string& host,
                                  base::TimePoint now) const {
  fleet::HostWork work;
  for (const std::string& key : m_book.WorkerOf(host).runs) {
    const TaskEntry* entry = m_book.Find(key);
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
