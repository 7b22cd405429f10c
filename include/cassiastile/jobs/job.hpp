#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/enum_names.hpp"
#include "cassiastile/jobs/arrival_meter.hpp"
#include "cassiastile/jobs/fleet_config.hpp"
#include "cassiastile/jobs/job_spec.hpp"
#include "cassiastile/jobs/worker_view.hpp"

namespace cassiastile::jobs {

// The state of a job.
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

// Whether the phase is a final one.
bool IsFinished(JobPhase phase);

// The state of a run as the scheduler knows it.
enum class RunPhase : std::uint8_t {
  kPlanned,       // Placed; its record is not committed yet.
  kStarting,      // The start order is not answered yet.
  kRunning,       // The worker has confirmed it.
  kStartUnknown,  // The outcome of the start order is unknown.
  kStopping,      // A stop order was sent.
  kRecovered,     // Read from the store; its worker has not reported yet.
};

inline constexpr std::array<base::EnumName<RunPhase>, 6> kRunPhaseNames{{
    {RunPhase::kPlanned, "planned"},
    {RunPhase::kStarting, "starting"},
    {RunPhase::kRunning, "running"},
    {RunPhase::kStartUnknown, "start unknown"},
    {RunPhase::kStopping, "stopping"},
    {RunPhase::kRecovered, "recovered"},
}};

// How far a task is suspected of crashing the workers that start it.
enum class Suspicion : std::uint8_t {
  kNone,
  // A worker has crashed under it. Its worker gets no other new tasks until the
  // run is proven.
  kSuspected,
  // Several have. Its worker gets no other tasks, and has no finite ones.
  kIsolated,
};

// One attempt at a task on one worker.
struct Run {
  std::uint32_t number = 0;
  WorkerId worker;
  std::string machine;  // The machine of the worker.
  RunPhase phase = RunPhase::kPlanned;
  StopReason stop_reason = StopReason::kUnknown;  // Valid in phase kStopping.
  // Whether this incarnation of the worker has listed it. Until then a later
  // incarnation may have carried its start out, or may do so.
  bool listed = false;
  base::TimePoint placed_at{};  // Zero for a recovered run.
  // When it was placed, or a start, stop or pace order was last given.
  base::TimePoint ordered_at{};
  // When the start was ordered; a takeover counts as such a time.
  base::TimePoint start_ordered_at{};
  // When the start was answered, maybe by a later incarnation: the order can't
  // be carried out after that. Zero without an answer.
  base::TimePoint answered_at{};
  // When the worker last confirmed the run or a stop order, or the outcome of
  // a start became unknown; zero while a start or stop order is unanswered.
  base::TimePoint confirmed_at{};
  base::TimePoint progressed_at{};  // When `percent` last changed.
  // Since when a long-running task serves users; zero while it does not.
  base::TimePoint serving_since{};
  int percent = -1;  // Progress; -1 until the worker has listed the run.
  // For fillers: the speed last ordered; in a recovered run it is not known.
  int paced_percent = 100;
  std::int64_t load = 0;  // See ListedRun::load.
  // The newest checkpoint of this run, or the one it was started from.
  std::string checkpoint;
  bool has_saved = false;  // Whether the checkpoint is this run's own.
  // Whether a report has listed it some time after its start: its start has not
  // crashed the worker.
  bool proven = false;
  Suspicion suspicion = Suspicion::kNone;  // Of its task when it was placed.
  // Whether no other job can be to blame if its worker crashes before it is
  // proven.
  bool alone = false;
};

// A start whose run was stopped before any report listed it. A later
// incarnation of the worker does not know of the stop and would still carry the
// order out.
struct WithdrawnStart {
  std::uint32_t run = 0;
  WorkerId worker;  // The incarnation that has confirmed the stop.
  std::string machine;
  base::TimePoint ordered_at{};  // See Run::start_ordered_at.
  // The task was placed on another worker since. Binding it again would only
  // make it wait: the start may arrive while it runs elsewhere anyway. Not
  // stored.
  bool has_left = false;
};

// The end of a worker that nobody asked for, while a task ran there.
struct Crash {
  std::uint32_t run = 0;
  // Whether the worker is known to have started the run and to have ended,
  // rather than to have been out of reach.
  bool certain = false;
  bool proven = false;  // See Run::proven.

