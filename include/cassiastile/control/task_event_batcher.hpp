#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/decision.hpp"
#include "cassiastile/base/random.hpp"
#include "cassiastile/config/fleet_source.hpp"
#include "cassiastile/fleet/host_view.hpp"
#include "cassiastile/member/shard_owner.hpp"
#include "cassiastile/platform/table.hpp"
#include "cassiastile/work/task_owner.hpp"

namespace cassiastile::control {

// The objects that the batchers and the task service use. All must outlive
// them.
struct TaskServiceDependencies {
  platform::Table& table;
  const config::FleetSource& fleet;
  const member::ShardOwner& shard_owner;
  const fleet::PoolView& pools;
  base::DecisionSink& decisions;
  const base::Clock& clock;
};

// Settings of a TaskEventBatcher.
struct TaskEventBatcherOptions {
  work::TaskOwnerOptions owner;
  // The minimum time between two batches, and after a batch that wrote rows.
  // The latter limits the shard's write rate.
  std::chrono::milliseconds batch_interval{25};
  std::chrono::milliseconds write_interval{150};
  // The maximum wait for an event; then a batch without events runs, for
  // timeouts.
  std::chrono::milliseconds max_idle_time{250};
  // The maximum number of cancellations in one batch, so that a burst of them
  // does not delay starts.
  std::size_t max_cancels = 256;
  // The maximum number of queued events and reads; more are refused with kFull.
  std::size_t max_waiting = 4096;
};

// A task in doubt or a worker in quarantine, with the evidence for it.
struct TaskIssue {
  std::string subject;
  std::string evidence;
};

// A shard's state, refreshed once a second. Only `pool` is set unless `owned`.
struct TaskPoolStatus {
  std::string pool;
  // Whether this process owns the shard and has read its rows.
  bool owned = false;
  std::size_t tasks = 0;
  std::size_t waiting = 0;  // Including tasks that fit no host of the pool.
  std::size_t runs = 0;     // Runs that count against the teams' limits.
  std::vector<TaskIssue> in_doubt;  // At most 100.
  std::vector<TaskIssue> quarantined;
  std::map<std::string, fleet::HostWork> hosts;
};

// Why a batcher did not handle an event.
enum class BatcherRefusal : std::uint8_t {
  kNone,      // It was handled.
  kNotOwner,  // This process does not own the shard.
  kFull,      // Too many events are queued.
  kStopping,  // The batcher was stopped.
};

// The result of one event or read.
struct BatcherResult {
  BatcherRefusal refusal = BatcherRefusal::kNone;
  work::TaskResult result;
  std::optional<work::Task> task;  // The task after the event, if committed.
  std::string explanation;         // Why it waits, is in doubt or has ended.
};

using BatcherCompletion = std::function<void(BatcherResult)>;

// Collects the events of one pool's shard for a few milliseconds and passes
// them to the shard's TaskOwner in one batch, on its own thread. Thread-safe.
class TaskEventBatcher {
 public:
  TaskEventBatcher(std::string pool,
                   TaskEventBatcherOptions options,
                   TaskServiceDependencies dependencies,
                   base::Random random);
  ~TaskEventBatcher();
  TaskEventBatcher(const TaskEventBatcher&) = delete;
  TaskEventBatcher& operator=(const TaskEventBatcher&) = delete;

  void Start();
  // Handles the queued events, then ends the thread. Later ones are refused.
  void Stop();

  // Queues an event of the task with the key; `key` is empty for a poll. The
  // completion runs exactly once, on the batcher's or the caller's thread, and
  // must not block.
  void Submit(work::TaskEvent event,
              std::string key,
              BatcherCompletion completion);
  // Queues a read of a task, answered after the events of its batch. The
  // completion runs as for Submit.
  void Read(std::string key, BatcherCompletion completion);

  // Requests, in the next batch, that tasks that can be checkpointed leave the
  // host.
  void RequestEvacuation(const std::string& host);

  // The status as of the last refresh; does not wait for the batcher's thread.
  TaskPoolStatus Status() const;

 private:
  // A queued event, or a read if it has no event.
  struct Item {
    std::optional<work::TaskEvent> event;
    std::string key;
    BatcherCompletion completion;
  };

  void Push(Item item);
  void Run();
  std::vector<Item> WaitForItems();
  void HandleItems(std::vector<Item> items);
  void RefreshViews(base::TimePoint now);
  void RefreshStatus(base::TimePoint now, bool owned);
  TaskPoolStatus MakeStatus(base::TimePoint now) const;
  void Complete(Item& item, work::TaskResult result) const;
  static void Refuse(std::vector<Item>& items, BatcherRefusal refusal);

  const std::string m_pool;
  const TaskEventBatcherOptions m_options;
  TaskServiceDependencies m_dependencies;
  // These are used only by the batcher's thread.
  work::TaskOwner m_owner;
  std::uint64_t m_fleet_version = 0;
  base::TimePoint m_views_refreshed_at{};
  base::TimePoint m_status_refreshed_at{};
  base::TimePoint m_next_batch_at{};  // The earliest time of the next batch.

  mutable std::mutex m_mutex;  // Guards the members below.
  std::condition_variable m_changed;
  std::deque<Item> m_items;
  std::set<std::string> m_hosts_to_evacuate;
  TaskPoolStatus m_status;
  bool m_stopping = false;
  std::thread m_thread;
};

}  // namespace cassiastile::control
