#pragma once

#include <optional>
#include <string>

#include <sys/types.h>

#include "cassiastile/base/error.hpp"

namespace cassiastile::soak {

// A process that this program started, and that it may therefore signal. Ends
// with its owner.
class HostProcess {
 public:
  HostProcess() = default;
  ~HostProcess();
  HostProcess(const HostProcess&) = delete;
  HostProcess& operator=(const HostProcess&) = delete;

  // Output is appended to a file.
  base::Result<void> Start(const std::string& program,
                           const std::string& settings,
                           const std::string& output);
  // Nothing happens to a process that is not running.
  void Signal(int signal) const;
  bool IsRunning() const { return m_pid > 0; }
  // How the process ended, once, as wait(2) says it.
  std::optional<int> TakeExitStatus();

 private:
  pid_t m_pid = 0;
};

}  // namespace cassiastile::soak
