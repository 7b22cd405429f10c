#pragma once

#include <string>
#include <variant>

namespace cassiastile::daemon {

// What a daemon's --help and --version say.
struct Program {
  std::string name;     // Such as "cassia-entry".
  std::string summary;  // One sentence on what the program does.
};

// What was asked of a daemon on its command line.
struct Invocation {
  std::string settings_path;
  std::string log_level = "info";
  bool check_only = false;  // Only report findings on the settings.
};

// A command line that was answered already, with the status to exit with: 0
// after --help or --version, 2 after wrong usage.
struct EarlyExit {
  int exit_status = 0;
};

inline constexpr int kExitSuccess = 0;
inline constexpr int kExitInvalidSettings = 1;
inline constexpr int kExitUsage = 2;
inline constexpr int kExitStartFailed = 3;

// Reads --help, --version, --config FILE, --log-level LEVEL and --check.
std::variant<Invocation, EarlyExit> ReadCommandLine(const Program& program,
                                                    int argc,
                                                    const char* const* argv);

}  // namespace cassiastile::daemon
