#include "cassiastile/host/relayed_workers.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace cassiastile::host {

namespace {

// A relay carries out no call later than this after the leader sent the batch.
// Together with the delay of an order on its way to a worker it stays
// below SchedulerOptions::max_order_delay.
constexpr std::chrono::milliseconds kMaxRelayDelay{500};
// A start that waits longer for its batch to be sent is given up: its worker
// may have begun to drain meanwhile. A leader that is slow or stood still sends
// its batches late.
constexpr std::chrono::milliseconds kMaxStartWait{500};
constexpr std::chrono::milliseconds kWorkerTimeout{800};
// For the way to the relay and back, beside the worker's own timeout.
constexpr std::chrono::milliseconds kRelayTimeout{700};
// Clocks drift little in this time.
constexpr std::chrono::milliseconds kMaxClockAge{10000};
constexpr std::chrono::milliseconds kAskInterval{1000};
constexpr std::chrono::milliseconds kAvoidRelay{5000};
constexpr std::chrono::milliseconds kAvoidRelayedWorker{5000};
constexpr std::chrono::milliseconds kCheckInterval{100};
// Each relay exchanges one batch and one message of results with the leader in
// this time for each relay there is, so that their number does not grow.
constexpr std::chrono::milliseconds kCollectPerRelay{1};
constexpr std::chrono::milliseconds kMinCollect{3};
constexpr std::chrono::milliseconds kMaxCollect{40};
// A batch is sent at once when it is this large.
constexpr std::size_t kMaxCallsOfBatch = 400;

RelayedRun MakeRun(const jobs::TaskId& task, std::uint32_t run) {
  return {task.job, task.occurrence, task.step, task.index, run};
}

jobs::TaskId TakeTask(RelayedRun& run) {
  return {std::move(run.job), run.occurrence, run.step, run.index};
}

// Leaves the names in `relayed` empty: a busy fleet reports thousands of runs a
// second.
jobs::WorkerReport TakeReport(RelayedReport& relayed) {
  jobs::WorkerReport report;
  report.incarnation_ms = relayed.incarnation_ms;
  report.clock = std::chrono::milliseconds(relayed.steady_ms);
  report.ends_cut = relayed.ends_cut;
  report.running.reserve(relayed.running.size());
  for (RelayedListedRun& run : relayed.running) {
    report.running.push_back({TakeTask(run.run), run.run.run,
                              std::move(run.checkpoint), run.percent,
                              run.load});
  }
  report.ended.reserve(relayed.ended.size());
  for (RelayedEnd& end : relayed.ended) {
    report.ended.push_back({end.sequence, TakeTask(end.run), end.run.run,
                            static_cast<jobs::RunEnd>(end.how),
                            std::move(end.checkpoint)});
  }
  return report;
}

std::size_t CountCalls(const RelayBatch& batch) {
  return batch.extensions.size() + batch.starts.size() + batch.stops.size() +
         batch.paces.size();
}

// The numbers of the calls in a batch.
std::vector<std::uint64_t> ListCalls(const RelayBatch& batch) {
  std::vector<std::uint64_t> numbers;
  numbers.reserve(CountCalls(batch));
  const auto append = [&numbers](const auto& calls) {
    for (const auto& call : calls) {
      numbers.push_back(call.call);
    }
  };
  append(batch.extensions);
  append(batch.starts);
  append(batch.stops);
  append(batch.paces);
  return numbers;
}

// Rendezvous hashing moves few workers when a relay comes or goes.
std::size_t Affinity(const std::string& worker, const std::string& relay) {
  return std::hash<std::string>{}(worker + "@" + relay);
}

}  // namespace

RelayedWorkers::RelayedWorkers(WorkerPort& direct,
                               PeerPort& peers,
                               Loop& loop,
                               EventLog& log,
                               std::string own_endpoint,
                               RelayedWorkersOptions options)
    : m_direct(direct),
      m_peers(peers),
      m_loop(loop),
      m_log(log),
      m_own_endpoint(std::move(own_endpoint)),
      m_options(options) {}

