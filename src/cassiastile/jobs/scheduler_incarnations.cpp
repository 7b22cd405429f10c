// Orders that may take effect in another incarnation of a worker than the one
// they were given to.
#include <algorithm>
#include <utility>

#include "cassiastile/jobs/scheduler.hpp"

namespace cassiastile::jobs {

void WorkerState::RaiseLeaseBound(base::TimePoint bound,
                                  LeaseEvidence evidence) {
  if (bound > lease_bound) {
    lease_bound = bound;
    lease_evidence = evidence;
  }
}

base::TimePoint WorkerState::LeaseEnd() const {
  return std::max(lease_bound, former_lease_bound);
}

LeaseEvidence WorkerState::EvidenceOfLeaseEnd() const {
  return former_lease_bound > lease_bound ? LeaseEvidence::kFormerIncarnation
                                          : lease_evidence;
}

bool WorkerState::HasWithdrawn(const TaskRef& ref) const {
  return std::ranges::find(withdrawn, ref) != withdrawn.end();
}

bool WorkerState::Binds(const TaskRef& ref) const {
  return std::ranges::any_of(
      FindTask(ref)->withdrawn, [this](const WithdrawnStart& start) {
        return start.worker.id == entry.id.id && !start.has_left;
      });
}

void WorkerState::AddWithdrawn(const TaskRef& ref) {
  if (!HasWithdrawn(ref)) {
    withdrawn.push_back(ref);
  }
}

bool WorkerState::Answers() const {
  return has_reported && !silent;
}

bool WorkerState::IsFormer(std::int64_t incarnation_ms) const {
  return std::ranges::find(former, incarnation_ms) != former.end();
}

bool Scheduler::IsSuccessor(const WorkerState& worker,
                            const WorkerEntry& entry) {
  return !worker.Answers() && !worker.IsFormer(entry.id.incarnation_ms) &&
         entry.id.incarnation_ms > worker.entry.id.incarnation_ms;
}

void Scheduler::RejectEntry(WorkerState& worker, const WorkerEntry& entry) {
  if (!worker.IsFormer(entry.id.incarnation_ms)) {
    if (worker.Answers()) {
      worker.wants_report = true;
    } else {
      const WorkerId id = worker.entry.id;
      worker.SetEntry(entry);
      worker.entry.id = id;
    }
  }
  if (worker.stale_entry_ms != entry.id.incarnation_ms) {
    worker.stale_entry_ms = entry.id.incarnation_ms;
    m_orders.stale_entries.push_back(
        {worker.entry.id, entry.id.incarnation_ms});
  }
}

bool Scheduler::IsSuccessor(const WorkerState& worker,
                            const WorkerReport& report,
                            base::TimePoint asked_at) {
  const base::TimePoint last_sign =
      worker.has_reported ? worker.last_report : worker.known_since;
  if (asked_at > last_sign) {
    return true;
  }
  return report.incarnation_ms > worker.entry.id.incarnation_ms &&
         !worker.IsFormer(report.incarnation_ms);
}

void Scheduler::BeginIncarnation(WorkerState& worker,
                                 std::int64_t incarnation_ms,
                                 IncarnationEvidence evidence,
                                 base::TimePoint now) {
  // A leader that has known an incarnation for longer than entries are written
  // late knows that a later entry is not a former one's.
  const bool is_certain =
      evidence == IncarnationEvidence::kReport ||
      (worker.has_reported &&
       now - worker.known_since > m_options.max_order_delay);
  const bool is_next = !worker.entry.id.id.empty() &&
                       worker.entry.id.incarnation_ms != incarnation_ms;
  if (is_next) {
    worker.terminated = false;
    worker.speed = {};
    constexpr std::size_t kMaxFormer = 8;
    std::erase(worker.former, incarnation_ms);
    worker.former.push_back(worker.entry.id.incarnation_ms);
    if (worker.former.size() > kMaxFormer) {
      worker.former.erase(worker.former.begin());
    }
    worker.former_lease_bound =
        std::max(worker.former_lease_bound,
                 now + m_options.max_order_delay + LongestLease());
  }
  worker.entry.id.incarnation_ms = incarnation_ms;
  worker.known_since = now;
  worker.has_reported = false;
  worker.unaccounted = {};
  for (const base::TimePoint sent_at :
       std::exchange(worker.unanswered_acks, {})) {
    worker.finite_from =
        std::max(worker.finite_from, sent_at + m_options.max_order_delay);
  }
  worker.last_end = 0;
  worker.acked_end = 0;
  std::erase_if(m_unwritten_ends, [&worker](const UnwrittenEnd& end) {
    return end.worker.id == worker.entry.id.id;
  });
  worker.health = {};
  const auto runs = worker.runs;
  for (const auto& [ref, number] : runs) {
    Run* run = FindRun(ref, number);
    if (run == nullptr || run->worker.incarnation_ms == incarnation_ms) {
      continue;
    }
    if (run->phase == RunPhase::kPlanned || (run->listed && is_certain)) {
      DropRun(ref, number, DropReason::kIncarnationOver, now);
      continue;
    }
    if (run->listed) {
      continue;
    }
    const bool to_blame = RecordCrash(ref, *run, DropReason::kIncarnationOver);
    m_orders.outlived.push_back(
        DescribeDrop(ref, *run, DropReason::kIncarnationOver));
    run->worker = worker.entry.id;
    run->confirmed_at = {};
    MarkDirty(ref, false);
    if (run->phase == RunPhase::kStopping) {
      // The stop is lost with the incarnation that it was given to.
      run->ordered_at = now;
      m_orders.stops.push_back(
          {run->worker, IdOf(ref), number, run->stop_reason});
    } else {
      run->phase = RunPhase::kStartUnknown;
      worker.wants_report = true;
    }
    if (to_blame && !IsFinished(ref.job->phase)) {
      GiveUp(ref, now);
    }
  }
  for (const TaskRef& ref : std::exchange(worker.withdrawn, {})) {
    Task& task = *FindTask(ref);
    const auto starts = std::exchange(task.withdrawn, {});
    for (const WithdrawnStart& start : starts) {
      if (start.worker.id == worker.entry.id.id &&
          start.worker != worker.entry.id) {
        StopWithdrawn(ref, start, worker, now);
        continue;
      }
      task.withdrawn.push_back(start);
      if (start.worker == worker.entry.id) {
        worker.AddWithdrawn(ref);
      }
    }
  }
  // Only now, as it tells why the runs of the former incarnation ended.
  worker.is_ending = worker.is_ending && !is_next;
}

base::Duration Scheduler::LongestLease() const {
  constexpr int kSlowClockPercent = 103;
  return m_options.max_worker_lease * kSlowClockPercent / 100;
}

void Scheduler::BoundFormerLeases(WorkerState& worker, base::TimePoint now) {
  const WorkerId& id = worker.entry.id;
  const KnownIncarnations::Known* known = m_known_incarnations.Find(id.id);
  const bool is_known =
      known != nullptr && known->incarnation_ms == id.incarnation_ms;
  if (known != nullptr && known->heard) {
    // Calls of this leader are not fenced.
    worker.former_lease_bound =
        std::max(worker.former_lease_bound,
                 is_known ? FromStoreClock(known->former_lease_end)
                          : now + m_options.max_order_delay + LongestLease());
  } else {
    // Calls of previous leaders are fenced from now on.
    base::TimePoint last_arrival = now;
    if (known == nullptr) {
      // The previous leader may have heard a former incarnation in vain.
      last_arrival =
          std::min(now, m_recovered_at + m_options.max_former_orders +
                            m_options.max_order_delay);
    }
    worker.former_lease_bound = last_arrival + LongestLease();
    if (is_known) {
      worker.former_lease_bound = std::min(
          worker.former_lease_bound, FromStoreClock(known->former_lease_end));
    }
  }
  const bool is_over = worker.former_lease_bound <= now;
  m_known_incarnations.Heard(id.id, id.incarnation_ms,
                             is_over ? std::chrono::milliseconds(0)
                                     : ToStoreClock(worker.former_lease_bound));
}

void Scheduler::UnheardIncarnationAnswered(const WorkerId& id,
                                           base::TimePoint now) {
  WorkerState* worker = FindWorker(id.id);
  if (worker == nullptr || worker->entry.id != id) {
    return;
  }
  worker->former_lease_bound =
      std::max(worker->former_lease_bound,
               now + m_options.max_order_delay + LongestLease());
  worker->wants_report = true;
}

std::chrono::milliseconds Scheduler::ToStoreClock(base::TimePoint time) const {
  return m_latest_store_clock +
         std::chrono::duration_cast<std::chrono::milliseconds>(
             time - m_store_clock_at);
}

base::TimePoint Scheduler::FromStoreClock(
    std::chrono::milliseconds store_time) const {
  return m_store_clock_at + (store_time - m_earliest_store_clock);
}

void Scheduler::SetStoreClock(std::chrono::milliseconds earliest,
                              std::chrono::milliseconds latest,
                              base::TimePoint now) {
  m_earliest_store_clock = earliest;
  m_latest_store_clock = latest;
  m_store_clock_at = now;
}

bool Scheduler::MayStartLater(const TaskRef& ref,
                              const Run& run,
                              base::TimePoint now) const {
  return !run.listed && run.answered_at == base::TimePoint{} &&
         (run.phase == RunPhase::kStopping ||
          run.phase == RunPhase::kRecovered) &&
         now <= run.start_ordered_at + m_options.max_order_delay &&
         !IsFinished(ref.job->phase) && !FindTask(ref)->done;
}

void Scheduler::Withdraw(const TaskRef& ref, const Run& run) {
  FindTask(ref)->withdrawn.push_back(
      {run.number, run.worker, run.machine, run.start_ordered_at});
  if (WorkerState* worker = FindWorker(run.worker.id)) {
    worker->AddWithdrawn(ref);
  }
}

void Scheduler::StopWithdrawn(const TaskRef& ref,
                              const WithdrawnStart& start,
                              WorkerState& worker,
                              base::TimePoint now) {
  Task& task = *FindTask(ref);
  Run& run = task.runs.emplace_back();
  run.number = start.run;
  run.worker = worker.entry.id;
  run.machine = start.machine;
  run.start_ordered_at = start.ordered_at;
  run.checkpoint = task.checkpoint;
  worker.Use(SpecOf(ref));
  worker.runs.emplace_back(ref, run.number);
  m_used_by_customer[ref.job->customer] += SpecOf(ref).need;
  ++ref.job->live_runs;
  std::erase(FindOccurrence(*ref.job, ref.occurrence)->steps[ref.step].waiting,
             ref.index);
  StopRun(ref, run, StopReason::kStartUnknown, now);
  MarkDirty(ref, false);
}

void Scheduler::AcknowledgementSent(const std::string& id,
                                    base::TimePoint now) {
  if (WorkerState* worker = FindWorker(id)) {
    std::erase_if(worker->unanswered_acks, [&](base::TimePoint sent_at) {
      return now > sent_at + m_options.max_order_delay;
    });
    worker->unanswered_acks.push_back(now);
  }
}

void Scheduler::AcknowledgementAnswered(const std::string& id,
                                        base::TimePoint sent_at) {
  if (WorkerState* worker = FindWorker(id)) {
    const auto sent = std::ranges::find(worker->unanswered_acks, sent_at);
    if (sent != worker->unanswered_acks.end()) {
      worker->unanswered_acks.erase(sent);
    }
  }
}

bool Scheduler::MayGetLateAcknowledgement(const WorkerState& worker,
                                          base::TimePoint now) const {
  return now < worker.finite_from ||
         std::ranges::any_of(
             worker.unanswered_acks, [&](base::TimePoint sent_at) {
               return now <= sent_at + m_options.max_order_delay;
             });
}

bool Scheduler::IsStartOver(const Run& run,
                            const WorkerState& worker,
                            base::TimePoint now) const {
  // An incarnation that has answered is listed before the lease is over. A
  // worker that is not in the platform's list may come back under its id.
  const base::TimePoint last_call =
      std::max(run.start_ordered_at, worker.lease_sent_at);
  return run.listed || run.answered_at != base::TimePoint{} ||
         now > last_call + m_options.max_order_delay + LongestLease();
}

void Scheduler::WorkerGone(const WorkerId& id,
                           base::TimePoint seen_at,
                           base::TimePoint now) {
  WorkerState* worker = FindWorker(id.id);
  if (worker == nullptr) {
    return;
  }
  const auto runs = worker->runs;
  for (const auto& [ref, number] : runs) {
    const Run* run = FindRun(ref, number);
    if (run == nullptr || run->worker.id != id.id) {
      continue;
    }
    const bool answered =
        run->answered_at != base::TimePoint{} && run->answered_at < seen_at;
    if (run->listed || run->phase == RunPhase::kPlanned || answered ||
        seen_at > run->start_ordered_at + m_options.max_order_delay) {
      DropRun(ref, number, DropReason::kWorkerGone, now);
    }
  }
}

void Scheduler::WorkerReplaced(const WorkerId& id, base::TimePoint now) {
  WorkerState* worker = FindWorker(id.id);
  if (worker == nullptr) {
    return;
  }
  const auto runs = worker->runs;
  for (const auto& [ref, number] : runs) {
    DropRun(ref, number, DropReason::kWorkerGone, now);
  }
  ForgetWithdrawnOn(*worker);
}

bool Scheduler::IsWithdrawnOver(const WithdrawnStart& start,
                                const WorkerState& worker,
                                base::TimePoint now) const {
  const base::TimePoint last_arrival =
      start.ordered_at + m_options.max_order_delay;
  // A report lists what has arrived.
  const bool was_heard = worker.last_asked > last_arrival;
  const base::TimePoint last_lease =
      std::max(last_arrival, worker.lease_sent_at + m_options.max_order_delay);
  return was_heard || now > last_lease + LongestLease();
}

void Scheduler::ForgetLateWithdrawn(WorkerState& worker, base::TimePoint now) {
  std::erase_if(worker.withdrawn, [&](const TaskRef& ref) {
    auto& starts = FindTask(ref)->withdrawn;
    const auto forgotten =
        std::erase_if(starts, [&](const WithdrawnStart& start) {
          return start.worker.id == worker.entry.id.id &&
                 IsWithdrawnOver(start, worker, now);
        });
    if (forgotten > 0) {
      MarkDirty(ref, false);
    }
    return std::ranges::none_of(starts, [&](const WithdrawnStart& start) {
      return start.worker.id == worker.entry.id.id;
    });
  });
}

void Scheduler::ForgetWithdrawnOn(WorkerState& worker) {
  for (const TaskRef& ref : std::exchange(worker.withdrawn, {})) {
    std::erase_if(FindTask(ref)->withdrawn, [&](const WithdrawnStart& start) {
      return start.worker.id == worker.entry.id.id;
    });
  }
}

void Scheduler::ForgetWithdrawnOf(const TaskRef& ref) {
  for (const WithdrawnStart& start :
       std::exchange(FindTask(ref)->withdrawn, {})) {
    if (WorkerState* worker = FindWorker(start.worker.id)) {
      std::erase(worker->withdrawn, ref);
    }
  }
}

}  // namespace cassiastile::jobs