  friend bool operator==(const Crash&, const Crash&) = default;
};

// One of the parallel units of a step.
struct Task {
  bool done = false;
  // Numbers of the failed runs. An end is listed again until it is known to be
  // stored, so a plain counter could count it twice.
  std::vector<std::uint32_t> failed_runs;
  std::uint32_t last_run = 0;  // Number of the last run; 0 for none.
  std::string checkpoint;      // The newest; empty if there is none.
  // The run that saved the checkpoint; 0 if there is none, or if the row of an
  // older program did not say. No earlier run's checkpoint replaces it.
  std::uint32_t checkpoint_run = 0;
  // At most one for each run.
  std::vector<Crash> crashes;
  // Since when the task has waited for a worker to be isolated on; zero
  // otherwise.
  base::TimePoint isolation_sought{};
  // In this planning round: it may only be placed on a worker without finite
  // tasks.
  bool must_be_isolated = false;
  // Runs that may be alive. A task is placed again only when it has none.
  std::vector<Run> runs;
  // Starts that may still arrive at later incarnations. Until then the task may
  // be placed on their worker only.
  std::vector<WithdrawnStart> withdrawn;
  std::string avoided_worker;  // Where the last run failed or was stuck.
  // The last run that was given up before its end was listed, and why.
  std::uint32_t dropped_run = 0;
  DropReason drop_reason = DropReason::kNone;
  // When a long-running task stopped serving; zero otherwise.
  base::TimePoint unavailable_since{};
  // Since when FindStalledTasks has found a long-running task without a run
  // that its worker has confirmed; zero while it has one.
  base::TimePoint stalled_since{};
};

// The progress of one step of an occurrence.
struct StepState {
  std::vector<Task> tasks;
  std::uint32_t tasks_done = 0;
  bool ready = false;  // All steps that it depends on are done.
  // The placement advisor has allowed a worker. Not stored.
  bool is_advised = false;
  // Indices of the tasks to place; empty until the step is ready.
  std::vector<std::uint32_t> waiting;
};

// One execution of the steps of a job.
struct Occurrence {
  std::uint32_t number = 0;
  std::vector<StepState> steps;
  std::uint32_t steps_done = 0;
};

// What the configuration said of a job's queue and customer when the job was
// accepted. A leader goes by it if it has never seen a configuration with them.
struct AcceptedTerms {
  int priority = 0;
  std::uint32_t max_attempts = 1;
  double stretch = 1.0;
  std::chrono::milliseconds slack{0};
  std::optional<AdviceConfig> advice;
  bool has_customer = false;
  double weight = 1.0;
  Resources limit;

