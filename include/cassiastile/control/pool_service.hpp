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

struct PoolSnapshot;  // What one round leaves for readers.

// What the service works with; all of it outlives the service.
struct PoolServiceDependencies {
  const base::Clock& clock;
  const config::FleetSource& source;
  const member::ShardOwner& owner;
  platform::Table& table;
  platform::Machines& machines;
  fleet::HostWorkSource& work;
  const fleet::DemandSource* demand = nullptr;  // Null where none is measured.
  fleet::AuditAppender& audit;
  base::DecisionSink& decisions;
};

struct PoolServiceOptions {
  std::string name;        // This process's, as it stands in the rows.
  std::uint64_t seed = 0;  // Of the nonces and decision ids.
  std::chrono::milliseconds interval{1000};  // Between two rounds.
  std::size_t max_queued_actions = 64;
  fleet::ReconcilerOptions reconciler;
};

// Runs the pools whose shards this host owns, and takes operators' acts on
// hosts and waves on any host. The rounds and the acts share one thread.
class PoolService final : public fleet::PoolView {
 public:
  // Fails when the name is empty.
  static base::Result<std::unique_ptr<PoolService>> Create(
      PoolServiceDependencies ports,
      PoolServiceOptions options);
  ~PoolService() override;
  PoolService(const PoolService&) = delete;
  PoolService& operator=(const PoolService&) = delete;

  void Register(wire::Router& router);

  void Start();

  // Ends after the round under way. Acts that wait are refused, not run.
  void Stop();

  // One round: the acts that wait, then each owned pool. Start calls it; tests
  // may instead.
  void RunOnce();

  std::vector<fleet::HostView> Hosts(const std::string& pool) const override;

  // Pools, hosts out and waves, for the status page.
  nlohmann::json StatusJson() const;

 private:
  // An operator's act that waits for its turn.
  struct OperatorAction {
    fleet::AuditEntry entry;
    std::function<base::Result<void>(const fleet::AuditAddition&)> run;
    std::function<nlohmann::json()> answer;
    wire::HttpResponder respond;
  };

  PoolService(PoolServiceDependencies ports, PoolServiceOptions options);

  void HandleHostAction(const wire::HttpRequest& request,
                        const wire::HttpResponder& respond,
                        const std::string& act);
  void HandleWaveAction(const wire::HttpRequest& request,
                        const wire::HttpResponder& respond);
  void AnswerWave(const wire::HttpRequest& request,
                  const wire::HttpResponder& respond) const;
  base::Result<std::string> AuthorizeSectionOwner(
      const wire::HttpRequest& request,
      config::SectionName section) const;
  void Enqueue(OperatorAction act);
  void RunActions();
  base::Result<void> RunAction(const OperatorAction& act);
  void TickOwnedPools();
  bool IsStopping() const;
  void TickRemovedPools();
  void Publish();
  std::shared_ptr<const PoolSnapshot> Latest() const;

  PoolServiceDependencies m_ports;
  PoolServiceOptions m_options;
  base::Log m_log{"pools"};

  std::mutex m_round_mutex;  // Held through a round.
  fleet::Reconciler m_reconciler;
  std::shared_ptr<const config::AcceptedFleet> m_document;

  mutable std::mutex m_mutex;
  std::deque<OperatorAction> m_actions;
  std::shared_ptr<const PoolSnapshot> m_published;
  bool m_stopping = false;
  std::condition_variable m_wake;
  std::thread m_thread;
};

}  // namespace cassiastile::control
