#include "cassiastile/work/admission.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>
#include <utility>

namespace cassiastile::work {

namespace {

using Seconds = std::chrono::duration<double>;

double SecondsOf(base::Duration duration) {
  return std::chrono::duration_cast<Seconds>(duration).count();
}

base::Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<base::Duration>(Seconds(seconds));
}

// The number of requests that can be started per second.
double StartsPerSecond(std::uint32_t slots, const ServiceRate& rate) {
  // A service time of zero would make the rate infinite.
  constexpr double kShortestSeconds = 1e-4;
  return slots / std::max(SecondsOf(rate.service_time), kShortestSeconds);
}

const TeamQuota kDefaultQuota;

}  // namespace

bool AdmissionQueue::TeamQueue::MayStart() const {
  return !quota.concurrency_limit || running < *quota.concurrency_limit;
}

AdmissionQueue::AdmissionQueue(AdmissionOptions options) : m_options(options) {}

void AdmissionQueue::SetQuota(const std::string& team, TeamQuota quota) {
  m_teams[team].quota = quota;
}

const TeamQuota& AdmissionQueue::QuotaOf(const std::string& team) const {
  const auto found = m_teams.find(team);
  return found == m_teams.end() ? kDefaultQuota : found->second.quota;
}

std::vector<Refusal> AdmissionQueue::Offer(const RequestTicket& ticket,
                                           const ServiceRate& rate,
                                           base::TimePoint now,
                                           base::Random& random) {
  TeamQueue& team = m_teams[ticket.team];
  const std::size_t ahead = ticket.urgent ? team.urgent.size() : team.Queued();
  const auto refusal_reason = FindRefusalReason(team, ahead, ticket, rate, now,
                                                m_options.admit_fraction);
  if (refusal_reason) {
    return {Refuse(ticket, *refusal_reason, rate, random)};
  }
  std::vector<Refusal> refusals;
  if (m_size >= m_options.queue_limit) {
    TeamQueue* largest = FindLargest();
    const double queued_per_weight = (static_cast<double>(team.Queued()) + 1) /
                                     std::max(1U, team.quota.weight);
    const bool may_evict =
        largest != nullptr && !largest->normal.empty() &&
        queued_per_weight < static_cast<double>(largest->Queued()) /
                                std::max(1U, largest->quota.weight);
    if (!may_evict) {
      return {Refuse(ticket, RefusalReason::kQueueFull, rate, random)};
    }
    refusals.push_back(EvictNewest(*largest, rate, random));
  }
  if (team.Queued() == 0) {
    team.virtual_time = std::max(team.virtual_time, m_virtual_time);
  }
  (ticket.urgent ? team.urgent : team.normal).push_back(ticket);
  ++m_size;
  return refusals;
}

std::optional<RefusalReason> AdmissionQueue::Preview(
    const RequestTicket& ticket,
    const ServiceRate& rate,
    base::TimePoint now) const {
  static const TeamQueue new_team;
  const auto found = m_teams.find(ticket.team);
  const TeamQueue& team = found == m_teams.end() ? new_team : found->second;
  const std::size_t ahead = ticket.urgent ? team.urgent.size() : team.Queued();
  return FindRefusalReason(team, ahead, ticket, rate, now,
                           m_options.admit_fraction);
}

std::optional<RequestTicket> AdmissionQueue::TakeNext() {
  AdvanceVirtualTime();
  TeamQueue* team = FindNext();
  if (team == nullptr) {
    return std::nullopt;
  }
  auto& queue = team->urgent.empty() ? team->normal : team->urgent;
  RequestTicket ticket = std::move(queue.front());
  queue.pop_front();
  --m_size;
  ++team->running;
  ++m_running;
  team->virtual_time += 1.0 / std::max(1U, team->quota.weight);
  return ticket;
}

bool AdmissionQueue::StartRetry(const std::string& team) {
  TeamQueue& queue = m_teams[team];
  if (!queue.MayStart()) {
    return false;
  }
  ++queue.running;
  ++m_running;
  queue.virtual_time += 1.0 / std::max(1U, queue.quota.weight);
  return true;
}

