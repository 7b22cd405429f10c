#include "cassiastile/entry/service_shard.hpp"

#include <utility>

namespace cassiastile::entry {

ServiceShard::ServiceShard(ServiceShardOptions options,
                           ServiceShardHooks hooks,
                           std::uint64_t seed)
    : m_options(std::move(options)),
      m_hooks(std::move(hooks)),
      m_dispatcher(m_options.dispatcher, seed),
      m_peak(m_options.demand_window) {}

void ServiceShard::Arrive(const work::RequestTicket& ticket,
                          base::TimePoint now) {
  work::RequestActions actions;
  {
    const std::lock_guard lock(m_mutex);
    actions = m_dispatcher.Arrive(ticket, now);
  }
  CarryOut(std::move(actions));
}

std::optional<work::NotRun> ServiceShard::Preview(
    const work::RequestTicket& ticket,
    base::TimePoint now) {
  const std::lock_guard lock(m_mutex);
  return m_dispatcher.Preview(ticket, now);
}

void ServiceShard::EndTry(work::TryId try_id,
                          work::TryResult result,
                          base::TimePoint now) {
  work::RequestActions actions;
  {
    const std::lock_guard lock(m_mutex);
    actions = m_dispatcher.EndTry(try_id, std::move(result), now);
  }
  CarryOut(std::move(actions));
}

void ServiceShard::EndProbe(const std::string& runner,
                            bool healthy,
                            base::TimePoint now) {
  work::RequestActions actions;
  {
    const std::lock_guard lock(m_mutex);
    actions = m_dispatcher.EndProbe(runner, healthy, now);
  }
  CarryOut(std::move(actions));
}

void ServiceShard::Tick(base::TimePoint now) {
  work::RequestActions actions;
  {
    const std::lock_guard lock(m_mutex);
    actions = m_dispatcher.Tick(now);
  }
  CarryOut(std::move(actions));
}

void ServiceShard::SetRunners(const std::vector<work::ListedRunner>& listed,
                              base::TimePoint now) {
  work::RequestActions actions;
  {
    const std::lock_guard lock(m_mutex);
    actions = m_dispatcher.SetRunners(listed, now);
  }
  CarryOut(std::move(actions));
}

void ServiceShard::SetSlotsPerRunner(std::uint32_t slots) {
  const std::lock_guard lock(m_mutex);
  m_options.slots_per_runner = slots;
}

void ServiceShard::RefuseInvalidKeys(const std::set<std::string>& valid_keys,
                                     work::RefusalReason reason) {
  work::RequestActions actions;
  {
    const std::lock_guard lock(m_mutex);
    actions = m_dispatcher.RefuseInvalidKeys(valid_keys, reason);
  }
  CarryOut(std::move(actions));
}

CreditNeeds ServiceShard::Needs(const work::LedgerRow& row,
                                base::TimePoint now) {
  const std::lock_guard lock(m_mutex);
  NoteDemand(now);
  return SplitSlots(m_dispatcher.AllRunners(),
                    m_options.dispatcher.routing.zone,
                    m_options.slots_per_runner, WithHeadroom(m_peak.Peak()),
                    row, m_options.holder);
}

Grants ServiceShard::ApplyGrants(const Grants& grants, base::TimePoint now) {
  const std::lock_guard lock(m_mutex);
  m_dispatcher.SetSlots(grants, now);
  Grants in_use;
  for (const work::Runner& runner : m_dispatcher.AllRunners()) {
    in_use[runner.name] = runner.in_use;
  }
  return in_use;
}

bool ServiceShard::HasWaitingRequests() const {
  const std::lock_guard lock(m_mutex);
  return m_dispatcher.Queued() > 0;
}

std::map<std::string, std::uint32_t> ServiceShard::TeamDemand(
    base::TimePoint now) {
  const std::lock_guard lock(m_mutex);
  NoteDemand(now);
  std::map<std::string, std::uint32_t> demand;
  for (const auto& [team, peak] : m_team_peaks) {
    demand[team] = peak.Peak();
  }
  return demand;
}

void ServiceShard::UpdateQuota(const std::string& team,
                               const QuotaDecision& decide) {
  const std::lock_guard lock(m_mutex);
  const std::uint32_t running = m_dispatcher.TeamRunning(team);
  m_dispatcher.SetQuota({{team, decide(running)}});
}

ServiceShard::Stats ServiceShard::ReadStats() const {
  const std::lock_guard lock(m_mutex);
  Stats stats;
  stats.waiting = m_dispatcher.Queued();
  stats.unfinished = m_dispatcher.Unfinished();
  for (const work::Runner& runner : m_dispatcher.AllRunners()) {
    stats.slots += runner.granted;
    stats.in_use += runner.in_use;
    stats.ejected += runner.health == work::RunnerHealth::kHealthy ? 0 : 1;
  }
  return stats;
}

void ServiceShard::CarryOut(work::RequestActions actions) {
  for (work::RequestAction& action : actions) {
    if (const auto* send = std::get_if<work::SendTry>(&action)) {
      m_hooks.send(*send);
    } else if (const auto* probe = std::get_if<work::SendProbe>(&action)) {
      m_hooks.probe(*probe);
    } else {
      m_hooks.finish(std::move(std::get<work::FinishRequest>(action)));
    }
  }
}

void ServiceShard::NoteDemand(base::TimePoint now) {
  const work::PeakDemand demand = m_dispatcher.TakeDemand();
  m_peak.Add(demand.requests, now);
  for (const auto& [team, wanted] : demand.by_team) {
    m_team_peaks.try_emplace(team, PeakWindow(m_options.demand_window));
  }
  for (auto& [team, peak] : m_team_peaks) {
    const auto found = demand.by_team.find(team);
    peak.Add(found == demand.by_team.end() ? 0 : found->second, now);
  }
}

}  // namespace cassiastile::entry
