#include "cassiastile/daemon/run_daemon.hpp"

#include <iostream>

#include "cassiastile/base/log.hpp"

namespace cassiastile::daemon {

std::variant<config::Settings, Answered> LoadSettings(
    const Invocation& invocation) {
  if (!base::StartLogging(invocation.log_level)) {
    std::cerr << "The log level must be debug, info, warn or error, not \""
              << invocation.log_level << "\".\n";
    return Answered{kExitUsage};
  }
  auto settings = config::Settings::Load(invocation.settings_path);
  if (!settings) {
    AreClean(settings.error());
    return Answered{kExitRefused};
  }
  return std::move(*settings);
}

bool AreClean(const base::Findings& findings) {
  std::cerr << base::FormatFindings(findings);
  return findings.empty();
}

int RefuseStart(const Program& program, const base::Error& error) {
  std::cerr << program.name << ": can't start: " << error.message << '\n';
  return kExitUnreachable;
}

}  // namespace cassiastile::daemon
