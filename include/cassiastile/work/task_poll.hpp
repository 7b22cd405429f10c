#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/error.hpp"
#include "cassiastile/work/task.hpp"

namespace cassiastile::work {

// A run that a worker holds, with its latest measured usage.
struct HeldRun {
  std::string key;  // As returned by KeyOf.
  std::uint64_t epoch = 0;
  double progress = 0;    // From 0 to 1.
  bool measured = false;  // Whether the usage was measured yet.
  Resources usage;
};

// How a run ended on a worker.
enum class RunEnd : std::uint8_t {
  kSucceeded,
  kFailed,
  kCheckpointed,  // Stopped at a checkpoint; no work is lost.
  kStopped,       // Stopped before it was finished.
  kNotStarted,    // Refused or dropped before it started.
};

std::string_view NameOf(RunEnd end);

// A run that ended on a worker.
struct EndedRun {
  std::string key;
  std::uint64_t epoch = 0;
  RunEnd end = RunEnd::kStopped;
  double seconds = 0;  // How long it ran.
  // Resources times seconds; zero when they were not measured.
  Resources used;
  std::string checkpoint;  // Only with kCheckpointed; opaque to the shard.
  std::string message;     // Why it ended, for people.
};

// A worker's report to a shard. A worker has at most one poll in flight, and
// reports an ended run until an answer acknowledges it.
struct WorkerPoll {
  std::string worker;
  std::uint64_t incarnation = 0;  // Increases with each start of the worker.
  std::uint64_t sequence = 0;     // Increases with each poll of an incarnation.
  // The pool whose runs are listed. Empty addresses the pool of the worker's
  // host; then runs that are not listed may still be held.
  std::string pool;
  bool leaving = false;  // It accepts no new tasks.
  std::vector<HeldRun> held;
  std::vector<EndedRun> ended;
};

// Tells a worker to start a run, from its checkpoint if it has one.
struct StartOrder {
  TaskSpec spec;
  std::uint64_t epoch = 0;
  std::string checkpoint;
};

// Identifies a run by its task's key and its epoch.
struct RunRef {
  std::string key;
  std::uint64_t epoch = 0;

  bool operator==(const RunRef&) const = default;
};

// Slows a run down. Runs without such an order go at full speed.
struct ThrottleOrder {
  RunRef run;
  double fraction = 1;  // Of the run's unthrottled speed.
};

// The answer to a poll. A worker obeys an answer only when its shard epoch is
// not below the highest that it has seen from the pool, starts each run once,
// and stops all runs of the pool when it received no answer for the lease time,
// counted from when the answered poll was sent. It ignores an answer that
// arrives after it abandoned the poll.
struct PollAnswer {
  std::string pool;  // The shard that answered.
  // The pool of the worker's host; empty when the answering side does not know.
  std::string home_pool;
  // Zero when no owner of the shard could be asked; the answer then only renews
  // the lease.
  std::uint64_t shard_epoch = 0;
  base::Duration lease{};
  base::Duration poll_after{};
  std::vector<StartOrder> start;
  std::vector<RunRef> stop;
  std::vector<RunRef> checkpoint;
  std::vector<ThrottleOrder> throttle;
  std::vector<RunRef> acknowledged;
};

// Polls and answers as JSON. Decoding fails with kInvalid; the end of a run
// that this version does not know is read as kStopped.
std::string EncodePoll(const WorkerPoll& poll);
base::Result<WorkerPoll> DecodePoll(const std::string& text);
std::string EncodePollAnswer(const PollAnswer& answer);
base::Result<PollAnswer> DecodePollAnswer(const std::string& text);

}  // namespace cassiastile::work
