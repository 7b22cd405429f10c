#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cassiastile/base/error.hpp"

namespace cassiastile::work {

// An amount of what a host's tasks share.
struct Resources {
  double cores = 0;
  double memory_gb = 0;
  double accelerators = 0;

  bool operator==(const Resources&) const = default;
};

Resources operator+(const Resources& left, const Resources& right);
Resources operator-(const Resources& left, const Resources& right);
Resources operator*(const Resources& amount, double factor);

// Whether an amount fits into what is free.
bool Fits(const Resources& amount, const Resources& free);

// The largest of the parts that an amount takes of each resource; resources
// that the capacity lacks don't count.
double DominantShare(const Resources& amount, const Resources& capacity);

enum class TaskState : std::uint8_t {
  kQueued,
  kLeased,   // Given to a worker; it may have started.
  kRunning,  // The worker has said that it runs.
  kInDoubt,  // Not idempotent, and its worker can't say how it went.
  kEnded,
};

enum class TaskOutcome : std::uint8_t {
  kNone,  // It has not ended.
  kSucceeded,
  kFailed,
  kCancelled,
  kRefused,
};

std::string_view NameOf(TaskState state);
std::string_view NameOf(TaskOutcome outcome);

// What a submitter asked for.
struct TaskSpec {
  std::string id;  // Chosen by the submitter; unique within the queue.
  std::string queue;
  std::string team;  // Empty on a queue open to all.
  bool urgent = false;
  std::string kind;
  Resources declared{1, 1, 0};
  double seconds = 60;  // Declared run time.
  bool idempotent = false;
  bool checkpointable = false;
  std::string payload;

  bool operator==(const TaskSpec&) const = default;
};

// Which run of a task a worker was given. Epochs of a task only grow.
struct TaskLease {
  std::string worker;
  std::uint64_t incarnation = 0;
  std::uint64_t epoch = 0;

  bool operator==(const TaskLease&) const = default;
};

// A task's record, as the table keeps it.
struct Task {
  TaskSpec spec;
  std::uint64_t sequence = 0;  // Order of submission within the shard.
  TaskState state = TaskState::kQueued;
  TaskOutcome outcome = TaskOutcome::kNone;
  TaskLease lease;
  // Runs that were given up and may still go on. Each counts against the
  // team's limit until its worker is known to have stopped it.
  std::vector<TaskLease> unconfirmed;
  std::vector<std::string> failed_on;  // Workers that it failed on.
  bool cancel_requested = false;
  std::string checkpoint;
  double progress = 0;          // From 0 to 1, as of the last write.
  std::string reason;           // Why it waits, is in doubt or ended.
  std::string placement;        // Id of the decision that last placed it.
  std::int64_t changed_ms = 0;  // Wall clock, milliseconds since 1970.

  bool operator==(const Task&) const = default;
};

// "queue/id", which names a task within its shard.
std::string KeyOf(const TaskSpec& spec);

// The table row of a task.
std::string TaskRowKey(const std::string& pool, const std::string& task_key);

std::string EncodeTask(const Task& task);
base::Result<Task> DecodeTask(const std::string& text);

// Parses the body of a submission. The queue, team and urgency are not part of
// it. kInvalid says what is wrong.
base::Result<TaskSpec> ParseTaskSpec(const std::string& body);

}  // namespace cassiastile::work
