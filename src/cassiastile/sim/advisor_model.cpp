#include "cassiastile/sim/advisor_model.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace cassiastile::sim {

AdvisorModel::AdvisorModel(jobs::AdviceConfig times,
                           FindIncarnation find_incarnation,
                           Policy policy)
    : m_times(times),
      m_find_incarnation(std::move(find_incarnation)),
      m_policy(std::move(policy)) {}

std::optional<base::TimePoint> AdvisorModel::Take(
    const std::string& host,
    const jobs::AdviceRequest& request,
    base::TimePoint now) {
  ++m_calls;
  std::size_t waiting = 0;
  for (auto& [caller, times] : m_handled_at) {
    while (!times.empty() && times.front() <= now) {
      times.pop_front();
    }
    // The first one is being handled.
    waiting += times.empty() ? 0 : times.size() - 1;
  }
  if (waiting >= kMaxWaiting || request.workers.size() > kMaxNamed) {
    ++m_turned_away;
    return std::nullopt;
  }
  std::deque<base::TimePoint>& own = m_handled_at[host];
  const base::TimePoint begins = own.empty() ? now : own.back();
  own.push_back(begins + m_times.decision +
                m_times.period *
                    static_cast<std::int64_t>(request.workers.size()));
  m_most_of_a_host = std::max(m_most_of_a_host, own.size());
  return own.back();
}

std::vector<std::pair<std::string, std::string>> AdvisorModel::Answer(
    const jobs::AdviceRequest& request,
    base::TimePoint now) {
  std::vector<std::pair<std::string, std::string>> allowed;
  for (const std::string& id : request.workers) {
    const auto incarnation = m_find_incarnation(id);
    if (!incarnation || !m_policy(id)) {
      continue;
    }
    const std::string ticket = fmt::format("ticket-{}", m_tickets.size());
    m_tickets[ticket] = {
        jobs::StepKey(request.job, request.occurrence, request.step),
        {id, *incarnation},
        now + m_times.validity};
    allowed.emplace_back(id, ticket);
  }
  return allowed;
}

bool AdvisorModel::IsValid(const std::string& ticket,
                           const std::string& step,
                           const jobs::WorkerId& worker,
                           base::TimePoint now) const {
  const auto found = m_tickets.find(ticket);
  return found != m_tickets.end() && found->second.step == step &&
         found->second.worker == worker && now <= found->second.until;
}

}  // namespace cassiastile::sim
