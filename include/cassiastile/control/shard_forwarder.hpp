#pragma once

#include <functional>
#include <string>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/member/shard_owner.hpp"
#include "cassiastile/wire/http_client.hpp"
#include "cassiastile/wire/http_types.hpp"

namespace cassiastile::control {

// Marks a call that one control process passed on to another.
inline constexpr std::string_view kForwardedHeader = "Cassiastile-Forwarded";

// What answers a call on the host that owns the shard.
using ShardHandler = std::function<
    void(member::ShardLease, wire::HttpRequest, wire::HttpResponder)>;

// Answers calls on the shard's owner, wherever they arrive. All parts outlive
// it.
class ShardForwarder {
 public:
  ShardForwarder(const base::Clock& clock,
                 const member::ShardOwner& owner,
                 wire::HttpClient& client);

  // Runs the handler here when this host owns the shard, else passes the call
  // on once. Refuses with "not run" when no owner is known, and with
  // "unknown" when the owner's answer is lost.
  void Handle(const std::string& shard,
              wire::HttpRequest request,
              wire::HttpResponder respond,
              const ShardHandler& handler) const;

 private:
  const base::Clock& m_clock;
  const member::ShardOwner& m_owner;
  wire::HttpClient& m_client;
};

}  // namespace cassiastile::control
