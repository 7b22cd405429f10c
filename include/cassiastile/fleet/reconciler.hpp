#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/decision.hpp"
#include "cassiastile/base/random.hpp"
#include "cassiastile/config/fleet.hpp"
#include "cassiastile/fleet/audit_appender.hpp"
#include "cassiastile/fleet/change.hpp"
#include "cassiastile/fleet/demand.hpp"
#include "cassiastile/fleet/demand_source.hpp"
#include "cassiastile/fleet/fleet_index.hpp"
#include "cassiastile/fleet/host_observer.hpp"
#include "cassiastile/fleet/progress.hpp"
#include "cassiastile/fleet/state.hpp"
#include "cassiastile/fleet/wave_change.hpp"
#include "cassiastile/fleet/wave_plan.hpp"
#include "cassiastile/platform/machines.hpp"
#include "cassiastile/platform/table.hpp"

namespace cassiastile::fleet {

struct ReconcilerOptions {
  ProgressOptions progress;
  DemandOptions demand;
  // How often the machine of a host in service is polled.
  std::chrono::seconds observe_interval{5};
  // How long a host stays failed before a host of the spare pool replaces it. A
  // host that did not come back from its reboot is replaced at once.
  std::chrono::seconds replace_after{300};
  // A host that fails within this time after its return to service counts as a
  // failure of the wave that maintained it.
  std::chrono::seconds correlation_time{1800};
  // The most new hosts that one round of a pool registers. The others wait for
  // the next round, so that waves, operators' actions and shutdown aren't
  // delayed by thousands of registrations.
  std::size_t registrations_per_round = 32;
  // Maintenance time per host of a wave until one has been measured.
  std::chrono::seconds assumed_maintenance_time{900};
  // For hosts that move to another pool or leave the fleet.
  DrainPolicy default_drain;
};

// The services that a reconciler uses; all must outlive it.
struct ReconcilerDependencies {
  platform::Table& table;
  platform::Machines& machines;
  HostWorkSource& work;
  const DemandSource* demand = nullptr;  // Null if demand is not measured.
  const base::Clock& clock;
  base::DecisionSink& decisions;
};

// Brings pools towards the state that the document and the waves require, one
// step at a time: reads the rows, polls the machines, decides, and commits each
// change in its own transaction. Every call starts from the state that was
// read, so it may follow a crash, a takeover or another process's change at any
// point. Not thread-safe.
class Reconciler {
 public:
  // `name` is the name of this process; `seed` seeds its transaction nonces.
  Reconciler(std::string name,
             ReconcilerDependencies dependencies,
             std::uint64_t seed,
             ReconcilerOptions options = {});

  // Reads the rows and adopts the document in force. Must succeed before each
  // round of Tick calls and before each operator's action.
  base::Result<void> Refresh(
      std::shared_ptr<const config::AcceptedFleet> document);

  // Advances one pool by a step, as the owner of its shard. Stops early if a
  // change conflicts or its result is unknown; the next round reads again.
  void Tick(const std::string& pool,
            const std::optional<platform::Precondition>& fence);

  // Operators' actions, which any control host may make. They carry no fencing
  // token; the row versions prevent conflicting changes. The audit entry is
  // part of the same transaction. Errors: kNotFound for an unknown host or
  // wave; kConflict if its state does not allow the action, if a row has
  // changed since Refresh or, for DrainHost, if a newer document has been
  // accepted; kOverloaded if the budget does not allow the drain; the table's
  // errors.
  base::Result<void> DrainHost(const std::string& host,
                               const std::string& actor,
                               const AuditAddition& audit);
  base::Result<void> UndrainHost(const std::string& host,
                                 const std::string& actor,
                                 const AuditAddition& audit);
  base::Result<void> ApplyWaveAction(const std::string& wave,
                                     const std::string& actor,
                                     WaveAction action,
                                     const AuditAddition& audit);

  // The state as of the last Refresh and the changes made since.
  const FleetState& State() const { return m_state; }

  // The progress of a wave of the document and when it should finish.
  WaveForecast Forecast(const config::Wave& wave) const;

  // When running waves are expected to drain hosts, by host.
  const std::map<std::string, base::TimePoint>& ExpectedDrainTimes() const {
    return m_expected_drain_times;
  }

