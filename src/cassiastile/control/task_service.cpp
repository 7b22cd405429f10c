#include "cassiastile/control/task_service.hpp"

#include <utility>

#include <nlohmann/json.hpp>

#include "cassiastile/control/authentication.hpp"
#include "cassiastile/control/task_http.hpp"
#include "cassiastile/wire/problem.hpp"

namespace cassiastile::control {

namespace {

using base::ErrorCode;

constexpr base::Duration kWatchInterval = std::chrono::milliseconds(500);
// The remaining time assumed for the work of a host whose state is unknown. The
// host counts as running one task without a checkpoint.
constexpr base::Duration kUnknownRemaining = std::chrono::hours(1);

std::string PathParameter(const wire::HttpRequest& request,
                          const std::string& name) {
  const auto found = request.path_parameters.find(name);
  return found == request.path_parameters.end() ? "" : found->second;
}

std::string TaskKeyOf(const wire::HttpRequest& request) {
  return PathParameter(request, "queue") + "/" + PathParameter(request, "id");
}

void RespondWithError(const wire::HttpResponder& respond,
                      const base::Error& error) {
  respond(wire::MakeErrorResponse(error));
}

base::Result<work::TaskOutcome> ParseResolution(const std::string& body) {
  const auto json = wire::ParseJsonBody(body);
  const std::string outcome_name =
      json && json->is_object() ? json->value("outcome", "") : "";
  if (outcome_name == "queued") {
    return work::TaskOutcome::kNone;
  }
  for (const auto outcome :
       {work::TaskOutcome::kSucceeded, work::TaskOutcome::kFailed,
        work::TaskOutcome::kCancelled}) {
    if (outcome_name == work::NameOf(outcome)) {
      return outcome;
    }
  }
  return base::Fail(ErrorCode::kInvalid,
                    "outcome must be queued, succeeded, failed or cancelled");
}

BatcherCompletion AnswerWithTask(const wire::HttpResponder& respond) {
  return [respond](const BatcherResult& result) {
    respond(MakeTaskResponse(result));
  };
}

}  // namespace

std::unique_ptr<TaskService> TaskService::Create(
    TaskServiceDependencies dependencies,
    const ShardForwarder& forwarder,
    TaskServiceOptions options) {
  return std::unique_ptr<TaskService>(
      new TaskService(dependencies, forwarder, options));
}

TaskService::TaskService(TaskServiceDependencies dependencies,
                         const ShardForwarder& forwarder,
                         TaskServiceOptions options)
    : m_dependencies(dependencies),
      m_forwarder(forwarder),
      m_options(options),
      m_random(options.seed) {}

TaskService::~TaskService() {
  Stop();
}

void TaskService::Register(wire::Router& router) {
  const auto bind = [this](void (TaskService::*handle)(wire::HttpRequest,
                                                       wire::HttpResponder)) {
    return
        [this, handle](wire::HttpRequest request, wire::HttpResponder respond) {
          (this->*handle)(std::move(request), std::move(respond));
        };
  };
  router.Add("POST", "/v1/queues/:queue/tasks",
             bind(&TaskService::HandleSubmit));
  router.Add("GET", "/v1/queues/:queue/tasks/:id",
             bind(&TaskService::HandleRead));
  router.Add("DELETE", "/v1/queues/:queue/tasks/:id",
             bind(&TaskService::HandleCancel));
  router.Add("POST", "/v1/queues/:queue/tasks/:id/resolve",
             bind(&TaskService::HandleResolve));
  router.Add("POST", "/v1/workers/:worker/poll",
             bind(&TaskService::HandlePoll));
}

void TaskService::Start() {
  RefreshHostPools();
  m_watcher = std::thread([this] { WatchPools(); });
}

void TaskService::Stop() {
  std::map<std::string, std::shared_ptr<TaskEventBatcher>> batchers;
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
    batchers = m_batchers;
  }
  m_changed.notify_all();
  if (m_watcher.joinable()) {
    m_watcher.join();
  }
  for (const auto& [pool, batcher] : batchers) {
    batcher->Stop();
  }
}

fleet::HostWork TaskService::WorkOn(const std::string& host) const {
  const fleet::HostWork unknown_work{1, 1, kUnknownRemaining};
  const auto batcher = FindBatcher(PoolOfHost(host));
  if (batcher == nullptr) {
    return unknown_work;
  }
  const TaskPoolStatus status = batcher->Status();
  const auto found = status.hosts.find(host);
  return status.owned && found != status.hosts.end() ? found->second
                                                     : unknown_work;
}