std::size_t RelayedWorkers::RelayCount() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      m_relays, [](const auto& entry) { return entry.second.is_chosen; }));
}

bool RelayedWorkers::IsUsable(const Relay& relay) const {
  const base::TimePoint now = m_loop.GetClock().Now();
  const bool failed = relay.failed_at != base::TimePoint{} &&
                      now - relay.failed_at < kAvoidRelay;
  return relay.is_live && !failed && !relay.incarnation.empty() &&
         now - relay.clock_at < kMaxClockAge;
}

std::vector<RelayedWorkers::Relay*> RelayedWorkers::RankZone(
    const std::string& zone) {
  std::vector<Relay*> usable;
  for (auto& [host, relay] : m_relays) {
    if (relay.availability_zone == zone && IsUsable(relay)) {
      usable.push_back(&relay);
    }
  }
  std::ranges::stable_sort(usable, [](const Relay* left, const Relay* right) {
    return left->processor_share > right->processor_share;
  });
  return usable;
}

void RelayedWorkers::ChooseRelays(
    std::uint64_t fence,
    const std::vector<RelayCandidate>& candidates,
    const std::map<std::string, std::size_t>& workers_of_zone) {
  m_fence = fence;
  std::size_t workers = 0;
  for (const auto& [zone, count] : workers_of_zone) {
    workers += count;
  }
  const bool relays = workers >= m_options.min_workers;
  for (auto& [host, relay] : m_relays) {
    relay.is_live = false;
    relay.is_chosen = false;
  }
  for (const RelayCandidate& candidate : candidates) {
    Relay& relay = m_relays[candidate.host];
    relay.host = candidate.host;
    relay.endpoint = candidate.endpoint;
    relay.processor_share = candidate.processor_share;
    relay.is_live = relays;
  }
  m_chosen.clear();
  std::size_t chosen = 0;
  for (const auto& [zone, count] : workers_of_zone) {
    std::vector<Relay*> ranked = RankZone(zone);
    const std::size_t wanted =
        (count + m_options.workers_per_relay - 1) / m_options.workers_per_relay;
    ranked.resize(std::min(ranked.size(), wanted));
    for (Relay* relay : ranked) {
      relay->is_chosen = true;
    }
    chosen += ranked.size();
    m_chosen[zone] = std::move(ranked);
  }
  m_collect = std::clamp(kCollectPerRelay * static_cast<int>(chosen),
                         kMinCollect, kMaxCollect);
  const base::TimePoint now = m_loop.GetClock().Now();
  for (auto& [host, relay] : m_relays) {
    // Relays in use tell their clock with every reply; the others are asked, so
    // that one of them can be chosen at once.
    const auto interval =
        relay.incarnation.empty() ? kAskInterval : kMaxClockAge / 2;
    if (relay.is_live && !relay.is_asking && now - relay.asked_at > interval &&
        now - relay.clock_at > interval) {
      Send(host);
    }
  }
}

RelayedWorkers::Relay* RelayedWorkers::RelayFor(const WorkerAddress& worker,
                                                std::uint64_t fence) {
  const auto zone = m_chosen.find(worker.availability_zone);
  if (zone == m_chosen.end() || zone->second.empty()) {
    return nullptr;
  }
  const auto avoided = m_direct_until.find(worker.id.id);
  if (avoided != m_direct_until.end()) {
    if (m_loop.GetClock().Now() < avoided->second) {
      return nullptr;
    }
    m_direct_until.erase(avoided);
  }
  Relay* best = nullptr;
  std::size_t best_affinity = 0;
  for (Relay* relay : zone->second) {
    const std::size_t affinity = Affinity(worker.id.id, relay->endpoint);
    const bool can_call = fence == m_fence || relay->has_worker_fences;
    if (IsUsable(*relay) && can_call &&
        (best == nullptr || affinity > best_affinity)) {
      best = relay;
      best_affinity = affinity;
    }
  }
  return best;
}

