#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace cassiastile::operators {

// The exit statuses of cassiactl.
enum class ExitCode {
  kDone = 0,
  // Refused, with findings or a reason; nothing was changed. Also if `audit`
  // finds the chain broken.
  kRefused = 1,
  // The command line or the settings are invalid.
  kUsage = 2,
  // No server answered, a server failed (status 5xx), or it is unknown whether
  // the call took effect.
  kUnreachable = 3,
};

// The standard streams of one run.
struct Console {
  std::istream& in;
  std::ostream& out;
  std::ostream& err;
};

// Runs cassiactl with its arguments, without the program's name, and returns
// its exit status.
ExitCode RunCassiactl(const std::vector<std::string>& arguments,
                      const Console& console);

}  // namespace cassiastile::operators
