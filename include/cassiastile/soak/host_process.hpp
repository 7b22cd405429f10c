#pragma once

#include <optional>
#include <string>

#include <sys/types.h>

#include "cassiastile/base/error.hpp"

namespace cassiastile::soak {

// A host process that this program starts, and may therefore signal. The
// destructor kills it.
class HostProcess {
 public:
  HostProcess() = default;
  ~HostProcess();
  HostProcess(const HostProcess&) = delete;
  HostProcess& operator=(const HostProcess&) = delete;

  // Starts `program` with the settings file `settings`, and appends its output
  // to the file `output` and its standard error to `errors`. It inherits no
  // other descriptors than standard input. Fails with kUnavailable if it can't
  // be started.
  base::Result<void> Start(const std::string& program,
                           const std::string& settings,
                           const std::string& output,
                           const std::string& errors);
  // Does nothing if the process is not running.
  void Signal(int signal) const;
  // Zero if the process is not running.
  pid_t Id() const { return m_pid; }
  bool IsRunning() const { return m_pid > 0; }
  // Returns the status of wait(2) once after the process has exited, else
  // nothing. Doesn't block.
  std::optional<int> TakeExitStatus();

 private:
  pid_t m_pid = 0;
};

}  // namespace cassiastile::soak
