#include "cassiastile/work/request_dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace cassiastile::work {

namespace {

// The weight of each answer in the moving average of the service time.
constexpr double kServiceTimeGain = 0.05;
constexpr int kServerError = 500;

}  // namespace

void RequestDispatcher::Send(OpenRequest& open_request,
                             std::size_t runner,
                             base::TimePoint now,
                             RequestActions& actions) {
  Runner& chosen = m_runners[runner];
  ++chosen.in_use;
  ++open_request.active;
  const bool again = !open_request.tried.empty();
  open_request.tried.push_back(chosen.name);
  Try& started = m_tries[m_next_try];
  started.request_id = open_request.ticket.id;
  started.team = open_request.ticket.team;
  started.runner = chosen.name;
  started.sent = now;
  started.stop = open_request.ticket.deadline;
  SendTry send;
  send.try_id = m_next_try++;
  send.request_id = open_request.ticket.id;
  send.runner = chosen.name;
  send.address = chosen.address;
  send.timeout = open_request.ticket.deadline - now;
  send.fresh_connection = !open_request.ticket.idempotent || again ||
                          now < chosen.fresh_connections_until;
  actions.emplace_back(std::move(send));
}

void RequestDispatcher::HandleAnswer(const Try& ended,
                                     TryAnswered answer,
                                     base::TimePoint now,
                                     RequestActions& actions) {
  const base::Duration took = now - ended.sent;
  const double cost =
      static_cast<double>(took.count()) /
      static_cast<double>(std::max<std::int64_t>(1, m_service_time.count()));
  const auto step =
      static_cast<double>((took - m_service_time).count()) * kServiceTimeGain;
  m_service_time += base::Duration(static_cast<std::int64_t>(step));
  m_budget.Earn();
  ReleaseSlot(ended.runner, ended.team, cost);
  if (answer.response.status >= kServerError) {
    RecordFailureAt(ended.runner, now);
  } else if (Runner* runner = FindRunner(ended.runner)) {
    RecordAnswer(*runner, took, now);
  }
  const auto open_request = m_open_requests.find(ended.request_id);
  if (open_request != m_open_requests.end()) {
    Finish(open_request, Answered{std::move(answer.response), ended.runner},
           actions);
  }
}

void RequestDispatcher::HandleNotSent(const Try& ended,
                                      base::TimePoint now,
                                      RequestActions& actions) {
  ReleaseSlot(ended.runner, ended.team, 0);
  RecordFailureAt(ended.runner, now);
  const auto open_request = m_open_requests.find(ended.request_id);
  if (open_request == m_open_requests.end() ||
      open_request->second.active > 0 || open_request->second.waiting) {
    return;
  }
  if (CanRetry(open_request->second, now)) {
    Retry(open_request->second);
  } else {
    FinishFailed(open_request, actions);
  }
}

void RequestDispatcher::HandleLost(const Try& ended,
                                   const TryLost& loss,
                                   base::TimePoint now,
                                   RequestActions& actions) {
  m_held_slots.push_back(
      {ended.runner, ended.team, ended.stop + m_options.stop_margin});
  RecordFailureAt(ended.runner, now);
  const auto found = m_open_requests.find(ended.request_id);
  if (found == m_open_requests.end()) {
    return;
  }
  OpenRequest& open_request = found->second;
  open_request.maybe_ran = true;
  open_request.unknown_reason = loss.reason;
  if (open_request.active > 0 || open_request.waiting) {
    return;
  }
  if (open_request.ticket.idempotent && CanRetry(open_request, now)) {
    Retry(open_request);
  } else {
    FinishFailed(found, actions);
  }
}

// Whether another try is allowed and can still succeed. Spends a retry token.
bool RequestDispatcher::CanRetry(const OpenRequest& open_request,
                                 base::TimePoint now) {
  return open_request.tried.size() < m_options.max_tries &&
         now + m_service_time < open_request.ticket.deadline &&
         m_budget.Spend();
}

void RequestDispatcher::Retry(OpenRequest& open_request) {
  open_request.waiting = true;
  m_retries.push_back(open_request.ticket.id);
}

// Handles overdue tries: connections to their runners are not reused for a
// while, runners that have answered nothing since the try was sent are ejected,
// and idempotent requests are tried once more, on another runner if there is
// one.
void RequestDispatcher::Hedge(base::TimePoint now) {
  for (auto& [id, pending] : m_tries) {
    Runner* runner = FindRunner(pending.runner);
    if (runner == nullptr || pending.overdue ||
        now - pending.sent < SilenceLimit(*runner, m_options.routing)) {
      continue;
    }
    pending.overdue = true;
    runner->fresh_connections_until = now + m_options.fresh_connection_period;
    if (runner->last_answer < pending.sent) {
      const auto index = static_cast<std::size_t>(runner - m_runners.data());
      Eject(m_runners, index, m_options.routing, now);
    }
    const auto found = m_open_requests.find(pending.request_id);
    if (found != m_open_requests.end() && found->second.ticket.idempotent &&
        !found->second.waiting && CanRetry(found->second, now)) {
      Retry(found->second);
    }
  }
}

void RequestDispatcher::ReleaseHeldSlots(base::TimePoint now) {
  std::vector<HeldSlot> still_held;
  for (HeldSlot& held : m_held_slots) {
    if (now < held.until) {
      still_held.push_back(std::move(held));
    } else {
      ReleaseSlot(held.runner, held.team, 1);
    }
  }
  m_held_slots = std::move(still_held);
}

void RequestDispatcher::ReleaseSlot(const std::string& runner,
                                    const std::string& team,
                                    double cost) {
  if (Runner* freed = FindRunner(runner)) {
    freed->in_use -= freed->in_use > 0 ? 1 : 0;
  }
  m_queue.Release(team, cost);
}

void RequestDispatcher::RecordFailureAt(const std::string& runner,
                                        base::TimePoint now) {
  if (const Runner* failed = FindRunner(runner)) {
    const auto index = static_cast<std::size_t>(failed - m_runners.data());
    RecordFailure(m_runners, index, m_options.routing, now);
  }
}

}  // namespace cassiastile::work
