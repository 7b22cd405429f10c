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

// A request that was found good, and what is called with its end.
struct GatewayRequest {
  work::RequestTicket ticket;
  std::shared_ptr<const wire::HttpRequest> http;
  std::function<void(work::Outcome)> done;
};

struct ServiceGatewayOptions {
  ServiceShardOptions shard;
  std::string host;  // This host's name, the first part of request ids.
  std::size_t max_answer_bytes = 4U << 20U;
  std::chrono::milliseconds probe_timeout{1000};
  std::chrono::milliseconds connect_timeout{1000};
};

// One service at this host: decides by its shard and calls the runners.
class ServiceGateway {
 public:
  // The clock and the client outlive the gateway's calls: the client is
  // destroyed, which ends them, before the gateway.
  ServiceGateway(ServiceGatewayOptions options,
                 const base::Clock& clock,
                 wire::HttpClient& client,
                 std::uint64_t seed);

  // Takes a request; it ends through its `done`, called once.
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

  std::mutex m_mutex;  // Guards the requests under way.
  std::map<work::RequestId, std::shared_ptr<GatewayRequest>> m_requests;

  ServiceShard m_shard;
};

}  // namespace cassiastile::entry
