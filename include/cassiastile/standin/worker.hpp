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

// What a worker did, for those who judge from outside.
enum class WorkerEvent : std::uint8_t {
  kStarted,
  kSucceeded,
  kFailed,
  kCheckpointed,
  kStopped,
  kNotStarted,
};

std::string_view NameOf(WorkerEvent act);

struct WorkerLogEntry {
  base::TimePoint at{};
  WorkerEvent act = WorkerEvent::kStarted;
  std::string worker;
  std::string key;
  std::uint64_t epoch = 0;
  std::string team;
  bool idempotent = false;
  work::Resources usage;  // At full speed.
  double seconds = 0;     // At full speed that the run went on for.
};

struct WorkerOptions {
  std::string name;
  std::uint64_t incarnation = 1;
  base::Duration usage_lag = std::chrono::seconds(2);
  base::Duration checkpoint_time = std::chrono::milliseconds(500);
};

// A worker whose tasks only pass the time. Real sizes and run times come from
// the payload, as JSON with cores, memory_gb, seconds and fail; what it lacks
// is as declared. Reads no clock and does no I/O: its owner sends its polls and
// hands it the answers.
class Worker {
 public:
  using Log = std::function<void(const WorkerLogEntry&)>;

  Worker(WorkerOptions options, Log log);

  // Brings the runs up to the time. Does nothing while paused.
  void Advance(base::TimePoint now);

  // The poll for the shard of a pool; an empty name stands for the pool that
  // the host is in. The runs of that pool are part of it.
  work::WorkerPoll MakePoll(const std::string& pool);
  // The pools to poll: the home pool, and those of its runs.
  std::vector<std::string> PoolsToPoll() const;
  void Take(const work::PollAnswer& answer,
            base::TimePoint sent,
            base::TimePoint now);

  // Asks for no new tasks and gives back what it can.
  void Leave(base::TimePoint now);
  bool IsIdle() const;

  // Faults. A paused worker is frozen with its runs. One that restarts forgets
  // all and comes back under a new incarnation.
  void SetPaused(bool paused);
  bool IsPaused() const;
  void SetFailing(bool failing);
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
    double seconds = 0;      // Real run time.
    double done = 0;         // Of these.
    double done_before = 0;  // Of these, up to the checkpoint it began from.
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
  void ReportOnly(const work::StartOrder& order,
                  const std::string& pool,
                  work::RunEnd end,
                  std::string message);
  void StopLapsed();
  void Obey(const work::PollAnswer& answer);
  void BeginCheckpoint(Run& run);
  void Note(WorkerEvent act, const Run& run);

  WorkerOptions m_options;
  Log m_log;
  base::TimePoint m_now{};
  bool m_paused = false;
  bool m_failing = false;
  bool m_leaving = false;
  bool m_has_news = false;
  std::uint64_t m_sequence = 0;
  std::string m_home;
  std::map<std::string, Run> m_runs;  // By the key of the task.
  std::vector<Ended> m_ended;
  std::map<std::string, std::uint64_t> m_started;  // Highest epoch by key.
  std::map<std::string, std::uint64_t> m_shard_epochs;
  std::map<std::string, base::TimePoint> m_lease_ends;
};

}  // namespace cassiastile::standin
