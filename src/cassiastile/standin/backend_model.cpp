#include "cassiastile/standin/backend_model.hpp"

#include <algorithm>
#include <random>

namespace cassiastile::standin {

namespace {

constexpr std::chrono::microseconds kNetworkDelay{1500};  // One way.
// How long after the timeout a late answer is sent.
constexpr std::chrono::milliseconds kLateness{200};

wire::HttpOutcome MakeFailure(wire::SendState state, bool timed_out) {
  wire::HttpFailure failure;
  failure.state = state;
  failure.timed_out = timed_out;
  return tl::unexpected(failure);
}

wire::HttpResponse MakeAnswer(const ModelCall& call) {
  wire::HttpResponse response;
  response.headers.emplace_back("X-Request-Id", call.request_id);
  response.body = "answer to " + call.request;
  return response;
}

// Returns what the client sees when work ends under a fault.
wire::HttpOutcome MakeOutcome(const ModelCall& call, BackendFault fault) {
  wire::HttpResponse response = MakeAnswer(call);
  switch (fault) {
    case BackendFault::kNone:
    case BackendFault::kOverLong:
      return response;
    case BackendFault::kCrossed:
      response.headers.front().second = "of-another";
      response.body = "answer to another";
      return response;
    case BackendFault::kUnframed:
      response.framed = false;
      response.body.resize(response.body.size() / 2);
      return response;
    case BackendFault::kRefuse:
      return MakeFailure(wire::SendState::kNotSent, false);
    case BackendFault::kStall:
    case BackendFault::kLate:
      return MakeFailure(wire::SendState::kMaybeSent, true);
    case BackendFault::kDie:
    case BackendFault::kShort:
    case BackendFault::kChunkCut:
    case BackendFault::kReset:
    case BackendFault::kHeaderOnly:
      return MakeFailure(wire::SendState::kMaybeSent, false);
  }
  return response;
}

}  // namespace

BackendModel::BackendModel(std::uint64_t seed) : m_random(seed) {}

ModelRunnerOptions& BackendModel::RunnerOptions(const std::string& runner) {
  return m_runners[runner].options;
}

void BackendModel::Call(const ModelCall& call, base::TimePoint now) {
  m_calls[call.id].call = call;
  Schedule(now + kNetworkDelay, EventKind::kArrive, call.id);
  Schedule(call.timeout, EventKind::kTimeout, call.id);
}

base::TimePoint BackendModel::NextEvent() const {
  return m_events.empty() ? base::TimePoint::max() : m_events.top().at;
}

std::vector<ModelCompletion> BackendModel::Advance(base::TimePoint until) {
  std::vector<ModelCompletion> completions;
  while (!m_events.empty() && m_events.top().at <= until) {
    const Event event = m_events.top();
    m_events.pop();
    HandleEvent(event, completions);
  }
  return completions;
}

void BackendModel::Schedule(base::TimePoint at,
                            EventKind kind,
                            std::uint64_t id) {
  m_events.push({at, m_next_order++, kind, id});
}

void BackendModel::HandleEvent(const Event& event,
                               std::vector<ModelCompletion>& completions) {
  if (!m_calls.contains(event.id)) {
    return;
  }
  switch (event.kind) {
    case EventKind::kArrive:
      Arrive(event.id, event.at, completions);
      return;
    case EventKind::kBreak:
      BreakConnection(event.id, event.at, completions);
      return;
    case EventKind::kEnd:
      EndWork(event.id, event.at, completions);
      return;
    case EventKind::kTimeout:
      TimeOut(event.id, event.at, completions);
      return;
  }
}

void BackendModel::Arrive(std::uint64_t id,
                          base::TimePoint now,
                          std::vector<ModelCompletion>& completions) {
  ActiveCall& active = m_calls[id];
  RunnerState& runner = m_runners[active.call.runner];
  const ModelRunnerOptions& options = runner.options;
  active.fault = options.stalled ? BackendFault::kStall : DrawFault(options);
  if (options.refuses || active.fault == BackendFault::kRefuse) {
    completions.push_back({id, now + kNetworkDelay,
                           MakeFailure(wire::SendState::kNotSent, false)});
    RemoveCall(id);
    return;
  }
  const bool blackholed =
      !active.call.fresh_connection && now < options.blackhole_until;
  if (blackholed) {
    return;
  }
  if (runner.working < options.slots) {
    StartWork(id, now);
    return;
  }
  ++m_arrivals_over_slots;
  active.queued = true;
  runner.queue.push_back(id);
}

void BackendModel::StartWork(std::uint64_t id, base::TimePoint now) {
  ActiveCall& active = m_calls[id];
  RunnerState& runner = m_runners[active.call.runner];
  active.queued = false;
  active.working = true;
  ++runner.working;
  m_log.push_back({active.call.request, active.call.runner, now});
  if (active.fault == BackendFault::kStall) {
    return;
  }
  const auto mean = std::chrono::duration<double>(runner.options.mean_service);
  std::exponential_distribution<double> draw(1.0 / mean.count());
  base::Duration length = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(draw(m_random)));
  if (active.fault == BackendFault::kLate) {
    length = active.call.timeout - now + kLateness;
  }
  if (active.fault == BackendFault::kReset) {
    Schedule(now + length / 2, EventKind::kBreak, id);
  }
  Schedule(now + length, EventKind::kEnd, id);
}

