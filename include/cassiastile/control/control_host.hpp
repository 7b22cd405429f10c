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

// Settings of a control process.
struct ControlHostOptions {
  config::SocketAddress listen;  // HTTP for operators, callers and workers.
  std::size_t http_threads = 4;
  member::MemberOptions member;
  daemon::PlatformAccessOptions platform;
  std::chrono::milliseconds pool_interval{
      1000};  // Between pool service rounds.
  // How long a rebooted host must stay up before it gets work again.
  std::chrono::milliseconds probe_time{10000};
  // How long /readyz fails, while connections are still accepted, before the
  // HTTP server drains.
  std::chrono::milliseconds drain_notice{500};
  // Calls still unanswered this long after the notice are cut off.
  std::chrono::milliseconds drain_deadline{30000};
};

// A control process. It is a member of the fleet, owns the shards of some
// pools, and serves operators, task submitters and workers over HTTP;
// docs/API.md describes the routes.
class ControlHost {
 public:
  // Starts all threads and listens. Fails if the member can't be created or the
  // address can't be listened on.
  static base::Result<std::unique_ptr<ControlHost>> Start(
      ControlHostOptions options);
  ~ControlHost();
  ControlHost(const ControlHost&) = delete;
  ControlHost& operator=(const ControlHost&) = delete;

  // Answers the calls already accepted, within the drain notice and deadline,
  // then releases the shards and leaves the membership. Returns the number of
  // calls cut off unanswered.
  std::size_t Stop();

 private:
  struct Components;
  explicit ControlHost(std::unique_ptr<Components> components);

  std::unique_ptr<Components> m_components;
};

}  // namespace cassiastile::control
