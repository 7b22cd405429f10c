#include "scheduler_bench.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include <gtest/gtest.h>

namespace cassiastile::jobs {

namespace {

constexpr char kQueue[] = "queue";
constexpr char kService[] = "service";
constexpr std::size_t kMaxRows = 80;
constexpr std::int64_t kWorkerCpu = 16000;
constexpr std::int64_t kWorkerMemory = 65536;

}  // namespace

SchedulerBench::SchedulerBench(std::uint32_t max_attempts,
                               SchedulerOptions options)
    : m_max_attempts(max_attempts),
      m_options(options),
      m_scheduler(std::make_unique<Scheduler>(options)),
      m_config(std::make_shared<FleetConfig>()) {
  m_config->version = 1;
  m_config->queues.push_back({.name = kQueue,
                              .host = "host",
                              .path_prefix = "/queue/",
                              .service = kService,
                              .max_attempts = max_attempts,
                              .stretch = 2.0,
                              .slack = std::chrono::milliseconds(600),
                              .advice = {}});
  m_config->services.push_back({.name = kService});
  m_config->customers.push_back(
      {.name = "customer", .weight = 1000, .limit = {}, .keys = {}});
  m_config->BuildIndex();
  m_scheduler->ApplyConfig(m_config);
  SetStoreClock();
}

void SchedulerBench::SetStoreClock() {
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      Now().time_since_epoch());
  m_scheduler->SetStoreClock(now, now, Now());
}

JobSpec SchedulerBench::OneTask(std::int64_t cpu) {
  JobSpec spec;
  StepSpec& step = spec.steps.emplace_back();
  step.need = {cpu, 100, 0};
  step.estimate = std::chrono::milliseconds(500);
  return spec;
}

JobSpec SchedulerBench::LongRunning(std::uint32_t tasks,
                                    std::uint32_t max_unavailable) {
  JobSpec spec = OneTask();
  spec.steps.front().count = tasks;
  spec.steps.front().long_running = true;
  spec.steps.front().max_unavailable = max_unavailable;
  return spec;
}

void SchedulerBench::RequireAdvice(std::chrono::milliseconds validity) {
  m_config->queues.front().advice = AdviceConfig{.validity = validity};
  m_config->BuildIndex();
  m_scheduler->ApplyConfig(m_config);
}

void SchedulerBench::AddWorker(const std::string& id,
                               std::int64_t incarnation_ms) {
  WorkerEntry entry;
  entry.id = {id, incarnation_ms};
  entry.service = kService;
  entry.machine = "machine-" + id;
  entry.rack = "rack-" + id;
  entry.endpoint = id + ":1";
  entry.capacity = {kWorkerCpu, kWorkerMemory, 0};
  const bool other_incarnation =
      m_entries.contains(id) &&
      m_entries[id].id.incarnation_ms != incarnation_ms;
  if (other_incarnation) {
    m_running.erase(id);
    m_ended.erase(id);
  }
  m_entries[id] = entry;
  ListWorkers();
  Report(id, Listing(id));
}

void SchedulerBench::RemoveWorker(const std::string& id) {
  m_entries.erase(id);
  ListWorkers();
}

void SchedulerBench::SetDraining(const std::string& id) {
  m_entries.at(id).draining = true;
  ListWorkers();
}

void SchedulerBench::SetZone(const std::string& id, const std::string& zone) {
  m_entries.at(id).availability_zone = zone;
  ListWorkers();
}

void SchedulerBench::SetCapacity(const std::string& id,
                                 const Resources& capacity) {
  m_entries.at(id).capacity = capacity;
  ListWorkers();
}

void SchedulerBench::ListWorkers() {
  std::vector<WorkerEntry> entries;
  for (const auto& [id, entry] : m_entries) {
    entries.push_back(entry);
  }
  m_scheduler->WorkersListed(entries, Now());
  m_scheduler->ListConfirmed(Now());
}

void SchedulerBench::Configure(
    const std::function<void(FleetConfig&)>& change) {
  FleetConfig next;
  next.version = m_config->version + 1;
  next.queues = m_config->queues;
  next.services = m_config->services;
  next.customers = m_config->customers;
  change(next);
  next.BuildIndex();
  next.InheritFrom(*m_config);
  m_config = std::make_shared<FleetConfig>(std::move(next));
  m_scheduler->ApplyConfig(m_config);
}

