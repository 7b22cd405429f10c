#include "cassiastile/fleet/reconciler.hpp"

#include <utility>

#include "cassiastile/fleet/budget.hpp"
#include "reconciler_round.hpp"

namespace cassiastile::fleet {

std::set<std::string> Reconciler::Round::UnresponsiveHosts(
    const FleetState& state) const {
  std::set<std::string> unresponsive;
  for (const auto& [host, observation] : seen) {
    const auto found = state.hosts.find(host);
    if (found != state.hosts.end() && found->second.record.pool == pool &&
        found->second.record.state == HostState::kInService &&
        !IsKnownUp(observation)) {
      unresponsive.insert(host);
    }
  }
  return unresponsive;
}

const std::vector<std::string>& Reconciler::Round::Members(
    const FleetState& state) const {
  if (members) {
    return *members;
  }
  members.emplace();
  for (const auto& [host, stored] : state.hosts) {
    if (stored.record.pool == pool) {
      members->push_back(host);
    }
  }
  return *members;
}

Reconciler::Reconciler(std::string name,
                       ReconcilerDependencies dependencies,
                       std::uint64_t seed,
                       ReconcilerOptions options)
    : m_name(std::move(name)),
      m_dependencies(dependencies),
      m_options(options),
      m_random(seed),
      m_reader(dependencies.table),
      m_observer(dependencies.machines,
                 dependencies.work,
                 dependencies.clock,
                 options.observe_interval) {}

base::Result<void> Reconciler::Refresh(
    std::shared_ptr<const config::AcceptedFleet> document) {
  if (m_document != document) {
    m_document = std::move(document);
    m_index = MakeFleetIndex(m_document->fleet);
  }
  return m_reader.Read(m_state);
}

void Reconciler::Tick(const std::string& pool,
                      const std::optional<platform::Precondition>& fence) {
  Round round = StartRound(pool, fence);
  const bool completed = AdvanceHosts(round) && UndrainExcessHosts(round) &&
                         RegisterHosts(round) && DrainDepartingHosts(round) &&
                         MoveFromSparePool(round) &&
                         ReturnHostsToSparePool(round) && DrainForWaves(round);
  // After a round that stopped early, the state may not match the rows.
  if (completed) {
    SetDraining(round);
  }
}

ChangeContext Reconciler::MakeContext(
    const std::string& actor,
    const std::optional<platform::Precondition>& fence) const {
  ChangeContext context;
  context.actor = actor;
  context.wall = m_dependencies.clock.WallNow();
  context.document_version = m_document->version;
  context.document_row = m_state.document_row;
  context.fence = fence;
  return context;
}

Reconciler::Round Reconciler::StartRound(
    const std::string& pool,
    const std::optional<platform::Precondition>& fence) {
  Round round;
  round.pool = pool;
  round.declared = FindPool(m_index, pool);
  round.context = MakeContext(m_name, fence);
  round.has_latest_document = m_state.document_version == m_document->version;
  for (const std::string& host : round.Members(m_state)) {
    round.seen[host] = m_observer.Observe(m_state.hosts.at(host).record);
  }
  return round;
}

base::Result<void> Reconciler::Commit(Change change) {
  const auto commit = m_dependencies.table.Apply(
      MakeTransaction(change, base::MakeId(m_random)));
  if (!commit) {
    m_reader.Invalidate();
    return tl::unexpected(commit.error());
  }
  ApplyChange(change, m_state);
  change.decision.id = base::MakeId(m_random);
  m_dependencies.decisions.Record(std::move(change.decision));
  return {};
}

bool Reconciler::CommitInRound(Round& round, Change change) {
  round.members.reset();
  for (const auto& host : change.hosts) {
    m_observer.Invalidate(host.record.host);
    round.seen.try_emplace(host.record.host);
  }
  return Commit(std::move(change)).has_value();
}

bool Reconciler::UndrainExcessHosts(Round& round) {
  const Stored<PoolRecord> pool = FindPoolRecord(m_state, round.pool);
  const BudgetCount count = CountBudget(round.declared, pool.record, {});
  if (count.Excess() == 0) {
    return true;
  }
  std::vector<UndrainCandidate> candidates;
  for (const std::string& host : round.Members(m_state)) {
    candidates.push_back(
        {host, m_state.hosts.at(host).record, round.seen[host].work});
  }
  for (const std::string& host :
       ChooseHostsToUndrain(count, std::move(candidates))) {
    const Stored<HostRecord>& stored = m_state.hosts.at(host);
    Change change = ReturnHost(
        round.context, FindPoolRecord(m_state, round.pool), stored,
        CurrentWaveOf(stored.record),
        "given back undrained; the pool is short: " + Describe(count));
    if (!CommitInRound(round, std::move(change))) {
      return false;
    }
  }
  return true;
}

void Reconciler::SetDraining(const Round& round) {
  for (const auto& [host, seen] : round.seen) {
    const auto found = m_state.hosts.find(host);
    if (found == m_state.hosts.end() ||
        found->second.record.pool != round.pool || !seen.status) {
      continue;
    }
    const HostRecord& record = found->second.record;
    const bool draining = record.state != HostState::kInService;
    if (record.state == HostState::kDraining) {
      m_dependencies.work.RequestEvacuation(host);
    }
    if (seen.status->draining != draining &&
        m_dependencies.machines.SetDraining(host, draining)) {
      m_observer.Invalidate(host);
    }
  }
}

}  // namespace cassiastile::fleet
