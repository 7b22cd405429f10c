#include <algorithm>
#include <chrono>
#include <set>

#include <fmt/core.h>

#include "cassiastile/work/task_shard.hpp"

// How a shard handles workers' polls and their silence.

namespace cassiastile::work {

namespace {

// Runs are throttled when they would use more than this many times the host's
// cores.
constexpr double kThrottleSlack = 1.05;
// Runs are not slowed below this fraction of their full speed.
constexpr double kMinThrottle = 0.25;

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

bool IsRunOf(const Task& task, const WorkerPoll& poll, std::uint64_t epoch) {
  return MayBeRunning(task) && task.lease.worker == poll.worker &&
         task.lease.incarnation == poll.incarnation &&
         task.lease.epoch == epoch;
}

std::set<std::string> KeysOf(const WorkerPoll& poll) {
  std::set<std::string> keys;
  for (const HeldRun& held : poll.held) {
    keys.insert(held.key);
  }
  for (const EndedRun& ended : poll.ended) {
    keys.insert(ended.key);
  }
  return keys;
}

}  // namespace

TaskReply TaskShard::On(const WorkerPoll& poll) {
  if (!m_loaded) {
    return {Verdict::kStale, "the shard is being read from the table", ""};
  }
  WorkerState& worker = m_workers[poll.worker];
  if (poll.incarnation < worker.incarnation ||
      (poll.incarnation == worker.incarnation &&
       poll.sequence <= worker.sequence)) {
    return {Verdict::kStale, "a later poll was seen", ""};
  }
  m_pass_needed = m_pass_needed || !worker.polled ||
                  worker.leaving != poll.leaving ||
                  worker.incarnation != poll.incarnation;
  worker.incarnation = poll.incarnation;
  worker.sequence = poll.sequence;
  worker.last_poll = m_moment.now;
  worker.polled = true;
  worker.leaving = poll.leaving;
  OnNewIncarnation(poll);
  for (const EndedRun& ended : poll.ended) {
    OnReportedEnd(poll, ended);
  }
  for (const HeldRun& held : poll.held) {
    OnReportedRun(poll, held);
  }
  if (poll.pool == m_pool) {
    OnUnreportedRuns(poll);
  }
  Throttle(poll);
  return {};
}

void TaskShard::RecordPoll(const WorkerPoll& poll, base::TimePoint now) {
  const auto found = m_workers.find(poll.worker);
  if (found != m_workers.end() &&
      found->second.incarnation == poll.incarnation) {
    found->second.last_poll = now;
  }
}

void TaskShard::Learn(const RunEndObservation& observation) {
  const std::string& kind = observation.spec.kind;
  const bool quarantined =
      m_health.RecordEnd(observation.worker, observation.spec.team + "/" + kind,
                         observation.succeeded, m_moment.now);
  if (observation.succeeded) {
    m_sizes.ObserveRunTime(observation.spec, observation.seconds);
  }
  if (quarantined) {
    Task task;
    task.spec = observation.spec;
    AddDecision(base::DecisionKind::kChange, task,
                "worker " + observation.worker + " quarantined",
                {"worker fails what succeeds elsewhere", "", m_fleet_version,
                 m_health.Evidence(observation.worker)});
  }
}

void TaskShard::Learn(const UsageObservation& observation) {
  m_sizes.ObserveUsage(observation.spec, observation.usage);
}

void TaskShard::Learn(const ChargeCorrection& observation) {
  m_shares.Correct(observation.team, observation.correction);
}

void TaskShard::OnNewIncarnation(const WorkerPoll& poll) {
  const WorkerTasks tasks = m_tasks.WorkerOf(poll.worker);
  for (const std::string& key : tasks.runs) {
    const TaskEntry* entry = m_tasks.Find(key);
    if (entry->task.lease.incarnation < poll.incarnation) {
      OnRunStopped(*entry, true,
                   fmt::format("worker {} started anew", poll.worker));
    }
  }
  for (const std::string& key : tasks.unconfirmed) {
    const std::vector<TaskLease> leases = m_tasks.Find(key)->task.unconfirmed;
    for (const TaskLease& lease : leases) {
      if (lease.worker == poll.worker && lease.incarnation < poll.incarnation) {
        ClearUnconfirmed(key, lease);
      }
    }
  }
}

void TaskShard::OnReportedRun(const WorkerPoll& poll, const HeldRun& held) {
  const TaskEntry* found = m_tasks.Find(held.key);
  if (found == nullptr || !IsRunOf(found->task, poll, held.epoch)) {
    return;
  }
  const Resources usage{held.usage.cores, held.usage.memory_gb,
                        found->task.spec.declared.accelerators};
  const bool usage_changed =
      held.measured && (!found->measured || found->charged != usage);
  if (found->task.state == TaskState::kRunning && !usage_changed) {
    m_tasks.SetProgress(held.key, held.progress);
    return;
  }
  TaskEntry entry = *found;
  entry.task.progress = held.progress;
  if (usage_changed) {
    OnMeasured(entry, usage);
  }
  const bool was_in_doubt = entry.task.state == TaskState::kInDoubt;
  entry.task.state = TaskState::kRunning;
  if (was_in_doubt) {
    Write(std::move(entry), "its worker came back and still runs it");
  } else {
    m_tasks.Put(std::move(entry), false);
  }
}

void TaskShard::OnMeasured(TaskEntry& entry, const Resources& usage) {
  AccrueCharge(entry);
  if (!entry.measured) {
    const Resources used = usage * Seconds(m_moment.now - entry.started);
    m_observations.emplace_back(UsageObservation{entry.task.spec, usage});
    m_observations.emplace_back(
        ChargeCorrection{entry.task.spec.team, used - entry.charged_usage});
    entry.charged_usage = used;
    entry.measured = true;
  }
  m_pass_needed = true;
  entry.charged = usage;
  entry.placed = usage;
}

void TaskShard::AccrueCharge(TaskEntry& entry) const {
  const double passed = Seconds(m_moment.now - entry.charged_until);
  entry.charged_usage = entry.charged_usage + entry.charged * passed;
  entry.charged_until = m_moment.now;
}

void TaskShard::OnReportedEnd(const WorkerPoll& poll, const EndedRun& ended) {
  const TaskEntry* found = m_tasks.Find(ended.key);
  if (found == nullptr) {
    return;
  }
  if (IsRunOf(found->task, poll, ended.epoch)) {
    OnRunEnd(*found, ended);
    return;
  }
  ClearUnconfirmed(ended.key, {poll.worker, poll.incarnation, ended.epoch});
}

void TaskShard::OnRunEnd(TaskEntry entry, const EndedRun& ended) {
  const std::string worker = entry.task.lease.worker;
  if (ended.used != Resources{} || ended.end == RunEnd::kNotStarted) {
    AccrueCharge(entry);
    m_observations.emplace_back(ChargeCorrection{
        entry.task.spec.team, ended.used - entry.charged_usage});
  }
  switch (ended.end) {
    case RunEnd::kSucceeded:
      m_observations.emplace_back(
          RunEndObservation{entry.task.spec, worker, true, ended.seconds});
      entry.task.progress = 1;
      EndTask(std::move(entry), TaskOutcome::kSucceeded,
              "succeeded on " + worker);
      return;
    case RunEnd::kFailed:
      OnRunFailed(std::move(entry), ended);
      return;
    case RunEnd::kCheckpointed:
      entry.task.checkpoint = ended.checkpoint;
      Requeue(std::move(entry), "checkpointed on " + worker);
      return;
    case RunEnd::kStopped:
      OnRunStopped(
          std::move(entry), true,
          fmt::format("worker {} stopped it: {}", worker, ended.message));
      return;
    case RunEnd::kNotStarted:
      OnRunStopped(
          std::move(entry), false,
          fmt::format("worker {} did not start it: {}", worker, ended.message));
      return;
  }
}

void TaskShard::OnRunFailed(TaskEntry entry, const EndedRun& ended) {
  const std::string worker = entry.task.lease.worker;
  m_observations.emplace_back(
      RunEndObservation{entry.task.spec, worker, false, 0});
  entry.task.failed_on.push_back(worker);
  const auto& failed_on = entry.task.failed_on;
  const auto on_unhealthy = std::count_if(
      failed_on.begin(), failed_on.end(), [this](const std::string& name) {
        return m_health.HealthOf(name, m_moment.now) !=
               WorkerHealthState::kHealthy;
      });
  // Failures on unhealthy workers don't count, but the total number of tries is
  // bounded.
  const std::size_t tries =
      failed_on.size() - static_cast<std::size_t>(on_unhealthy);
  const bool tries_exhausted =
      tries >= m_options.max_tries ||
      failed_on.size() >= std::size_t{2} * m_options.max_tries;
  const std::string why =
      fmt::format("failed on {}: {}", worker, ended.message);
  if (!entry.task.spec.idempotent) {
    EndTask(std::move(entry), TaskOutcome::kFailed, why);
  } else if (tries_exhausted) {
    const std::size_t count = failed_on.size();
    EndTask(std::move(entry), TaskOutcome::kFailed,
            fmt::format("given up after {} tries; last {}", count, why));
  } else {
    Requeue(std::move(entry), why);
  }
}

void TaskShard::OnUnreportedRuns(const WorkerPoll& poll) {
  const WorkerTasks tasks = m_tasks.WorkerOf(poll.worker);
  const std::set<std::string> reported_keys = KeysOf(poll);
  for (const std::string& key : tasks.runs) {
    const TaskEntry* entry = m_tasks.Find(key);
    if (reported_keys.contains(key) ||
        entry->task.lease.incarnation != poll.incarnation) {
      continue;
    }
    // A worker lists every run that it started as held or ended until the end
    // is acknowledged. So a run in neither list has stopped if it was reported
    // before; otherwise it was not started, and as the worker ignores answers
    // to older polls, only the next answer can still start it.
    if (entry->task.state == TaskState::kRunning) {
      OnRunStopped(*entry, true,
                   fmt::format("worker {} no longer runs it", poll.worker));
    } else if (entry->task.state == TaskState::kInDoubt ||
               entry->task.cancel_requested) {
      OnRunStopped(*entry, false,
                   fmt::format("worker {} never took it", poll.worker));
    }
  }
  for (const std::string& key : tasks.unconfirmed) {
    const std::vector<TaskLease> leases = m_tasks.Find(key)->task.unconfirmed;
    for (const TaskLease& lease : leases) {
      const bool same =
          lease.worker == poll.worker && lease.incarnation == poll.incarnation;
      if (same && !reported_keys.contains(key)) {
        ClearUnconfirmed(key, lease);
      }
    }
  }
}

void TaskShard::Throttle(const WorkerPoll& poll) {
  const auto host = m_host_index.find(poll.worker);
  if (host == m_host_index.end()) {
    return;
  }
  double unthrottled = 0;
  for (const HeldRun& held : poll.held) {
    const TaskEntry* found = m_tasks.Find(held.key);
    unthrottled += held.usage.cores / (found == nullptr ? 1 : found->throttle);
  }
  const double cores = m_hosts[host->second].capacity.cores;
  const bool over = unthrottled > cores * kThrottleSlack;
  const double fraction =
      over ? std::max(kMinThrottle, cores / unthrottled) : 1;
  for (const HeldRun& held : poll.held) {
    const TaskEntry* found = m_tasks.Find(held.key);
    if (found == nullptr || found->task.spec.urgent ||
        found->throttle == fraction) {
      continue;
    }
    TaskEntry entry = *found;
    entry.throttle = fraction;
    m_tasks.Put(std::move(entry), false);
  }
}

void TaskShard::AbandonRun(TaskEntry entry, const std::string& why) {
  if (entry.task.spec.idempotent) {
    entry.task.unconfirmed.push_back(entry.task.lease);
    Requeue(std::move(entry), why);
    return;
  }
  entry.task.state = TaskState::kInDoubt;
  AddDecision(base::DecisionKind::kChange, entry.task, "in doubt",
              {"non-idempotent run not confirmed as stopped", "",
               m_fleet_version, why});
  Write(std::move(entry), why);
}

void TaskShard::OnRunStopped(TaskEntry entry,
                             bool started,
                             const std::string& why) {
  m_pass_needed = true;
  const bool may_repeat = entry.task.spec.idempotent || !started;
  if (may_repeat || entry.task.cancel_requested) {
    Requeue(std::move(entry), why);
    return;
  }
  entry.task.state = TaskState::kInDoubt;
  entry.task.lease.worker.clear();
  const std::string evidence =
      why + "; it is stopped, may have run in part, and is not idempotent";
  AddDecision(
      base::DecisionKind::kChange, entry.task, "in doubt",
      {"non-idempotent task runs at most once", "", m_fleet_version, evidence});
  Write(std::move(entry), evidence);
}

void TaskShard::ClearUnconfirmed(const std::string& key,
                                 const TaskLease& lease) {
  TaskEntry entry = *m_tasks.Find(key);
  const auto removed = std::erase(entry.task.unconfirmed, lease);
  if (removed == 0) {
    return;
  }
  m_pass_needed = true;
  std::string reason = entry.task.reason;
  Write(std::move(entry), std::move(reason));
}

void TaskShard::ExpireSilentWorkers() {
  const base::Duration bound = m_options.lease + m_options.lease_margin;
  for (const auto& [name, worker] : m_workers) {
    const base::Duration silent = m_moment.now - worker.last_poll;
    if (silent <= bound) {
      continue;
    }
    const std::set<std::string> runs = m_tasks.WorkerOf(name).runs;
    for (const std::string& key : runs) {
      const TaskEntry* entry = m_tasks.Find(key);
      if (entry->task.state == TaskState::kInDoubt) {
        continue;
      }
      AbandonRun(*entry, fmt::format("worker {} under incarnation {} has not "
                                     "polled for {:.0f} s, epoch {}",
                                     name, entry->task.lease.incarnation,
                                     Seconds(silent), entry->task.lease.epoch));
    }
  }
}

PollAnswer TaskShard::Answer(const WorkerPoll& poll) const {
  PollAnswer answer;
  answer.pool = m_pool;
  answer.home_pool = m_host_index.contains(poll.worker) ? m_pool : "";
  answer.lease = m_options.lease;
  answer.poll_after = m_options.poll_after;
  const std::set<std::string> reported_keys = KeysOf(poll);
  for (const std::string& key : m_tasks.WorkerOf(poll.worker).runs) {
    const Task& task = m_tasks.Find(key)->task;
    const bool startable = task.state == TaskState::kLeased &&
                           task.lease.incarnation == poll.incarnation &&
                           !task.cancel_requested &&
                           !reported_keys.contains(key);
    if (startable) {
      answer.start.push_back({task.spec, task.lease.epoch, task.checkpoint});
    }
  }
  for (const HeldRun& held : poll.held) {
    const RunRef run{held.key, held.epoch};
    const TaskEntry* entry = m_tasks.Find(held.key);
    const bool wanted = entry != nullptr &&
                        IsRunOf(entry->task, poll, held.epoch) &&
                        !entry->task.cancel_requested;
    if (!wanted) {
      answer.stop.push_back(run);
    } else if (entry->request == RunRequest::kCheckpoint) {
      answer.checkpoint.push_back(run);
    } else if (entry->throttle != 1) {
      answer.throttle.push_back({run, entry->throttle});
    }
  }
  for (const EndedRun& ended : poll.ended) {
    const TaskEntry* entry = m_tasks.Find(ended.key);
    if (entry == nullptr || !IsRunOf(entry->task, poll, ended.epoch)) {
      answer.acknowledged.push_back({ended.key, ended.epoch});
    }
  }
  return answer;
}

}  // namespace cassiastile::work
