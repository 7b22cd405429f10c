// cassia-host: the process of one host. It takes callers' jobs and, while it is
// the leader, schedules them.
//
// Exit status: 0 after a stop or a valid --check, 1 if a port can't be bound, 2
// for wrong usage or invalid settings.
#include <csignal>
#include <iostream>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include "cassiastile/config/text_file.hpp"
#include "cassiastile/host/asio_loop.hpp"
#include "cassiastile/host/host_node.hpp"
#include "cassiastile/host/listener_limits.hpp"
#include "cassiastile/host/listener_watch.hpp"
#include "cassiastile/host/odd_entries.hpp"
#include "cassiastile/host/peer_client.hpp"
#include "cassiastile/wire/http_server.hpp"
#include "clients.hpp"
#include "decode.hpp"
#include "names.hpp"

namespace {

using namespace cassiastile;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr char kMetricsPath[] = "/metrics";
constexpr int kUnavailable = 503;
constexpr std::chrono::milliseconds kLogFlush{100};
constexpr std::chrono::milliseconds kStopPoll{50};
constexpr std::chrono::milliseconds kUsageReport{1000};
// The load balancer checks readiness once a second and takes a host out after
// two failed checks.
constexpr std::chrono::milliseconds kBalancerDetectionTime{2500};
// The end of the stop grace period that is reserved for the exit itself.
constexpr std::chrono::milliseconds kExitReserve{600};
// How long it may take to read what waits in the sockets and to answer it.
constexpr std::chrono::milliseconds kLastAnswers{150};

host::HostDependencies MakeDependencies(adapter::TableClient& table,
                                        adapter::WorkerClient& workers,
                                        adapter::MachineClient& machines,
                                        adapter::AdviceClient& advice) {
  return {.store = table,
          .workers = workers,
          .machines = machines,
          .advice = advice,
          .decode_config = adapter::DecodeConfig,
          .decode_worker = adapter::DecodeWorker,
          .decode_job = adapter::DecodeJob,
          .decode_wave = adapter::DecodeWave,
          .encode_wave_state = adapter::EncodeWaveState,
          .worker_table = adapter::kWorkerTable,
          .operator_table = adapter::kOperatorTable,
          .status_table = adapter::kStatusTable,
          .config_key = adapter::kConfigKey,
          .wave_prefix = adapter::kWavePrefix,
          .evacuation_prefix = adapter::kEvacuationPrefix};
}

host::JobFrontendFormat MakeFormat() {
  return {.key_header = adapter::kKeyHeader,
          .timeout_header = adapter::kTimeoutHeader,
          .encode_state = adapter::EncodeJobState,
          .encode_queue_length = adapter::EncodeQueueLength};
}

wire::HttpServerOptions OptionsFor(host::Listener listener,
                                   const host::MachineLimits& machine) {
  const host::ListenerLimits limits = host::LimitsOf(listener, machine);
  wire::HttpServerOptions options;
  options.limits = limits.connections;
  options.max_body_bytes = limits.max_body_bytes;
  options.socket_buffer_bytes = limits.socket_buffer_bytes;
  return options;
}

// The process: its event loop, its HTTP servers, its signal handling and its
// graceful stop. SIGHUP only checks the settings file and logs whether it
// changed.
class Program {
 public:
  Program(host::HostSettings settings, std::string settings_path)
      : m_settings(std::move(settings)),
        m_settings_path(std::move(settings_path)),
        m_loop(m_context, m_clock),
        m_log(m_clock, m_settings.host, m_metrics, host::StandardOutputSink()),
        m_listener_watch(m_log),
        m_client(wire::LoopClient::Create(m_context)),
        m_odd_entries(m_log, "list.bad_entry"),
        m_table(*m_client,
                m_settings.table_endpoint.Text(),
                ReportOddEntries()),
        m_workers(*m_client, ReportOddEntries()),
        m_machines(*m_client,
                   m_settings.machines_endpoint.Text(),
                   ReportOddEntries()),
        m_advice(*m_client, m_settings.advice_endpoint, ReportOddEntries()),
        m_peers(*m_client),
        m_node(MakeDependencies(m_table, m_workers, m_machines, m_advice),
               m_peers,
               m_loop,
               m_log,
               m_settings,
               MakeFormat(),
               base::MakeRandom()),
        m_signals(m_context, SIGTERM, SIGINT, SIGHUP) {}

