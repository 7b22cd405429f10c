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

struct TaskServiceOptions {
  TaskEventBatcherOptions pump;
  std::uint64_t seed = 1;  // For nonces, decision ids and jitter.
};

// Takes tasks from callers, hands them to workers and answers operators about
// them, for the pools whose shards this process owns; passes other calls on.
// Also tells waves what runs on a host. Safe for use by several threads.
class TaskService final : public fleet::HostWorkSource {
 public:
  // All parts and the forwarder outlive the service.
  static std::unique_ptr<TaskService> Create(TaskServiceDependencies parts,
                                             const ShardForwarder& forwarder,
                                             TaskServiceOptions options);
  ~TaskService() override;

  // Adds the routes under /v1/queues and /v1/workers. Before the server starts.
  void Register(wire::Router& router);

  void Start();
  // Answers the calls taken and takes no more.
  void Stop();

  fleet::HostWork WorkOn(const std::string& host) const override;
  void RequestEvacuation(const std::string& host) override;

  // One for each pool of the document that this process has heard of.
  std::vector<TaskPoolStatus> Status() const;

 private:
  TaskService(TaskServiceDependencies parts,
              const ShardForwarder& forwarder,
              TaskServiceOptions options);

  // What a caller's call on one task asks of the owner's pump.
  using TaskCall = std::function<void(TaskEventBatcher&,
                                      const std::string& key,
                                      const wire::HttpResponder&)>;

  void HandleSubmit(wire::HttpRequest request, wire::HttpResponder respond);
  void HandleRead(wire::HttpRequest request, wire::HttpResponder respond);
  void HandleCancel(wire::HttpRequest request, wire::HttpResponder respond);
  // Runs the call on the owner of the task that the request names.
  void ForwardTaskCall(wire::HttpRequest request,
                       wire::HttpResponder respond,
                       TaskCall call);
  void HandleResolve(wire::HttpRequest request, wire::HttpResponder respond);
  void HandlePoll(wire::HttpRequest request, wire::HttpResponder respond);

  // The queue that a call names, if the caller's key is for it.
  base::Result<config::Queue> AuthorizeCaller(
      const wire::HttpRequest& request) const;
  std::string PoolOfHost(const std::string& host) const;
  void RefreshHostPools();
  std::shared_ptr<TaskEventBatcher> BatcherOf(const std::string& pool);
  std::shared_ptr<TaskEventBatcher> FindBatcher(const std::string& pool) const;
  void WatchPools();

  TaskServiceDependencies m_parts;
  const ShardForwarder& m_forwarder;
  TaskServiceOptions m_options;
  base::Log m_log{"tasks"};

  mutable std::mutex m_mutex;  // Guards what follows.
  std::condition_variable m_changed;
  base::Random m_random;
  std::map<std::string, std::shared_ptr<TaskEventBatcher>> m_batchers;
  std::map<std::string, std::string> m_host_pools;
  bool m_stopping = false;
  std::thread m_watcher;
};

}  // namespace cassiastile::control
