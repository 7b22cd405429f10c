#include "cassiastile/entry/entry_host.hpp"

#include <utility>

#include "cassiastile/daemon/health.hpp"

namespace cassiastile::entry {

base::Result<std::unique_ptr<EntryHost>> EntryHost::Start(
    EntryHostOptions options) {
  std::unique_ptr<EntryHost> host(new EntryHost(std::move(options)));
  const base::Result<void> opened = host->Open();
  if (!opened) {
    return tl::unexpected(opened.error());
  }
  return host;
}

EntryHost::EntryHost(EntryHostOptions options)
    : m_options(std::move(options)), m_platform(m_clock, m_options.platform) {}

base::Result<void> EntryHost::Open() {
  auto created =
      member::Member::Create(m_options.member, m_platform.Table(), m_clock);
  if (!created) {
    return tl::unexpected(created.error());
  }
  m_member = std::move(*created);
  m_member->Start();
  auto service = EntryService::Create(
      m_options.entry, {m_platform.Table(), m_platform.Hosts(), *m_member,
                        m_platform.Decisions(), m_clock, m_metrics});
  if (!service) {
    return tl::unexpected(service.error());
  }
  m_service = std::move(*service);
  wire::HttpServerOptions server;
  server.address = m_options.listen.ip;
  server.port = m_options.listen.port;
  server.threads = m_options.http_threads;
  // Above the limit of the entry service, which refuses a larger body with a
  // reason.
  server.max_body_bytes = 2 * m_options.entry.limits.max_body_bytes;
  auto started = wire::HttpServer::Start(server, MakeRouter());
  if (!started) {
    return tl::unexpected(started.error());
  }
  m_server = std::move(*started);
  m_log.Info("Accepting requests on port " + std::to_string(m_server->Port()) +
             ".");
  return {};
}

void EntryHost::Stop() {
  m_log.Info("Draining requests before the shutdown.");
  m_service->BeginDrain();
  const std::size_t cut =
      m_server->Drain(m_options.drain_notice, m_options.drain_deadline);
  if (cut > 0) {
    m_log.Warn(std::to_string(cut) +
               " requests were cut off at the drain deadline.");
  }
  m_service->ReleaseCredits();
  m_service.reset();
  m_member->Stop();
  m_log.Info("Stopped.");
}

wire::Router EntryHost::MakeRouter() {
  wire::Router router;
  m_service->AddRoutes(router);
  daemon::AddHealthRoutes(
      router, [this] { return m_service->IsReady(); }, m_metrics,
      [this] {
        m_service->UpdateMetrics();
        m_platform.UpdateMetrics(m_metrics);
      });
  return router;
}

}  // namespace cassiastile::entry