std::uint32_t RelayedWorkers::IndexOf(Relay& relay,
                                      const WorkerAddress& worker,
                                      std::uint64_t fence) {
  const std::string key = worker.id.id + "." +
                          std::to_string(worker.id.incarnation_ms) + "." +
                          std::to_string(fence);
  const auto [found, is_new] = relay.worker_index.emplace(
      key, static_cast<std::uint32_t>(relay.batch.workers.size()));
  if (is_new) {
    relay.batch.workers.push_back(
        {worker.id.id, worker.id.incarnation_ms, worker.endpoint, fence});
  }
  return found->second;
}

std::uint64_t RelayedWorkers::AddCall(Relay& relay,
                                      const WorkerAddress& worker,
                                      base::Duration timeout,
                                      Done done) {
  const base::TimePoint now = m_loop.GetClock().Now();
  m_pending.emplace(++m_last_call,
                    Pending{relay.host, worker.id.id,
                            now + timeout + kRelayTimeout, std::move(done)});
  const bool is_full = CountCalls(relay.batch) >= kMaxCallsOfBatch;
  if (relay.batch_since == base::TimePoint{}) {
    relay.batch_since = now;
  }
  if (!relay.is_armed || is_full) {
    relay.is_armed = true;
    m_loop.After(is_full ? std::chrono::milliseconds(0) : m_collect,
                 m_lifetime.Guard([this, name = relay.host] { Send(name); }));
  }
  if (now - m_checked_at >= kCheckInterval) {
    m_checked_at = now;
    m_loop.After(kCheckInterval, m_lifetime.Guard([this] { FailLate(); }));
  }
  return m_last_call;
}

void RelayedWorkers::Extend(const WorkerAddress& worker,
                            const LeaseExtension& extension,
                            ExtendDone done) {
  Relay* relay =
      extension.fresh_connection ? nullptr : RelayFor(worker, extension.fence);
  if (relay == nullptr) {
    ++m_direct_calls;
    m_direct.Extend(worker, extension, std::move(done));
    return;
  }
  RelayedExtension call;
  call.call =
      AddCall(*relay, worker, extension.wait + kWorkerTimeout, std::move(done));
  call.worker = IndexOf(*relay, worker, extension.fence);
  call.acknowledged_end = extension.acknowledged_end;
  call.until_ms = extension.until ? extension.until->count() : -1;
  call.wait_ms = extension.wait.count();
  relay->batch.extensions.push_back(call);
}

void RelayedWorkers::Start(const WorkerAddress& worker,
                           const jobs::StartOrder& order,
                           std::uint64_t fence,
                           std::chrono::milliseconds until,
                           StartDone done) {
  Relay* relay = RelayFor(worker, fence);
  if (relay == nullptr) {
    ++m_direct_calls;
    m_direct.Start(worker, order, fence, until, std::move(done));
    return;
  }
  RelayedStart call;
  call.call = AddCall(*relay, worker, kWorkerTimeout, std::move(done));
  call.worker = IndexOf(*relay, worker, fence);
  call.run = MakeRun(order.task, order.run);
  const auto [payload, is_new] = relay->payload_index.emplace(
      order.task.job, static_cast<std::uint32_t>(relay->batch.payloads.size()));
  if (is_new) {
    relay->batch.payloads.push_back(order.payload);
  }
  call.payload = payload->second;
  call.checkpoint = order.checkpoint;
  call.ticket = order.ticket;
  call.until_ms = until.count();
  relay->batch.starts.push_back(std::move(call));
}

