#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/work/task.hpp"

namespace cassiastile::work {

// What a worker is asked to do with a run besides running it.
enum class RunRequest : std::uint8_t {
  kNone,
  kCheckpoint,
};

// A task's record with the state that is kept in memory only.
struct TaskEntry {
  Task task;
  std::uint64_t version = 0;  // Of its row; zero when it has none.
  Resources placed;           // Counted on its host.
  Resources charged;          // Counted for its team.
  // Resources times seconds that its team was charged for the run, and until
  // when.
  Resources charged_usage;
  base::TimePoint charged_until{};
  base::TimePoint started{};
  bool measured = false;  // Whether its usage was reported.
  double throttle = 1;    // The fraction of its full speed that it may use.
  RunRequest request = RunRequest::kNone;
  // No host of the pool could hold it, or its team's limit is zero.
  bool unschedulable = false;
};

// Tasks in order of submission: sequence and key.
using TaskOrder = std::set<std::pair<std::uint64_t, std::string>>;

// A team's tasks in a shard.
struct TeamTasks {
  TaskOrder urgent;          // Waiting.
  TaskOrder normal;          // Waiting.
  TaskOrder unschedulable;   // Waiting until they can run.
  std::uint32_t in_use = 0;  // Runs that count against the team's limit.
  Resources charged;
  std::map<std::string, std::uint32_t> on_worker;
};

// The runs on a worker.
struct WorkerTasks {
  std::set<std::string> runs;         // Keys of tasks leased to it.
  std::set<std::string> unconfirmed;  // Keys of abandoned runs.
  Resources placed;
};

// A row to write, or to delete when there is no value.
struct TaskRowChange {
  std::string key;  // The task's key, not the row's.
  std::optional<std::string> value;
  std::uint64_t version = 0;  // Precondition: the row's current version.
};

// The tasks of a shard, indexed by team and worker. Changes are collected in a
// batch, which is confirmed once its rows are written, or rolled back.
class TaskIndex {
 public:
  // Adds a record that was read from the table.
  void Load(Task task, std::uint64_t version);
  void Clear();

  // Null when there is none. Valid until the next change of the index.
  const TaskEntry* Find(const std::string& key) const;
  std::size_t Size() const;

  // Adds or replaces an entry. With `write` its record becomes part of the
  // batch's rows.
  void Put(TaskEntry entry, bool write);
  void Erase(const std::string& key);
  // Records the progress of a run, whose entry must exist. Not part of a batch.
  void SetProgress(const std::string& key, double progress);

  // The rows that the batch writes.
  std::vector<TaskRowChange> Rows() const;
  // Ends the batch after its rows were written.
  void Confirm();
  // Ends the batch and undoes its changes.
  void RollBack();

  // Empty when there is none. The references are valid until the next change.
  const TeamTasks& TeamOf(const std::string& team) const;
  const WorkerTasks& WorkerOf(const std::string& worker) const;
  const std::map<std::string, TeamTasks>& Teams() const;
  const std::map<std::string, WorkerTasks>& Workers() const;

  // Ended tasks without unconfirmed runs: changed_ms and key.
  const std::set<std::pair<std::int64_t, std::string>>& Ended() const;
  const std::set<std::string>& InDoubt() const;
  std::uint64_t LastSequence() const;

 private:
  void Replace(const std::string& key, std::optional<TaskEntry> entry);
  void Index(const TaskEntry& entry, bool add);
  void IndexWaiting(const TaskEntry& entry, bool add);
  void IndexRun(const TaskEntry& entry, const TaskLease& lease, bool add);

  std::unordered_map<std::string, TaskEntry> m_entries;
  std::map<std::string, TeamTasks> m_teams;
  std::map<std::string, WorkerTasks> m_workers;
  std::set<std::pair<std::int64_t, std::string>> m_ended;
  std::set<std::string> m_in_doubt;
  // The entries that the batch changed, as they were before; no value for those
  // that it added.
  std::map<std::string, std::optional<TaskEntry>> m_undo;
  std::set<std::string> m_to_write;  // Keys of the batch's rows.
  std::uint64_t m_last_sequence = 0;
};

// Whether a worker may be running the task under its current lease.
bool MayBeRunning(const Task& task);

}  // namespace cassiastile::work