// Breaks the connection while the work continues.
void BackendModel::BreakConnection(std::uint64_t id,
                                   base::TimePoint now,
                                   std::vector<ModelCompletion>& completions) {
  ActiveCall& active = m_calls[id];
  if (!active.answered) {
    active.answered = true;
    completions.push_back(
        {id, now + kNetworkDelay, MakeOutcome(active.call, active.fault)});
  }
}

void BackendModel::EndWork(std::uint64_t id,
                           base::TimePoint now,
                           std::vector<ModelCompletion>& completions) {
  const ActiveCall& active = m_calls[id];
  RunnerState& runner = m_runners[active.call.runner];
  if (!active.answered) {
    completions.push_back(
        {id, now + kNetworkDelay, MakeOutcome(active.call, active.fault)});
  }
  RemoveCall(id);
  FreeSlot(runner, now);
}

// Handles the client's timeout. The runner stops as well if it knows the
// timeout; otherwise it keeps its queued and running work.
void BackendModel::TimeOut(std::uint64_t id,
                           base::TimePoint now,
                           std::vector<ModelCompletion>& completions) {
  ActiveCall& active = m_calls[id];
  RunnerState& runner = m_runners[active.call.runner];
  if (!active.answered) {
    completions.push_back(
        {id, now, MakeFailure(wire::SendState::kMaybeSent, true)});
  }
  active.answered = true;
  const bool working = active.working;
  const bool stops = active.call.sends_timeout || (!working && !active.queued);
  if (!stops) {
    return;
  }
  if (active.queued) {
    std::erase(runner.queue, id);
  }
  RemoveCall(id);
  if (working) {
    FreeSlot(runner, now);
  }
}

void BackendModel::FreeSlot(RunnerState& runner, base::TimePoint now) {
  --runner.working;
  if (!runner.queue.empty()) {
    const std::uint64_t next = runner.queue.front();
    runner.queue.pop_front();
    StartWork(next, now);
  }
}

BackendFault BackendModel::DrawFault(const ModelRunnerOptions& options) {
  double draw = std::uniform_real_distribution<double>(0, 1)(m_random);
  for (const auto& [fault, probability] : options.faults) {
    if (draw < probability) {
      return fault;
    }
    draw -= probability;
  }
  return BackendFault::kNone;
}

void BackendModel::RemoveCall(std::uint64_t id) {
  m_calls.erase(id);
}

}  // namespace cassiastile::standin