void TaskService::RequestEvacuation(const std::string& host) {
  if (const auto batcher = FindBatcher(PoolOfHost(host))) {
    batcher->RequestEvacuation(host);
  }
}

std::vector<TaskPoolStatus> TaskService::Status() const {
  const std::lock_guard lock(m_mutex);
  std::vector<TaskPoolStatus> statuses;
  for (const auto& [pool, batcher] : m_batchers) {
    statuses.push_back(batcher->Status());
  }
  return statuses;
}

void TaskService::HandleSubmit(wire::HttpRequest request,
                               wire::HttpResponder respond) {
  const auto queue = AuthorizeCaller(request);
  if (!queue) {
    RespondWithError(respond, queue.error());
    return;
  }
  auto spec = work::ParseTaskSpec(request.body);
  if (!spec) {
    RespondWithError(respond, spec.error());
    return;
  }
  spec->queue = queue->name;
  spec->team = queue->team;
  spec->urgent = queue->urgent;
  m_forwarder.HandleOrForward(
      queue->pool, std::move(request), std::move(respond),
      [this, spec = *spec](const member::ShardLease& shard_lease,
                           const wire::HttpRequest&,
                           const wire::HttpResponder& answer) {
        BatcherOf(shard_lease.shard)
            ->Submit(work::SubmitEvent{spec}, work::KeyOf(spec),
                     [spec, answer](const BatcherResult& result) {
                       answer(MakeSubmitResponse(result, spec));
                     });
      });
}

void TaskService::HandleRead(wire::HttpRequest request,
                             wire::HttpResponder respond) {
  ForwardTaskCall(std::move(request), std::move(respond),
                  [](TaskEventBatcher& batcher, const std::string& key,
                     const wire::HttpResponder& answer) {
                    batcher.Read(key, AnswerWithTask(answer));
                  });
}

void TaskService::HandleCancel(wire::HttpRequest request,
                               wire::HttpResponder respond) {
  ForwardTaskCall(std::move(request), std::move(respond),
                  [](TaskEventBatcher& batcher, const std::string& key,
                     const wire::HttpResponder& answer) {
                    batcher.Submit(work::CancelEvent{key}, key,
                                   AnswerWithTask(answer));
                  });
}

void TaskService::ForwardTaskCall(wire::HttpRequest request,
                                  wire::HttpResponder respond,
                                  TaskCall call) {
  const auto queue = AuthorizeCaller(request);
  if (!queue) {
    RespondWithError(respond, queue.error());
    return;
  }
  const std::string key = TaskKeyOf(request);
  m_forwarder.HandleOrForward(
      queue->pool, std::move(request), std::move(respond),
      [this, key, call = std::move(call)](const member::ShardLease& shard_lease,
                                          const wire::HttpRequest&,
                                          const wire::HttpResponder& answer) {
        call(*BatcherOf(shard_lease.shard), key, answer);
      });
}

void TaskService::HandleResolve(wire::HttpRequest request,
                                wire::HttpResponder respond) {
  const auto who = AuthenticateOperator(m_dependencies.fleet, request,
                                        m_dependencies.clock.Now());
  if (!who) {
    RespondWithError(respond, who.error());
    return;
  }
  const auto outcome = ParseResolution(request.body);
  if (!outcome) {
    RespondWithError(respond, outcome.error());
    return;
  }
  const std::string name = PathParameter(request, "queue");
  const auto accepted = m_dependencies.fleet.Current();
  const config::Queue* queue = config::FindQueue(accepted->fleet, name);
  if (queue == nullptr) {
    RespondWithError(respond,
                     {ErrorCode::kNotFound, "There is no such queue."});
    return;
  }
  const std::string key = TaskKeyOf(request);
  const work::ResolveEvent event{key, *outcome, *who};
  m_forwarder.HandleOrForward(
      queue->pool, std::move(request), std::move(respond),
      [this, event](const member::ShardLease& shard_lease,
                    const wire::HttpRequest&,
                    const wire::HttpResponder& answer) {
        BatcherOf(shard_lease.shard)
            ->Submit(event, event.key, AnswerWithTask(answer));
      });
}