void SchedulerBench::SetCustomers(const std::vector<std::string>& names) {
  m_config->customers.clear();
  for (const std::string& name : names) {
    m_config->customers.push_back(
        {.name = name, .weight = 1000, .limit = {}, .keys = {}});
  }
  m_config->BuildIndex();
  m_scheduler->ApplyConfig(m_config);
}

Submission SchedulerBench::Submit(const std::string& id,
                                  JobSpec spec,
                                  const std::string& customer,
                                  std::size_t queue) {
  return m_scheduler->Submit(id, m_config->queues.at(queue), customer,
                             std::move(spec), Now(), m_clock.WallNow());
}

void SchedulerBench::Withdraw(const StartOrder& start) {
  m_scheduler->StartAnswered(start.worker, start.task, start.run,
                             StartResult::kUnknown, Now());
  Advance(std::chrono::milliseconds(10));
  Report(start.worker.id, Listing(start.worker.id));
  m_scheduler->TakeOrders();
  m_scheduler->StopAnswered(start.worker, start.task, start.run, Now());
  Advance(std::chrono::milliseconds(10));
  Report(start.worker.id, Listing(start.worker.id));
}

Orders SchedulerBench::Step() {
  m_scheduler->ListConfirmed(Now());
  m_scheduler->Plan(Now(), m_clock.WallNow());
  for (auto& [key, bytes] : m_scheduler->Incarnations().TakeRows()) {
    m_known_incarnations[key] = std::move(bytes);
  }
  while (m_scheduler->HasRows() || m_scheduler->HasUrgentRows()) {
    const Batch batch = m_scheduler->TakeBatch(kMaxRows, Now());
    Commit(batch);
  }
  return m_scheduler->TakeOrders();
}

void SchedulerBench::Commit(const Batch& batch) {
  std::size_t bytes = 0;
  for (const JobRow& row : batch.rows) {
    Store(row);
    bytes += row.bytes ? row.bytes->size() : 0;
    m_largest_row = std::max(m_largest_row, row.bytes ? row.bytes->size() : 0);
  }
  m_largest_batch = std::max(m_largest_batch, bytes);
  m_stored_bytes += bytes;
  m_scheduler->Confirm(batch, Now());
}

void SchedulerBench::Store(const JobRow& row) {
  if (row.segment) {
    auto& rows = m_segments[row.job][*row.segment];
    if (row.bytes) {
      rows[row.place] = *row.bytes;
    } else {
      rows.erase(row.place);
    }
    if (rows.empty()) {
      m_segments[row.job].erase(*row.segment);
    }
    return;
  }
  auto& table = row.is_record ? m_records : m_progress;
  if (row.bytes) {
    table[row.job] = *row.bytes;
  } else {
    table.erase(row.job);
  }
}

std::size_t SchedulerBench::CountSegments(const std::string& job) const {
  const auto found = m_segments.find(job);
  return found == m_segments.end() ? 0 : found->second.size();
}

std::vector<StartOrder> SchedulerBench::StepAndStart() {
  return Answer(Step());
}

std::vector<StartOrder> SchedulerBench::StepStartAndStop() {
  const Orders orders = Step();
  for (const StopOrder& order : orders.stops) {
    std::erase_if(m_running[order.worker.id], [&order](const auto& each) {
      return each.task == order.task && each.run == order.run;
    });
    m_scheduler->StopAnswered(order.worker, order.task, order.run, Now());
  }
  return Answer(orders);
}

std::vector<StartOrder> SchedulerBench::Answer(const Orders& orders) {
  for (const StartOrder& order : orders.starts) {
    m_running[order.worker.id].push_back(order);
    m_scheduler->StartAnswered(order.worker, order.task, order.run,
                               StartResult::kRunning, Now());
  }
  return orders.starts;
}