void RelayedWorkers::Stop(const WorkerAddress& worker,
                          const jobs::StopOrder& order,
                          std::uint64_t fence,
                          ChangeDone done) {
  Relay* relay = RelayFor(worker, fence);
  if (relay == nullptr) {
    ++m_direct_calls;
    m_direct.Stop(worker, order, fence, std::move(done));
    return;
  }
  const std::uint64_t call =
      AddCall(*relay, worker, kWorkerTimeout, std::move(done));
  relay->batch.stops.push_back({call, IndexOf(*relay, worker, fence),
                                MakeRun(order.task, order.run), 0});
}

void RelayedWorkers::Pace(const WorkerAddress& worker,
                          const jobs::PaceOrder& order,
                          std::uint64_t fence,
                          ChangeDone done) {
  Relay* relay = RelayFor(worker, fence);
  if (relay == nullptr) {
    ++m_direct_calls;
    m_direct.Pace(worker, order, fence, std::move(done));
    return;
  }
  const std::uint64_t call =
      AddCall(*relay, worker, kWorkerTimeout, std::move(done));
  relay->batch.paces.push_back({call, IndexOf(*relay, worker, fence),
                                MakeRun(order.task, order.run), order.percent});
}

void RelayedWorkers::Send(const std::string& host) {
  Relay& relay = m_relays[host];
  const base::TimePoint now = m_loop.GetClock().Now();
  RelayBatch batch = std::exchange(relay.batch, {});
  const base::TimePoint batch_since = std::exchange(relay.batch_since, {});
  if (now - batch_since > kMaxStartWait) {
    GiveUpStarts(std::exchange(batch.starts, {}));
  }
  relay.worker_index.clear();
  relay.payload_index.clear();
  relay.is_armed = false;
  relay.is_asking = true;
  relay.asked_at = now;
  batch.fence = m_fence;
  batch.reply_endpoint = m_own_endpoint;
  batch.relay_incarnation = relay.incarnation;
  // The relay's clock was read before its answer came, so it is at least this
  // far by now.
  batch.valid_until_ms = relay.steady_ms +
                         base::Milliseconds(now - relay.clock_at) +
                         kMaxRelayDelay.count();
  batch.collect_ms = m_collect.count();
  m_peers.SendRelayBatch(
      relay.endpoint, batch,
      m_lifetime.Guard(
          [this, host, calls = ListCalls(batch),
           now](const tl::expected<RelayReply, PeerPort::Failure>& reply) {
            HandleReply(host, calls, now, reply);
          }));
}

void RelayedWorkers::GiveUpStarts(const std::vector<RelayedStart>& starts) {
  for (const RelayedStart& start : starts) {
    CompleteCall(start.call, [](const Done& done) {
      if (const auto* started = std::get_if<StartDone>(&done)) {
        (*started)({jobs::StartResult::kTooLate});
      }
    });
  }
}

void RelayedWorkers::HandleReply(
    const std::string& host,
    const std::vector<std::uint64_t>& calls,
    base::TimePoint sent_at,
    const tl::expected<RelayReply, PeerPort::Failure>& reply) {
  Relay& relay = m_relays[host];
  relay.is_asking = false;
  if (!reply) {
    if (reply.error().not_sent) {
      FailUnsent(calls);
    }
    DropRelay(host);
    return;
  }
  if (relay.incarnation != reply->incarnation) {
    relay.incarnation = reply->incarnation;
    relay.clock_at = {};
  }
  relay.availability_zone = reply->availability_zone;
  relay.has_worker_fences = reply->has_worker_fences;
  if (relay.clock_at == base::TimePoint{} || sent_at > relay.clock_at) {
    relay.steady_ms = reply->steady_ms;
    relay.clock_at = m_loop.GetClock().Now();
  }
  if (reply->verdict != RelayVerdict::kTaken) {
    FailUnsent(calls);
  }
}

void RelayedWorkers::FailUnsent(const std::vector<std::uint64_t>& calls) {
  for (const std::uint64_t call : calls) {
    CompleteCall(call, [](const Done& done) { FailUnanswered(done, true); });
  }
}

