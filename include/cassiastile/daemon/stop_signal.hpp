#pragma once

#include <csignal>

namespace cassiastile::daemon {

// Waits for the request to stop. Made first in main, before any thread, so that
// all threads leave SIGTERM and SIGINT to Wait. SIGPIPE is ignored.
class StopSignal {
 public:
  StopSignal();

  // Returns when SIGTERM or SIGINT arrives.
  void Wait() const;

 private:
  sigset_t m_signals{};
};

}  // namespace cassiastile::daemon