  // Serves until SIGTERM or SIGINT has been handled. Fails if a port can't be
  // bound.
  base::Result<void> Run() {
    for (const base::Result<void>& started :
         {StartJobApi(), StartReadiness(), StartPeers(), StartMetrics()}) {
      if (!started) {
        return started;
      }
    }
    std::signal(SIGPIPE, SIG_IGN);
    AwaitSignal();
    FlushLog();
    ReportUsage();
    m_node.Begin();
    m_context.run();
    m_log.Write("host.end", {});
    m_log.Flush();
    return {};
  }

 private:
  adapter::OddEntryListener ReportOddEntries() {
    return [this](const std::string& list, const std::string& entry,
                  const std::string& reason) {
      m_odd_entries.LeftOut(list, entry, reason);
    };
  }

  base::Result<void> Listen(host::Listener listener,
                            const std::string& address,
                            std::uint16_t port,
                            wire::HttpHandler handler) {
    wire::HttpServerOptions options = OptionsFor(listener, m_settings.machine);
    options.context = &m_context;
    options.address = address;
    options.port = port;
    auto server = wire::HttpServer::Start(options, std::move(handler));
    if (!server) {
      return tl::unexpected(server.error());
    }
    m_servers.emplace_back(listener, std::move(*server));
    return {};
  }

  base::Result<void> StartJobApi() {
    const host::Endpoint& endpoint = m_settings.client_endpoint;
    return Listen(host::Listener::kCallers, endpoint.address, endpoint.port,
                  [this](const wire::HttpRequest& request,
                         const wire::HttpResponder& respond) {
                    m_node.ServeCaller(request, respond);
                  });
  }

  base::Result<void> StartReadiness() {
    const host::Endpoint& endpoint = m_settings.ready_endpoint;
    return Listen(
        host::Listener::kReadiness, endpoint.address, endpoint.port,
        [this](const wire::HttpRequest&, const wire::HttpResponder& respond) {
          wire::HttpResponse response;
          response.status = m_node.IsReady() ? kOk : kUnavailable;
          respond(response);
        });
  }

  base::Result<void> StartPeers() {
    return Listen(host::Listener::kPeers, m_settings.address,
                  m_settings.peer_port,
                  [this](const wire::HttpRequest& request,
                         const wire::HttpResponder& respond) {
                    host::ServePeer(m_node, request, respond);
                  });
  }

  base::Result<void> StartMetrics() {
    return Listen(host::Listener::kMetrics, m_settings.address,
                  m_settings.metrics_port,
                  [this](const wire::HttpRequest& request,
                         const wire::HttpResponder& respond) {
                    wire::HttpResponse response;
                    if (request.path == kMetricsPath) {
                      response.headers.emplace_back(
                          "Content-Type", "text/plain; version=0.0.4");
                      response.body = m_metrics.Expose();
                    } else {
                      response.status = kNotFound;
                    }
                    respond(response);
                  });
  }

  void FlushLog() {
    m_log.Flush();
    m_loop.After(kLogFlush, [this] { FlushLog(); });
  }

  void ReportUsage() {
    host::ListenerWatch::Usages usages;
    for (const auto& [listener, server] : m_servers) {
      usages.emplace_back(listener, server->Usage());
    }
    m_listener_watch.Report(usages);
    m_loop.After(kUsageReport, [this] { ReportUsage(); });
  }

