#include "cassiastile/standin/backend_simulation.hpp"

#include <algorithm>
#include <random>
#include <utility>

#include "cassiastile/work/credit_rows.hpp"

namespace cassiastile::standin {

namespace {

// How often hosts tick, and how long a health check takes.
constexpr std::chrono::milliseconds kTick{20};
constexpr std::chrono::milliseconds kListInterval{500};
constexpr std::chrono::milliseconds kCreditSyncInterval{250};
// Spreads the hosts' credit exchanges in time.
constexpr std::chrono::milliseconds kCreditJitter{50};
constexpr std::chrono::milliseconds kProbeTimeout{1000};
// Tries per request in the baseline, each with an equal part of its timeout.
constexpr std::uint32_t kBaselineTries = 3;
const std::string kService = "simulated";

std::string ZoneName(std::uint32_t index) {
  return "z" + std::to_string(index);
}

std::string HostName(std::uint32_t index) {
  return "e" + std::to_string(index);
}

std::string RequestName(std::uint64_t id) {
  return std::to_string(id);
}

}  // namespace

RequestSimulation::RequestSimulation(SimulationOptions options)
    : m_options(options),
      m_random(options.seed),
      m_now(std::chrono::hours(1)),
      m_backends(options.seed + 1),
      m_table(options.seed + 2),
      m_hosts(options.hosts),
      m_leaving(options.runners, false),
      m_next_tick(m_now),
      m_next_listing(m_now) {
  for (std::uint32_t i = 0; i < options.runners; ++i) {
    ModelRunnerOptions& runner = m_backends.RunnerOptions(RunnerName(i));
    runner.slots = options.slots;
    runner.mean_service = options.mean_service;
  }
  for (std::uint32_t i = 0; i < options.hosts; ++i) {
    StartHost(i);
  }
}

RequestSimulation::~RequestSimulation() = default;

std::string RequestSimulation::RunnerName(std::uint32_t index) {
  return "r" + std::to_string(index);
}

void RequestSimulation::Submit(const SimulatedRequest& request) {
  m_arrivals.emplace(request.at, request);
}

void RequestSimulation::RunUntil(base::TimePoint until) {
  while (true) {
    const base::TimePoint next = NextEvent();
    if (next > until) {
      break;
    }
    m_now = std::max(m_now, next);
    for (const ModelCompletion& completion : m_backends.Advance(m_now)) {
      m_completions.emplace(completion.at, completion);
    }
    while (!m_completions.empty() && m_completions.begin()->first <= m_now) {
      const ModelCompletion completion = m_completions.begin()->second;
      m_completions.erase(m_completions.begin());
      Complete(completion);
    }
    while (!m_arrivals.empty() && m_arrivals.begin()->first <= m_now) {
      const SimulatedRequest request = m_arrivals.begin()->second;
      m_arrivals.erase(m_arrivals.begin());
      Arrive(request);
    }
    TickHosts();
  }
  m_now = until;
}

void RequestSimulation::Crash(std::uint32_t host) {
  Host& crashed = m_hosts[host];
  crashed.shard.reset();
  crashed.account.reset();
  ++crashed.generation;
}

void RequestSimulation::Restart(std::uint32_t host) {
  ++m_hosts[host].incarnation;
  ++m_hosts[host].generation;
  StartHost(host);
}

void RequestSimulation::SetLeaving(std::uint32_t runner, bool leaving) {
  m_leaving[runner] = leaving;
}

std::uint32_t RequestSimulation::GrantedInTable(std::uint32_t runner) {
  const auto found = m_table.Get(work::SlotsLedgerKey(kService));
  if (!found || !found->has_value()) {
    return 0;
  }
  const auto row = work::ParseLedgerRow((*found)->value);
  const auto ledger = row->find(RunnerName(runner));
  return ledger == row->end() ? 0 : work::TotalGranted(ledger->second);
}

void RequestSimulation::StartHost(std::uint32_t index) {
  Host& host = m_hosts[index];
  entry::ServiceShardOptions options;
  options.holder = entry::MakeHolderName(HostName(index), host.incarnation);
  options.slots_per_runner = m_options.slots;
  options.dispatcher.routing.zone = ZoneName(index % m_options.zones);
  options.dispatcher.routing.assumed_latency = m_options.mean_service;
  host.shard = std::make_unique<entry::ServiceShard>(options, MakeHooks(index),
                                                     m_random());
  host.account = std::make_unique<entry::CreditAccount>(
      m_table, work::SlotsLedgerKey(kService), options.holder, m_random());
  host.watch = std::make_unique<entry::HolderWatch>(
      HostName(index), entry::HolderWatchOptions{});
  host.next_credit_sync = m_now + kCreditJitter * (index + 1);
  ListRunners(host);
}

entry::ServiceShardHooks RequestSimulation::MakeHooks(std::uint32_t index) {
  entry::ServiceShardHooks hooks;
  hooks.send = [this, index](const work::SendTry& send) { Send(index, send); };
  hooks.probe = [this, index](const work::SendProbe& probe) {
    Probe(index, probe);
  };
  hooks.finish = [this](const work::FinishRequest& finish) { Finish(finish); };
  return hooks;
}

void RequestSimulation::Send(std::uint32_t host, const work::SendTry& send) {
  SentCall sent;
  sent.host = host;
  sent.generation = m_hosts[host].generation;
  sent.try_id = send.try_id;
  sent.request = send.request_id;
  sent.request_id = "c" + std::to_string(m_next_call);
  ModelCall call;
  call.id = m_next_call++;
  call.runner = send.runner;
  call.request = RequestName(send.request_id);
  call.request_id = sent.request_id;
  call.timeout = m_now + send.timeout;
  call.fresh_connection = send.fresh_connection;
  m_sent.emplace(call.id, std::move(sent));
  m_backends.Call(call, m_now);
}

// Sends a health check. It needs no slot, so a stalled runner still answers it.
void RequestSimulation::Probe(std::uint32_t host,
                              const work::SendProbe& probe) {
  const bool healthy = !m_backends.RunnerOptions(probe.runner).refuses;
  SentCall sent;
  sent.host = host;
  sent.generation = m_hosts[host].generation;
  sent.probed = probe.runner;
  ModelCompletion completion;
  completion.id = m_next_call;
  completion.at = m_now + (healthy ? kTick : kProbeTimeout);
  if (!healthy) {
    completion.outcome = tl::unexpected(wire::HttpFailure{});
  }
  m_sent.emplace(m_next_call++, std::move(sent));
  m_completions.emplace(completion.at, std::move(completion));
}

void RequestSimulation::Finish(const work::FinishRequest& finish) {
  SimulatedAnswer& answer = m_answers[finish.ticket.id];
  ++answer.answers;
  answer.at = m_now;
  answer.execution = work::ExecutionOf(finish.outcome);
  if (const auto* answered = std::get_if<work::Answered>(&finish.outcome)) {
    answer.correct =
        answered->response.body == "answer to " + RequestName(finish.ticket.id);
  }
  if (const auto* not_run = std::get_if<work::NotRun>(&finish.outcome)) {
    answer.retry_after = not_run->retry_after;
  }
}

void RequestSimulation::ListRunners(Host& host) {
  std::vector<work::ListedRunner> listed;
  for (std::uint32_t i = 0; i < m_options.runners; ++i) {
    work::ListedRunner runner;
    runner.name = RunnerName(i);
    runner.zone = ZoneName(i % m_options.zones);
    runner.incarnation = 1;
    runner.leaving = m_leaving[i];
    listed.push_back(std::move(runner));
  }
  host.shard->SetRunners(listed, m_now);
}

void RequestSimulation::ListHosts() {
  std::vector<platform::ListedHost> listed;
  for (std::uint32_t i = 0; i < m_hosts.size(); ++i) {
    if (m_hosts[i].shard) {
      platform::ListedHost entry;
      entry.name = HostName(i);
      entry.role = platform::ListedRole::kEntry;
      listed.push_back(std::move(entry));
    }
  }
  for (Host& host : m_hosts) {
    if (host.shard) {
      host.watch->ObserveHostList(listed, m_now);
      for (std::uint32_t i = 0; i < m_hosts.size(); ++i) {
        host.watch->ObserveIncarnation(HostName(i), m_hosts[i].incarnation,
                                       m_now);
      }
      ListRunners(host);
    }
  }
}

void RequestSimulation::Arrive(const SimulatedRequest& request) {
  if (m_options.policy == SimulatedPolicy::kRoundRobin) {
    m_baseline[request.id].request = request;
    SendBaseline(request.id);
    return;
  }
  Host& host = m_hosts[request.host];
  if (!host.shard) {
    return;
  }
  work::RequestTicket ticket;
  ticket.id = request.id;
  ticket.team = request.team;
  ticket.idempotent = request.idempotent;
  ticket.urgent = request.urgent;
  ticket.arrived = m_now;
  ticket.deadline = m_now + request.timeout;
  host.shard->Arrive(ticket, m_now);
}

void RequestSimulation::Complete(const ModelCompletion& completion) {
  const auto found = m_sent.find(completion.id);
  const SentCall sent = found->second;
  m_sent.erase(found);
  if (m_options.policy == SimulatedPolicy::kRoundRobin) {
    CompleteBaseline(sent.request, completion.outcome);
    return;
  }
  Host& host = m_hosts[sent.host];
  if (!host.shard || host.generation != sent.generation) {
    return;
  }
  if (!sent.probed.empty()) {
    host.shard->EndProbe(sent.probed, completion.outcome.has_value(), m_now);
    return;
  }
  host.shard->EndTry(sent.try_id,
                     work::ClassifyTry(completion.outcome, sent.request_id),
                     m_now);
}

void RequestSimulation::TickHosts() {
  if (m_options.policy == SimulatedPolicy::kRoundRobin) {
    return;
  }
  if (m_now >= m_next_listing) {
    m_next_listing = m_now + kListInterval;
    ListHosts();
  }
  if (m_now >= m_next_tick) {
    m_next_tick = m_now + kTick;
    for (Host& host : m_hosts) {
      if (host.shard) {
        host.shard->Tick(m_now);
      }
    }
  }
  for (std::uint32_t i = 0; i < m_hosts.size(); ++i) {
    if (m_hosts[i].shard && m_now >= m_hosts[i].next_credit_sync) {
      SyncCredits(i);
    }
  }
}

void RequestSimulation::SyncCredits(std::uint32_t index) {
  constexpr int kMaxTries = 3;
  Host& host = m_hosts[index];
  std::uniform_int_distribution<int> draw(
      0, static_cast<int>(kCreditJitter.count()));
  host.next_credit_sync =
      m_now + kCreditSyncInterval + std::chrono::milliseconds(draw(m_random));
  const auto find_gone = [&](const std::set<work::HolderName>& holders) {
    return host.watch->FindGoneHolders(holders, m_now);
  };
  for (int i = 0; i < kMaxTries; ++i) {
    const auto result = host.account->Sync(*host.shard, find_gone, m_now);
    if (result != entry::CreditSyncResult::kConflict) {
      return;
    }
  }
}

base::TimePoint RequestSimulation::NextEvent() const {
  base::TimePoint next = m_backends.NextEvent();
  if (!m_arrivals.empty()) {
    next = std::min(next, m_arrivals.begin()->first);
  }
  if (!m_completions.empty()) {
    next = std::min(next, m_completions.begin()->first);
  }
  if (m_options.policy == SimulatedPolicy::kRoundRobin) {
    return next;
  }
  next = std::min(next, m_next_tick);
  for (const Host& host : m_hosts) {
    next = host.shard ? std::min(next, host.next_credit_sync) : next;
  }
  return next;
}

void RequestSimulation::SendBaseline(std::uint64_t request) {
  BaselineRequest& pending = m_baseline[request];
  ++pending.tries;
  SentCall sent;
  sent.request = request;
  sent.request_id = "c" + std::to_string(m_next_call);
  ModelCall call;
  call.id = m_next_call++;
  call.runner = RunnerName(m_next_runner++ % m_options.runners);
  call.request = RequestName(request);
  call.request_id = sent.request_id;
  call.timeout = m_now + pending.request.timeout / kBaselineTries;
  call.sends_timeout = false;
  m_sent.emplace(call.id, std::move(sent));
  m_backends.Call(call, m_now);
}

void RequestSimulation::CompleteBaseline(std::uint64_t request,
                                         const wire::HttpOutcome& outcome) {
  const BaselineRequest& pending = m_baseline[request];
  if (!outcome && pending.tries < kBaselineTries) {
    SendBaseline(request);
    return;
  }
  SimulatedAnswer& answer = m_answers[request];
  ++answer.answers;
  answer.at = m_now;
  if (outcome) {
    answer.execution = wire::Execution::kRan;
    answer.correct = outcome->body == "answer to " + RequestName(request);
  }
  m_baseline.erase(request);
}

}  // namespace cassiastile::standin
