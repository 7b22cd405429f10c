#include "cassiastile/entry/service_gateway.hpp"

#include <utility>

#include "cassiastile/base/hash.hpp"
#include "cassiastile/entry/request_validation.hpp"
#include "cassiastile/work/request_try.hpp"

namespace cassiastile::entry {

namespace {

constexpr int kOk = 200;

std::string MakeUrl(const std::string& address,
                    const wire::HttpRequest& request) {
  const auto path = request.path_parameters.find("path");
  std::string url = "http://" + address + "/";
  url += path == request.path_parameters.end() ? "" : path->second;
  return request.query.empty() ? url : url + "?" + request.query;
}

}  // namespace

ServiceGateway::ServiceGateway(ServiceGatewayOptions options,
                               const base::Clock& clock,
                               wire::HttpClient& client,
                               std::uint64_t seed)
    : m_options(std::move(options)),
      m_clock(clock),
      m_client(client),
      m_id_prefix(m_options.shard.holder),
      m_shard(m_options.shard, MakeHooks(), seed) {}

void ServiceGateway::Accept(GatewayRequest request) {
  const work::RequestTicket ticket = request.ticket;
  {
    const std::lock_guard lock(m_mutex);
    m_requests.emplace(ticket.id,
                       std::make_shared<GatewayRequest>(std::move(request)));
  }
  m_shard.Arrive(ticket, m_clock.Now());
}

ServiceShardHooks ServiceGateway::MakeHooks() {
  ServiceShardHooks hooks;
  hooks.send = [this](const work::SendTry& send) { Send(send); };
  hooks.probe = [this](const work::SendProbe& probe) { Probe(probe); };
  hooks.finish = [this](work::FinishRequest finish) {
    Finish(std::move(finish));
  };
  return hooks;
}

void ServiceGateway::Send(const work::SendTry& send) {
  std::shared_ptr<GatewayRequest> request;
  {
    const std::lock_guard lock(m_mutex);
    const auto found = m_requests.find(send.request_id);
    if (found != m_requests.end()) {
      request = found->second;
    }
  }
  if (!request) {
    m_shard.EndTry(send.try_id, work::TryNotSent{}, m_clock.Now());
    return;
  }
  const std::string request_id = m_id_prefix + "-" +
                                 std::to_string(send.request_id) + "-" +
                                 std::to_string(send.try_id);
  m_client.Start(
      MakeCall(send, *request, request_id),
      [this, try_id = send.try_id, request_id](wire::HttpOutcome outcome) {
        m_shard.EndTry(try_id,
                       work::ClassifyTry(std::move(outcome), request_id),
                       m_clock.Now());
      });
}

void ServiceGateway::Probe(const work::SendProbe& probe) {
  wire::HttpCall call;
  call.url = "http://" + probe.address + "/healthz";
  call.timeout = m_options.probe_timeout;
  call.connect_timeout = m_options.probe_timeout;
  call.fresh_connection = true;
  m_client.Start(std::move(call), [this, runner = probe.runner](
                                      const wire::HttpOutcome& outcome) {
    const bool healthy = outcome && outcome->status == kOk;
    m_shard.EndProbe(runner, healthy, m_clock.Now());
  });
}

void ServiceGateway::Finish(work::FinishRequest finish) {
  std::shared_ptr<GatewayRequest> request;
  {
    const std::lock_guard lock(m_mutex);
    const auto found = m_requests.find(finish.ticket.id);
    if (found == m_requests.end()) {
      return;
    }
    request = std::move(found->second);
    m_requests.erase(found);
  }
  if (auto* answered = std::get_if<work::Answered>(&finish.outcome)) {
    answered->response.headers =
        KeepEndToEndHeaders(answered->response.headers);
  }
  request->done(std::move(finish.outcome));
}

wire::HttpCall ServiceGateway::MakeCall(const work::SendTry& send,
                                        const GatewayRequest& request,
                                        const std::string& request_id) const {
  wire::HttpCall call;
  call.method = request.http->method;
  call.url = MakeUrl(send.address, *request.http);
  call.headers = KeepEndToEndHeaders(request.http->headers);
  call.headers.emplace_back(work::kRequestIdHeader, request_id);
  call.headers.emplace_back(work::kTimeoutHeader,
                            std::to_string(base::Milliseconds(send.timeout)));
  if (!request.ticket.team.empty()) {
    call.headers.emplace_back("Cassiastile-Team", request.ticket.team);
  }
  call.body = request.http->body;
  call.timeout = std::chrono::milliseconds(base::Milliseconds(send.timeout));
  call.connect_timeout = m_options.connect_timeout;
  call.fresh_connection = send.fresh_connection;
  call.max_body_bytes = m_options.max_answer_bytes;
  return call;
}

}  // namespace cassiastile::entry
