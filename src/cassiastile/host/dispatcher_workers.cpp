// Dispatcher: calls to workers.
#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cassiastile/host/dispatcher.hpp"
#include "cassiastile/host/worker_lease.hpp"

namespace cassiastile::host {

namespace {

constexpr std::chrono::milliseconds kPollWait{1000};
// Pauses between polls, so that runs which end close together arrive in one
// report.
constexpr std::chrono::microseconds kPollPausePerWorker{200};
constexpr std::chrono::milliseconds kPollPause{10};
constexpr std::chrono::milliseconds kMaxPollPause{100};
// A worker reports a run's end until it is acknowledged, which happens only
// once it is stored; polling sooner would return the same ends.
constexpr std::chrono::milliseconds kUnstoredEndsPause{150};
constexpr std::chrono::milliseconds kMaxFailurePause{500};
constexpr std::uint32_t kFailuresUntilSilent = 2;
// A worker's clock is not extrapolated for longer than this, since it may be
// slow and a lease would then end later than LeaseEnd allows for.
constexpr std::chrono::milliseconds kMaxClockAge{2000};
// By how much it may be ahead of the clock then, at most. A worker whose clock
// is further behind is another incarnation.
constexpr std::chrono::milliseconds kMaxClockError{100};
// A start is sent at most this long after the commit that allows it. A leader
// that stood still may have a successor, which counts with that; see
// SchedulerOptions::max_start_after_term.
constexpr std::chrono::milliseconds kMaxStartAge{1500};
constexpr std::chrono::milliseconds kPruneInterval{1000};
// Calls for a former incarnation have long ended at older workers, so their
// first reports are not logged.
constexpr std::chrono::milliseconds kMaxLoggedAge{60000};

nlohmann::json DescribeRun(const jobs::WorkerId& worker,
                           const jobs::TaskId& task,
                           std::uint32_t run) {
  return {{"job", task.job},
          {"task", {task.occurrence, task.step, task.index}},
          {"run", run},
          {"worker", worker.id},
          {"born", worker.incarnation_ms}};
}

// The same as the text of JSON members, for lines of each run.
std::string DescribeRunAsText(const jobs::WorkerId& worker,
                              const jobs::TaskId& task,
                              std::uint32_t run) {
  return fmt::format(
      R"("job":{},"task":[{},{},{}],"run":{},"worker":{},"born":{})",
      QuoteJson(task.job), task.occurrence, task.step, task.index, run,
      QuoteJson(worker.id), worker.incarnation_ms);
}

nlohmann::json DescribeDrop(const jobs::DroppedRun& drop, base::TimePoint now) {
  nlohmann::json line = DescribeRun(drop.worker, drop.task, drop.run);
  line["reason"] = base::FindName(jobs::kDropReasonNames, drop.reason);
  line["phase"] = base::FindName(jobs::kRunPhaseNames, drop.phase);
  line["crashes"] = drop.crashes;
  line["answered"] = drop.answered;
  line["listed"] = drop.listed;
  line["worker_listed"] = drop.worker_listed;
  if (drop.start_ordered_at != base::TimePoint{}) {
    line["ordered_ms"] = base::Milliseconds(now - drop.start_ordered_at);
  }
  if (drop.lease_evidence != jobs::LeaseEvidence::kNone) {
    line["lease_left_ms"] = base::Milliseconds(drop.lease_bound - now);
    line["lease_by"] =
        base::FindName(jobs::kLeaseEvidenceNames, drop.lease_evidence);
  }
  if (drop.worker_reported_at != base::TimePoint{}) {
    line["reported_ms"] = base::Milliseconds(now - drop.worker_reported_at);
  }
  return line;
}

nlohmann::json Describe(const jobs::Resources& resources) {
  return {{"cpu", resources.cpu},
          {"memory", resources.memory},
          {"gpus", resources.gpus}};
}

}  // namespace

std::chrono::milliseconds Dispatcher::WorkerClock(const Link& link) const {
  return link.clock + std::chrono::duration_cast<std::chrono::milliseconds>(
                          m_loop.GetClock().Now() - link.clock_at);
}

bool Dispatcher::IsClockKnown(const Link& link) const {
  return link.clock_known &&
         m_loop.GetClock().Now() - link.clock_at <= kMaxClockAge;
}

// Grows with the fleet: more runs end in a given time, while each report costs
// about the same.
std::chrono::milliseconds Dispatcher::PollPause() const {
  const auto workers = static_cast<std::int64_t>(m_links.size());
  return std::min(
      kMaxPollPause,
      kPollPause + std::chrono::duration_cast<std::chrono::milliseconds>(
                       kPollPausePerWorker * workers));
}

void Dispatcher::UpdateAddress(Link& link, const jobs::WorkerEntry& entry) {
  if (link.address.id == entry.id && link.address.endpoint == entry.endpoint) {
    return;
  }
  if (link.address.id != entry.id && link.fence > 0) {
    link.former_fence = std::exchange(link.fence, 0);
    link.fence_sent = false;
  }
  link.address = {entry.id, entry.endpoint, entry.availability_zone};
  link.clock_known = false;
  link.heard_at = {};
  link.acknowledged_end = 0;
  link.failures = 0;
  link.next_poll_at = m_loop.GetClock().Now();
}

bool Dispatcher::EnsureFence(Link& link) {
  if (link.fence > 0) {
    return true;
  }
  const std::uint64_t newest =
      link.former_fence == 0 ? FencingToken() : m_transactions->NewestVersion();
  if (newest <= link.former_fence) {
    m_last_commit_at = {};
    return false;
  }
  link.fence = newest;
  if (link.former_fence > 0) {
    m_log.Write("worker.fence_raised",
                {{"worker", link.address.id.id},
                 {"born", link.address.id.incarnation_ms},
                 {"fence", link.fence},
                 {"former_fence", link.former_fence}});
  }
  return true;
}

void Dispatcher::PollWorkers() {
  const base::TimePoint now = m_loop.GetClock().Now();
  // Both maps are in the order of ids, so no link is searched for.
  auto position = m_links.begin();
  for (const auto& [id, worker] : m_scheduler.Workers()) {
    if (worker.entry.endpoint.empty() || worker.terminated) {
      continue;
    }
    while (position != m_links.end() && position->first < id) {
      ++position;
    }
    if (position == m_links.end() || position->first != id) {
      position = m_links.emplace_hint(position, id, Link{});
      position->second.former_fence = m_pruned_fence;
    }
    Link& link = position->second;
    UpdateAddress(link, worker.entry);
    if (!MayGiveOrders() || !EnsureFence(link)) {
      continue;
    }
    const bool is_urgent = worker.wants_report || !link.fence_sent;
    if (is_urgent && link.polling && !link.probing) {
      Extend(link, true);
    }
    if (!link.polling && now >= link.next_poll_at) {
      Extend(link, false);
    }
  }
  if (now - m_links_pruned_at < kPruneInterval) {
    return;
  }
  m_links_pruned_at = now;
  std::erase_if(m_links, [this](const auto& entry) {
    const Link& link = entry.second;
    if (link.polling || link.probing ||
        m_scheduler.Workers().contains(entry.first)) {
      return false;
    }
    m_pruned_fence = std::max({m_pruned_fence, link.fence, link.former_fence});
    return true;
  });
}

void Dispatcher::OfferRelays(const std::vector<RelayCandidate>& candidates) {
  std::map<std::string, std::size_t> workers_of_zone;
  for (const auto& [id, worker] : m_scheduler.Workers()) {
    ++workers_of_zone[worker.entry.availability_zone];
  }
  const std::size_t before = m_workers.RelayCount();
  m_workers.ChooseRelays(FencingToken(), candidates, workers_of_zone);
  if (m_workers.RelayCount() != before) {
    m_log.Write("relay.set", {{"relays", m_workers.RelayCount()},
                              {"workers", m_scheduler.Workers().size()}});
  }
}

void Dispatcher::HandleRelayResults(RelayResults results) {
  m_workers.HandleResults(std::move(results));
}

void Dispatcher::Extend(Link& link, bool probe) {
  const base::TimePoint now = m_loop.GetClock().Now();
  const auto found = m_scheduler.Workers().find(link.address.id.id);
  LeaseExtension extension;
  extension.fence = link.fence;
  link.fence_sent = true;
  // Sent until it is answered and not again: carried out late, it would make a
  // later incarnation forget its own ends. A call in parallel with a long poll
  // may be the first to reach the next incarnation, before the poll fails; a
  // parallel call without an answer may be one that has not reached this one.
  if (!probe && !link.probing && link.heard_at > link.failed_at &&
      found->second.acked_end > link.acknowledged_end) {
    extension.acknowledged_end = found->second.acked_end;
    m_scheduler.AcknowledgementSent(link.address.id.id, now);
  }
  extension.fresh_connection = link.failures > 0;
  // A worker that may have missed the last extension gets no further one:
  // otherwise the latest possible end of its lease would grow with each
  // attempt, and an unreachable worker's lease would never expire.
  if (IsClockKnown(link) && link.failures == 0) {
    extension.until =
        WorkerClock(link) + std::min(kWorkerLease, m_settings.max_worker_lease);
    extension.wait = probe ? std::chrono::milliseconds(0) : kPollWait;
    m_scheduler.LeaseSent(link.address.id.id, LeaseEnd(now), now);
  }
  (probe ? link.probing : link.polling) = true;
  const std::string id = link.address.id.id;
  m_workers.Extend(
      link.address, extension,
      m_lifetime.Guard(
          [this, id, probe, now, born = link.address.id.incarnation_ms,
           fence = extension.fence, acknowledged = extension.acknowledged_end](
              tl::expected<jobs::WorkerReport, WorkerCallFailure> result) {
            if (result && acknowledged > 0) {
              HandleAcknowledged({id, born}, acknowledged, now,
                                 result->incarnation_ms);
            }
            HandleReport(id, probe, now, fence, std::move(result));
          }));
}

void Dispatcher::HandleAcknowledged(const jobs::WorkerId& worker,
                                    std::uint64_t end,
                                    base::TimePoint sent_at,
                                    std::int64_t answered_by) {
  m_scheduler.AcknowledgementAnswered(worker.id, sent_at);
  const auto link = m_links.find(worker.id);
  if (link != m_links.end() && link->second.address.id == worker &&
      answered_by == worker.incarnation_ms) {
    link->second.acknowledged_end =
        std::max(link->second.acknowledged_end, end);
  }
}

void Dispatcher::HandleReport(
    const std::string& id,
    bool probe,
    base::TimePoint asked_at,
    std::uint64_t fence,
    tl::expected<jobs::WorkerReport, WorkerCallFailure> result) {
  const base::TimePoint now = m_loop.GetClock().Now();
  const auto found = m_links.find(id);
  if (found == m_links.end() || m_term_over) {
    return;
  }
  Link& link = found->second;
  (probe ? link.probing : link.polling) = false;
  if (!result) {
    link.failed_at = now;
    if (probe || link.answered_call_at > asked_at ||
        (result.error().fenced && fence != link.fence)) {
      // An incarnation that has answered a later call is not silent, nor is one
      // that refuses a call for its former incarnation.
      return;
    }
    if (++link.failures == 1) {
      m_log.Write("worker.call_failed",
                  {{"worker", id},
                   {"born", link.address.id.incarnation_ms},
                   {"asked_ms", base::Milliseconds(now - asked_at)},
                   {"error", result.error().message}});
    }
    link.next_poll_at =
        now + std::min(kMaxFailurePause, kPollPause * link.failures * 4);
    if (link.failures == kFailuresUntilSilent) {
      link.silent = true;
      m_log.Write("worker.silent", {{"worker", id},
                                    {"error", result.error().message},
                                    {"fenced", result.error().fenced}});
    }
    m_scheduler.WorkerSilent(id, now);
    m_machine_controller.WorkerSilent();
    if (result.error().fenced) {
      // Commits at once, to learn whether leadership is lost.
      m_last_commit_at = {};
    }
    return;
  }
  if (link.silent) {
    m_log.Write("worker.heard", {{"worker", id}});
  }
  link.silent = false;
  link.failures = 0;
  link.answered_call_at = std::max(link.answered_call_at, asked_at);
  const jobs::WorkerState* known = m_scheduler.FindWorker(id);
  const bool is_current = known != nullptr && known->entry.id.incarnation_ms ==
                                                  result->incarnation_ms;
  const std::uint64_t known_end = is_current ? known->last_end : 0;
  const bool is_first = !is_current || !known->has_reported;
  ++m_load.reports;
  if (!m_scheduler.WorkerReported(id, *result, asked_at, now)) {
    return;
  }
  if (result->incarnation_ms != link.address.id.incarnation_ms) {
    m_log.Write("worker.restarted", {{"worker", id},
                                     {"born", result->incarnation_ms},
                                     {"former", link.address.id.incarnation_ms},
                                     {"age_ms", result->clock.count()}});
    UpdateAddress(link, m_scheduler.FindWorker(id)->entry);
  } else {
    link.heard_at = std::max(link.heard_at, asked_at);
  }
  if (is_first && result->clock < kMaxLoggedAge) {
    m_log.Write("worker.first_report", {{"worker", id},
                                        {"born", result->incarnation_ms},
                                        {"age_ms", result->clock.count()},
                                        {"runs", result->running.size()}});
  }
  link.clock_known = true;
  link.clock = result->clock;
  link.clock_at = now;
  if (!link.fence_sent && !link.probing && MayGiveOrders() &&
      EnsureFence(link)) {
    Extend(link, true);
  }
  for (const jobs::ListedEnd& end : result->ended) {
    if (end.sequence > known_end) {
      const std::string_view how = base::FindName(jobs::kRunEndNames, end.how);
      m_log.WriteMembers(
          "run.ended", how,
          fmt::format(R"({},"how":"{}")",
                      DescribeRunAsText({id, result->incarnation_ms}, end.task,
                                        end.run),
                      how));
    }
  }
  const auto worker = m_scheduler.Workers().find(id);
  if (!probe && worker != m_scheduler.Workers().end()) {
    const bool unstored = worker->second.last_end > worker->second.acked_end;
    link.next_poll_at = now + (unstored ? kUnstoredEndsPause : PollPause());
  }
  RequestPlan();
}

void Dispatcher::SendOrders(const jobs::Orders& orders) {
  const base::TimePoint now = m_loop.GetClock().Now();
  for (const jobs::DroppedRun& drop : orders.dropped) {
    m_log.Write("run.dropped", DescribeDrop(drop, now));
  }
  for (const jobs::DroppedRun& drop : orders.resurfaced) {
    m_log.Write("run.resurfaced", DescribeDrop(drop, now));
  }
  for (const jobs::DroppedRun& drop : orders.late_ends) {
    m_log.Write("run.ended_late", DescribeDrop(drop, now));
  }
  for (const jobs::DroppedRun& drop : orders.outlived) {
    m_log.Write("run.outlived", DescribeDrop(drop, now));
  }
  for (const jobs::StaleEntry& entry : orders.stale_entries) {
    m_log.Write("worker.stale_entry",
                {{"worker", entry.worker.id},
                 {"born", entry.worker.incarnation_ms},
                 {"listed_born", entry.listed_incarnation_ms}});
  }
  for (const jobs::LeftWorker& left : orders.left) {
    nlohmann::json line = DescribeRun(left.worker, left.task, left.run);
    line["left_worker"] = left.left.id;
    line["left_born"] = left.left.incarnation_ms;
    line["left_run"] = left.left_run;
    line["ordered_ms"] = base::Milliseconds(now - left.left_ordered_at);
    m_log.Write("task.left_worker", line);
  }
  for (const jobs::SpeedChange& change : orders.speed_changes) {
    m_log.Write(change.slow ? "worker.slow" : "worker.speed_recovered",
                {{"worker", change.worker.id},
                 {"incarnation_ms", change.worker.incarnation_ms},
                 {"times_usual", change.median}});
  }
  for (const jobs::GivenUpTask& given_up : orders.given_up) {
    const jobs::TaskId& task = given_up.task;
    nlohmann::json crashes = nlohmann::json::array();
    for (const jobs::Crash& crash : given_up.crashes) {
      crashes.push_back({crash.run, crash.certain, crash.proven});
    }
    m_log.Write("task.given_up",
                {{"job", task.job},
                 {"task", {task.occurrence, task.step, task.index}},
                 {"crashes", std::move(crashes)}});
  }
  for (const jobs::ResizedWorker& resized : orders.resized) {
    m_log.Write("worker.resized", {{"worker", resized.worker.id},
                                   {"born", resized.worker.incarnation_ms},
                                   {"before", Describe(resized.before)},
                                   {"after", Describe(resized.after)},
                                   {"used", Describe(resized.used)}});
  }
  for (const jobs::StartOrder& order : orders.starts) {
    SendStart(order);
  }
  for (const jobs::StopOrder& order : orders.stops) {
    SendStop(order);
  }
  for (const jobs::PaceOrder& order : orders.paces) {
    const auto link = m_links.find(order.worker.id);
    if (link == m_links.end() || link->second.address.id != order.worker ||
        !EnsureFence(link->second)) {
      continue;
    }
    m_log.Write("run.paced", {{"job", order.task.job},
                              {"worker", order.worker.id},
                              {"percent", order.percent}});
    m_workers.Pace(
        link->second.address, order, link->second.fence,
        m_lifetime.Guard([this, id = order.worker.id](bool answered) {
          if (!answered) {
            CallFailed(id);
          }
        }));
  }
  for (const jobs::AdviceRequest& request : orders.advice) {
    m_dependencies.advice.Advise(
        request, m_lifetime.Guard([this, request](
                                      const base::Result<AdviceReply>& reply) {
          const base::TimePoint answered_at = m_loop.GetClock().Now();
          if (!reply) {
            const auto pause = m_scheduler.AdviceFailed(request, answered_at);
            m_log.Write(
                "advice.failed",
                {{"job", request.job},
                 {"error", reply.error().message},
                 {"pause_ms", pause.count()},
                 {"waiting", m_scheduler.CountStepsWaitingForAdvice()}});
            m_loop.After(pause, m_lifetime.Guard([this] { RequestPlan(); }));
            return;
          }
          m_log.Write(
              "advice.answered",
              {{"job", request.job},
               {"occurrence", request.occurrence},
               {"step", request.step},
               {"named", request.workers.size()},
               {"allowed", reply->allowed.size()},
               {"took_ms", base::Milliseconds(answered_at - request.asked_at)},
               {"waiting", m_scheduler.CountStepsWaitingForAdvice()}});
          m_scheduler.AdviceAnswered(request, reply->allowed, reply->validity,
                                     answered_at);
          RequestPlan();
        }));
  }
}

void Dispatcher::CallFailed(const std::string& worker) {
  if (const auto link = m_links.find(worker); link != m_links.end()) {
    link->second.failed_at = m_loop.GetClock().Now();
  }
}

void Dispatcher::SendStart(const jobs::StartOrder& order) {
  const base::TimePoint now = m_loop.GetClock().Now();
  const auto found = m_links.find(order.worker.id);
  if (found == m_links.end() || !IsClockKnown(found->second) ||
      found->second.failures > 0 || found->second.address.id != order.worker ||
      !MayGiveOrders() || !EnsureFence(found->second) ||
      now - m_transactions->ConfirmedAt() > kMaxStartAge) {
    m_scheduler.StartAnswered(order.worker, order.task, order.run,
                              jobs::StartResult::kUnreachable, now);
    RequestPlan();
    return;
  }
  const Link& link = found->second;
  const auto until = WorkerClock(link) + kWorkerLease;
  const jobs::WorkerState* state = m_scheduler.FindWorker(order.worker.id);
  const bool draining =
      state != nullptr && (state->entry.draining || !state->listed);
  m_scheduler.LeaseSent(order.worker.id, LeaseEnd(now), now);
  ++m_load.starts;
  m_workers.Start(
      link.address, order, link.fence, until,
      m_lifetime.Guard([this, now, worker = order.worker, task = order.task,
                        run = order.run, waited = now - order.placed_at,
                        draining, until](const StartAnswer& answer) {
        const jobs::StartResult result = answer.result;
        const std::string_view name =
            base::FindName(jobs::kStartResultNames, result);
        std::string line =
            fmt::format(R"({},"result":"{}","placed_ms":{},"draining":{})",
                        DescribeRunAsText(worker, task, run), name,
                        base::Milliseconds(waited), draining);
        const base::TimePoint answered = m_loop.GetClock().Now();
        const jobs::Job* job = m_scheduler.FindJob(task.job);
        if (job != nullptr) {
          line += fmt::format(R"(,"age_ms":{})",
                              base::Milliseconds(answered - job->arrived_at));
        }
        m_log.WriteMembers("run.start", name, line);
        m_log.Metrics().Observe(Latency::kStart, answered - now);
        if (job != nullptr && !job->started) {
          m_log.Metrics().Observe(Latency::kFirstStart,
                                  answered - job->arrived_at);
        }
        if (answer.clock && result != jobs::StartResult::kOtherIncarnation) {
          NoteLease(worker, until - *answer.clock);
        }
        m_scheduler.StartAnswered(worker, task, run, result, answered);
        if (result == jobs::StartResult::kUnknown ||
            result == jobs::StartResult::kUnreachable ||
            result == jobs::StartResult::kOtherIncarnation) {
          CallFailed(worker.id);
        }
        if (result == jobs::StartResult::kFenced) {
          // Commits at once, to learn whether leadership is lost.
          m_last_commit_at = {};
        }
        if (result != jobs::StartResult::kRunning) {
          RequestPlan();
        }
      }));
}

void Dispatcher::NoteLease(const jobs::WorkerId& worker,
                           std::chrono::milliseconds lease) {
  const base::TimePoint now = m_loop.GetClock().Now();
  if (lease <= kWorkerLease + kMaxClockError) {
    m_scheduler.LeaseSent(worker.id, now + WithSlowClock(lease), now);
    return;
  }
  m_log.Write("worker.unheard_incarnation", {{"worker", worker.id},
                                             {"born", worker.incarnation_ms},
                                             {"lease_ms", lease.count()}});
  m_scheduler.UnheardIncarnationAnswered(worker, now);
  // No further lease is given by the clock of the former incarnation.
  const auto link = m_links.find(worker.id);
  if (link != m_links.end() && link->second.address.id == worker) {
    link->second.clock_known = false;
  }
}

void Dispatcher::SendStop(const jobs::StopOrder& order) {
  const auto found = m_links.find(order.worker.id);
  const jobs::WorkerState* worker = m_scheduler.FindWorker(order.worker.id);
  if (found == m_links.end() || worker == nullptr ||
      worker->entry.id != order.worker || !MayGiveOrders()) {
    return;
  }
  // The incarnation may be new: a stop can't wait for the first poll.
  UpdateAddress(found->second, worker->entry);
  if (!EnsureFence(found->second)) {
    return;
  }
  nlohmann::json line = DescribeRun(order.worker, order.task, order.run);
  line["reason"] = base::FindName(jobs::kStopReasonNames, order.reason);
  m_log.Write("run.stop", line);
  m_workers.Stop(found->second.address, order, found->second.fence,
                 m_lifetime.Guard([this, order](bool answered) {
                   if (answered) {
                     m_scheduler.StopAnswered(order.worker, order.task,
                                              order.run,
                                              m_loop.GetClock().Now());
                   } else {
                     CallFailed(order.worker.id);
                   }
                 }));
}

}  // namespace cassiastile::host