void RelayedWorkers::DropRelay(const std::string& host) {
  Relay& relay = m_relays[host];
  relay.failed_at = m_loop.GetClock().Now();
  relay.incarnation.clear();
  std::vector<std::uint64_t> calls;
  for (const auto& [call, pending] : m_pending) {
    if (pending.relay == host) {
      calls.push_back(call);
    }
  }
  m_log.Write("relay.lost", {{"peer", host}, {"calls", calls.size()}});
  for (const std::uint64_t call : calls) {
    CompleteCall(call, [](const Done& done) { FailUnanswered(done, false); });
  }
}

void RelayedWorkers::FailLate() {
  const base::TimePoint now = m_loop.GetClock().Now();
  m_checked_at = {};
  std::vector<std::uint64_t> late;
  for (const auto& [call, pending] : m_pending) {
    if (now >= pending.deadline) {
      late.push_back(call);
      m_direct_until[pending.worker] = now + kAvoidRelayedWorker;
    }
  }
  for (const std::uint64_t call : late) {
    CompleteCall(call, [](const Done& done) { FailUnanswered(done, false); });
  }
  if (!m_pending.empty()) {
    m_checked_at = now;
    m_loop.After(kCheckInterval, m_lifetime.Guard([this] { FailLate(); }));
  }
}

void RelayedWorkers::FailUnanswered(const Done& done, bool surely_unsent) {
  struct Visitor {
    bool surely_unsent;
    void operator()(const ExtendDone& extended) const {
      extended(tl::unexpected(
          WorkerCallFailure{.message = "no answer through the relay"}));
    }
    void operator()(const StartDone& started) const {
      started({surely_unsent ? jobs::StartResult::kUnreachable
                             : jobs::StartResult::kUnknown});
    }
    void operator()(const ChangeDone& changed) const { changed(false); }
  };
  std::visit(Visitor{surely_unsent}, done);
}

template <typename Complete>
void RelayedWorkers::CompleteCall(std::uint64_t call,
                                  const Complete& complete) {
  auto node = m_pending.extract(call);
  if (!node.empty()) {
    complete(node.mapped().done);
  }
}

void RelayedWorkers::HandleResults(RelayResults results) {
  if (results.fence != m_fence) {
    return;
  }
  for (RelayedReport& report : results.reports) {
    CompleteCall(report.call, [&report](const Done& done) {
      if (const auto* extended = std::get_if<ExtendDone>(&done)) {
        (*extended)(TakeReport(report));
      }
    });
  }
  for (const RelayedFailure& failure : results.failures) {
    const auto pending = m_pending.find(failure.call);
    if (pending != m_pending.end()) {
      m_direct_until[pending->second.worker] =
          m_loop.GetClock().Now() + kAvoidRelayedWorker;
    }
    CompleteCall(failure.call, [&failure](const Done& done) {
      if (const auto* extended = std::get_if<ExtendDone>(&done)) {
        (*extended)(tl::unexpected(
            WorkerCallFailure{failure.refused, failure.fenced,
                              failure.other_incarnation, failure.message}));
      }
    });
  }
  for (const RelayedOutcome& start : results.starts) {
    CompleteCall(start.call, [&start](const Done& done) {
      if (const auto* started = std::get_if<StartDone>(&done)) {
        StartAnswer answer{static_cast<jobs::StartResult>(start.value)};
        if (start.worker_clock_ms >= 0) {
          answer.clock = std::chrono::milliseconds(start.worker_clock_ms);
        }
        (*started)(answer);
      }
    });
  }
  for (const RelayedOutcome& change : results.changes) {
    CompleteCall(change.call, [&change](const Done& done) {
      if (const auto* changed = std::get_if<ChangeDone>(&done)) {
        (*changed)(change.value != 0);
      }
    });
  }
}

}  // namespace cassiastile::host