void AdmissionQueue::Release(const std::string& team, double cost) {
  // Bounds the charge for one slow try.
  constexpr double kMaxCost = 20;
  TeamQueue& queue = m_teams[team];
  --queue.running;
  --m_running;
  const double correction = std::clamp(cost, 0.0, kMaxCost) - 1;
  queue.virtual_time += correction / std::max(1U, queue.quota.weight);
}

std::vector<Refusal> AdmissionQueue::RefuseLate(const ServiceRate& rate,
                                                base::TimePoint now,
                                                base::Random& random) {
  std::vector<Refusal> refusals;
  for (auto& [name, team] : m_teams) {
    std::size_t ahead = 0;
    for (std::deque<RequestTicket>* queue : {&team.urgent, &team.normal}) {
      std::deque<RequestTicket> kept;
      for (RequestTicket& ticket : *queue) {
        const auto refusal_reason = FindRefusalReason(
            team, ahead, ticket, rate, now, m_options.keep_fraction);
        if (refusal_reason) {
          refusals.push_back(Refuse(ticket, *refusal_reason, rate, random));
          continue;
        }
        ++ahead;
        kept.push_back(std::move(ticket));
      }
      m_size -= queue->size() - kept.size();
      *queue = std::move(kept);
    }
  }
  return refusals;
}

std::vector<Refusal> AdmissionQueue::RefuseMatching(const Condition& condition,
                                                    RefusalReason reason,
                                                    const ServiceRate& rate,
                                                    base::Random& random) {
  std::vector<Refusal> refusals;
  for (auto& [name, team] : m_teams) {
    for (std::deque<RequestTicket>* queue : {&team.urgent, &team.normal}) {
      for (const RequestTicket& ticket : *queue) {
        if (condition(ticket)) {
          refusals.push_back(Refuse(ticket, reason, rate, random));
        }
      }
      m_size -= std::erase_if(*queue, condition);
    }
  }
  return refusals;
}

base::Duration AdmissionQueue::DrawRetryAfter(const ServiceRate& rate,
                                              base::Random& random) const {
  const double drain_seconds = static_cast<double>(m_size) /
                               std::max(1.0, StartsPerSecond(rate.slots, rate));
  const double least = SecondsOf(m_options.min_retry_after);
  const double most = SecondsOf(m_options.max_retry_after);
  const double window = std::clamp(2 * drain_seconds, 2 * least, most - least);
  std::uniform_real_distribution<double> draw(0, window);
  return FromSeconds(least + draw(random));
}

std::map<std::string, AdmissionQueue::TeamCount> AdmissionQueue::Counts()
    const {
  std::map<std::string, TeamCount> counts;
  for (const auto& [name, team] : m_teams) {
    counts[name] = {static_cast<std::uint32_t>(team.Queued()), team.running};
  }
  return counts;
}

AdmissionQueue::TeamCount AdmissionQueue::CountOf(
    const std::string& team) const {
  const auto found = m_teams.find(team);
  if (found == m_teams.end()) {
    return {};
  }
  return {static_cast<std::uint32_t>(found->second.Queued()),
          found->second.running};
}

// Advances the queue's virtual time to that of the waiting team furthest
// behind.
void AdmissionQueue::AdvanceVirtualTime() {
  double least = std::numeric_limits<double>::infinity();
  for (const auto& [name, team] : m_teams) {
    if (team.Queued() > 0 && team.MayStart()) {
      least = std::min(least, team.virtual_time);
    }
  }
  if (std::isfinite(least)) {
    m_virtual_time = std::max(m_virtual_time, least);
  }
}

// Teams with urgent requests go first while they are not too far ahead of their
// share; otherwise the team furthest behind its share is next.
AdmissionQueue::TeamQueue* AdmissionQueue::FindNext() {
  TeamQueue* next = nullptr;
  bool next_urgent = false;
  for (auto& [name, team] : m_teams) {
    if (team.Queued() == 0 || !team.MayStart()) {
      continue;
    }
    const double lead =
        (team.virtual_time - m_virtual_time) * std::max(1U, team.quota.weight);
    const bool urgent = !team.urgent.empty() && lead < m_options.urgent_lead;
    const bool better =
        next == nullptr || (urgent && !next_urgent) ||
        (urgent == next_urgent && team.virtual_time < next->virtual_time);
    if (better) {
      next = &team;
      next_urgent = urgent;
    }
  }
  return next;
}

