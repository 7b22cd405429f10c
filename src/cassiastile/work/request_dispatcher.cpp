#include "cassiastile/work/request_dispatcher.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace cassiastile::work {

namespace {

// How long after its deadline a request still waits for a try in progress.
constexpr std::chrono::milliseconds kOverdueMargin{100};

template <typename... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

}  // namespace

RequestDispatcher::RequestDispatcher(RequestDispatcherOptions options,
                                     std::uint64_t seed)
    : m_options(std::move(options)),
      m_random(seed),
      m_queue(m_options.admission),
      m_budget(m_options.retries_per_answer, m_options.retry_burst),
      m_service_time(m_options.routing.assumed_latency) {}

RequestActions RequestDispatcher::Arrive(const RequestTicket& ticket,
                                         base::TimePoint now) {
  RequestActions actions;
  DetectPause(now);
  Refuse(m_queue.Offer(ticket, CurrentRate(), now, m_random), actions);
  UpdatePeakDemand(ticket.team);
  Dispatch(now, actions);
  return actions;
}

std::optional<NotRun> RequestDispatcher::Preview(const RequestTicket& ticket,
                                                 base::TimePoint now) {
  const ServiceRate rate = CurrentRate();
  const auto reason = m_queue.Preview(ticket, rate, now);
  if (!reason) {
    return std::nullopt;
  }
  return NotRun{*reason, m_queue.DrawRetryAfter(rate, m_random), ""};
}

RequestActions RequestDispatcher::EndTry(TryId try_id,
                                         TryResult result,
                                         base::TimePoint now) {
  RequestActions actions;
  DetectPause(now);
  const auto found = m_tries.find(try_id);
  if (found == m_tries.end()) {
    return actions;
  }
  const Try ended = std::move(found->second);
  m_tries.erase(found);
  const auto open_request = m_open_requests.find(ended.request_id);
  if (open_request != m_open_requests.end()) {
    --open_request->second.active;
  }
  std::visit(Overloaded{
                 [&](TryAnswered& answer) {
                   HandleAnswer(ended, std::move(answer), now, actions);
                 },
                 [&](TryNotSent&) { HandleNotSent(ended, now, actions); },
                 [&](TryLost& loss) { HandleLost(ended, loss, now, actions); },
             },
             result);
  Dispatch(now, actions);
  return actions;
}

RequestActions RequestDispatcher::EndProbe(const std::string& runner,
                                           bool healthy,
                                           base::TimePoint now) {
  RequestActions actions;
  if (Runner* probed = FindRunner(runner)) {
    RecordProbe(*probed, healthy, m_options.routing, now);
  }
  Dispatch(now, actions);
  return actions;
}

RequestActions RequestDispatcher::Tick(base::TimePoint now) {
  RequestActions actions;
  DetectPause(now);
  ReleaseHeldSlots(now);
  Hedge(now);
  EjectSlow(m_runners, m_options.routing, now);
  for (const std::size_t due : TakeDueProbes(m_runners, now)) {
    actions.emplace_back(
        SendProbe{m_runners[due].name, m_runners[due].address});
  }
  Dispatch(now, actions);
  FinishOverdue(now, actions);
  Refuse(m_queue.RefuseLate(CurrentRate(), now, m_random), actions);
  return actions;
}

RequestActions RequestDispatcher::SetRunners(
    const std::vector<ListedRunner>& listed,
    base::TimePoint now) {
  std::set<std::string> present;
  for (const ListedRunner& entry : listed) {
    present.insert(entry.name);
    Runner* runner = FindRunner(entry.name);
    if (runner == nullptr) {
      runner = &m_runners.emplace_back();
      runner->name = entry.name;
    } else if (runner->incarnation != entry.incarnation) {
      runner->health = RunnerHealth::kHealthy;
      runner->failures = 0;
      runner->ejections = 0;
      runner->latency = base::Duration::zero();
    }
    runner->address = entry.address;
    runner->zone = entry.zone;
    runner->incarnation = entry.incarnation;
    runner->leaving = entry.leaving;
  }
  for (Runner& runner : m_runners) {
    runner.leaving = runner.leaving || !present.contains(runner.name);
  }
  std::erase_if(m_runners, [&present](const Runner& runner) {
    return runner.in_use == 0 && runner.granted == 0 &&
           !present.contains(runner.name);
  });
  RequestActions actions;
  Dispatch(now, actions);
  return actions;
}

void RequestDispatcher::SetSlots(
    const std::map<std::string, std::uint32_t>& granted,
    base::TimePoint read_at) {
  m_paused = m_paused && read_at <= m_paused_at;
  for (Runner& runner : m_runners) {
    const auto found = granted.find(runner.name);
    runner.granted = found == granted.end() ? 0 : found->second;
  }
}

void RequestDispatcher::SetQuota(
    const std::map<std::string, TeamQuota>& quota) {
  for (const auto& [team, team_quota] : quota) {
    m_queue.SetQuota(team, team_quota);
  }
}

RequestActions RequestDispatcher::RefuseInvalidKeys(
    const std::set<std::string>& valid_keys,
    RefusalReason reason) {
  const auto has_invalid_key = [&valid_keys](const RequestTicket& ticket) {
    return !ticket.key_id.empty() && !valid_keys.contains(ticket.key_id);
  };
  RequestActions actions;
  Refuse(
      m_queue.RefuseMatching(has_invalid_key, reason, CurrentRate(), m_random),
      actions);
  return actions;
}

