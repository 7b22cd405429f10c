#include "cassiastile/control/control_host.hpp"

#include <map>
#include <utility>

#include <nlohmann/json.hpp>

#include "cassiastile/base/log.hpp"
#include "cassiastile/control/audit_chain_appender.hpp"
#include "cassiastile/control/config_responses.hpp"
#include "cassiastile/control/config_service.hpp"
#include "cassiastile/control/decision_service.hpp"
#include "cassiastile/control/pool_service.hpp"
#include "cassiastile/control/status_service.hpp"
#include "cassiastile/control/task_service.hpp"
#include "cassiastile/daemon/health.hpp"
#include "cassiastile/member/config_store.hpp"
#include "cassiastile/member/shard_lease_manager.hpp"

namespace cassiastile::control {

namespace {

using nlohmann::json;

// Forwards to the task service, which is set later: the pool service needs a
// HostWorkSource before the task service, which needs the pools, can be
// created.
class DeferredHostWork final : public fleet::HostWorkSource {
 public:
  void Set(fleet::HostWorkSource& source) { m_source = &source; }

  fleet::HostWork WorkOn(const std::string& host) const override {
    return m_source->WorkOn(host);
  }
  void RequestEvacuation(const std::string& host) override {
    m_source->RequestEvacuation(host);
  }

 private:
  fleet::HostWorkSource* m_source = nullptr;
};

std::vector<std::string> PoolNames(const config::FleetSource& source) {
  std::vector<std::string> names;
  const auto accepted = source.Current();
  if (accepted) {
    for (const config::Pool& pool : accepted->fleet.pools) {
      names.push_back(pool.name);
    }
  }
  return names;
}

json IssuesToJson(const std::vector<TaskIssue>& issues) {
  json list = json::array();
  for (const TaskIssue& issue : issues) {
    list.push_back({{"subject", issue.subject}, {"evidence", issue.evidence}});
  }
  return list;
}

json TasksToJson(const std::vector<TaskPoolStatus>& pools) {
  json list = json::array();
  for (const TaskPoolStatus& pool : pools) {
    if (!pool.owned) {
      continue;
    }
    list.push_back({{"pool", pool.pool},
                    {"tasks", pool.tasks},
                    {"waiting", pool.waiting},
                    {"running", pool.runs},
                    {"in_doubt", IssuesToJson(pool.in_doubt)},
                    {"quarantined", IssuesToJson(pool.quarantined)}});
  }
  return list;
}

json MembersToJson(const member::Member& member) {
  return json::parse(MakeMembersResponse(member.Status()).body);
}

}  // namespace

struct ControlHost::Components {
  Components(ControlHostOptions given, std::uint64_t first_seed)
      : options(std::move(given)),
        seed(first_seed),
        access(clock, options.platform),
        client(wire::HttpClient::Create()),
        audit(access.Table()) {}

  base::Result<void> Create();
  void CreateServices();
  base::Result<void> Serve();
  wire::Router MakeRouter();
  std::map<std::string, StatusService::StatusSource> StatusSources();

