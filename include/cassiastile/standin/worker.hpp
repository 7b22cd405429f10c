#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/work/task_poll.hpp"

namespace cassiastile::standin {

// What happened to a run on a worker. Tests check invariants by these events.
enum class WorkerEvent : std::uint8_t {
  kStarted,
  kSucceeded,
  kFailed,
  kCheckpointed,
  kStopped,
  kNotStarted,
};

std::string_view NameOf(WorkerEvent event);

struct WorkerLogEntry {
  base::TimePoint at{};
  WorkerEvent event = WorkerEvent::kStarted;
  std::string worker;
  std::string key;
  std::uint64_t epoch = 0;
  std::string team;
  bool idempotent = false;
  work::Resources usage;  // When not throttled.
  double seconds = 0;     // Work done by the run, in unthrottled seconds.
};

struct WorkerOptions {
  std::string name;
  std::uint64_t incarnation = 1;
  // Age from which a run's usage is measured.
  base::Duration usage_lag = std::chrono::seconds(2);
  base::Duration checkpoint_time = std::chrono::milliseconds(500);
};

// A simulated worker whose tasks only let time pass. Actual sizes and run times
// come from the payload, JSON with cores, memory_gb, seconds and fail; fields
// it lacks are as declared. Reads no clock and does no I/O: the owner sends its
// polls and passes on the answers.
class Worker {
 public:
  using Log = std::function<void(const WorkerLogEntry&)>;

  Worker(WorkerOptions options, Log log);

  // Advances the runs to a time. Does nothing while paused.
  void Advance(base::TimePoint now);

  // Makes the poll for the shard of a pool, with the worker's runs of that
  // pool. An empty name stands for the home pool.
  work::WorkerPoll MakePoll(const std::string& pool);
  // Returns the pools to poll: the home pool, and those with runs or
  // unacknowledged ends.
  std::vector<std::string> PoolsToPoll() const;
  // Applies an answer to the poll sent at `sent`. The lease on the pool's runs
  // starts at that time, not on arrival, so that it doesn't outlast the
  // owner's. Ignores answers of owners older than the latest seen.
  void ApplyAnswer(const work::PollAnswer& answer,
                   base::TimePoint sent,
                   base::TimePoint now);

  // Takes no new tasks; checkpoints the runs that can be checkpointed and stops
  // the idempotent ones.
  void Leave(base::TimePoint now);
  bool IsIdle() const;

  // A paused worker is frozen with its runs.
  void SetPaused(bool paused);
  bool IsPaused() const;
  // All runs on a failing worker fail.
  void SetFailing(bool failing);
  // Restarts the worker under a new incarnation. It loses all state, except
  // that a failing worker still fails.
  void Restart(base::TimePoint now);

  // Whether a run ended since the last poll was made.
  bool HasUnreportedRuns() const;

  const std::string& Name() const;
  std::size_t RunCount() const;

 private:
  struct Run {
    work::StartOrder order;
    std::string pool;
    work::Resources usage;
    double seconds = 0;      // Actual run time.
    double done = 0;         // Seconds done so far.
    double done_before = 0;  // Seconds done at the start, by checkpoint.
    double throttle = 1;
    bool fails = false;
    bool checkpointing = false;
    base::TimePoint started{};
    base::TimePoint checkpoint_at{};
  };
  struct Ended {
    std::string pool;
    work::EndedRun run;
  };

  void Start(const work::StartOrder& order,
             const std::string& pool,
             base::TimePoint now);
  void End(const std::string& key, work::RunEnd end, std::string message);
  void ReportWithoutRun(const work::StartOrder& order,
                        const std::string& pool,
                        work::RunEnd end,
                        std::string message);
  void StopExpiredRuns();
  void ApplyOrders(const work::PollAnswer& answer);
  void BeginCheckpoint(Run& run);
  void RecordEvent(WorkerEvent event, const Run& run);

  WorkerOptions m_options;
  Log m_log;
  base::TimePoint m_now{};
  bool m_paused = false;
  bool m_failing = false;
  bool m_leaving = false;
  bool m_has_unreported_runs = false;
  std::uint64_t m_sequence = 0;
  std::string m_home_pool;
  std::map<std::string, Run> m_runs;               // By task key.
  std::vector<Ended> m_ended;                      // Not acknowledged yet.
  std::map<std::string, std::uint64_t> m_started;  // Highest epoch by task key.
  std::map<std::string, std::uint64_t> m_shard_epochs;
  std::map<std::string, base::TimePoint> m_lease_ends;
};

}  // namespace cassiastile::standin
