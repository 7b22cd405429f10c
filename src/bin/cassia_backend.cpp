#include "cassiastile/base/log.hpp"
#include "cassiastile/daemon/run_daemon.hpp"
#include "cassiastile/standin/backend.hpp"

namespace {

using namespace cassiastile;

constexpr std::uint16_t kDefaultPort = 7300;
constexpr std::int64_t kMaxSlots = 10000;

// Runs a stand-in backend server until the process is stopped.
class BackendDaemon final : public daemon::Daemon {
 public:
  static base::Result<std::unique_ptr<BackendDaemon>> Start(
      standin::BackendOptions options) {
    auto backend = standin::Backend::Start(std::move(options));
    if (!backend) {
      return tl::unexpected(backend.error());
    }
    auto running = std::make_unique<BackendDaemon>();
    running->m_backend = std::move(*backend);
    running->m_log.Info("The runner listens on " +
                        running->m_backend->Address() + ".");
    return running;
  }

  void Stop() override { m_backend.reset(); }

 private:
  base::Log m_log{"runner"};
  std::unique_ptr<standin::Backend> m_backend;
};

standin::BackendOptions ReadOptions(config::Settings& settings) {
  standin::BackendOptions options;
  options.name = settings.Text("name", options.name);
  const config::SocketAddress listen =
      settings.Address("listen", {"127.0.0.1", kDefaultPort});
  options.address = listen.ip;
  options.port = listen.port;
  options.slots = static_cast<std::uint32_t>(
      settings.Number("slots", options.slots, 1, kMaxSlots));
  options.service_time =
      settings.Milliseconds("service_ms", options.service_time);
  return options;
}

}  // namespace

// cassia-backend: a stand-in for a service's backend server (runner), with
// faults that are set over HTTP.
int main(int argc, char** argv) {
  const daemon::Program program{
      "cassia-backend", "stands in for a runner and fails as it is told to"};
  return daemon::RunDaemon(program, argc, argv, ReadOptions,
                           BackendDaemon::Start);
}