  friend bool operator==(const AcceptedTerms&, const AcceptedTerms&) = default;
};

// How the progress of a job is stored. One row holds it while it fits, which
// older programs can read.
enum class ProgressForm : std::uint8_t {
  kWhole,  // One row for all tasks.
  // The row of kWhole is still what counts; segments are being written.
  kSplitting,
  kSplit,  // A row for the job and one or more for each segment.
};

// Tasks that are stored together in a split progress: the tasks of all
// occurrences, counted through, are cut into segments of equal length.
using SegmentNumber = std::uint64_t;
inline constexpr std::uint64_t kTasksOfSegment = 64;

// A job and its progress, as the scheduler keeps it.
struct Job {
  std::string id;
  std::string queue;
  std::string service;
  std::string customer;  // Empty for jobs submitted without a key.
  JobSpec spec;
  // Missing in records of older programs.
  std::optional<AcceptedTerms> terms;
  base::TimePoint arrived_at{};  // When it was first submitted.
  // The same by the accepting leader's wall clock, since 1970; the next leader
  // derives the job's age from it. Wall clocks may jump: a wrong age affects
  // only the order of jobs, the backlog that admission sees and reported ages.
  std::chrono::milliseconds arrived_wall{0};
  base::TimePoint objective{};  // Time by which it should be done.
  // Time after which its result has no value.
  base::TimePoint worthless_after{};
  // For each step, the expected time from its start to the end of the job.
  std::vector<std::chrono::milliseconds> critical_paths;
  base::TimePoint finished_at{};
  JobPhase phase = JobPhase::kQueued;
  JobPhase stored_phase = JobPhase::kQueued;  // The newest committed phase.
  bool accepted = false;                      // Its record is committed.
  // A batch has had its record, so it may be committed.
  bool record_taken = false;
  // Number of its oldest change that is not written yet; 0 if there is none.
  std::uint64_t oldest_change = 0;
  ProgressForm form = ProgressForm::kWhole;
  // The same for each segment that is to be written.
  std::map<SegmentNumber, std::uint64_t> changed_segments;
  // The number of rows that each segment has in the store.
  std::map<SegmentNumber, std::uint32_t> stored_segments;
  // In kSplitting: segments that have to be written before the job's row.
  std::set<SegmentNumber> unsplit_segments;
  bool started = false;  // One of its tasks has run.
  std::uint32_t next_occurrence = 0;
  // Number of occurrences that are due, begun or not.
  std::uint32_t due_occurrences = 0;
  // Those that have begun and are not over, in the order of their numbers.
  std::vector<Occurrence> occurrences;
  std::uint32_t occurrences_done = 0;
  std::uint32_t live_runs = 0;  // Runs of its tasks that may be alive.
  // The work that was left when it was last summed up; zero time: not known
  // since the job has changed.
  Work remaining;
  base::TimePoint remaining_at{};
};

Suspicion SuspicionOf(const Task& task);

// Refers to a task inside the scheduler. Valid while the scheduler keeps the
// job.
struct TaskRef {
  Job* job = nullptr;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  friend bool operator==(const TaskRef&, const TaskRef&) = default;
};

// The occurrence, or null.
Occurrence* FindOccurrence(Job& job, std::uint32_t number);
// The task, or null when the job has no such occurrence, step or task.
Task* FindTask(const TaskRef& ref);
// The spec of the task's step.
const StepSpec& SpecOf(const TaskRef& ref);
TaskId IdOf(const TaskRef& ref);
// The key of a step of one occurrence, "job.occurrence.step", for data that
// concerns all of its tasks.
std::string StepKey(const std::string& job,
                    std::uint32_t occurrence,
                    std::uint32_t step);

// The capacity that a task reserves on its worker; a filler reserves no CPU.
Resources CapacityNeed(const StepSpec& step);

// Adds an occurrence and makes the steps without predecessors ready. Its number
// must be higher than those of all others.
Occurrence& BeginOccurrence(Job& job, std::uint32_t number);
// Whether all steps of the occurrence are done and no run of it is left, so
// that nothing of it needs to be known any more.
bool IsOver(const Occurrence& occurrence);
// Number of tasks of one occurrence.
std::uint64_t TasksOfOccurrence(const JobSpec& spec);
// The segment of a task.
SegmentNumber SegmentOf(const TaskRef& ref);
// The first and the last segment with tasks of a step.
std::pair<SegmentNumber, SegmentNumber> SegmentsOfStep(const Job& job,
                                                       std::uint32_t occurrence,
                                                       std::uint32_t step);
// Makes the steps ready whose predecessors are done, and queues their tasks.
void RefreshReadySteps(Job& job, Occurrence& occurrence);

// Serialize a job's record, which never changes, and its progress for the
// store. The tasks of a split progress are in its segments.
std::string EncodeRecord(const Job& job);
std::string EncodeProgress(const Job& job, bool is_split = false);
// The tasks of a segment; empty if none of them has begun.
std::string EncodeSegment(const Job& job, SegmentNumber segment);
// The segments that have a task to be stored.
std::set<SegmentNumber> FindBegunSegments(const Job& job);

// A segment as it was read: its rows one after the other.
struct StoredSegment {
  std::string bytes;
  std::uint32_t rows = 0;
};
using StoredSegments = std::map<SegmentNumber, StoredSegment>;

// Read them back: DecodeRecord makes the job, DecodeProgress adds to it.
// Segments of a job whose progress is not split are left over from an
// interrupted split and count only as stored. Fail with kInvalid when the bytes
// were not written by the functions above.
base::Result<Job> DecodeRecord(const std::string& id, const std::string& bytes);
base::Result<void> DecodeProgress(Job& job,
                                  const std::string& bytes,
                                  const StoredSegments& segments = {});

}  // namespace cassiastile::jobs
