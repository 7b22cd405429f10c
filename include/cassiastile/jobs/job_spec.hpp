#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "cassiastile/base/error.hpp"
#include "cassiastile/jobs/resources.hpp"

namespace cassiastile::jobs {

// A number of tasks that do the same on different data.
struct StepSpec {
  std::uint32_t count = 1;
  Resources need;                         // Of one task.
  std::chrono::milliseconds estimate{0};  // The caller's guess; often far off.
  std::vector<std::uint32_t> after;       // Steps that must be done first.
  bool checkpointing = false;
  bool gang = false;          // Works only while all tasks are present.
  bool single_rack = false;   // Slower when spread over racks.
  bool speculative = false;   // Copies may run at once; the first end counts.
  bool long_running = false;  // Runs until the job is cancelled.
  bool fills = false;         // Uses what others leave; takes no capacity.
  std::string required_label;
  std::string data_rack;              // Slower on any other rack.
  std::uint32_t max_per_worker = 0;   // 0 for no limit.
  std::uint32_t max_unavailable = 0;  // 0 for no promise.
  std::string image;
  std::chrono::milliseconds target{0};  // Bound of the latency tail, 0: none.
};

// What a customer hands in.
struct JobSpec {
  std::string payload;  // Opaque text that every task is started with.
  std::vector<StepSpec> steps;
  // A job with repeats runs its steps once for each occurrence.
  std::uint32_t repeats = 0;
  std::chrono::milliseconds first_due{0};  // Since 1970.
  std::chrono::milliseconds interval{0};

  std::uint32_t Occurrences() const { return repeats == 0 ? 1 : repeats; }
};

// Fails with kInvalid when steps refer to themselves or to missing ones, or
// when a count is zero or beyond what one job may hold.
base::Result<void> CheckSpec(const JobSpec& spec);

// Names one task of one occurrence of a job.
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
