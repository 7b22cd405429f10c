#include "cassiastile/work/task_index.hpp"

#include <algorithm>

namespace cassiastile::work {

namespace {

template <typename Set, typename Value>
void AddOrRemove(Set& set, const Value& value, bool add) {
  if (add) {
    set.insert(value);
  } else {
    set.erase(value);
  }
}

void CountOn(std::map<std::string, std::uint32_t>& counts,
             const std::string& worker,
             bool add) {
  if (add) {
    ++counts[worker];
  } else if (--counts[worker] == 0) {
    counts.erase(worker);
  }
}

// Sums of many changes accumulate rounding errors, so empty totals are reset to
// zero.
void ResetRounding(TeamTasks& team, WorkerTasks& worker) {
  if (team.in_use == 0) {
    team.charged = {};
  }
  if (worker.runs.empty() && worker.unconfirmed.empty()) {
    worker.placed = {};
  }
}

}  // namespace

bool MayBeRunning(const Task& task) {
  const bool assigned = task.state == TaskState::kLeased ||
                        task.state == TaskState::kRunning ||
                        task.state == TaskState::kInDoubt;
  return assigned && !task.lease.worker.empty();
}

void TaskIndex::Load(Task task, std::uint64_t version) {
  TaskEntry entry;
  entry.placed = task.spec.declared;
  entry.charged = task.spec.declared;
  entry.task = std::move(task);
  entry.version = version;
  const std::string key = KeyOf(entry.task.spec);
  Replace(key, std::move(entry));
}

void TaskIndex::Clear() {
  *this = TaskIndex();
}

const TaskEntry* TaskIndex::Find(const std::string& key) const {
  const auto found = m_entries.find(key);
  return found == m_entries.end() ? nullptr : &found->second;
}

std::size_t TaskIndex::Size() const {
  return m_entries.size();
}

void TaskIndex::Put(TaskEntry entry, bool write) {
  const std::string key = KeyOf(entry.task.spec);
  const TaskEntry* old = Find(key);
  m_undo.try_emplace(
      key, old == nullptr ? std::nullopt : std::optional<TaskEntry>(*old));
  if (write) {
    m_to_write.insert(key);
  }
  Replace(key, std::move(entry));
}

void TaskIndex::Erase(const std::string& key) {
  const TaskEntry* old = Find(key);
  if (old == nullptr) {
    return;
  }
  m_undo.try_emplace(key, *old);
  m_to_write.insert(key);
  Replace(key, std::nullopt);
}

void TaskIndex::SetProgress(const std::string& key, double progress) {
  m_entries.at(key).task.progress = progress;
}

std::vector<TaskRowChange> TaskIndex::Rows() const {
  std::vector<TaskRowChange> rows;
  for (const std::string& key : m_to_write) {
    const std::optional<TaskEntry>& before = m_undo.at(key);
    const TaskEntry* after = Find(key);
    if (!before && after == nullptr) {
      continue;
    }
    TaskRowChange row;
    row.key = key;
    row.version = before ? before->version : 0;
    if (after != nullptr) {
      row.value = EncodeTask(after->task);
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

void TaskIndex::Confirm() {
  for (const std::string& key : m_to_write) {
    const auto found = m_entries.find(key);
    if (found != m_entries.end()) {
      ++found->second.version;
    }
  }
  m_undo.clear();
  m_to_write.clear();
}

void TaskIndex::RollBack() {
  for (auto& [key, entry] : m_undo) {
    Replace(key, std::move(entry));
  }
  m_undo.clear();
  m_to_write.clear();
}

const TeamTasks& TaskIndex::TeamOf(const std::string& team) const {
  static const TeamTasks none;
  const auto found = m_teams.find(team);
  return found == m_teams.end() ? none : found->second;
}

const WorkerTasks& TaskIndex::WorkerOf(const std::string& worker) const {
  static const WorkerTasks none;
  const auto found = m_workers.find(worker);
  return found == m_workers.end() ? none : found->second;
}

const std::map<std::string, TeamTasks>& TaskIndex::Teams() const {
  return m_teams;
}

const std::map<std::string, WorkerTasks>& TaskIndex::Workers() const {
  return m_workers;
}

const std::set<std::pair<std::int64_t, std::string>>& TaskIndex::Ended() const {
  return m_ended;
}

const std::set<std::string>& TaskIndex::InDoubt() const {
  return m_in_doubt;
}

std::uint64_t TaskIndex::LastSequence() const {
  return m_last_sequence;
}

void TaskIndex::Replace(const std::string& key,
                        std::optional<TaskEntry> entry) {
  const auto found = m_entries.find(key);
  if (found != m_entries.end()) {
    Index(found->second, false);
  }
  if (!entry) {
    m_entries.erase(key);
    return;
  }
  m_last_sequence = std::max(m_last_sequence, entry->task.sequence);
  TaskEntry& stored = m_entries[key];
  stored = std::move(*entry);
  Index(stored, true);
}

void TaskIndex::Index(const TaskEntry& entry, bool add) {
  const Task& task = entry.task;
  if (task.state == TaskState::kQueued) {
    IndexWaiting(entry, add);
  }
  if (MayBeRunning(task)) {
    AddOrRemove(m_workers[task.lease.worker].runs, KeyOf(task.spec), add);
    IndexRun(entry, task.lease, add);
  }
  for (const TaskLease& lease : task.unconfirmed) {
    AddOrRemove(m_workers[lease.worker].unconfirmed, KeyOf(task.spec), add);
    IndexRun(entry, lease, add);
  }
  if (task.state == TaskState::kInDoubt) {
    AddOrRemove(m_in_doubt, KeyOf(task.spec), add);
  }
  if (task.state == TaskState::kEnded && task.unconfirmed.empty()) {
    AddOrRemove(m_ended, std::pair(task.changed_ms, KeyOf(task.spec)), add);
  }
}

void TaskIndex::IndexWaiting(const TaskEntry& entry, bool add) {
  const Task& task = entry.task;
  TeamTasks& team = m_teams[task.spec.team];
  TaskOrder& order = task.spec.urgent ? team.urgent : team.normal;
  AddOrRemove(entry.unschedulable ? team.unschedulable : order,
              std::pair(task.sequence, KeyOf(task.spec)), add);
}

void TaskIndex::IndexRun(const TaskEntry& entry,
                         const TaskLease& lease,
                         bool add) {
  const double sign = add ? 1 : -1;
  TeamTasks& team = m_teams[entry.task.spec.team];
  team.in_use += add ? 1 : -1;
  team.charged = team.charged + entry.charged * sign;
  CountOn(team.on_worker, lease.worker, add);
  WorkerTasks& worker = m_workers[lease.worker];
  worker.placed = worker.placed + entry.placed * sign;
  ResetRounding(team, worker);
}

}  // namespace cassiastile::work