WorkerReport SchedulerBench::Listing(const std::string& worker) const {
  WorkerReport report;
  report.incarnation_ms = m_entries.at(worker).id.incarnation_ms;
  if (const auto found = m_running.find(worker); found != m_running.end()) {
    for (const StartOrder& order : found->second) {
      ListedRun& run = report.running.emplace_back();
      run.task = order.task;
      run.run = order.run;
      run.percent = 100;
    }
  }
  if (const auto found = m_ended.find(worker); found != m_ended.end()) {
    report.ended = found->second;
  }
  return report;
}

void SchedulerBench::Report(const std::string& worker,
                            const WorkerReport& report) {
  m_scheduler->LeaseSent(worker, Now() + std::chrono::seconds(5), Now());
  m_scheduler->WorkerReported(worker, report, Now(), Now());
}

void SchedulerBench::End(const StartOrder& order,
                         RunEnd how,
                         std::uint64_t sequence) {
  auto& running = m_running[order.worker.id];
  std::erase_if(running, [&order](const StartOrder& each) {
    return each.task == order.task && each.run == order.run;
  });
  ListedEnd end;
  end.sequence = sequence;
  end.task = order.task;
  end.run = order.run;
  end.how = how;
  m_ended[order.worker.id].push_back(end);
  Report(order.worker.id, Listing(order.worker.id));
}

void SchedulerBench::EndTogether(
    const std::vector<StartOrder>& orders,
    RunEnd how,
    std::map<std::string, std::uint64_t>& sequences) {
  std::map<std::string, std::set<TaskId>> ended;
  for (const StartOrder& order : orders) {
    ended[order.worker.id].insert(order.task);
    ListedEnd& end = m_ended[order.worker.id].emplace_back();
    end.sequence = ++sequences[order.worker.id];
    end.task = order.task;
    end.run = order.run;
    end.how = how;
  }
  for (const auto& [worker, tasks] : ended) {
    const std::set<TaskId>& over = tasks;
    std::erase_if(m_running[worker], [&over](const StartOrder& each) {
      return over.contains(each.task);
    });
    Report(worker, Listing(worker));
  }
}

std::vector<StartOrder> SchedulerBench::Running() const {
  std::vector<StartOrder> all;
  for (const auto& [worker, running] : m_running) {
    all.insert(all.end(), running.begin(), running.end());
  }
  return all;
}

std::vector<Job> SchedulerBench::Stored() const {
  std::vector<Job> jobs;
  for (const auto& [id, progress] : m_progress) {
    Job job;
    job.id = id;
    if (const auto record = m_records.find(id); record != m_records.end()) {
      job = *DecodeRecord(id, record->second);
    }
    StoredSegments segments;
    if (const auto found = m_segments.find(id); found != m_segments.end()) {
      for (const auto& [segment, rows] : found->second) {
        for (const auto& [place, bytes] : rows) {
          segments[segment].bytes += bytes;
          ++segments[segment].rows;
        }
      }
    }
    if (DecodeProgress(job, progress, segments)) {
      jobs.push_back(std::move(job));
    }
  }
  return jobs;
}

SchedulerBench SchedulerBench::Successor(
    std::chrono::milliseconds silent_for) const {
  return Successor(silent_for, m_config);
}

SchedulerBench SchedulerBench::Successor(
    std::chrono::milliseconds silent_for,
    std::shared_ptr<FleetConfig> config) const {
  SchedulerBench bench(m_max_attempts, m_options);
  bench.m_clock = m_clock;
  bench.m_config = std::move(config);
  bench.m_scheduler->ApplyConfig(bench.m_config);
  bench.m_entries = m_entries;
  bench.m_running = m_running;
  bench.m_ended = m_ended;
  bench.m_records = m_records;
  bench.m_progress = m_progress;
  bench.m_segments = m_segments;
  for (const auto& [key, bytes] : m_known_incarnations) {
    const auto read = bench.m_scheduler->Incarnations().Recover(key, bytes);
    EXPECT_TRUE(read) << key;
  }
  bench.m_known_incarnations = m_known_incarnations;
  bench.m_scheduler->SetDurations(m_scheduler->Durations());
  bench.SetStoreClock();
  // As the dispatcher does, which reads the list last.
  bench.ListWorkers();
  bench.m_scheduler->Recover(Stored(), Now(), m_clock.WallNow(),
                             Now() + silent_for);
  bench.ListWorkers();
  return bench;
}

}  // namespace cassiastile::jobs
