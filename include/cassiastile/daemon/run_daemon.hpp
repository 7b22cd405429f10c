#pragma once

#include <memory>
#include <utility>
#include <variant>

#include "cassiastile/base/error.hpp"
#include "cassiastile/config/settings.hpp"
#include "cassiastile/daemon/command_line.hpp"
#include "cassiastile/daemon/stop_signal.hpp"

namespace cassiastile::daemon {

// A running daemon. Stop shuts it down gracefully: calls in progress finish
// first.
class Daemon {
 public:
  virtual ~Daemon() = default;
  virtual void Stop() = 0;
};

// Adapts a class to Daemon. The class needs a static Start(Options) that
// returns a base::Result of a std::unique_ptr to it, and a Stop().
template <typename Implementation>
class DaemonAdapter final : public Daemon {
 public:
  template <typename Options>
  static base::Result<std::unique_ptr<DaemonAdapter>> Start(Options options) {
    auto implementation = Implementation::Start(std::move(options));
    if (!implementation) {
      return tl::unexpected(implementation.error());
    }
    auto running = std::make_unique<DaemonAdapter>();
    running->m_implementation = std::move(*implementation);
    return running;
  }

  void Stop() override { m_implementation->Stop(); }

 private:
  std::unique_ptr<Implementation> m_implementation;
};

// Starts logging and loads the settings file named on the command line. On
// failure, prints the error to standard error and returns EarlyExit: kExitUsage
// for an unknown log level, kExitInvalidSettings for invalid settings.
std::variant<config::Settings, EarlyExit> LoadSettings(
    const CommandLineOptions& command_line);

// Prints findings to standard error. Returns whether there are none.
bool AreClean(const base::Findings& findings);

// Prints to standard error why a program can't start. Returns kExitStartFailed.
int ReportStartFailure(const Program& program, const base::Error& error);

// A daemon's main function: reads the command line and the settings, starts the
// daemon, waits for SIGTERM or SIGINT and stops it. `read` converts settings to
// options; `start` takes the options and returns a base::Result of a
// std::unique_ptr to the daemon. Returns the exit status.
template <typename Read, typename Start>
int RunDaemon(const Program& program,
              int argc,
              const char* const* argv,
              const Read& read,
              const Start& start) {
  const StopSignal signal;
  const auto parsed = ReadCommandLine(program, argc, argv);
  if (const auto* early_exit = std::get_if<EarlyExit>(&parsed)) {
    return early_exit->exit_status;
  }
  const auto& command_line = std::get<CommandLineOptions>(parsed);
  auto loaded = LoadSettings(command_line);
  if (const auto* early_exit = std::get_if<EarlyExit>(&loaded)) {
    return early_exit->exit_status;
  }
  auto& settings = std::get<config::Settings>(loaded);
  auto options = read(settings);
  if (!AreClean(settings.Finish())) {
    return kExitInvalidSettings;
  }
  if (command_line.check_only) {
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
