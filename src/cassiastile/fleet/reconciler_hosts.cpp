#include <utility>

#include "cassiastile/fleet/reconciler.hpp"
#include "reconciler_round.hpp"

namespace cassiastile::fleet {

// Carries out the next action of one host by a commit or a call to the machine
// service. Each operator returns false if the round must stop.
class Reconciler::ActionExecutor {
 public:
  ActionExecutor(Reconciler& reconciler,
                 Round& round,
                 const Stored<HostRecord>& host)
      : m_reconciler(reconciler), m_round(round), m_host(host) {}

  bool operator()(const NoAction& /*action*/) const { return true; }

  bool operator()(const ReportOverdue& action) const {
    m_reconciler.m_overdue_drains[m_host.record.host] = action.evidence;
    return true;
  }

  bool operator()(const BeginReboot& action) const {
    Change change =
        StartReboot(m_round.context, Pool(), m_host, Wave(), action.boots);
    if (!action.stopped_work.empty()) {
      change.decision.reasons.push_back({"cut at the drain deadline", "waves",
                                         m_round.context.document_version,
                                         action.stopped_work});
    }
    if (!m_reconciler.CommitInRound(m_round, std::move(change))) {
      return false;
    }
    return (*this)(RetryReboot{action.boots});
  }

  bool operator()(const RetryReboot& action) const {
    // A conflict means that the machine has booted since, which the next
    // observation shows. Any other error is retried in the next round.
    static_cast<void>(m_reconciler.m_dependencies.machines.Reboot(
        m_host.record.host, action.boots));
    return true;
  }

  bool operator()(const BeginProbe& /*action*/) const {
    m_reconciler.RecordRebootTime(
        m_host.record, m_round.seen[m_host.record.host].time_in_state);
    return m_reconciler.CommitInRound(
        m_round, StartProbe(m_round.context, Pool(), m_host));
  }

  bool operator()(const ReturnToService& action) const {
    m_reconciler.RecordMaintenanceTime(m_host.record);
    return m_reconciler.CommitInRound(
        m_round,
        ReturnHost(m_round.context, Pool(), m_host, Wave(), action.why));
  }

  bool operator()(const MoveToPool& /*action*/) const {
    const HostRecord& host = m_host.record;
    const Stored<PoolRecord> to =
        FindPoolRecord(m_reconciler.m_state, host.bound_for);
    const bool pool_removed =
        FindPool(m_reconciler.m_index, host.bound_for) == nullptr;
    const bool needless =
        !host.replaces.empty() && !to.record.out.contains(host.replaces);
    if (pool_removed || needless) {
      return (*this)(ReturnToService{"its move is no longer needed"});
    }
    if (!m_round.has_latest_document) {
      return true;
    }
    return m_reconciler.CommitInRound(
        m_round, MoveHost(m_round.context, Pool(), to, m_host));
  }

  bool operator()(const RemoveFromFleet& /*action*/) const {
    if (FindHost(m_reconciler.m_index, m_host.record.host) != nullptr) {
      return (*this)(ReturnToService{"the document has it again"});
    }
    return !m_round.has_latest_document ||
           m_reconciler.CommitInRound(
               m_round, RemoveHost(m_round.context, Pool(), m_host));
  }

  bool operator()(const MarkFailed& action) const {
    HostFailure failure;
    failure.evidence = action.evidence;
    failure.wave = m_reconciler.WaveForFailure(
        m_host.record, m_round.seen[m_host.record.host].time_in_state);
    if (failure.wave) {
      const config::Wave* wave = config::FindWave(
          m_reconciler.m_document->fleet, failure.wave->record.wave);
      failure.halt =
          wave != nullptr &&
          HaltsOnFailure(*wave, failure.wave->record, m_host.record.host);
    }
    return m_reconciler.CommitInRound(
        m_round, FailHost(m_round.context, Pool(), m_host, failure));
  }

 private:
  Stored<PoolRecord> Pool() const {
    return FindPoolRecord(m_reconciler.m_state, m_round.pool);
  }

  std::optional<Stored<WaveRecord>> Wave() const {
    return m_reconciler.CurrentWaveOf(m_host.record);
  }

