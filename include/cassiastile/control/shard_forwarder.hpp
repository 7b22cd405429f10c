#pragma once

#include <functional>
#include <string>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/member/shard_owner.hpp"
#include "cassiastile/wire/http_client.hpp"
#include "cassiastile/wire/http_types.hpp"

namespace cassiastile::control {

// Marks a request that another control process has forwarded. It is not
// forwarded again.
inline constexpr std::string_view kForwardedHeader = "Cassiastile-Forwarded";

// Answers a request on the host that owns the shard, under its lease.
using ShardHandler = std::function<
    void(member::ShardLease, wire::HttpRequest, wire::HttpResponder)>;

// Routes requests to the owner of their shard, whichever control host receives
// them. The constructor arguments must outlive the forwarder.
class ShardForwarder {
 public:
  ShardForwarder(const base::Clock& clock,
                 const member::ShardOwner& shard_owner,
                 wire::HttpClient& client);

  // Runs the handler if this host owns the shard, else forwards the request to
  // the owner, once. The response says "not run" if no owner is known or the
  // owner can't be reached, and "unknown" if the owner's response is lost.
  void HandleOrForward(const std::string& shard,
                       wire::HttpRequest request,
                       wire::HttpResponder respond,
                       const ShardHandler& handler) const;

 private:
  const base::Clock& m_clock;
  const member::ShardOwner& m_shard_owner;
  wire::HttpClient& m_client;
};

}  // namespace cassiastile::control
