#include "cassiastile/soak/host_process.hpp"

#include <array>
#include <csignal>
#include <cstring>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace cassiastile::soak {

HostProcess::~HostProcess() {
  if (m_pid > 0) {
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
  }
}

base::Result<void> HostProcess::Start(const std::string& program,
                                      const std::string& settings,
                                      const std::string& output,
                                      const std::string& errors) {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr mode_t kLogFileMode = 0644;
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kLogFileMode);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, errors.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kLogFileMode);
  // A connection that this program closes must not stay open in the host.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  std::string name = program;
  std::string option = "--settings";
  std::string path = settings;
  std::array<char*, 4> arguments{name.data(), option.data(), path.data(),
                                 nullptr};
  const int error = posix_spawn(&m_pid, program.c_str(), &actions, nullptr,
                                arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    m_pid = 0;
    return base::Fail(base::ErrorCode::kUnavailable,
                      program + ": " + std::strerror(error));
  }
  return {};
}

void HostProcess::Signal(int signal) const {
  if (m_pid > 0) {
    kill(m_pid, signal);
  }
}

std::optional<int> HostProcess::TakeExitStatus() {
  int status = 0;
  if (m_pid <= 0 || waitpid(m_pid, &status, WNOHANG) != m_pid) {
    return std::nullopt;
  }
  m_pid = 0;
  return status;
}

}  // namespace cassiastile::soak
