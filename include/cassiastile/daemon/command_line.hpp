#pragma once

#include <string>
#include <variant>

namespace cassiastile::daemon {

// A daemon's name and description, for --help and --version.
struct Program {
  std::string name;     // Such as "cassia-entry".
  std::string summary;  // One sentence on what the program does.
};

// The options from a daemon's command line.
struct CommandLineOptions {
  std::string settings_path;       // From --config; never empty.
  std::string log_level = "info";  // Not checked here; see LoadSettings.
  bool check_only = false;         // Check the settings, then exit.
};

// Says that the program has printed its answer and should exit with the given
// status: after --help, --version, wrong usage or invalid settings.
struct EarlyExit {
  int exit_status = 0;
};

// Exit statuses of daemons, as listed by --help.
inline constexpr int kExitSuccess = 0;
inline constexpr int kExitInvalidSettings = 1;
inline constexpr int kExitUsage = 2;
inline constexpr int kExitStartFailed = 3;

// Parses --help, --version, --config FILE, --log-level LEVEL and --check.
// Prints the help, the version or the usage error itself and then returns
// EarlyExit: status 0 for help and version, 2 for wrong usage.
std::variant<CommandLineOptions, EarlyExit>
ReadCommandLine(const Program& program, int argc, const char* const* argv);

}  // namespace cassiastile::daemon
