#include "cassiastile/fleet/change.hpp"

#include <utility>

#include "cassiastile/fleet/budget.hpp"

namespace cassiastile::fleet {

namespace {

// The pool's row after a change to one of its hosts.
Stored<PoolRecord> NextPool(const ChangeContext& context,
                            Stored<PoolRecord> pool,
                            const std::string& host) {
  ++pool.record.epoch;
  pool.record.last_host = host;
  pool.record.document_version = context.document_version;
  return pool;
}

Stored<HostRecord> NextHost(const ChangeContext& context,
                            Stored<HostRecord> host,
                            HostState state,
                            std::string detail) {
  host.record.state = state;
  host.record.detail = std::move(detail);
  host.record.since_ms = WallMilliseconds(context.wall);
  return host;
}

// Puts a host in service and clears the fields about its time out of service.
Stored<HostRecord> NextInService(const ChangeContext& context,
                                 Stored<HostRecord> host,
                                 std::string detail) {
  host.record.reason.reset();
  host.record.wave.clear();
  host.record.wave_run = 0;
  host.record.bound_for.clear();
  host.record.boots.reset();
  return NextHost(context, std::move(host), HostState::kInService,
                  std::move(detail));
}

Change StartChange(const ChangeContext& context,
                   const std::string& host,
                   std::string_view outcome) {
  Change change;
  if (context.fence) {
    change.preconditions.push_back(*context.fence);
  }
  change.decision.kind = base::DecisionKind::kChange;
  change.decision.subject = "host " + host;
  change.decision.outcome = outcome;
  change.decision.at = context.wall;
  return change;
}

void AddReason(Change& change,
               const ChangeContext& context,
               std::string rule,
               std::string section,
               std::string observation) {
  change.decision.reasons.push_back({std::move(rule), std::move(section),
                                     context.document_version,
                                     std::move(observation)});
}

// Makes the drain depend on the version of the wave's row or, for a canary,
// write that row.
void AddWave(Change& change,
             const DrainRequest& request,
             const std::string& host) {
  if (!request.wave) {
    return;
  }
  if (!request.canary) {
    change.preconditions.push_back(
        {WaveKey(request.wave->record.wave), request.wave->version});
    return;
  }
  Stored<WaveRecord> wave = *request.wave;
  wave.record.canary = host;
  change.waves.push_back(std::move(wave));
}

void ReleaseCanary(Change& change,
                   const std::optional<Stored<WaveRecord>>& wave,
                   const std::string& host,
                   bool done) {
  if (!wave || wave->record.canary != host) {
    return;
  }
  Stored<WaveRecord> next = *wave;
  next.record.canary.clear();
  next.record.canaries_done += done ? 1 : 0;
  change.waves.push_back(std::move(next));
}

// Whether the host has been through the reboot that its wave requested.
bool WasRebootedByWave(const HostRecord& host) {
  return !host.wave.empty() && host.boots.has_value();
}

}  // namespace

base::Result<Change> StartHostDrain(const ChangeContext& context,
                                    const config::Pool* pool,
                                    const Stored<PoolRecord>& pool_record,
                                    const Stored<HostRecord>& host,
                                    const std::set<std::string>& unresponsive,
                                    const DrainRequest& request) {
  const std::string& name = host.record.host;
  if (host.record.pool != pool_record.record.pool ||
      host.record.state != HostState::kInService) {
    return base::Fail(base::ErrorCode::kConflict,
                      "The host " + name + " is not in service.");
  }
  const BudgetCount count = CountBudget(pool, pool_record.record, unresponsive);
  // Counts with the host already out: draining a replacement makes the failed
  // host that it replaces count against the budget again.
  PoolRecord after = pool_record.record;
  after.out[name] = {request.reason, {}};
  if (CountBudget(pool, after, unresponsive).Excess() > 0) {
    return base::Fail(base::ErrorCode::kOverloaded,
                      "The budget of the pool " + host.record.pool +
                          " does not allow another host out of service: " +
                          Describe(count) + ".");
  }
  Change change = StartChange(context, name, "draining");
  change.preconditions.push_back(context.document_row);
  change.preconditions.insert(change.preconditions.end(),
                              request.rack_rows.begin(),
                              request.rack_rows.end());
  AddReason(change, context, "budget", "pools", Describe(count));
  AddReason(change, context, std::string(NameOf(request.reason)), "waves",
            request.detail);
  Stored<PoolRecord> next_pool = NextPool(context, pool_record, name);
  next_pool.record.out[name] = {request.reason, {}};
  Stored<HostRecord> next =
      NextHost(context, host, HostState::kDraining, request.detail);
  next.record.reason = request.reason;
  next.record.bound_for = request.bound_for;
  next.record.replaces = request.replaces;
  next.record.wave = request.wave ? request.wave->record.wave : "";
  next.record.wave_run = request.wave ? request.wave->record.run : 0;
  AddWave(change, request, name);
  change.pools.push_back(std::move(next_pool));
  change.hosts.push_back(std::move(next));
  return change;
}

Change RegisterHost(const ChangeContext& context,
                    const Stored<PoolRecord>& pool_record,
                    const std::string& host) {
  Change change = StartChange(context, host, "in service");
  change.preconditions.push_back(context.document_row);
  AddReason(change, context, "pool membership", "pools",
            "the document places it in " + pool_record.record.pool);
  Stored<HostRecord> stored;
  stored.record.host = host;
  stored.record.pool = pool_record.record.pool;
  stored.record.epoch = 1;
  change.hosts.push_back(
      NextInService(context, std::move(stored), "added by the document"));
  change.pools.push_back(NextPool(context, pool_record, host));
  return change;
}

Change FailHost(const ChangeContext& context,
                const Stored<PoolRecord>& pool_record,
                const Stored<HostRecord>& host,
                const HostFailure& failure) {
  const std::string& name = host.record.host;
  Change change = StartChange(context, name, "failed");
  AddReason(change, context, "failure", "", failure.evidence);
  Stored<PoolRecord> next_pool = NextPool(context, pool_record, name);
  next_pool.record.out[name].reason = OutReason::kFailed;
  Stored<HostRecord> next =
      NextHost(context, host, HostState::kFailed, failure.evidence);
  next.record.reason = OutReason::kFailed;
  next.record.bound_for.clear();
  if (!next.record.boots) {
    next.record.wave.clear();
  }
  if (failure.wave) {
    Stored<WaveRecord> wave = *failure.wave;
    wave.record.failures.push_back({name, failure.evidence});
    if (wave.record.canary == name) {
      wave.record.canary.clear();
    }
    if (failure.halt) {
      wave.record.state = WaveState::kHalted;
      wave.record.detail = "halted by failures; the last is " + name;
      wave.record.changed_by = context.actor;
      wave.record.since_ms = WallMilliseconds(context.wall);
      AddReason(change, context, "halt rule", "waves", wave.record.detail);
    }
    change.waves.push_back(std::move(wave));
  }
  change.pools.push_back(std::move(next_pool));
  change.hosts.push_back(std::move(next));
  return change;
}

Change StartReboot(const ChangeContext& context,
                   const Stored<PoolRecord>& pool_record,
                   const Stored<HostRecord>& host,
                   const std::optional<Stored<WaveRecord>>& wave,
                   std::uint64_t boots) {
  Change change = StartChange(context, host.record.host, "rebooting");
  AddReason(change, context, "drained", "waves", host.record.detail);
  if (wave) {
    change.preconditions.push_back({WaveKey(wave->record.wave), wave->version});
  }
  Stored<HostRecord> next = NextHost(context, host, HostState::kRebooting,
                                     "drained; the reboot is asked for");
  next.record.boots = boots;
  change.hosts.push_back(std::move(next));
  change.pools.push_back(NextPool(context, pool_record, host.record.host));
  return change;
}

Change StartProbe(const ChangeContext& context,
                  const Stored<PoolRecord>& pool_record,
                  const Stored<HostRecord>& host) {
  Change change = StartChange(context, host.record.host, "probing");
  AddReason(change, context, "probe", "", "the machine is up");
  change.hosts.push_back(
      NextHost(context, host, HostState::kProbing, "up again; being probed"));
  change.pools.push_back(NextPool(context, pool_record, host.record.host));
  return change;
}

Change ReturnHost(const ChangeContext& context,
                  const Stored<PoolRecord>& pool_record,
                  const Stored<HostRecord>& host,
                  const std::optional<Stored<WaveRecord>>& wave,
                  std::string detail) {
  const std::string& name = host.record.host;
  Change change = StartChange(context, name, "in service");
  AddReason(change, context, "return", "", detail);
  Stored<PoolRecord> next_pool = NextPool(context, pool_record, name);
  next_pool.record.out.erase(name);
  const bool maintained = WasRebootedByWave(host.record);
  Stored<HostRecord> next = NextInService(context, host, std::move(detail));
  if (maintained) {
    next.record.done_wave = host.record.wave;
    next.record.done_run = host.record.wave_run;
  }
  ReleaseCanary(change, wave, name, maintained);
  change.pools.push_back(std::move(next_pool));
  change.hosts.push_back(std::move(next));
  return change;
}

Change MoveHost(const ChangeContext& context,
                const Stored<PoolRecord>& from,
                const Stored<PoolRecord>& to,
                const Stored<HostRecord>& host) {
  const std::string& name = host.record.host;
  const bool failed = host.record.state == HostState::kFailed;
  Change change = StartChange(context, name, "moved to " + to.record.pool);
  change.preconditions.push_back(context.document_row);
  AddReason(change, context, "move", "pools", host.record.detail);
  Stored<PoolRecord> next_from = NextPool(context, from, name);
  next_from.record.out.erase(name);
  for (auto& [other, entry] : next_from.record.out) {
    if (entry.replaced_by == name) {
      entry.replaced_by.clear();
    }
  }
  Stored<PoolRecord> next_to = NextPool(context, to, name);
  const auto replaced = next_to.record.out.find(host.record.replaces);
  if (replaced != next_to.record.out.end()) {
    replaced->second.replaced_by = name;
  }
  Stored<HostRecord> next =
      failed ? host
             : NextInService(context, host, "moved from " + from.record.pool);
  if (failed) {
    next_to.record.out[name] = {OutReason::kFailed, {}};
  }
  next.record.pool = to.record.pool;
  ++next.record.epoch;
  change.pools.push_back(std::move(next_from));
  change.pools.push_back(std::move(next_to));
  change.hosts.push_back(std::move(next));
  return change;
}

Change RemoveHost(const ChangeContext& context,
                  const Stored<PoolRecord>& pool_record,
                  const Stored<HostRecord>& host) {
  const std::string& name = host.record.host;
  Change change = StartChange(context, name, "removed");
  change.preconditions.push_back(context.document_row);
  AddReason(change, context, "pool membership", "pools",
            "the document no longer has it");
  Stored<PoolRecord> next_pool = NextPool(context, pool_record, name);
  next_pool.record.out.erase(name);
  change.pools.push_back(std::move(next_pool));
  change.removed_hosts.push_back(host);
  return change;
}

}  // namespace cassiastile::fleet
