#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/error.hpp"
#include "cassiastile/work/task.hpp"

namespace cassiastile::work {

// A task that a worker holds, with its usage as last measured.
struct HeldTask {
  std::string key;  // As KeyOf gives it.
  std::uint64_t epoch = 0;
  double progress = 0;
  bool measured = false;  // Whether the usage was measured yet.
  Resources usage;
};

// How a run ended on a worker.
enum class RunEnd : std::uint8_t {
  kSucceeded,
  kFailed,
  kCheckpointed,  // Stopped at a checkpoint; nothing done is lost.
  kStopped,       // Stopped part of the way.
  kNotStarted,    // Refused or dropped before it started.
};

std::string_view NameOf(RunEnd end);

struct EndedRun {
  std::string key;
  std::uint64_t epoch = 0;
  RunEnd end = RunEnd::kStopped;
  double seconds = 0;  // How long it ran.
  // Resources times seconds; zero where they were not measured.
  Resources used;
  std::string checkpoint;
  std::string message;
};

// What a worker says of itself. A worker has one poll under way at a time and
// reports an ended run until an answer acknowledges it.
struct WorkerPoll {
  std::string worker;
  std::uint64_t incarnation = 0;  // Grows each time the worker starts anew.
  std::uint64_t sequence = 0;     // Grows with every poll of an incarnation.
  // Whose runs are listed. Empty asks the pool that the host is in and says
  // nothing of what the worker does not hold.
  std::string pool;
  bool leaving = false;  // It wants no new tasks.
  std::vector<HeldTask> held;
  std::vector<EndedRun> ended;
};

struct StartOrder {
  TaskSpec spec;
  std::uint64_t epoch = 0;
  std::string checkpoint;
};

struct RunRef {
  std::string key;
  std::uint64_t epoch = 0;

  bool operator==(const RunRef&) const = default;
};

// Runs without such an order go at full speed.
struct ThrottleOrder {
  RunRef run;
  double fraction = 1;  // Of the speed that the run has by itself.
};

// What a worker shall do. A worker obeys an answer only when its shard epoch is
// not below the highest that it has seen of the pool, starts each run once, and
// stops all runs of the pool by itself when no answer came for the lease time,
// counted from when the answered poll was sent. It drops an answer that comes
// after it gave the poll up. A shard epoch of zero renews the lease and says
// nothing else: no owner of the shard could be asked.
struct PollAnswer {
  std::string pool;       // The shard that answered.
  std::string home_pool;  // The pool that the worker's host is in.
  std::uint64_t shard_epoch = 0;
  base::Duration lease{};
  base::Duration poll_after{};
  std::vector<StartOrder> start;
  std::vector<RunRef> stop;
  std::vector<RunRef> checkpoint;
  std::vector<ThrottleOrder> throttle;
  std::vector<RunRef> acknowledged;
};

std::string EncodePoll(const WorkerPoll& poll);
base::Result<WorkerPoll> DecodePoll(const std::string& text);
std::string EncodePollAnswer(const PollAnswer& answer);
base::Result<PollAnswer> DecodePollAnswer(const std::string& text);

}  // namespace cassiastile::work