PeakDemand RequestDispatcher::TakeDemand() {
  PeakDemand demand = std::exchange(m_demand, PeakDemand{});
  for (const auto& [team, count] : m_queue.Counts()) {
    if (count.queued + count.running > 0) {
      UpdatePeakDemand(team);
    }
  }
  return demand;
}

Runner* RequestDispatcher::FindRunner(const std::string& name) {
  const auto found = std::find_if(
      m_runners.begin(), m_runners.end(),
      [&name](const Runner& runner) { return runner.name == name; });
  return found == m_runners.end() ? nullptr : &*found;
}

ServiceRate RequestDispatcher::CurrentRate() const {
  ServiceRate rate;
  rate.service_time = m_service_time;
  if (m_paused) {
    return rate;
  }
  for (const Runner& runner : m_runners) {
    rate.slots += IsUsable(runner) ? runner.granted : 0;
  }
  return rate;
}

bool RequestDispatcher::HasFreeSlot() const {
  return std::any_of(
      m_runners.begin(), m_runners.end(), [](const Runner& runner) {
        return IsUsable(runner) && runner.in_use < runner.granted;
      });
}

void RequestDispatcher::Dispatch(base::TimePoint now, RequestActions& actions) {
  if (m_paused) {
    return;
  }
  DispatchRetries(now, actions);
  while (HasFreeSlot()) {
    const std::optional<RequestTicket> ticket = m_queue.TakeNext();
    if (!ticket) {
      return;
    }
    OpenRequest& open_request = m_open_requests[ticket->id];
    open_request.ticket = *ticket;
    const auto runner =
        PickRunner(m_runners, open_request.tried, m_options.routing, m_random);
    Send(open_request, *runner, now, actions);
  }
}

void RequestDispatcher::DispatchRetries(base::TimePoint now,
                                        RequestActions& actions) {
  std::deque<RequestId> waiting;
  waiting.swap(m_retries);
  for (const RequestId id : waiting) {
    const auto found = m_open_requests.find(id);
    if (found == m_open_requests.end()) {
      continue;
    }
    OpenRequest& open_request = found->second;
    auto runner =
        PickRunner(m_runners, open_request.tried, m_options.routing, m_random);
    if (!runner && !HasUntriedRunner(open_request)) {
      runner = PickRunner(m_runners, {}, m_options.routing, m_random);
    }
    if (!runner || !m_queue.StartRetry(open_request.ticket.team)) {
      m_retries.push_back(id);
      continue;
    }
    open_request.waiting = false;
    Send(open_request, *runner, now, actions);
  }
}

// Whether a runner that was not tried yet may become free.
bool RequestDispatcher::HasUntriedRunner(
    const OpenRequest& open_request) const {
  return std::any_of(
      m_runners.begin(), m_runners.end(),
      [&open_request](const Runner& runner) {
        return IsUsable(runner) && runner.granted > 0 &&
               std::find(open_request.tried.begin(), open_request.tried.end(),
                         runner.name) == open_request.tried.end();
      });
}

void RequestDispatcher::Finish(OpenRequests::iterator open_request,
                               Outcome outcome,
                               RequestActions& actions) {
  actions.emplace_back(FinishRequest{std::move(open_request->second.ticket),
                                     std::move(outcome)});
  m_open_requests.erase(open_request);
}

// Ends a request that got no answer: as unknown if a try may have run,
// otherwise as not run.
void RequestDispatcher::FinishFailed(OpenRequests::iterator open_request,
                                     RequestActions& actions) {
  const OpenRequest& failed = open_request->second;
  if (failed.maybe_ran) {
    Finish(open_request, MaybeRan{failed.unknown_reason, failed.tried.back()},
           actions);
    return;
  }
  Finish(open_request,
         NotRun{RefusalReason::kUnreachable,
                m_queue.DrawRetryAfter(CurrentRate(), m_random), ""},
         actions);
}

// Ends requests whose tries got no answer by kOverdueMargin after the deadline,
// and requests waiting for a retry that can't be answered in time or have no
// runner left.
void RequestDispatcher::FinishOverdue(base::TimePoint now,
                                      RequestActions& actions) {
  for (auto next = m_open_requests.begin(); next != m_open_requests.end();) {
    const auto open_request = next++;
    OpenRequest& late = open_request->second;
    const bool in_time = late.active > 0
                             ? now < late.ticket.deadline + kOverdueMargin
                             : now + m_service_time < late.ticket.deadline &&
                                   CurrentRate().slots > 0;
    if (in_time) {
      continue;
    }
    if (late.active > 0) {
      late.maybe_ran = true;
      late.unknown_reason = UnknownReason::kTimeout;
    }
    FinishFailed(open_request, actions);
  }
}

void RequestDispatcher::UpdatePeakDemand(const std::string& team) {
  const AdmissionQueue::TeamCount count = m_queue.CountOf(team);
  std::uint32_t& most = m_demand.by_team[team];
  most = std::max(most, count.queued + count.running);
  const auto waiting = static_cast<std::uint32_t>(Queued());
  m_demand.requests = std::max(m_demand.requests, waiting + m_queue.Running());
}

void RequestDispatcher::DetectPause(base::TimePoint now) {
  const bool first = m_last_seen == base::TimePoint{};
  if (!first && now - m_last_seen > m_options.longest_pause) {
    m_paused = true;
    m_paused_at = now;
  }
  m_last_seen = std::max(m_last_seen, now);
}

void RequestDispatcher::Refuse(std::vector<Refusal> refusals,
                               RequestActions& actions) {
  for (Refusal& refusal : refusals) {
    actions.emplace_back(
        FinishRequest{std::move(refusal.ticket), std::move(refusal.not_run)});
  }
}

}  // namespace cassiastile::work