  Reconciler& m_reconciler;
  Round& m_round;
  Stored<HostRecord> m_host;
};

bool Reconciler::AdvanceHosts(Round& round) {
  const std::vector<std::string> members = round.Members(m_state);
  for (const std::string& host : members) {
    m_overdue_drains.erase(host);
    if (!AdvanceHost(round, host)) {
      return false;
    }
  }
  return true;
}

bool Reconciler::AdvanceHost(Round& round, const std::string& host) {
  const Stored<HostRecord> stored = m_state.hosts.at(host);
  const std::optional<Stored<WaveRecord>> wave = CurrentWaveOf(stored.record);
  const bool wave_stopped =
      stored.record.reason == OutReason::kWave &&
      (!wave || wave->record.state == WaveState::kHalted ||
       wave->record.state == WaveState::kAborted);
  if (stored.record.state == HostState::kDraining && wave_stopped) {
    return UndrainFromStoppedWave(round, stored);
  }
  DrainPolicy drain = m_options.default_drain;
  if (const config::Wave* declared =
          config::FindWave(m_document->fleet, stored.record.wave)) {
    drain = {declared->drain_deadline, declared->cut_at_deadline};
  }
  const HostAction action =
      NextAction(stored.record, round.seen[host], drain, m_options.progress);
  return std::visit(ActionExecutor(*this, round, stored), action);
}

bool Reconciler::UndrainFromStoppedWave(Round& round,
                                        const Stored<HostRecord>& host) {
  return CommitInRound(
      round, ReturnHost(round.context, FindPoolRecord(m_state, round.pool),
                        host, CurrentWaveOf(host.record),
                        "given back undrained; its wave goes on no more"));
}

bool Reconciler::RegisterHosts(Round& round) {
  if (round.declared == nullptr || !round.has_latest_document) {
    return true;
  }
  std::size_t registered = 0;
  for (const config::Host& host : round.declared->hosts) {
    if (m_state.hosts.contains(host.name)) {
      continue;
    }
    if (++registered > m_options.registrations_per_round) {
      return true;
    }
    if (!CommitInRound(round, RegisterHost(round.context,
                                           FindPoolRecord(m_state, round.pool),
                                           host.name))) {
      return false;
    }
  }
  return true;
}

bool Reconciler::DrainDepartingHosts(Round& round) {
  if (!round.has_latest_document) {
    return true;
  }
  const std::vector<std::string> members = round.Members(m_state);
  for (const std::string& host : members) {
    const Stored<HostRecord> stored = m_state.hosts.at(host);
    const DeclaredHost* declared = FindHost(m_index, host);
    const bool here = declared != nullptr && declared->pool->name == round.pool;
    // A host of the spare pool stays until ReturnHostsToSparePool returns it.
    const bool from_spare = declared != nullptr && declared->pool->spare;
    if (!here && !from_spare && !DrainDepartingHost(round, stored)) {
      return false;
    }
  }
  return true;
}

bool Reconciler::DrainDepartingHost(Round& round,
                                    const Stored<HostRecord>& host) {
  const DeclaredHost* declared = FindHost(m_index, host.record.host);
  if (host.record.state == HostState::kFailed) {
    // Nothing runs on a failed host, so there is nothing to drain.
    Stored<HostRecord> departing = host;
    departing.record.bound_for =
        declared != nullptr ? declared->pool->name : "";
    const Stored<PoolRecord> from = FindPoolRecord(m_state, round.pool);
    return CommitInRound(
        round,
        declared != nullptr
            ? MoveHost(round.context, from,
                       FindPoolRecord(m_state, declared->pool->name), departing)
            : RemoveHost(round.context, from, host));
  }
  if (host.record.state != HostState::kInService) {
    return true;
  }
  DrainRequest request;
  request.reason =
      declared != nullptr ? OutReason::kMoving : OutReason::kRemoving;
  request.bound_for = declared != nullptr ? declared->pool->name : "";
  request.detail = declared != nullptr
                       ? "the document places it in " + request.bound_for
                       : "the document no longer has it";
  base::Result<Change> change = PlanDrain(round, host.record.host, request);
  return !change || CommitInRound(round, std::move(*change));
}

base::Result<Change> Reconciler::PlanDrain(const Round& round,
                                           const std::string& host,
                                           const DrainRequest& request) const {
  return StartHostDrain(
      round.context, round.declared, FindPoolRecord(m_state, round.pool),
      m_state.hosts.at(host), round.UnresponsiveHosts(m_state), request);
}

}  // namespace cassiastile::fleet
