#include "cassiastile/control/task_event_batcher.hpp"

#include <algorithm>

namespace cassiastile::control {

namespace {

constexpr base::Duration kViewsInterval = std::chrono::milliseconds(500);
constexpr base::Duration kStatusInterval = std::chrono::seconds(1);
constexpr std::size_t kMaxListedInDoubt = 100;

bool IsCancel(const std::optional<work::TaskEvent>& event) {
  return event && std::holds_alternative<work::CancelEvent>(*event);
}

}  // namespace

TaskEventBatcher::TaskEventBatcher(std::string pool,
                                   TaskEventBatcherOptions options,
                                   TaskServiceDependencies dependencies,
                                   base::Random random)
    : m_pool(std::move(pool)),
      m_options(options),
      m_dependencies(dependencies),
      m_owner(m_pool,
              options.owner,
              dependencies.table,
              dependencies.decisions,
              random) {
  m_status.pool = m_pool;
}

TaskEventBatcher::~TaskEventBatcher() {
  Stop();
}

void TaskEventBatcher::Start() {
  m_thread = std::thread([this] { Run(); });
}

void TaskEventBatcher::Stop() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_changed.notify_all();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void TaskEventBatcher::Submit(work::TaskEvent event,
                              std::string key,
                              BatcherCompletion completion) {
  Push({std::move(event), std::move(key), std::move(completion)});
}

void TaskEventBatcher::Read(std::string key, BatcherCompletion completion) {
  Push({std::nullopt, std::move(key), std::move(completion)});
}

void TaskEventBatcher::RequestEvacuation(const std::string& host) {
  const std::lock_guard lock(m_mutex);
  m_hosts_to_evacuate.insert(host);
}

TaskPoolStatus TaskEventBatcher::Status() const {
  const std::lock_guard lock(m_mutex);
  return m_status;
}

void TaskEventBatcher::Push(Item item) {
  std::unique_lock lock(m_mutex);
  if (!m_stopping && m_items.size() < m_options.max_waiting) {
    m_items.push_back(std::move(item));
    lock.unlock();
    m_changed.notify_all();
    return;
  }
  BatcherResult result;
  result.refusal =
      m_stopping ? BatcherRefusal::kStopping : BatcherRefusal::kFull;
  lock.unlock();
  item.completion(std::move(result));
}

void TaskEventBatcher::Run() {
  while (true) {
    std::vector<Item> items = WaitForItems();
    const bool was_idle = items.empty();
    HandleItems(std::move(items));
    const std::lock_guard lock(m_mutex);
    if (m_stopping && was_idle && m_items.empty()) {
      return;
    }
  }
}

std::vector<TaskEventBatcher::Item> TaskEventBatcher::WaitForItems() {
  std::unique_lock lock(m_mutex);
  m_changed.wait_for(lock, m_options.max_idle_time,
                     [this] { return m_stopping || !m_items.empty(); });
  const base::Duration delay = m_next_batch_at - m_dependencies.clock.Now();
  if (!m_stopping && delay > base::Duration{}) {
    m_changed.wait_for(lock, delay, [this] { return m_stopping; });
  }
  std::vector<Item> taken;
  std::deque<Item> left;
  std::size_t cancels = 0;
  for (Item& item : m_items) {
    const bool over_limit =
        IsCancel(item.event) && ++cancels > m_options.max_cancels;
    if (over_limit) {
      left.push_back(std::move(item));
    } else {
      taken.push_back(std::move(item));
    }
  }
  m_items = std::move(left);
  return taken;
}

void TaskEventBatcher::HandleItems(std::vector<Item> items) {
  const base::TimePoint now = m_dependencies.clock.Now();
  m_next_batch_at = now + m_options.batch_interval;
  RefreshViews(now);
  const auto shard_lease = m_dependencies.shard_owner.CurrentLease(m_pool, now);
  if (!shard_lease) {
    Refuse(items, BatcherRefusal::kNotOwner);
    RefreshStatus(now, false);
    return;
  }
  std::vector<work::TaskEvent> events;
  for (const Item& item : items) {
    if (item.event) {
      events.push_back(*item.event);
    }
  }
  const std::uint64_t written = m_owner.BatchesWritten();
  std::vector<work::TaskResult> results =
      m_owner.ProcessEvents(events, {now, m_dependencies.clock.WallNow()},
                            {shard_lease->epoch, shard_lease->fence});
  if (m_owner.BatchesWritten() != written) {
    m_next_batch_at = now + m_options.write_interval;
  }
  std::size_t next = 0;
  for (Item& item : items) {
    work::TaskResult result;
    if (item.event) {
      result = std::move(results[next++]);
    } else if (!m_owner.IsSettled()) {
      result.effect = work::Effect::kNotRun;
    }
    Complete(item, std::move(result));
  }
  RefreshStatus(now, m_owner.IsSettled());
}

void TaskEventBatcher::RefreshViews(base::TimePoint now) {
  const auto accepted = m_dependencies.fleet.Current();
  if (accepted && accepted->version != m_fleet_version) {
    m_fleet_version = accepted->version;
    m_owner.SetFleet(*accepted);
  }
  if (m_views_refreshed_at == base::TimePoint{} ||
      now - m_views_refreshed_at >= kViewsInterval) {
    m_views_refreshed_at = now;
    m_owner.SetHosts(m_dependencies.pools.Hosts(m_pool));
  }
  std::set<std::string> hosts_to_evacuate;
  {
    const std::lock_guard lock(m_mutex);
    hosts_to_evacuate.swap(m_hosts_to_evacuate);
  }
  for (const std::string& host : hosts_to_evacuate) {
    m_owner.Shard().RequestEvacuation(host, now);
  }
}

void TaskEventBatcher::RefreshStatus(base::TimePoint now, bool owned) {
  if (m_status_refreshed_at != base::TimePoint{} &&
      now - m_status_refreshed_at < kStatusInterval) {
    return;
  }
  m_status_refreshed_at = now;
  TaskPoolStatus status;
  status.pool = m_pool;
  if (owned) {
    status = MakeStatus(now);
  }
  const std::lock_guard lock(m_mutex);
  m_status = std::move(status);
}

TaskPoolStatus TaskEventBatcher::MakeStatus(base::TimePoint now) const {
  const work::TaskShard& shard = m_owner.Shard();
  TaskPoolStatus status;
  status.pool = m_pool;
  status.owned = true;
  status.tasks = shard.Tasks().Size();
  for (const auto& [team, tasks] : shard.Tasks().Teams()) {
    status.waiting +=
        tasks.urgent.size() + tasks.normal.size() + tasks.unschedulable.size();
    status.runs += tasks.in_use;
  }
  for (const std::string& key : shard.Tasks().InDoubt()) {
    if (status.in_doubt.size() < kMaxListedInDoubt) {
      status.in_doubt.push_back({key, shard.Explain(key)});
    }
  }
  for (const fleet::HostView& view : m_dependencies.pools.Hosts(m_pool)) {
    const std::string& name = view.host.name;
    status.hosts[name] = shard.WorkOn(name, now);
    if (shard.Health().HealthOf(name, now) !=
        work::WorkerHealthState::kHealthy) {
      status.quarantined.push_back({name, shard.Health().Evidence(name)});
    }
  }
  return status;
}

void TaskEventBatcher::Complete(Item& item, work::TaskResult result) const {
  BatcherResult done;
  const bool committed = result.effect == work::Effect::kCommitted;
  const work::TaskEntry* entry =
      committed ? m_owner.Shard().Find(item.key) : nullptr;
  if (entry != nullptr) {
    done.task = entry->task;
    done.explanation = m_owner.Shard().Explain(item.key);
  }
  done.result = std::move(result);
  item.completion(std::move(done));
}

void TaskEventBatcher::Refuse(std::vector<Item>& items,
                              BatcherRefusal refusal) {
  for (Item& item : items) {
    BatcherResult result;
    result.refusal = refusal;
    item.completion(std::move(result));
  }
}

}  // namespace cassiastile::control
