#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "cassiastile/base/error.hpp"
#include "cassiastile/base/log.hpp"
#include "cassiastile/config/fleet_source.hpp"
#include "cassiastile/fleet/audit_appender.hpp"
#include "cassiastile/fleet/host_view.hpp"
#include "cassiastile/fleet/reconciler.hpp"
#include "cassiastile/member/shard_owner.hpp"
#include "cassiastile/wire/router.hpp"

namespace cassiastile::control {

struct PoolSnapshot;  // The state after a round, for readers.

// The objects that the service uses. All must outlive it.
struct PoolServiceDependencies {
  const base::Clock& clock;
  const config::FleetSource& fleet;
  const member::ShardOwner& shard_owner;
  platform::Table& table;
  platform::Machines& machines;
  fleet::HostWorkSource& work;
  const fleet::DemandSource* demand = nullptr;  // Null if demand is unknown.
  fleet::AuditAppender& audit;
  base::DecisionSink& decisions;
};

// Settings of a PoolService.
struct PoolServiceOptions {
  std::string name;        // Identifies this process in the rows it writes.
  std::uint64_t seed = 0;  // For nonces and decision ids.
  std::chrono::milliseconds interval{1000};  // Between two rounds.
  std::size_t max_queued_actions = 64;       // More are refused as overloaded.
  fleet::ReconcilerOptions reconciler;
};

// Reconciles the pools whose shards this process owns, and runs operators'
// actions on the hosts and waves of all pools, whichever process owns their
// shards. The rounds and the actions share one thread.
class PoolService final : public fleet::PoolView {
 public:
  // Fails with kInvalid if the name is empty.
  static base::Result<std::unique_ptr<PoolService>> Create(
      PoolServiceDependencies dependencies,
      PoolServiceOptions options);
  ~PoolService() override;
  PoolService(const PoolService&) = delete;
  PoolService& operator=(const PoolService&) = delete;

  // Adds the routes under /v1/hosts and /v1/waves. The service must outlive the
  // router.
  void Register(wire::Router& router);

  // Starts the thread that runs the rounds.
  void Start();

  // Stops after the current round. Queued actions are refused with kUnavailable
  // and not run.
  void Stop();

  // Runs one round: the queued actions, then each owned pool. Called by the
  // thread, or by tests in its place.
  void RunOnce();

  // The hosts of a pool as of the last round. Thread-safe.
  std::vector<fleet::HostView> Hosts(const std::string& pool) const override;

  // The pools, their hosts out of service and the waves as of the last round,
  // for GET /v1/status. Thread-safe.
  nlohmann::json StatusJson() const;

 private:
  // A queued operator's action: its audit entry, the change to make, and the
  // response body on success.
  struct OperatorAction {
    fleet::AuditEntry entry;
    std::function<base::Result<void>(const fleet::AuditAddition&)> run;
    std::function<nlohmann::json()> make_body;
    wire::HttpResponder respond;
  };

  PoolService(PoolServiceDependencies dependencies, PoolServiceOptions options);

  void HandleHostAction(const wire::HttpRequest& request,
                        const wire::HttpResponder& respond,
                        const std::string& action);
  void HandleWaveAction(const wire::HttpRequest& request,
                        const wire::HttpResponder& respond);
  void AnswerWave(const wire::HttpRequest& request,
                  const wire::HttpResponder& respond) const;
  base::Result<std::string> AuthorizeSectionOwner(
      const wire::HttpRequest& request,
      config::SectionName section) const;
  void Enqueue(OperatorAction action);
  void RunActions();
  base::Result<void> RunAction(const OperatorAction& action);
  void TickOwnedPools();
  bool IsStopping() const;
  void TickRemovedPools();
  void PublishSnapshot();
  std::shared_ptr<const PoolSnapshot> LatestSnapshot() const;

  PoolServiceDependencies m_dependencies;
  PoolServiceOptions m_options;
  base::Log m_log{"pools"};

  std::mutex m_round_mutex;  // Held during a round; guards the next two.
  fleet::Reconciler m_reconciler;
  std::shared_ptr<const config::AcceptedFleet> m_document;

  mutable std::mutex m_mutex;  // Guards the next three.
  std::deque<OperatorAction> m_actions;
  std::shared_ptr<const PoolSnapshot> m_snapshot;
  bool m_stopping = false;
  std::condition_variable m_wake;
  std::thread m_thread;
};

}  // namespace cassiastile::control
