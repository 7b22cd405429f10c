#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/enum_names.hpp"
#include "cassiastile/jobs/job_spec.hpp"
#include "cassiastile/jobs/worker_view.hpp"

namespace cassiastile::jobs {

enum class JobPhase : std::uint8_t {
  kQueued,
  kRunning,
  kDone,
  kFailed,
  kCancelled,
};

inline constexpr std::array<base::EnumName<JobPhase>, 5> kJobPhaseNames{{
    {JobPhase::kQueued, "queued"},
    {JobPhase::kRunning, "running"},
    {JobPhase::kDone, "done"},
    {JobPhase::kFailed, "failed"},
    {JobPhase::kCancelled, "cancelled"},
}};

bool IsFinished(JobPhase phase);

enum class RunPhase : std::uint8_t {
  kPlanned,    // Chosen; the store has not confirmed the record yet.
  kStarting,   // The order was sent and not yet answered.
  kRunning,    // The worker has confirmed it.
  kDoubtful,   // The order was not answered; it is being stopped.
  kStopping,   // A stop is under way.
  kRecovered,  // Taken from the store; its worker has not reported yet.
};

// One run of a task on one worker.
struct Run {
  std::uint32_t number = 0;
  WorkerId worker;
  std::string machine;  // That the worker lives on.
  RunPhase phase = RunPhase::kPlanned;
  StopReason stop_reason = StopReason::kUnknown;  // While it is stopped.
  base::TimePoint ordered_at{};
  base::TimePoint confirmed_at{};   // Of the start, or of the stop.
  base::TimePoint progressed_at{};  // When the percentage last changed.
  base::TimePoint serving_since{};  // Of a long-running task; zero if not.
  int percent = -1;
  int paced_percent = 100;
  std::int64_t load = 0;
  // Where the task starts again from; of this run's start or newer.
  std::string checkpoint;
};

struct Task {
  bool done = false;
  // Numbers of the runs that failed. An end is listed again until it is known
  // to be stored, so a count alone could count it twice.
  std::vector<std::uint32_t> failed_runs;
  std::uint32_t last_run = 0;
  std::string checkpoint;
  std::vector<Run> runs;       // More than one only where copies are allowed.
  std::string avoided_worker;  // Where the last run failed.
  base::TimePoint unavailable_since{};  // Of a long-running task; zero if not.
};

struct StepState {
  std::vector<Task> tasks;
  std::uint32_t done = 0;
  bool ready = false;                  // All steps before it are done.
  std::vector<std::uint32_t> waiting;  // Tasks to place, when ready.
};

struct Occurrence {
  std::uint32_t number = 0;
  std::vector<StepState> steps;
  std::uint32_t steps_done = 0;
};

struct Job {
  std::string id;
  std::string queue;
  std::string service;
  std::string customer;  // Empty on queues open to all.
  JobSpec spec;
  base::TimePoint arrived_at{};  // When it was first handed in.
  // By the wall clock of the office that took it, so that the next one knows
  // how old it is. Clocks may step; only the order of jobs hangs on it.
  std::chrono::milliseconds arrived_wall{0};
  base::TimePoint objective{};  // When it should be done.
  base::TimePoint
      worthless_after{};  // When being done is worth nothing any more.
  // Expected from the begin of each step to the end of the job.
  std::vector<std::chrono::milliseconds> critical_paths;
  base::TimePoint finished_at{};
  JobPhase phase = JobPhase::kQueued;
  JobPhase stored_phase = JobPhase::kQueued;  // The newest one in the store.
  bool accepted = false;                      // Its record is in the store.
  bool dirty = false;    // Its progress differs from the store's.
  bool started = false;  // A task of it has run.
  std::uint32_t next_occurrence = 0;
  std::vector<Occurrence> occurrences;  // Those begun and not done.
  std::uint32_t occurrences_done = 0;
  std::uint32_t runs = 0;  // Runs of all its tasks that may be alive.
};

// Names a task inside the scheduler. Valid as long as the job is kept.
struct TaskRef {
  Job* job = nullptr;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  friend bool operator==(const TaskRef&, const TaskRef&) = default;
};

Occurrence* FindOccurrence(Job& job, std::uint32_t number);
// The task, or null when its occurrence is over.
Task* FindTask(const TaskRef& ref);
const StepSpec& SpecOf(const TaskRef& ref);
TaskId IdOf(const TaskRef& ref);
// Names a step of one occurrence, for what is asked about all of its tasks.
std::string StepName(const std::string& job,
                     std::uint32_t occurrence,
                     std::uint32_t step);

// What a task takes from its worker's capacity.
Resources CapacityNeed(const StepSpec& step);

// Adds an occurrence whose first steps are ready.
Occurrence& BeginOccurrence(Job& job, std::uint32_t number);
// Marks steps ready whose predecessors are done and lists their tasks.
void RefreshReadySteps(Job& job, Occurrence& occurrence);

// A job's record and its progress as bytes for the store, and back.
std::string EncodeRecord(const Job& job);
std::string EncodeProgress(const Job& job);
// Fails with kInvalid when the bytes are not what the functions above wrote.
base::Result<Job> DecodeRecord(const std::string& id, const std::string& bytes);
base::Result<void> DecodeProgress(Job& job, const std::string& bytes);

}  // namespace cassiastile::jobs
