#include "cassiastile/control/pool_service.hpp"

#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cassiastile/control/authentication.hpp"
#include "cassiastile/wire/problem.hpp"
#include "pool_status.hpp"

namespace cassiastile::control {

namespace {

// Attempts at an action whose rows other writers change at the same time.
constexpr int kMaxActionAttempts = 4;

fleet::ReconcilerDependencies MakeReconcilerDependencies(
    const PoolServiceDependencies& dependencies) {
  return {dependencies.table,  dependencies.machines, dependencies.work,
          dependencies.demand, dependencies.clock,    dependencies.decisions};
}

}  // namespace

base::Result<std::unique_ptr<PoolService>> PoolService::Create(
    PoolServiceDependencies dependencies,
    PoolServiceOptions options) {
  if (options.name.empty()) {
    return base::Fail(base::ErrorCode::kInvalid,
                      "The process name of the pool service is empty.");
  }
  return std::unique_ptr<PoolService>(
      new PoolService(dependencies, std::move(options)));
}

PoolService::PoolService(PoolServiceDependencies dependencies,
                         PoolServiceOptions options)
    : m_dependencies(dependencies),
      m_options(std::move(options)),
      m_reconciler(m_options.name,
                   MakeReconcilerDependencies(dependencies),
                   m_options.seed,
                   m_options.reconciler) {}

PoolService::~PoolService() {
  Stop();
}

void PoolService::Start() {
  m_thread = std::thread([this] {
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
      lock.unlock();
      RunOnce();
      lock.lock();
      m_wake.wait_for(lock, m_options.interval,
                      [this] { return m_stopping || !m_actions.empty(); });
    }
  });
}

void PoolService::Stop() {
  std::deque<OperatorAction> refused;
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
    refused.swap(m_actions);
  }
  m_wake.notify_all();
  if (m_thread.joinable()) {
    m_thread.join();
  }
  for (const OperatorAction& action : refused) {
    action.respond(wire::MakeErrorResponse(
        {base::ErrorCode::kUnavailable, "This host is stopping."}));
  }
}

void PoolService::RunOnce() {
  const std::lock_guard round_lock(m_round_mutex);
  m_document = m_dependencies.fleet.Current();
  if (m_document == nullptr) {
    return;
  }
  RunActions();
  const base::Result<void> read = m_reconciler.Refresh(m_document);
  if (!read) {
    m_log.Warn("Can't read the rows of the pools: " + read.error().message);
    return;
  }
  TickOwnedPools();
  TickRemovedPools();
  PublishSnapshot();
}

bool PoolService::IsStopping() const {
  const std::lock_guard lock(m_mutex);
  return m_stopping;
}

void PoolService::TickOwnedPools() {
  for (const config::Pool& pool : m_document->fleet.pools) {
    if (IsStopping()) {
      return;
    }
    const auto shard_lease = m_dependencies.shard_owner.CurrentLease(
        pool.name, m_dependencies.clock.Now());
    if (shard_lease) {
      m_reconciler.Tick(pool.name, shard_lease->fence);
    }
  }
}

// Drains the hosts of pools that were removed from the document. The owner of
// the document's first pool does so.
void PoolService::TickRemovedPools() {
  const config::Fleet& fleet = m_document->fleet;
  if (fleet.pools.empty() ||
      !m_dependencies.shard_owner.CurrentLease(fleet.pools.front().name,
                                               m_dependencies.clock.Now())) {
    return;
  }
  std::vector<std::string> removed;
  for (const auto& [pool, stored] : m_reconciler.State().pools) {
    if (config::FindPool(fleet, pool) == nullptr) {
      removed.push_back(pool);
    }
  }
  for (const std::string& pool : removed) {
    m_reconciler.Tick(pool, std::nullopt);
  }
}

void PoolService::PublishSnapshot() {
  auto snapshot = std::make_shared<PoolSnapshot>();
  snapshot->document = m_document;
  snapshot->wall_time = m_dependencies.clock.WallNow();
  snapshot->state = m_reconciler.State();
  snapshot->drain_times = m_reconciler.ExpectedDrainTimes();
  snapshot->overdue = m_reconciler.OverdueDrains();
  snapshot->limits = m_reconciler.LimitingRules();
  for (const config::Wave& wave : m_document->fleet.waves) {
    snapshot->forecasts[wave.name] = m_reconciler.Forecast(wave);
  }
  snapshot->views = MakeHostViews(*snapshot);
  const std::lock_guard lock(m_mutex);
  m_snapshot = std::move(snapshot);
}

std::shared_ptr<const PoolSnapshot> PoolService::LatestSnapshot() const {
  const std::lock_guard lock(m_mutex);
  return m_snapshot;
}

std::vector<fleet::HostView> PoolService::Hosts(const std::string& pool) const {
  const auto latest = LatestSnapshot();
  if (latest == nullptr) {
    return {};
  }
  const auto found = latest->views.find(pool);
  return found == latest->views.end() ? std::vector<fleet::HostView>()
                                      : found->second;
}

nlohmann::json PoolService::StatusJson() const {
  nlohmann::json body{{"pools", nlohmann::json::array()},
                      {"waves", nlohmann::json::array()}};
  const auto latest = LatestSnapshot();
  if (latest == nullptr) {
    return body;
  }
  for (const config::Pool& pool : latest->document->fleet.pools) {
    body["pools"].push_back(MakePoolJson(*latest, pool));
  }
  for (const config::Wave& wave : latest->document->fleet.waves) {
    body["waves"].push_back(MakeWaveJson(*latest, wave));
  }
  return body;
}

void PoolService::Enqueue(OperatorAction action) {
  base::Error refusal{base::ErrorCode::kUnavailable, "This host is stopping."};
  {
    const std::lock_guard lock(m_mutex);
    if (!m_stopping && m_actions.size() < m_options.max_queued_actions) {
      m_actions.push_back(std::move(action));
      m_wake.notify_all();
      return;
    }
    if (!m_stopping) {
      refusal = {base::ErrorCode::kOverloaded,
                 "Too many acts wait on this host."};
    }
  }
  action.respond(wire::MakeErrorResponse(refusal));
}

void PoolService::RunActions() {
  std::deque<OperatorAction> actions;
  {
    const std::lock_guard lock(m_mutex);
    actions.swap(m_actions);
  }
  for (const OperatorAction& action : actions) {
    const base::Result<void> done = RunAction(action);
    if (done) {
      m_log.Info(fmt::format("Operator action \"{}\" done by {}.",
                             action.entry.what, action.entry.who));
      constexpr int kOk = 200;
      action.respond(wire::MakeJsonResponse(kOk, action.make_body()));
    } else {
      action.respond(wire::MakeErrorResponse(done.error()));
    }
  }
}

base::Result<void> PoolService::RunAction(const OperatorAction& action) {
  base::Result<void> done;
  for (int attempt = 0; attempt < kMaxActionAttempts; ++attempt) {
    done = m_reconciler.Refresh(m_document);
    if (!done) {
      return done;
    }
    const auto audit = m_dependencies.audit.PrepareAppend(action.entry);
    if (!audit) {
      return tl::unexpected(audit.error());
    }
    done = action.run(*audit);
    if (done || done.error().code != base::ErrorCode::kConflict) {
      return done;
    }
  }
  return done;
}

}  // namespace cassiastile::control
