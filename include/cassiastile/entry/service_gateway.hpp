#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/entry/service_shard.hpp"
#include "cassiastile/wire/http_client.hpp"

namespace cassiastile::entry {

// A validated request, and the callback for its outcome.
struct GatewayRequest {
  work::RequestTicket ticket;
  std::shared_ptr<const wire::HttpRequest> http;
  std::function<void(work::Outcome)> done;
};

// Settings of a service's gateway.
struct ServiceGatewayOptions {
  ServiceShardOptions shard;
  std::string host;  // Not read; request ids begin with `shard.holder`.
  std::size_t max_answer_bytes = 4U << 20U;
  std::chrono::milliseconds probe_timeout{1000};
  std::chrono::milliseconds connect_timeout{1000};
};

// Runs the requests for one service at this host: its shard decides which
// runner gets each, and the gateway sends them.
class ServiceGateway {
 public:
  // The clock must outlive the gateway. The client must be destroyed before the
  // gateway: that ends the calls, whose callbacks use the gateway.
  ServiceGateway(ServiceGatewayOptions options,
                 const base::Clock& clock,
                 wire::HttpClient& client,
                 std::uint64_t seed);

  // Accepts a request. Its `done` is called exactly once, with the outcome, on
  // any thread and possibly within this call, unless the gateway is destroyed
  // first.
  void Accept(GatewayRequest request);

  ServiceShard& Shard() { return m_shard; }

 private:
  ServiceShardHooks MakeHooks();
  void Send(const work::SendTry& send);
  void Probe(const work::SendProbe& probe);
  void Finish(work::FinishRequest finish);
  wire::HttpCall MakeCall(const work::SendTry& send,
                          const GatewayRequest& request,
                          const std::string& request_id) const;

  ServiceGatewayOptions m_options;
  const base::Clock& m_clock;
  wire::HttpClient& m_client;
  std::string m_id_prefix;

  std::mutex m_mutex;  // Guards m_requests.
  std::map<work::RequestId, std::shared_ptr<GatewayRequest>> m_requests;

  ServiceShard m_shard;
};

}  // namespace cassiastile::entry