  void AwaitSignal() {
    m_signals.async_wait([this](const asio::error_code& error, int signal) {
      if (error) {
        return;
      }
      if (signal == SIGHUP) {
        Reload();
      } else {
        Stop();
      }
      AwaitSignal();
    });
  }

  void Reload() {
    const auto text = config::ReadTextFile(m_settings_path);
    if (!text) {
      m_log.Write("host.reload_failed", {{"error", text.error().message}});
      return;
    }
    const auto settings = host::ParseHostSettings(*text);
    if (!settings) {
      m_log.Write("host.reload_failed", {{"error", settings.error().message}});
      return;
    }
    m_log.Write("host.reload", {{"changed", !(*settings == m_settings)}});
  }

  // Answers the clients with "Connection: close" from now on and lets the node
  // finish its work.
  void Stop() {
    if (m_stopping) {
      return;
    }
    m_stopping = true;
    m_stop_at = m_clock.Now();
    m_servers.front().second->BeginDrain();
    m_node.BeginStop();
    AwaitExit();
  }

  // Exits once the load balancer has noticed the stop and the node is ready, or
  // when the grace period is nearly over. A process that stood still may have
  // requests in its sockets that it has not read: it exits only after it has
  // run, and been ready, for a while.
  void AwaitExit() {
    const base::TimePoint now = m_clock.Now();
    const auto waited = now - m_stop_at;
    if (waited > m_settings.stop_grace - kExitReserve) {
      m_node.CloseFrontend();
      m_loop.After(kLastAnswers, [this] { m_context.stop(); });
      return;
    }
    if (!m_node.IsReadyToExit() || now - m_polled_at > 2 * kStopPoll) {
      m_ready_since = now;
    }
    m_polled_at = now;
    if (waited > kBalancerDetectionTime && now - m_ready_since > kLastAnswers) {
      m_context.stop();
      return;
    }
    m_loop.After(kStopPoll, [this] { AwaitExit(); });
  }

  host::HostSettings m_settings;
  std::string m_settings_path;
  base::SystemClock m_clock;
  asio::io_context m_context{1};
  host::AsioLoop m_loop;
  host::HostMetrics m_metrics;
  host::EventLog m_log;
  host::ListenerWatch m_listener_watch;
  std::unique_ptr<wire::LoopClient> m_client;
  host::OddEntries m_odd_entries;
  adapter::TableClient m_table;
  adapter::WorkerClient m_workers;
  adapter::MachineClient m_machines;
  adapter::AdviceClient m_advice;
  host::PeerClient m_peers;
  host::HostNode m_node;
  asio::signal_set m_signals;
  std::vector<std::pair<host::Listener, std::unique_ptr<wire::HttpServer>>>
      m_servers;
  bool m_stopping = false;
  base::TimePoint m_stop_at{};
  base::TimePoint m_polled_at{};    // Whether the node is ready to exit.
  base::TimePoint m_ready_since{};  // As far as that is known.
};

}  // namespace

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  po::options_description options("cassia-host");
  options.add_options()("help", "shows this text")(
      "settings", po::value<std::string>()->required(),
      "path of the host's settings, JSON with comments")(
      "check", "checks the settings and ends");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    if (values.contains("help")) {
      std::cout << options;
      return 0;
    }
    po::notify(values);
    const auto path = values["settings"].as<std::string>();
    const auto text = config::ReadTextFile(path);
    if (!text) {
      std::cerr << "cassia-host: " << text.error().message << "\n";
      return 2;
    }
    auto settings = host::ParseHostSettings(*text);
    if (!settings) {
      std::cerr << "cassia-host: " << path << ": " << settings.error().message
                << "\n";
      return 2;
    }
    if (values.contains("check")) {
      return 0;
    }
    Program program(std::move(*settings), path);
    const auto ended = program.Run();
    if (!ended) {
      std::cerr << "cassia-host: " << ended.error().message << "\n";
      return 1;
    }
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "cassia-host: " << error.what() << "\n" << options;
    return 2;
  }
}
