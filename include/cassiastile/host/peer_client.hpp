#pragma once

#include "cassiastile/host/host_node.hpp"
#include "cassiastile/wire/http_types.hpp"
#include "cassiastile/wire/loop_client.hpp"

namespace cassiastile::host {

// Calls other hosts over HTTP. Gossip calls time out after 600 ms. `client`
// must outlive it; completions run on the client's loop.
class PeerClient final : public PeerPort {
 public:
  explicit PeerClient(wire::LoopClient& client) : m_client(client) {}

  void Gossip(const std::string& endpoint,
              const GossipMessage& gossip,
              Done<GossipMessage> done) override;
  void ForwardJob(const std::string& endpoint,
                  const JobRequest& request,
                  std::chrono::milliseconds timeout,
                  Done<JobAnswer> done) override;
  void SendRelayBatch(const std::string& endpoint,
                      const RelayBatch& batch,
                      Done<RelayReply> done) override;
  void SendRelayResults(const std::string& endpoint,
                        const RelayResults& results) override;

 private:
  wire::LoopClient& m_client;
};

// Serves the calls of a PeerClient. Unknown paths get 404, bodies that can't be
// decoded get 400.
void ServePeer(HostNode& node,
               const wire::HttpRequest& request,
               const wire::HttpResponder& respond);

}  // namespace cassiastile::host
