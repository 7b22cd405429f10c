#pragma once

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/log.hpp"
#include "cassiastile/standin/worker.hpp"
#include "cassiastile/wire/http_client.hpp"
#include "cassiastile/wire/router.hpp"

namespace cassiastile::standin {

struct WorkerAgentOptions {
  WorkerOptions worker;
  // IP:PORT of control processes. Must not be empty.
  std::vector<std::string> control;
  std::chrono::milliseconds poll_timeout{2000};
  // How long Stop waits for runs that can be neither checkpointed nor stopped.
  std::chrono::milliseconds stop_deadline{20000};
};

// Runs a simulated worker that polls control processes over HTTP. Logs one line
// for each start and end of a run. Thread-safe.
class WorkerAgent {
 public:
  // Starts the threads of the agent. The clock must outlive the agent.
  static std::unique_ptr<WorkerAgent> Start(const base::Clock& clock,
                                            WorkerAgentOptions options);
  ~WorkerAgent();
  WorkerAgent(const WorkerAgent&) = delete;
  WorkerAgent& operator=(const WorkerAgent&) = delete;

  // Adds POST /v1/faults, which takes {"paused", "failing", "restart"}.
  void Register(wire::Router& router);

  // Takes no new tasks, checkpoints or stops the runs that allow it, waits for
  // the others up to the stop deadline, and stops polling.
  void Stop();

 private:
  WorkerAgent(const base::Clock& clock, WorkerAgentOptions options);

  void Tick();
  void PollUntilStopped();
  void PollOnce();
  bool PollPool(const std::string& pool);
  wire::HttpResponse SetFaults(const std::string& body);
  void LogLine(const WorkerLogEntry& line) const;

  const base::Clock& m_clock;
  const WorkerAgentOptions m_options;
  base::Log m_log{"worker"};
  std::unique_ptr<wire::HttpClient> m_client;
  // Index of the control process to poll next. Used by the polling thread only.
  std::size_t m_next_control = 0;

  std::mutex m_mutex;  // Guards the members below.
  std::condition_variable m_changed;
  Worker m_worker;
  base::Duration m_poll_after{};
  bool m_stopping = false;
  std::thread m_ticker;
  std::thread m_poller;
};

}  // namespace cassiastile::standin
