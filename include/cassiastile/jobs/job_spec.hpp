#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "cassiastile/base/error.hpp"
#include "cassiastile/jobs/resources.hpp"

namespace cassiastile::jobs {

// Limits on the memory that one job takes in the scheduler.
inline constexpr std::size_t kMaxSteps = 256;
inline constexpr std::uint64_t kMaxTasksOfOccurrence = 10000;

// Limit on the bytes that a specification takes in the job's row, which also
// holds the names of its queue and its customer; a row holds 64 KB.
inline constexpr std::size_t kMaxStoredSpecBytes = 56U << 10U;

// A step of a job: `count` tasks that do the same work on different data.
struct StepSpec {
  std::uint32_t count = 1;
  Resources need;  // Of one task.
  // The caller's estimate of a task's duration; often far off.
  std::chrono::milliseconds estimate{0};
  std::vector<std::uint32_t> after;  // Earlier steps that must be done first.
  bool checkpointing = false;        // A later run resumes from a checkpoint.
  bool gang = false;                 // Makes progress only while all tasks run.
  // Slower when spread over racks; not used in placement.
  bool single_rack = false;
  // Several runs of a task may be alive at once; the first success counts. The
  // scheduler stores this, but starts no additional runs.
  bool speculative = false;
  bool long_running = false;  // Runs until the job is cancelled.
  // A filler: uses CPU that other tasks leave idle, and reserves none.
  bool is_filler = false;
  // The kind or the rack that a worker must have; empty for any.
  std::string required_label;
  std::string data_rack;             // The rack of its data; slower elsewhere.
  std::uint32_t max_per_worker = 0;  // 0 for no limit.
  // Tasks that may be unavailable at the same time; 0 for no limit.
  std::uint32_t max_unavailable = 0;
  std::string image;
  // Upper limit of the tail latency of a long-running task; 0 for none.
  std::chrono::milliseconds target{0};
};

// A job as a customer submits it.
struct JobSpec {
  std::string payload;  // Opaque text that is passed to every task.
  std::vector<StepSpec> steps;
  // Number of occurrences, each of which runs all steps; 0 for a job that runs
  // once, without a due time.
  std::uint32_t repeats = 0;
  std::chrono::milliseconds first_due{0};  // When the first is due, since 1970.
  std::chrono::milliseconds interval{0};   // Between due times.

  std::uint32_t Occurrences() const { return repeats == 0 ? 1 : repeats; }
};

// Fails with kInvalid when a step depends on one that is not an earlier step,
// or when a count is zero or above its limit.
base::Result<void> CheckSpec(const JobSpec& spec);

// Fails with kInvalid when a specification is too large to be stored, or has
// more tasks than a leader can keep: a job that is to be accepted needs both.
base::Result<void> CheckSize(const JobSpec& spec);

// Identifies one task of one occurrence of a job.
struct TaskId {
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  friend bool operator==(const TaskId&, const TaskId&) = default;
  friend bool operator<(const TaskId& left, const TaskId& right) {
    return std::tie(left.job, left.occurrence, left.step, left.index) <
           std::tie(right.job, right.occurrence, right.step, right.index);
  }
};

}  // namespace cassiastile::jobs
