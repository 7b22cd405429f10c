#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/jobs/job.hpp"
#include "cassiastile/jobs/worker_state.hpp"
#include "cassiastile/jobs/worker_view.hpp"

// What the scheduler orders, and what it tells for the log.
namespace cassiastile::jobs {

// Orders a worker to start a run.
struct StartOrder {
  WorkerId worker;
  TaskId task;
  std::uint32_t run = 0;
  std::string payload;     // JobSpec::payload.
  std::string checkpoint;  // To resume from; empty to start anew.
  std::string ticket;      // Of the placement advisor; empty without one.
  base::TimePoint placed_at{};
};

// Orders a worker to stop a run.
struct StopOrder {
  WorkerId worker;
  TaskId task;
  std::uint32_t run = 0;
  StopReason reason = StopReason::kUnknown;
};

// Orders a worker to run a filler at a percentage of its full speed.
struct PaceOrder {
  WorkerId worker;
  TaskId task;
  std::uint32_t run = 0;
  int percent = 100;
};

// Asks the placement advisor of a queue which workers may run a step.
struct AdviceRequest {
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::vector<std::string> workers;  // The candidates, by id.
  std::chrono::milliseconds validity{0};
  base::TimePoint asked_at{};
  std::chrono::milliseconds timeout{0};  // How long the answer may take.
};

// A run that was given up although its end was not listed, or one that a worker
// lists after that.
struct DroppedRun {
  WorkerId worker;
  TaskId task;
  std::uint32_t run = 0;
  DropReason reason = DropReason::kNone;
  RunPhase phase = RunPhase::kPlanned;  // When it was given up.
  std::size_t crashes = 0;             // Of its task so far; see Task::crashes.
  base::TimePoint start_ordered_at{};  // Zero if it is not known.
  bool answered = false;               // Its start was answered.
  bool listed = false;                 // Its worker has listed it.
  bool worker_listed = false;  // The platform's list has its worker's entry.
  // When its worker's lease was taken to end, and what that rests on.
  base::TimePoint lease_bound{};
  LeaseEvidence lease_evidence = LeaseEvidence::kNone;
  // The newest report of its worker's current incarnation to this leader; zero
  // without one.
  base::TimePoint worker_reported_at{};
};

// A list of workers has an entry of another incarnation than the one that is
// taken for the current one.
struct StaleEntry {
  WorkerId worker;  // As reported.
  std::int64_t listed_incarnation_ms = 0;
};

// A task was placed although one of its starts may still be carried out on
// another worker.
struct LeftWorker {
  TaskId task;
  std::uint32_t run = 0;  // The new one.
  WorkerId worker;        // Of the new run.
  WorkerId left;          // Of the start.
  std::uint32_t left_run = 0;
  base::TimePoint left_ordered_at{};
};

// A worker whose capacity has changed while it runs.
struct ResizedWorker {
  WorkerId worker;
  Resources before;
  Resources after;
  Resources used;
};

// A worker that has become slow, or has recovered.
struct SpeedChange {
  WorkerId worker;
  bool slow = false;
  double median = 1.0;  // See WorkerSpeed::Median.
};

// A task whose job has failed since workers crashed under it.
struct GivenUpTask {
  TaskId task;
  std::vector<Crash> crashes;
};

// Orders that the caller must carry out, and what it should log. Only Confirm
// adds starts.
struct Orders {
  std::vector<StartOrder> starts;
  std::vector<StopOrder> stops;
  std::vector<PaceOrder> paces;
  std::vector<AdviceRequest> advice;
  std::vector<DroppedRun> dropped;
  // Runs that a worker lists as running although they were given up.
  std::vector<DroppedRun> resurfaced;
  // Runs whose ends a worker lists although they were given up before.
  std::vector<DroppedRun> late_ends;
  // Runs of a worker's former incarnation whose starts the next one may still
  // carry out.
  std::vector<DroppedRun> outlived;
  std::vector<StaleEntry> stale_entries;
  std::vector<LeftWorker> left;
  std::vector<ResizedWorker> resized;
  std::vector<GivenUpTask> given_up;
  std::vector<SpeedChange> speed_changes;
};

}  // namespace cassiastile::jobs
