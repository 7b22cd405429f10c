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

struct EntryHostOptions {
  config::SocketAddress listen;
  std::size_t http_threads = 4;
  EntryOptions entry;
  member::MemberOptions member;
  daemon::PlatformAccessOptions platform;
  // How long new connections are still taken while the balancer learns that
  // this host stops, and how long requests have to end after that.
  std::chrono::milliseconds drain_notice{3000};
  std::chrono::milliseconds drain_deadline{65000};
};

// An entry host's process: member of the fleet, requests over HTTP, health and
// metrics.
class EntryHost {
 public:
  // Fails when an address can't be bound or an option can't be used.
  static base::Result<std::unique_ptr<EntryHost>> Start(
      EntryHostOptions options);

  // Finishes the requests taken and gives the credits back.
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
