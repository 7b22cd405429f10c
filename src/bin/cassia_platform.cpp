#include <utility>

#include "cassiastile/base/log.hpp"
#include "cassiastile/daemon/run_daemon.hpp"
#include "cassiastile/standin/platform_server.hpp"

namespace {

using namespace cassiastile;

constexpr std::uint16_t kDefaultPort = 7000;
constexpr std::int64_t kMaxSeed = 1'000'000'000;

// Runs the stand-in platform until the process is stopped.
class PlatformDaemon final : public daemon::Daemon {
 public:
  static base::Result<std::unique_ptr<PlatformDaemon>> Start(
      standin::PlatformServerOptions options) {
    auto running = std::make_unique<PlatformDaemon>();
    auto server =
        standin::PlatformServer::Start(running->m_clock, std::move(options));
    if (!server) {
      return tl::unexpected(server.error());
    }
    running->m_server = std::move(*server);
    running->m_log.Info("The stand-in listens on port " +
                        std::to_string(running->m_server->Port()) + ".");
    return running;
  }

  void Stop() override {
    m_server->Drain();
    m_log.Info("The stand-in has stopped.");
  }

 private:
  base::Log m_log{"platform"};
  base::SystemClock m_clock;
  std::unique_ptr<standin::PlatformServer> m_server;
};

standin::PlatformServerOptions ReadOptions(config::Settings& settings) {
  standin::PlatformServerOptions options;
  const config::SocketAddress listen =
      settings.Address("listen", {"127.0.0.1", kDefaultPort});
  options.address = listen.ip;
  options.port = listen.port;
  options.list_lag = settings.Milliseconds("list_lag_ms", options.list_lag);
  options.reboot_time = settings.Milliseconds("reboot_ms", options.reboot_time);
  options.seed =
      static_cast<std::uint64_t>(settings.Number("seed", 1, 0, kMaxSeed));
  return options;
}

}  // namespace

// cassia-platform: a stand-in for the platform's services.
int main(int argc, char** argv) {
  const daemon::Program program{
      "cassia-platform",
      "stands in for the platform's table, object store, host list and "
      "machines"};
  return daemon::RunDaemon(program, argc, argv, ReadOptions,
                           PlatformDaemon::Start);
}
