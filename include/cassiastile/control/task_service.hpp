#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "cassiastile/base/log.hpp"
#include "cassiastile/control/shard_forwarder.hpp"
#include "cassiastile/control/task_event_batcher.hpp"
#include "cassiastile/fleet/host_view.hpp"
#include "cassiastile/wire/router.hpp"

namespace cassiastile::control {

// Settings of a TaskService.
struct TaskServiceOptions {
  TaskEventBatcherOptions batcher;
  std::uint64_t seed = 1;  // For nonces, decision ids and jitter.
};

// Serves the task routes of callers and operators and the polls of workers, for
// the pools whose shards this process owns, and forwards other requests to the
// owner. Also tells waves which work runs on a host. Thread-safe.
class TaskService final : public fleet::HostWorkSource {
 public:
  // The objects in `dependencies` and the forwarder must outlive the service.
  static std::unique_ptr<TaskService> Create(
      TaskServiceDependencies dependencies,
      const ShardForwarder& forwarder,
      TaskServiceOptions options);
  ~TaskService() override;

  // Adds the routes under /v1/queues and /v1/workers. Call it before the server
  // starts; the service must outlive the router.
  void Register(wire::Router& router);

  // Starts the thread that follows the document: it creates batchers for new
  // pools and tracks which hosts belong to which pool.
  void Start();
  // Answers the accepted requests, then refuses all others.
  void Stop();

  fleet::HostWork WorkOn(const std::string& host) const override;
  void RequestEvacuation(const std::string& host) override;

  // The status of each pool seen so far, whether or not this process owns it.
  std::vector<TaskPoolStatus> Status() const;

 private:
  TaskService(TaskServiceDependencies dependencies,
              const ShardForwarder& forwarder,
              TaskServiceOptions options);

  // Performs a caller's request on one task, by its key, with the owner's
  // batcher.
  using TaskCall = std::function<void(TaskEventBatcher&,
                                      const std::string& key,
                                      const wire::HttpResponder&)>;

  void HandleSubmit(wire::HttpRequest request, wire::HttpResponder respond);
  void HandleRead(wire::HttpRequest request, wire::HttpResponder respond);
  void HandleCancel(wire::HttpRequest request, wire::HttpResponder respond);
  // Runs the call on the host that owns the task named by the request.
  void ForwardTaskCall(wire::HttpRequest request,
                       wire::HttpResponder respond,
                       TaskCall call);
  void HandleResolve(wire::HttpRequest request, wire::HttpResponder respond);
  void HandlePoll(wire::HttpRequest request, wire::HttpResponder respond);

  // Returns the queue that a request names, if it is open to all or the request
  // carries a key of the queue's team.
  base::Result<config::Queue> AuthorizeCaller(
      const wire::HttpRequest& request) const;
  std::string PoolOfHost(const std::string& host) const;
  void RefreshHostPools();
  std::shared_ptr<TaskEventBatcher> BatcherOf(const std::string& pool);
  std::shared_ptr<TaskEventBatcher> FindBatcher(const std::string& pool) const;
  void WatchPools();

  TaskServiceDependencies m_dependencies;
  const ShardForwarder& m_forwarder;
  TaskServiceOptions m_options;
  base::Log m_log{"tasks"};

  mutable std::mutex m_mutex;  // Guards the members below.
  std::condition_variable m_changed;
  base::Random m_random;
  std::map<std::string, std::shared_ptr<TaskEventBatcher>> m_batchers;
  std::map<std::string, std::string> m_host_pools;
  bool m_stopping = false;
  std::thread m_watcher;
};

}  // namespace cassiastile::control