void TaskService::HandlePoll(wire::HttpRequest request,
                             wire::HttpResponder respond) {
  auto poll = work::DecodePoll(request.body);
  if (!poll) {
    RespondWithError(respond, poll.error());
    return;
  }
  poll->worker = PathParameter(request, "worker");
  const std::string home = PoolOfHost(poll->worker);
  const std::string pool = poll->pool.empty() ? home : poll->pool;
  if (pool.empty()) {
    RespondWithError(respond, {ErrorCode::kNotFound,
                               "No pool has the host " + poll->worker + "."});
    return;
  }
  const work::TaskShardOptions& shard = m_options.batcher.owner.shard;
  auto renew_without_owner =
      [respond = std::move(respond), pool, lease = shard.lease,
       poll_after = shard.poll_after](wire::HttpResponse response) {
        respond(IsNoOwnerResponse(response)
                    ? MakeRenewalResponse(pool, lease, poll_after)
                    : std::move(response));
      };
  m_forwarder.HandleOrForward(
      pool, std::move(request), std::move(renew_without_owner),
      [this, poll = *poll, home](const member::ShardLease& shard_lease,
                                 const wire::HttpRequest&,
                                 const wire::HttpResponder& answer) {
        BatcherOf(shard_lease.shard)
            ->Submit(poll, "", [answer, home](BatcherResult result) {
              if (result.result.answer) {
                result.result.answer->home_pool = home;
              }
              answer(MakePollResponse(result));
            });
      });
}

base::Result<config::Queue> TaskService::AuthorizeCaller(
    const wire::HttpRequest& request) const {
  const auto accepted = m_dependencies.fleet.Current();
  if (!accepted) {
    return base::Fail(ErrorCode::kUnavailable,
                      "No fleet document is in force on this host.");
  }
  const std::string name = PathParameter(request, "queue");
  const config::Queue* queue = config::FindQueue(accepted->fleet, name);
  if (queue == nullptr) {
    return base::Fail(ErrorCode::kNotFound, "There is no queue " + name + ".");
  }
  if (queue->team.empty()) {
    return *queue;
  }
  const auto team = AuthenticateTeam(m_dependencies.fleet, request,
                                     m_dependencies.clock.Now());
  if (!team) {
    return tl::unexpected(team.error());
  }
  if (*team != queue->team) {
    return base::Fail(ErrorCode::kDenied,
                      "The queue " + name + " needs a key of its team.");
  }
  return *queue;
}

std::string TaskService::PoolOfHost(const std::string& host) const {
  const std::lock_guard lock(m_mutex);
  const auto found = m_host_pools.find(host);
  return found == m_host_pools.end() ? "" : found->second;
}

void TaskService::RefreshHostPools() {
  const auto accepted = m_dependencies.fleet.Current();
  if (!accepted) {
    return;
  }
  std::map<std::string, std::string> host_pools;
  for (const config::Pool& pool : accepted->fleet.pools) {
    BatcherOf(pool.name);
    for (const fleet::HostView& view : m_dependencies.pools.Hosts(pool.name)) {
      host_pools[view.host.name] = pool.name;
    }
  }
  const std::lock_guard lock(m_mutex);
  m_host_pools = std::move(host_pools);
}

std::shared_ptr<TaskEventBatcher> TaskService::BatcherOf(
    const std::string& pool) {
  const std::lock_guard lock(m_mutex);
  auto& batcher = m_batchers[pool];
  if (batcher == nullptr) {
    batcher = std::make_shared<TaskEventBatcher>(
        pool, m_options.batcher, m_dependencies, base::Random(m_random()));
    if (m_stopping) {
      batcher->Stop();
    } else {
      batcher->Start();
    }
  }
  return batcher;
}

std::shared_ptr<TaskEventBatcher> TaskService::FindBatcher(
    const std::string& pool) const {
  const std::lock_guard lock(m_mutex);
  const auto found = m_batchers.find(pool);
  return found == m_batchers.end() ? nullptr : found->second;
}

void TaskService::WatchPools() {
  std::unique_lock lock(m_mutex);
  while (!m_stopping) {
    lock.unlock();
    RefreshHostPools();
    lock.lock();
    m_changed.wait_for(lock, kWatchInterval, [this] { return m_stopping; });
  }
}

}  // namespace cassiastile::control