// The team with the most queued per weight; null when nothing is queued.
AdmissionQueue::TeamQueue* AdmissionQueue::FindLargest() {
  TeamQueue* largest = nullptr;
  double most_per_weight = 0;
  for (auto& [name, team] : m_teams) {
    const double queued_per_weight =
        static_cast<double>(team.Queued()) / std::max(1U, team.quota.weight);
    if (queued_per_weight > most_per_weight) {
      largest = &team;
      most_per_weight = queued_per_weight;
    }
  }
  return largest;
}

// Expected seconds until a request starts that has `ahead` requests of its own
// team before it, given that the other teams are served by weight.
double AdmissionQueue::ExpectedWait(const TeamQueue& team,
                                    std::size_t ahead,
                                    const ServiceRate& rate) const {
  const double own = static_cast<double>(ahead);
  const double rounds = (own + 1) / std::max(1U, team.quota.weight);
  double before = own;
  for (const auto& [name, other] : m_teams) {
    if (&other != &team && other.MayStart()) {
      before += std::min(static_cast<double>(other.Queued()),
                         rounds * other.quota.weight);
    }
  }
  double wait = before / StartsPerSecond(rate.slots, rate);
  if (team.quota.concurrency_limit && !team.MayStart()) {
    wait = std::max(
        wait, (own + 1) / StartsPerSecond(*team.quota.concurrency_limit, rate));
  }
  return wait;
}

std::optional<RefusalReason> AdmissionQueue::FindRefusalReason(
    const TeamQueue& team,
    std::size_t ahead,
    const RequestTicket& ticket,
    const ServiceRate& rate,
    base::TimePoint now,
    double wait_fraction) const {
  if (now >= ticket.deadline) {
    return RefusalReason::kWaitTooLong;
  }
  const bool within_max_wait =
      now - ticket.arrived < m_options.max_wait_without_slots;
  if (rate.slots == 0) {
    return within_max_wait ? std::nullopt
                           : std::optional(RefusalReason::kNoRunner);
  }
  if (team.quota.concurrency_limit && *team.quota.concurrency_limit == 0) {
    return within_max_wait ? std::nullopt
                           : std::optional(RefusalReason::kTeamLimit);
  }
  const double left =
      SecondsOf(ticket.deadline - now - rate.service_time) * wait_fraction;
  if (ExpectedWait(team, ahead, rate) <= left) {
    return std::nullopt;
  }
  const bool at_limit = team.quota.concurrency_limit && !team.MayStart();
  return at_limit ? RefusalReason::kTeamLimit : RefusalReason::kWaitTooLong;
}

Refusal AdmissionQueue::Refuse(const RequestTicket& ticket,
                               RefusalReason reason,
                               const ServiceRate& rate,
                               base::Random& random) const {
  return {ticket, NotRun{reason, DrawRetryAfter(rate, random), ""}};
}

Refusal AdmissionQueue::EvictNewest(TeamQueue& team,
                                    const ServiceRate& rate,
                                    base::Random& random) {
  const RequestTicket ticket = std::move(team.normal.back());
  team.normal.pop_back();
  --m_size;
  return Refuse(ticket, RefusalReason::kQueueFull, rate, random);
}

RetryBudget::RetryBudget(double tokens_per_answer, double max_tokens)
    : m_tokens_per_answer(tokens_per_answer),
      m_max_tokens(max_tokens),
      m_tokens(max_tokens) {}

void RetryBudget::Earn() {
  m_tokens = std::min(m_max_tokens, m_tokens + m_tokens_per_answer);
}

bool RetryBudget::Spend() {
  if (!HasToken()) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

}  // namespace cassiastile::work
