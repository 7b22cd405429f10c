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
  // How often the machine of a host in service is asked about.
  std::chrono::seconds observe_interval{5};
  // How long a host stays failed before the spare stands in for it; one that
  // did not come back from its reboot is replaced at once.
  std::chrono::seconds replace_after{300};
  // A host that fails within this time of its return counts as its wave's.
  std::chrono::seconds correlation_time{1800};
  // New hosts that one round of a pool writes down; the others wait for the
  // next, so that waves, acts and stops don't wait for thousands of them.
  std::size_t registrations_per_round = 32;
  // What a wave's host takes until it has been measured.
  std::chrono::seconds assumed_maintenance_time{900};
  // The drain of a host that moves or goes for good.
  DrainPolicy default_drain;
};

// What a reconciler works with; all of it outlives the reconciler.
struct ReconcilerPorts {
  platform::Table& table;
  platform::Machines& machines;
  HostWorkSource& work;
  const DemandSource* demand = nullptr;  // Null where none is measured.
  const base::Clock& clock;
  base::DecisionSink& decisions;
};

// Brings pools towards what the document and the waves ask for, one step at a
// time: reads the rows, looks at the machines, decides, and commits each change
// by itself. Every call starts from what it reads, so that it may follow a
// crash, a takeover or another process's change at any point. Not safe for use
// by several threads.
class Reconciler {
 public:
  // `name` is the process's, `seed` the source of its nonces.
  Reconciler(std::string name,
             ReconcilerPorts ports,
             std::uint64_t seed,
             ReconcilerOptions options = {});

  // Reads the rows under the document that is in force. Must succeed before
  // each round of Tick or an operator's act.
  base::Result<void> Refresh(
      std::shared_ptr<const config::AcceptedFleet> document);

  // Brings one pool a step further, as its shard's owner. Stops early when a
  // change conflicts or its answer is lost: the next round reads again.
  void Tick(const std::string& pool,
            const std::optional<platform::Precondition>& fence);

  // An operator's acts, made on any control host: they carry no fence but the
  // versions of the rows. The audit entry goes into the same transaction.
  base::Result<void> DrainHost(const std::string& host,
                               const std::string& actor,
                               const AuditAddition& audit);
  base::Result<void> UndrainHost(const std::string& host,
                                 const std::string& actor,
                                 const AuditAddition& audit);
  base::Result<void> ApplyWaveAction(const std::string& wave,
                                     const std::string& actor,
                                     WaveAction act,
                                     const AuditAddition& audit);

  const FleetState& State() const { return m_state; }

  // Progress and forecast of a wave of the document.
  WaveForecast Forecast(const config::Wave& wave) const;

  // When running waves mean to drain hosts, as far as is known.
  const std::map<std::string, base::TimePoint>& ExpectedDrainTimes() const {
    return m_drain_times;
  }

  // The rule that set how many hosts each wave took last, by wave and pool.
  const std::map<std::string, std::map<std::string, std::string>>&
  LimitingRules() const {
    return m_limits;
  }

  // The hosts whose work runs past their drain deadline, and what runs.
  const std::map<std::string, std::string>& OverdueDrains() const {
    return m_overdue;
  }

 private:
  // Since when this process has seen a host failed by one version of its row.
  struct FailedSince {
    std::uint64_t version = 0;
    base::TimePoint time;
  };
  // The reboots that a wave has had.
  struct RebootTimes {
    std::uint32_t count = 0;
    std::chrono::seconds longest{0};
  };
  struct Round;     // What one tick of one pool works on.
  class StepTaker;  // Visits the step of one host.

  ChangeContext Context(
      const std::string& actor,
      const std::optional<platform::Precondition>& fence) const;
  Round StartRound(const std::string& pool,
                   const std::optional<platform::Precondition>& fence);
  base::Result<void> Commit(Change change);
  base::Result<void> CommitWith(Change change, const AuditAddition& audit);
  base::Result<void> CheckDocument() const;
  bool CommitIn(Round& round, Change change);

  // Each returns false when the round must stop.
  bool StepHosts(Round& round);
  bool StepHost(Round& round, const std::string& host);
  bool GiveBackFromWave(Round& round, const Stored<HostRecord>& host);
  bool GiveBackExcess(Round& round);
  bool RegisterHosts(Round& round);
  bool DrainLeavers(Round& round);
  bool DrainLeaver(Round& round, const Stored<HostRecord>& host);
  bool TakeForWaves(Round& round);
  bool TakeForWave(Round& round, const config::Wave& wave);
  bool FinishWaveIfDone(Round& round, const config::Wave& wave);
  bool LendFromSpare(Round& round);
  bool LendTo(Round& round, const config::Pool& pool);
  bool LendHost(Round& round, const DrainRequest& order);
  bool SendHome(Round& round);
  void SetDraining(const Round& round);

  base::Result<Change> PlanTake(const Round& round,
                                const std::string& host,
                                const DrainRequest& order) const;
  std::optional<Stored<WaveRecord>> WaveInHand(const HostRecord& host) const;
  std::optional<Stored<WaveRecord>> WaveToBlame(const HostRecord& host,
                                                base::Duration in_state) const;
  std::vector<platform::Precondition> Neighbours(const std::string& host) const;
  WaveInput MakeWaveInput(const Round& round, const config::Wave& wave) const;
  std::map<std::string, PoolWaveProgress> Remainders(
      const config::Wave& wave) const;
  void NoteDrainTimes(const Round& round, const WaveInput& input);
  void NoteService(const HostRecord& host);
  void NoteReboot(const HostRecord& host, base::Duration took);
  ProgressOptions ProgressFor(const HostRecord& host) const;
  std::chrono::seconds ServiceTime(const std::string& wave) const;
  std::set<std::string> NeededStandIns(const config::Pool& pool);
  bool HasWaited(const Stored<HostRecord>& host);
  base::Duration FailedFor(const std::string& host, std::uint64_t version);
  std::int32_t ShiftOf(const std::string& pool);

  std::string m_name;
  ReconcilerPorts m_ports;
  ReconcilerOptions m_options;
  base::Random m_random;
  StateReader m_reader;
  HostObserver m_observer;
  std::shared_ptr<const config::AcceptedFleet> m_document;
  FleetIndex m_index;
  FleetState m_state;
  std::map<std::string, std::chrono::seconds> m_service;  // By wave, learnt.
  std::map<std::string, RebootTimes> m_reboots;           // By wave, learnt.
  std::map<std::string, base::TimePoint> m_drain_times;
  std::map<std::string, std::string> m_overdue;
  std::map<std::string, std::map<std::string, std::string>> m_limits;
  std::map<std::string, DemandHistory> m_demand;  // By pool.
  std::map<std::string, FailedSince> m_failed_since;
};

}  // namespace cassiastile::fleet
