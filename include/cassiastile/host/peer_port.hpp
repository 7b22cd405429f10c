#pragma once

#include <chrono>
#include <functional>
#include <string>

#include <tl/expected.hpp>

#include "cassiastile/host/peer_message.hpp"
#include "cassiastile/host/relay_message.hpp"

namespace cassiastile::host {

// Sends calls to other hosts. Completions run on the host's loop.
class PeerPort {
 public:
  struct Failure {
    bool refused = false;  // Connection refused; nothing was done.
    // No connection came about, so nothing was sent. Set if `refused` is.
    bool not_sent = false;
  };
  template <typename Value>
  using Done = std::function<void(tl::expected<Value, Failure>)>;

  virtual ~PeerPort() = default;
  // Sends a gossip message; `done` gets the peer's own message. The
  // implementation chooses the timeout.
  virtual void Gossip(const std::string& endpoint,
                      const GossipMessage& gossip,
                      Done<GossipMessage> done) = 0;
  // Sends a job request to the leader at `endpoint`. A failure that is not
  // `not_sent` leaves open whether the request was carried out.
  virtual void ForwardJob(const std::string& endpoint,
                          const JobRequest& request,
                          std::chrono::milliseconds timeout,
                          Done<JobAnswer> done) = 0;
  // Sends calls to workers to the host that relays them. A failure that is not
  // `not_sent` leaves open whether they were or will be carried out.
  virtual void SendRelayBatch(const std::string& endpoint,
                              const RelayBatch& batch,
                              Done<RelayReply> done) = 0;
  // Sends outcomes of relayed calls to the leader at `endpoint`. Lost ones are
  // not sent again: the leader's calls time out.
  virtual void SendRelayResults(const std::string& endpoint,
                                const RelayResults& results) = 0;
};

}  // namespace cassiastile::host
