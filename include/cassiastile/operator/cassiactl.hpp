#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace cassiastile::operators {

// What an exit status of cassiactl means.
enum class ExitCode {
  kDone = 0,
  kRefused = 1,      // With findings or a reason; nothing was changed.
  kUsage = 2,        // The command line or the settings are wrong.
  kUnreachable = 3,  // No answer, or none that tells whether it was done.
};

// The streams that a run reads and writes.
struct Console {
  std::istream& in;
  std::ostream& out;
  std::ostream& err;
};

// Runs cassiactl with its arguments, the program's name left out.
ExitCode RunCassiactl(const std::vector<std::string>& arguments,
                      const Console& console);

}  // namespace cassiastile::operators