  // The rule that last limited how many hosts a wave drains, by wave and pool.
  const std::map<std::string, std::map<std::string, std::string>>&
  LimitingRules() const {
    return m_limiting_rules;
  }

  // A description of the work that runs past the drain deadline, by host.
  const std::map<std::string, std::string>& OverdueDrains() const {
    return m_overdue_drains;
  }

 private:
  // When this process first read a host's row of this version as failed.
  struct FailedSince {
    std::uint64_t version = 0;
    base::TimePoint time;
  };
  // How many reboots a wave has made, and the longest time one took.
  struct RebootTimes {
    std::uint32_t count = 0;
    std::chrono::seconds longest{0};
  };
  struct Round;          // The working state of one Tick of one pool.
  class ActionExecutor;  // Carries out the next action of one host.

  ChangeContext MakeContext(
      const std::string& actor,
      const std::optional<platform::Precondition>& fence) const;
  Round StartRound(const std::string& pool,
                   const std::optional<platform::Precondition>& fence);
  base::Result<void> Commit(Change change);
  base::Result<void> CommitWithAudit(Change change, const AuditAddition& audit);
  base::Result<void> CheckDocumentIsLatest() const;
  bool CommitInRound(Round& round, Change change);

  // Each returns false if the round must stop.
  bool AdvanceHosts(Round& round);
  bool AdvanceHost(Round& round, const std::string& host);
  bool UndrainFromStoppedWave(Round& round, const Stored<HostRecord>& host);
  bool UndrainExcessHosts(Round& round);
  bool RegisterHosts(Round& round);
  bool DrainDepartingHosts(Round& round);
  bool DrainDepartingHost(Round& round, const Stored<HostRecord>& host);
  bool DrainForWaves(Round& round);
  bool DrainForWave(Round& round, const config::Wave& wave);
  bool FinishWaveIfDone(Round& round, const config::Wave& wave);
  bool MoveFromSparePool(Round& round);
  bool MoveSpareHostsTo(Round& round, const config::Pool& pool);
  bool MoveSpareHost(Round& round, const DrainRequest& request);
  bool ReturnHostsToSparePool(Round& round);
  void SetDraining(const Round& round);

  base::Result<Change> PlanDrain(const Round& round,
                                 const std::string& host,
                                 const DrainRequest& request) const;
  std::optional<Stored<WaveRecord>> CurrentWaveOf(const HostRecord& host) const;
  std::optional<Stored<WaveRecord>> WaveForFailure(
      const HostRecord& host,
      base::Duration time_in_state) const;
  std::vector<platform::Precondition> RackRows(const std::string& host) const;
  WaveInput MakeWaveInput(const Round& round, const config::Wave& wave) const;
  std::map<std::string, PoolWaveProgress> ProgressByPool(
      const config::Wave& wave) const;
  void UpdateExpectedDrainTimes(const Round& round, const WaveInput& input);
  void RecordMaintenanceTime(const HostRecord& host);
  void RecordRebootTime(const HostRecord& host, base::Duration took);
  ProgressOptions ProgressOptionsFor(const HostRecord& host) const;
  std::chrono::seconds MaintenanceTime(const std::string& wave) const;
  std::set<std::string> HostsToReplace(const config::Pool& pool);
  bool IsDueForReplacement(const Stored<HostRecord>& host);
  base::Duration TimeFailed(const std::string& host, std::uint64_t version);
  std::int32_t DemandDrivenSizeChange(const std::string& pool);

  std::string m_name;
  ReconcilerDependencies m_dependencies;
  ReconcilerOptions m_options;
  base::Random m_random;
  StateReader m_reader;
  HostObserver m_observer;
  std::shared_ptr<const config::AcceptedFleet> m_document;
  FleetIndex m_index;
  FleetState m_state;
  // Measured, by wave.
  std::map<std::string, std::chrono::seconds> m_maintenance_times;
  std::map<std::string, RebootTimes> m_reboot_times;
  std::map<std::string, base::TimePoint> m_expected_drain_times;
  std::map<std::string, std::string> m_overdue_drains;
  std::map<std::string, std::map<std::string, std::string>> m_limiting_rules;
  std::map<std::string, DemandHistory> m_demand;  // By pool.
  std::map<std::string, FailedSince> m_failed_since;
};

}  // namespace cassiastile::fleet
