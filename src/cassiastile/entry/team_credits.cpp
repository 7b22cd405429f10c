#include "cassiastile/entry/team_credits.hpp"

#include <algorithm>
#include <set>

namespace cassiastile::entry {

namespace {

std::uint32_t WeightOf(const config::Fleet& fleet, const std::string& team) {
  const config::Share* share = config::FindShare(fleet, team);
  // A weight of zero, which the fleet reader rejects, counts as one.
  return share == nullptr ? 1 : std::max(1U, share->weight);
}

// How many credits to request for a team's peak demand at one service, so that
// it is still met while it grows. None without a demand.
std::uint32_t WithTeamHeadroom(std::uint32_t peak) {
  constexpr std::uint32_t kHeadroomDivisor = 4;
  return peak == 0 ? 0 : peak + peak / kHeadroomDivisor + 1;
}

}  // namespace

TeamCredits::TeamCredits(const config::FleetSource& source,
                         ShardLister list_shards)
    : m_source(source), m_list_shards(std::move(list_shards)) {}

CreditNeeds TeamCredits::Needs(const work::LedgerRow&, base::TimePoint now) {
  const auto accepted = m_source.Current();
  CreditNeeds needs;
  if (!accepted) {
    return needs;
  }
  const std::lock_guard lock(m_mutex);
  m_demands.clear();
  for (const auto& [service, shard] : m_list_shards()) {
    for (const auto& [team, demand] : shard->TeamDemand(now)) {
      m_demands[team][service] = demand;
    }
  }
  for (const config::Limit& limit : accepted->fleet.limits) {
    CreditNeed& need = needs[limit.team];
    need.capacity = limit.requests;
    need.in_use = m_running[limit.team];
    for (const auto& [service, demand] : m_demands[limit.team]) {
      need.wanted += WithTeamHeadroom(demand);
    }
  }
  return needs;
}

Grants TeamCredits::ApplyGrants(const Grants& grants, base::TimePoint) {
  const std::lock_guard lock(m_mutex);
  m_granted = grants;
  return ApplyGrantsLocked(grants);
}

void TeamCredits::Refresh() {
  const std::lock_guard lock(m_mutex);
  ApplyGrantsLocked(m_granted);
}

Grants TeamCredits::ApplyGrantsLocked(const Grants& grants) {
  const auto accepted = m_source.Current();
  Grants in_use_bounds;
  if (!accepted) {
    return in_use_bounds;
  }
  std::set<std::string> limited;
  for (const config::Limit& limit : accepted->fleet.limits) {
    limited.insert(limit.team);
    const auto found = grants.find(limit.team);
    const std::uint32_t granted = found == grants.end() ? 0 : found->second;
    in_use_bounds[limit.team] = SplitAmongServicesLocked(
        limit.team, WeightOf(accepted->fleet, limit.team), granted);
  }
  for (const config::Team& team : accepted->fleet.teams) {
    if (limited.contains(team.name)) {
      continue;
    }
    const work::TeamQuota quota{WeightOf(accepted->fleet, team.name), {}};
    for (const auto& [service, shard] : m_list_shards()) {
      shard->UpdateQuota(team.name, [&quota](std::uint32_t) { return quota; });
    }
  }
  return in_use_bounds;
}

// Sets how many requests of the team each service may run and returns the sum.
// The second round gives services what others released in the first.
std::uint32_t TeamCredits::SplitAmongServicesLocked(const std::string& team,
                                                    std::uint32_t weight,
                                                    std::uint32_t granted) {
  constexpr int kRounds = 2;
  work::Ledger& split = m_split[team];
  split.capacity = granted;
  for (int round = 0; round < kRounds; ++round) {
    m_running[team] = 0;
    for (const auto& [service, shard] : m_list_shards()) {
      const auto demand = m_demands[team].find(service);
      const std::uint32_t wanted = demand == m_demands[team].end()
                                       ? 0
                                       : WithTeamHeadroom(demand->second);
      shard->UpdateQuota(team, [&, &name = service](std::uint32_t running) {
        m_running[team] += running;
        split = work::Rebalance(split, name, running, wanted);
        const auto holding = split.holdings.find(name);
        return work::TeamQuota{weight, holding == split.holdings.end()
                                           ? 0
                                           : holding->second.granted};
      });
    }
  }
  return work::TotalGranted(split);
}

}  // namespace cassiastile::entry
