#pragma once

#include <csignal>

namespace cassiastile::daemon {

// Waits for SIGTERM or SIGINT. Construct it first in main: threads inherit the
// blocked signals only if they start later, and only then is Wait sure to
// receive them. The constructor also makes the process ignore SIGPIPE.
class StopSignal {
 public:
  StopSignal();

  // Blocks until SIGTERM or SIGINT arrives.
  void Wait() const;

 private:
  sigset_t m_signals{};
};

}  // namespace cassiastile::daemon