  ControlHostOptions options;
  std::uint64_t seed;
  base::Log log{"control"};
  base::SystemClock clock;
  wire::Metrics metrics;
  std::atomic<bool> draining{false};
  daemon::PlatformAccess access;
  std::unique_ptr<wire::HttpClient> client;
  AuditChainAppender audit;
  DeferredHostWork host_work;
  std::unique_ptr<member::Member> member;
  std::unique_ptr<member::ShardLeaseManager> shards;
  std::unique_ptr<ShardForwarder> forwarder;
  std::unique_ptr<PoolService> pools;
  std::unique_ptr<TaskService> tasks;
  std::unique_ptr<member::ConfigStore> config_store;
  std::unique_ptr<ConfigService> config;
  std::unique_ptr<DecisionService> decisions;
  std::unique_ptr<StatusService> status;
  std::unique_ptr<wire::HttpServer> server;
};

base::Result<void> ControlHost::Components::Create() {
  auto joined = member::Member::Create(options.member, access.Table(), clock);
  if (!joined) {
    return tl::unexpected(joined.error());
  }
  member = std::move(*joined);
  member::ShardLeaseOptions lease;
  lease.owner = member->OwnerId();
  lease.address = config::FormatAddress(options.listen);
  shards = std::make_unique<member::ShardLeaseManager>(
      lease, access.Table(), clock,
      member::ShardLeaseManager::Sources{
          [this] { return PoolNames(*member); },
          [this] {
            const auto owned = shards->OwnedShards(clock.Now()).size();
            member->SetShardCount(static_cast<std::uint16_t>(owned));
            return member->LiveControlOwners();
          }},
      seed + 1);
  forwarder = std::make_unique<ShardForwarder>(clock, *shards, *client);
  PoolServiceOptions pool_options;
  pool_options.name = member->OwnerId();
  pool_options.seed = seed + 2;
  pool_options.interval = options.pool_interval;
  pool_options.reconciler.progress.probe_time = options.probe_time;
  auto pool_service = PoolService::Create(
      {clock, *member, *shards, access.Table(), access.Machines(), host_work,
       nullptr, audit, access.Decisions()},
      pool_options);
  if (!pool_service) {
    return tl::unexpected(pool_service.error());
  }
  pools = std::move(*pool_service);
  CreateServices();
  return {};
}

void ControlHost::Components::CreateServices() {
  TaskServiceOptions task_options;
  task_options.seed = seed + 3;
  tasks = TaskService::Create(
      {access.Table(), *member, *shards, *pools, access.Decisions(), clock},
      *forwarder, task_options);
  host_work.Set(*tasks);
  config_store = std::make_unique<member::ConfigStore>(access.Table(), clock,
                                                       *member, seed + 4);
  config = ConfigService::Create(
      {*config_store, *member, access.Table(), clock, &access.Decisions(), {}});
  decisions = std::make_unique<DecisionService>(
      clock, *member, access.Decisions(), access.Objects());
  status = std::make_unique<StatusService>(clock, *member, StatusSources());
}

std::map<std::string, StatusService::StatusSource>
ControlHost::Components::StatusSources() {
  return {
      {"configuration", [this] { return MembersToJson(*member); }},
      {"pools", [this] { return pools->StatusJson(); }},
      {"tasks", [this] { return TasksToJson(tasks->Status()); }},
      {"shards", [this] { return json(shards->OwnedShards(clock.Now())); }},
  };
}

wire::Router ControlHost::Components::MakeRouter() {
  wire::Router router;
  daemon::AddHealthRoutes(
      router, [this] { return !draining.load() && member->Current(); }, metrics,
      [this] { access.UpdateMetrics(metrics); });
  config->Register(router);
  tasks->Register(router);
  pools->Register(router);
  decisions->Register(router);
  status->Register(router);
  return router;
}

base::Result<void> ControlHost::Components::Serve() {
  wire::HttpServerOptions http;
  http.address = options.listen.ip;
  http.port = options.listen.port;
  http.threads = options.http_threads;
  auto started = wire::HttpServer::Start(http, MakeRouter());
  if (!started) {
    return tl::unexpected(started.error());
  }
  server = std::move(*started);
  return {};
}

ControlHost::ControlHost(std::unique_ptr<Components> components)
    : m_components(std::move(components)) {}

ControlHost::~ControlHost() = default;

base::Result<std::unique_ptr<ControlHost>> ControlHost::Start(
    ControlHostOptions options) {
  auto components =
      std::make_unique<Components>(std::move(options), base::MakeRandom()());
  const base::Result<void> created = components->Create();
  if (!created) {
    return tl::unexpected(created.error());
  }
  const base::Result<void> serving = components->Serve();
  if (!serving) {
    return tl::unexpected(serving.error());
  }
  components->member->Start();
  components->shards->Start();
  components->pools->Start();
  components->tasks->Start();
  components->log.Info("The control process " + components->member->OwnerId() +
                       " listens on " +
                       config::FormatAddress(components->options.listen) + ".");
  return std::unique_ptr<ControlHost>(new ControlHost(std::move(components)));
}

std::size_t ControlHost::Stop() {
  Components& components = *m_components;
  components.draining.store(true);
  const std::size_t cut_off_calls = components.server->Drain(
      components.options.drain_notice, components.options.drain_deadline);
  components.tasks->Stop();
  components.pools->Stop();
  components.shards->Stop();
  components.member->Stop();
  components.log.Info("The control process has stopped; " +
                      std::to_string(cut_off_calls) + " calls were cut off.");
  return cut_off_calls;
}

}  // namespace cassiastile::control
