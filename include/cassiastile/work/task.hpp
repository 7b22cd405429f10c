#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cassiastile/base/error.hpp"

namespace cassiastile::work {

// An amount of the resources that a host's tasks share.
struct Resources {
  double cores = 0;
  double memory_gb = 0;
  double accelerators = 0;

  bool operator==(const Resources&) const = default;
};

Resources operator+(const Resources& left, const Resources& right);
Resources operator-(const Resources& left, const Resources& right);
Resources operator*(const Resources& amount, double factor);

// Whether an amount fits into the free resources.
bool Fits(const Resources& amount, const Resources& free);

// The largest fraction that the amount takes of any one resource. Resources
// that the capacity lacks are ignored.
double DominantShare(const Resources& amount, const Resources& capacity);

// The lifecycle state of a task.
enum class TaskState : std::uint8_t {
  kQueued,
  kLeased,   // Assigned to a worker; it may have started.
  kRunning,  // The worker has reported it as running.
  kInDoubt,  // Not idempotent, and its result is unknown.
  kEnded,
};

// How a task ended.
enum class TaskOutcome : std::uint8_t {
  kNone,  // It has not ended.
  kSucceeded,
  kFailed,
  kCancelled,
  kRefused,
};

std::string_view NameOf(TaskState state);
std::string_view NameOf(TaskOutcome outcome);

// A task as submitted.
struct TaskSpec {
  std::string id;  // Chosen by the submitter; unique within the queue.
  std::string queue;
  std::string team;  // Empty when the queue is open to all.
  bool urgent = false;
  std::string kind;
  Resources declared{1, 1, 0};
  double seconds = 60;  // Declared run time.
  bool idempotent = false;
  bool checkpointable = false;
  std::string payload;

  bool operator==(const TaskSpec&) const = default;
};

// Identifies the run of a task that a worker was assigned. The epochs of a task
// only increase.
struct TaskLease {
  std::string worker;
  std::uint64_t incarnation = 0;
  std::uint64_t epoch = 0;

  bool operator==(const TaskLease&) const = default;
};

// A task's record as stored in the table.
struct Task {
  TaskSpec spec;
  std::uint64_t sequence = 0;  // Order of submission within the shard.
  TaskState state = TaskState::kQueued;
  TaskOutcome outcome = TaskOutcome::kNone;
  TaskLease lease;
  // Runs that were abandoned and may still be executing. Each counts against
  // the team's limit until its worker is known to have stopped it.
  std::vector<TaskLease> unconfirmed;
  std::vector<std::string> failed_on;  // Workers on which it failed.
  bool cancel_requested = false;
  std::string checkpoint;
  double progress = 0;          // From 0 to 1, as of the last write.
  std::string reason;           // Why it waits, is in doubt or ended.
  std::string placement;        // Id of its latest placement decision.
  std::int64_t changed_ms = 0;  // Wall clock, milliseconds since 1970.

  bool operator==(const Task&) const = default;
};

// The task's key within its shard: "queue/id".
std::string KeyOf(const TaskSpec& spec);

// The row key of a task in the table.
std::string TaskRowKey(const std::string& pool, const std::string& task_key);

// Serializes a record as JSON.
std::string EncodeTask(const Task& task);
// kInvalid when the text is not a record. A state or outcome that this version
// does not know is read as kInDoubt or kNone.
base::Result<Task> DecodeTask(const std::string& text);

// Parses the body of a submission, which does not contain the queue, team and
// urgency. kInvalid when the body or a value is not valid.
base::Result<TaskSpec> ParseTaskSpec(const std::string& body);

}  // namespace cassiastile::work
