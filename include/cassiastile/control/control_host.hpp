#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "cassiastile/base/error.hpp"
#include "cassiastile/config/settings.hpp"
#include "cassiastile/daemon/platform_access.hpp"
#include "cassiastile/member/member.hpp"
#include "cassiastile/wire/http_server.hpp"

namespace cassiastile::control {

struct ControlHostOptions {
  config::SocketAddress listen;  // HTTP for operators, callers and workers.
  std::size_t http_threads = 4;
  member::MemberOptions member;
  daemon::PlatformAccessOptions platform;
  std::chrono::milliseconds pool_interval{1000};  // Between looks at the pools.
  // How long a rebooted host must stay up before it is trusted with work.
  std::chrono::milliseconds probe_time{10000};
  std::chrono::milliseconds drain_notice{500};
  std::chrono::milliseconds drain_deadline{30000};
};

// A control process: its membership, the shards that it owns, and the
// interfaces of docs/API.md.
class ControlHost {
 public:
  static base::Result<std::unique_ptr<ControlHost>> Start(
      ControlHostOptions options);
  ~ControlHost();
  ControlHost(const ControlHost&) = delete;
  ControlHost& operator=(const ControlHost&) = delete;

  // Answers what was taken, then gives up the shards and leaves the members.
  // Returns the number of calls cut off, zero when all were answered.
  std::size_t Stop();

 private:
  struct Parts;
  explicit ControlHost(std::unique_ptr<Parts> parts);

  std::unique_ptr<Parts> m_parts;
};

}  // namespace cassiastile::control
