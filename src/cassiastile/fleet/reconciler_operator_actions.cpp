#include <utility>

#include "cassiastile/fleet/reconciler.hpp"
#include "reconciler_round.hpp"

namespace cassiastile::fleet {

base::Result<void> Reconciler::CheckDocumentIsLatest() const {
  if (m_state.document_version != m_document->version) {
    return base::Fail(
        base::ErrorCode::kConflict,
        "A newer document has been accepted than the one in force on this "
        "control host.");
  }
  return {};
}

base::Result<void> Reconciler::DrainHost(const std::string& host,
                                         const std::string& actor,
                                         const AuditAddition& audit) {
  const auto found = m_state.hosts.find(host);
  if (found == m_state.hosts.end()) {
    return base::Fail(base::ErrorCode::kNotFound, "No such host: " + host);
  }
  base::Result<void> current = CheckDocumentIsLatest();
  if (!current) {
    return current;
  }
  Round round = StartRound(found->second.record.pool, std::nullopt);
  round.context.actor = actor;
  DrainRequest request;
  request.reason = OutReason::kOperator;
  request.detail = "drained by " + actor;
  base::Result<Change> change = PlanDrain(round, host, request);
  if (!change) {
    return tl::unexpected(change.error());
  }
  return CommitWithAudit(std::move(*change), audit);
}

base::Result<void> Reconciler::UndrainHost(const std::string& host,
                                           const std::string& actor,
                                           const AuditAddition& audit) {
  const auto found = m_state.hosts.find(host);
  if (found == m_state.hosts.end()) {
    return base::Fail(base::ErrorCode::kNotFound, "No such host: " + host);
  }
  const Stored<HostRecord>& stored = found->second;
  if (stored.record.state != HostState::kDraining) {
    return base::Fail(base::ErrorCode::kConflict,
                      "The host " + host + " is " +
                          std::string(NameOf(stored.record.state)) +
                          "; only a draining host can be returned to service.");
  }
  return CommitWithAudit(
      ReturnHost(MakeContext(actor, std::nullopt),
                 FindPoolRecord(m_state, stored.record.pool), stored,
                 CurrentWaveOf(stored.record), "returned by " + actor),
      audit);
}

base::Result<void> Reconciler::ApplyWaveAction(const std::string& wave,
                                               const std::string& actor,
                                               WaveAction action,
                                               const AuditAddition& audit) {
  if (config::FindWave(m_document->fleet, wave) == nullptr) {
    return base::Fail(base::ErrorCode::kNotFound, "No such wave: " + wave);
  }
  base::Result<Change> change = TransitionWave(
      MakeContext(actor, std::nullopt), FindWaveRecord(m_state, wave), action);
  if (!change) {
    return tl::unexpected(change.error());
  }
  return CommitWithAudit(std::move(*change), audit);
}

base::Result<void> Reconciler::CommitWithAudit(Change change,
                                               const AuditAddition& audit) {
  change.preconditions.insert(change.preconditions.end(),
                              audit.preconditions.begin(),
                              audit.preconditions.end());
  change.other_writes = audit.writes;
  return Commit(std::move(change));
}

}  // namespace cassiastile::fleet
