#pragma once

#include <chrono>
#include <cstddef>
#include <memory>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/log.hpp"
#include "cassiastile/config/settings.hpp"
#include "cassiastile/daemon/platform_access.hpp"
#include "cassiastile/entry/entry_service.hpp"
#include "cassiastile/member/member.hpp"
#include "cassiastile/wire/http_server.hpp"

namespace cassiastile::entry {

// Settings of an entry host's process.
struct EntryHostOptions {
  config::SocketAddress listen;
  std::size_t http_threads = 4;
  EntryOptions entry;
  member::MemberOptions member;
  daemon::PlatformAccessOptions platform;
  // How long new connections are still accepted while the load balancer notices
  // that this host is stopping, and how long requests may then take to finish.
  std::chrono::milliseconds drain_notice{3000};
  std::chrono::milliseconds drain_deadline{65000};
};

// The process of an entry host: a member of the fleet that serves requests,
// health checks and metrics over HTTP.
class EntryHost {
 public:
  // Fails with kUnavailable when an address can't be bound, and with kInvalid
  // when an option is invalid.
  static base::Result<std::unique_ptr<EntryHost>> Start(
      EntryHostOptions options);

  // Finishes the accepted requests, cuts off those that last beyond the drain
  // deadline, and then releases the credits.
  void Stop();

 private:
  explicit EntryHost(EntryHostOptions options);
  base::Result<void> Open();
  wire::Router MakeRouter();

  EntryHostOptions m_options;
  base::Log m_log{"entry"};
  base::SystemClock m_clock;
  wire::Metrics m_metrics;
  daemon::PlatformAccess m_platform;
  std::unique_ptr<member::Member> m_member;
  std::unique_ptr<wire::HttpServer> m_server;
  std::unique_ptr<EntryService> m_service;
};

}  // namespace cassiastile::entry
