#include "cassiastile/daemon/stop_signal.hpp"

#include <pthread.h>

namespace cassiastile::daemon {

StopSignal::StopSignal() {
  sigemptyset(&m_signals);
  sigaddset(&m_signals, SIGTERM);
  sigaddset(&m_signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
  static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
}

void StopSignal::Wait() const {
  int signal = 0;
  sigwait(&m_signals, &signal);
}

}  // namespace cassiastile::daemon
