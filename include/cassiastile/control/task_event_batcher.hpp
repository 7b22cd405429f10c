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

// What a pump and the task service work with. All outlive them.
struct TaskServiceDependencies {
  platform::Table& table;
  const config::FleetSource& fleet;
  const member::ShardOwner& owner;
  const fleet::PoolView& pools;
  base::DecisionSink& decisions;
  const base::Clock& clock;
};

struct TaskEventBatcherOptions {
  work::TaskOwnerOptions owner;
  // The least time between two batches, and between one that wrote rows and
  // the next. The second bounds the shard's writes.
  std::chrono::milliseconds batch_interval{25};
  std::chrono::milliseconds write_interval{150};
  // The longest time between two batches.
  std::chrono::milliseconds tick{250};
  // Cancellations in one batch, so that waves of them don't delay starts.
  std::size_t max_cancels = 256;
  std::size_t max_waiting = 4096;  // Events waiting for a batch.
};

// A task in doubt or a worker in quarantine, with what that rests on.
struct TaskIssue {
  std::string subject;
  std::string evidence;
};

// A shard's state, as of the last second.
struct TaskPoolStatus {
  std::string pool;
  bool owned = false;  // By this process, and read from the table.
  std::size_t tasks = 0;
  std::size_t waiting = 0;
  std::size_t runs = 0;
  std::vector<TaskIssue> in_doubt;
  std::vector<TaskIssue> quarantined;
  std::map<std::string, fleet::HostWork> hosts;
};

// Why a pump did nothing with an event.
enum class BatcherRefusal : std::uint8_t {
  kNone,
  kNotOwner,
  kFull,
  kStopping,
};

struct BatcherResult {
  BatcherRefusal refusal = BatcherRefusal::kNone;
  work::TaskResult result;
  std::optional<work::Task> task;  // The task after the event, if confirmed.
  std::string explanation;         // Why it waits, is in doubt or ended.
};

using BatcherCompletion = std::function<void(BatcherResult)>;

// Collects the events of one pool's shard for a few milliseconds and hands them
// to its owner together, on a thread of its own. Safe for use by several
// threads.
class TaskEventBatcher {
 public:
  TaskEventBatcher(std::string pool,
                   TaskEventBatcherOptions options,
                   TaskServiceDependencies parts,
                   base::Random random);
  ~TaskEventBatcher();
  TaskEventBatcher(const TaskEventBatcher&) = delete;
  TaskEventBatcher& operator=(const TaskEventBatcher&) = delete;

  void Start();
  // Handles what waits, then ends.
  void Stop();

  // Handles an event of the task with the key. The completion runs once and
  // must not block.
  void Submit(work::TaskEvent event,
              std::string key,
              BatcherCompletion completion);
  // Reads a task between two batches.
  void Read(std::string key, BatcherCompletion completion);

  void RequestEvacuation(const std::string& host);
  TaskPoolStatus Status() const;

 private:
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
  TaskServiceDependencies m_parts;
  work::TaskOwner m_owner;  // Used by the pump's thread alone, as is the rest.
  std::uint64_t m_fleet_version = 0;
  base::TimePoint m_views_at{};
  base::TimePoint m_status_at{};
  base::TimePoint m_batch_due{};  // Not before this.

  mutable std::mutex m_mutex;  // Guards what follows.
  std::condition_variable m_changed;
  std::deque<Item> m_items;
  std::set<std::string> m_hosts_to_evacuate;
  TaskPoolStatus m_status;
  bool m_stopping = false;
  std::thread m_thread;
};

}  // namespace cassiastile::control
