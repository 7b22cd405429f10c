#pragma once

#include "cassiastile/host/host_node.hpp"
#include "cassiastile/wire/http_types.hpp"
#include "cassiastile/wire/loop_client.hpp"

namespace cassiastile::host {

// Calls between hosts over HTTP.
class PeerClient final : public PeerPort {
 public:
  explicit PeerClient(wire::LoopClient& client) : m_client(client) {}

  void Greet(const std::string& endpoint,
             const GossipMessage& greeting,
             Done<GossipMessage> done) override;
  void Ask(const std::string& endpoint,
           const JobRequest& request,
           std::chrono::milliseconds timeout,
           Done<JobAnswer> done) override;

 private:
  wire::LoopClient& m_client;
};

// Answers such calls for a host.
void ServePeer(HostNode& node,
               const wire::HttpRequest& request,
               const wire::HttpResponder& respond);

}  // namespace cassiastile::host
