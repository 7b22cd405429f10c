#include "cassiastile/base/log.hpp"
#include "cassiastile/daemon/health.hpp"
#include "cassiastile/daemon/run_daemon.hpp"
#include "cassiastile/standin/worker_agent.hpp"
#include "cassiastile/wire/http_server.hpp"

namespace {

using namespace cassiastile;

constexpr std::uint16_t kDefaultPort = 7300;
constexpr std::chrono::milliseconds kDrainNotice{100};
constexpr std::chrono::milliseconds kDrainDeadline{2000};

// The address of the worker's HTTP server, and its agent's options.
struct WorkerDaemonOptions {
  config::SocketAddress listen;
  standin::WorkerAgentOptions agent;
};

// Runs a stand-in worker's agent until the process is stopped.
class WorkerDaemon final : public daemon::Daemon {
 public:
  static base::Result<std::unique_ptr<WorkerDaemon>> Start(
      const WorkerDaemonOptions& options) {
    auto running = std::make_unique<WorkerDaemon>();
    running->m_agent =
        standin::WorkerAgent::Start(running->m_clock, options.agent);
    wire::Router router;
    running->m_agent->Register(router);
    daemon::AddHealthRoutes(
        router, [] { return true; }, running->m_metrics, [] {});
    wire::HttpServerOptions server_options;
    server_options.address = options.listen.ip;
    server_options.port = options.listen.port;
    server_options.threads = 1;
    auto server = wire::HttpServer::Start(server_options, std::move(router));
    if (!server) {
      return tl::unexpected(server.error());
    }
    running->m_server = std::move(*server);
    running->m_log.Info("The stand-in worker " + options.agent.worker.name +
                        " has started.");
    return running;
  }

  void Stop() override {
    m_agent->Stop();
    m_server->Drain(kDrainNotice, kDrainDeadline);
    m_log.Info("The stand-in worker has stopped.");
  }

 private:
  base::Log m_log{"worker"};
  base::SystemClock m_clock;
  wire::Metrics m_metrics;
  std::unique_ptr<standin::WorkerAgent> m_agent;
  std::unique_ptr<wire::HttpServer> m_server;
};

WorkerDaemonOptions ReadOptions(config::Settings& settings) {
  WorkerDaemonOptions options;
  options.listen = settings.Address("listen", {"127.0.0.1", kDefaultPort});
  standin::WorkerAgentOptions& agent = options.agent;
  agent.worker.name = settings.Text("name");
  for (const config::SocketAddress& address : settings.AddressList("control")) {
    agent.control.push_back(config::FormatAddress(address));
  }
  if (agent.control.empty()) {
    settings.Report("control", "must name at least one control process");
  }
  agent.poll_timeout =
      settings.Milliseconds("poll_timeout_ms", agent.poll_timeout);
  agent.stop_deadline =
      settings.Milliseconds("stop_deadline_ms", agent.stop_deadline);
  agent.worker.usage_lag = settings.Milliseconds(
      "usage_lag_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                          agent.worker.usage_lag));
  // The start time in milliseconds: a restarted process must have a higher
  // incarnation.
  agent.worker.incarnation = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          base::SystemClock().WallNow().time_since_epoch())
          .count());
  return options;
}

}  // namespace

// cassia-worker: a stand-in for a worker's agent.
int main(int argc, char** argv) {
  const daemon::Program program{"cassia-worker",
                                "stands in for a host's agent that runs tasks"};
  return daemon::RunDaemon(program, argc, argv, ReadOptions,
                           WorkerDaemon::Start);
}
