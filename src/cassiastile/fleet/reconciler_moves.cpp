#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "cassiastile/fleet/reconciler.hpp"
#include "reconciler_round.hpp"

namespace cassiastile::fleet {

namespace {

// Counts the spare pool's hosts that are moving to a pool because of its
// demand. Replacements of failed hosts don't count.
std::int32_t CountSpareHostsMovingIn(const FleetState& state,
                                     const FleetIndex& index,
                                     const std::string& pool) {
  return static_cast<std::int32_t>(std::count_if(
      state.hosts.begin(), state.hosts.end(), [&](const auto& entry) {
        const HostRecord& host = entry.second.record;
        const DeclaredHost* declared = FindHost(index, entry.first);
        const bool bound = host.pool != pool && host.bound_for == pool &&
                           host.replaces.empty();
        return declared != nullptr && declared->pool->spare && bound;
      }));
}

std::int32_t CountLeaving(const FleetState& state, const std::string& pool) {
  return static_cast<std::int32_t>(std::count_if(
      state.hosts.begin(), state.hosts.end(), [&](const auto& entry) {
        return entry.second.record.pool == pool &&
               entry.second.record.reason == OutReason::kMoving;
      }));
}

std::uint32_t CountMembers(const FleetState& state, const std::string& pool) {
  return static_cast<std::uint32_t>(std::count_if(
      state.hosts.begin(), state.hosts.end(),
      [&](const auto& entry) { return entry.second.record.pool == pool; }));
}

}  // namespace

base::Duration Reconciler::TimeFailed(const std::string& host,
                                      std::uint64_t version) {
  const base::TimePoint now = m_dependencies.clock.Now();
  const auto [found, added] =
      m_failed_since.try_emplace(host, FailedSince{version, now});
  if (found->second.version != version) {
    found->second = {version, now};
  }
  return now - found->second.time;
}

bool Reconciler::IsDueForReplacement(const Stored<HostRecord>& host) {
  // The wait for a host that did not come back from its reboot is already over.
  return host.record.boots.has_value() ||
         TimeFailed(host.record.host, host.version) >= m_options.replace_after;
}

std::set<std::string> Reconciler::HostsToReplace(const config::Pool& pool) {
  std::set<std::string> needed;
  const PoolRecord record = FindPoolRecord(m_state, pool.name).record;
  for (const auto& [host, entry] : record.out) {
    const auto found = m_state.hosts.find(host);
    if (entry.reason == OutReason::kFailed && entry.replaced_by.empty() &&
        found != m_state.hosts.end() &&
        found->second.record.state == HostState::kFailed &&
        IsDueForReplacement(found->second)) {
      needed.insert(host);
    }
  }
  for (const auto& [host, stored] : m_state.hosts) {
    if (stored.record.bound_for == pool.name) {
      needed.erase(stored.record.replaces);
    }
  }
  return needed;
}

std::int32_t Reconciler::DemandDrivenSizeChange(const std::string& pool) {
  if (m_dependencies.demand == nullptr) {
    return 0;
  }
  const std::optional<double> demand = m_dependencies.demand->Demand(pool);
  if (!demand) {
    return 0;
  }
  DemandHistory& history = m_demand[pool];
  history = AddDemand(std::move(history), *demand, m_dependencies.clock.Now(),
                      m_options.demand);
  return PoolSizeChange(history, CountMembers(m_state, pool), m_options.demand);
}

bool Reconciler::MoveFromSparePool(Round& round) {
  if (round.declared == nullptr || !round.declared->spare ||
      !round.has_latest_document) {
    return true;
  }
  for (const config::Pool& pool : m_document->fleet.pools) {
    if (!pool.spare && !MoveSpareHostsTo(round, pool)) {
      return false;
    }
  }
  return true;
}

bool Reconciler::MoveSpareHostsTo(Round& round, const config::Pool& pool) {
  for (const std::string& failed : HostsToReplace(pool)) {
    DrainRequest request;
    request.reason = OutReason::kMoving;
    request.bound_for = pool.name;
    request.replaces = failed;
    request.detail = fmt::format("stands in for {} in {}", failed, pool.name);
    if (!MoveSpareHost(round, request)) {
      return false;
    }
  }
  const std::int32_t size_change = DemandDrivenSizeChange(pool.name);
  const std::int32_t moving_in =
      CountSpareHostsMovingIn(m_state, m_index, pool.name);
  for (std::int32_t i = moving_in; i < size_change; ++i) {
    DrainRequest request;
    request.reason = OutReason::kMoving;
    request.bound_for = pool.name;
    request.detail =
        fmt::format("the demand on {} has grown to stay", pool.name);
    if (!MoveSpareHost(round, request)) {
      return false;
    }
  }
  return true;
}

bool Reconciler::MoveSpareHost(Round& round, const DrainRequest& request) {
  const std::vector<std::string> members = round.Members(m_state);
  for (const std::string& host : members) {
    if (m_state.hosts.at(host).record.state != HostState::kInService ||
        !IsKnownUp(round.seen[host])) {
      continue;
    }
    base::Result<Change> change = PlanDrain(round, host, request);
    return !change || CommitInRound(round, std::move(*change));
  }
  return true;
}

bool Reconciler::ReturnHostsToSparePool(Round& round) {
  if (round.declared == nullptr || round.declared->spare ||
      !round.has_latest_document) {
    return true;
  }
  const std::int32_t size_change = DemandDrivenSizeChange(round.pool);
  const bool measured = m_dependencies.demand != nullptr &&
                        m_dependencies.demand->Demand(round.pool).has_value();
  const auto size =
      static_cast<std::int32_t>(CountMembers(m_state, round.pool));
  std::int32_t surplus = measured ? -size_change : size;
  surplus -= CountLeaving(m_state, round.pool);
  const PoolRecord record = FindPoolRecord(m_state, round.pool).record;
  const std::vector<std::string> members = round.Members(m_state);
  for (const std::string& host : members) {
    const HostRecord& stored = m_state.hosts.at(host).record;
    const DeclaredHost* declared = FindHost(m_index, host);
    const bool from_spare = declared != nullptr && declared->pool->spare &&
                            stored.state == HostState::kInService;
    const bool still_replacing = record.out.contains(stored.replaces);
    const bool replacement_over = !stored.replaces.empty() && !still_replacing;
    if (!from_spare || still_replacing || (!replacement_over && surplus <= 0)) {
      continue;
    }
    surplus -= replacement_over ? 0 : 1;
    DrainRequest request;
    request.reason = OutReason::kMoving;
    request.bound_for = declared->pool->name;
    request.detail = "no longer needed here; it goes back to the spare";
    base::Result<Change> change = PlanDrain(round, host, request);
    if (change && !CommitInRound(round, std::move(*change))) {
      return false;
    }
  }
  return true;
}

}  // namespace cassiastile::fleet
