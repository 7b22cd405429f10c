#include "cassiastile/daemon/run_daemon.hpp"

#include <iostream>

#include "cassiastile/base/log.hpp"

namespace cassiastile::daemon {

std::variant<config::Settings, EarlyExit> LoadSettings(
    const CommandLineOptions& command_line) {
  if (!base::StartLogging(command_line.log_level)) {
    std::cerr << "The log level must be debug, info, warn or error, not \""
              << command_line.log_level << "\".\n";
    return EarlyExit{kExitUsage};
  }
  auto settings = config::Settings::Load(command_line.settings_path);
  if (!settings) {
    AreClean(settings.error());
    return EarlyExit{kExitInvalidSettings};
  }
  return std::move(*settings);
}

bool AreClean(const base::Findings& findings) {
  std::cerr << base::FormatFindings(findings);
  return findings.empty();
}

int ReportStartFailure(const Program& program, const base::Error& error) {
  std::cerr << program.name << ": can't start: " << error.message << '\n';
  return kExitStartFailed;
}

}  // namespace cassiastile::daemon
