#pragma once

#include <memory>
#include <utility>
#include <variant>

#include "cassiastile/base/error.hpp"
#include "cassiastile/config/settings.hpp"
#include "cassiastile/daemon/command_line.hpp"
#include "cassiastile/daemon/stop_signal.hpp"

namespace cassiastile::daemon {

// A running program. Stop ends it gracefully: what was begun is finished.
class Daemon {
 public:
  virtual ~Daemon() = default;
  virtual void Stop() = 0;
};

// A daemon that is one object with a static Start(Options), which returns a
// base::Result of a std::unique_ptr, and a Stop().
template <typename Host>
class HostDaemon final : public Daemon {
 public:
  template <typename Options>
  static base::Result<std::unique_ptr<HostDaemon>> Start(Options options) {
    auto host = Host::Start(std::move(options));
    if (!host) {
      return tl::unexpected(host.error());
    }
    auto running = std::make_unique<HostDaemon>();
    running->m_host = std::move(*host);
    return running;
  }

  void Stop() override { m_host->Stop(); }

 private:
  std::unique_ptr<Host> m_host;
};

// Loads the settings that the command line names and starts the log, or says on
// standard error what is wrong.
std::variant<config::Settings, EarlyExit> LoadSettings(
    const Invocation& invocation);

// Prints findings on standard error. True when there were none.
bool AreClean(const base::Findings& findings);

// Says on standard error why a program can't start.
int ReportStartFailure(const Program& program, const base::Error& error);

// A daemon's main: reads the command line and the settings, starts the daemon,
// waits for the signal to stop and stops it. `read` turns settings into
// options; `start` turns options into a daemon, as base::Result of a
// std::unique_ptr. Returns the status to exit with.
template <typename Read, typename Start>
int RunDaemon(const Program& program,
              int argc,
              const char* const* argv,
              const Read& read,
              const Start& start) {
  const StopSignal signal;
  const auto command = ReadCommandLine(program, argc, argv);
  if (const auto* answered = std::get_if<EarlyExit>(&command)) {
    return answered->exit_status;
  }
  const auto& invocation = std::get<Invocation>(command);
  auto loaded = LoadSettings(invocation);
  if (const auto* answered = std::get_if<EarlyExit>(&loaded)) {
    return answered->exit_status;
  }
  auto& settings = std::get<config::Settings>(loaded);
  auto options = read(settings);
  if (!AreClean(settings.Finish())) {
    return kExitInvalidSettings;
  }
  if (invocation.check_only) {
    return kExitSuccess;
  }
  auto daemon = start(std::move(options));
  if (!daemon) {
    return ReportStartFailure(program, daemon.error());
  }
  signal.Wait();
  (*daemon)->Stop();
  return kExitSuccess;
}

}  // namespace cassiastile::daemon
