#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/platform/table.hpp"

namespace cassiastile::member {

// A lease that this host holds on a pool's shard. Every transaction made as the
// owner includes the fence as a precondition, so that an owner that was paused
// past the end of its lease can't write.
struct ShardLease {
  std::string shard;             // The pool's name.
  std::uint64_t epoch = 0;       // Increases with every takeover.
  platform::Precondition fence;  // The lease row is unchanged.
};

// Reports which shards this host owns. There is one shard for each pool: its
// hosts, waves, queues and tasks. Implementations are thread-safe.
class ShardOwner {
 public:
  virtual ~ShardOwner() = default;

  // This host's lease on a shard, or nothing if another host owns the shard or
  // this host's lease may have expired.
  virtual std::optional<ShardLease> CurrentLease(const std::string& shard,
                                                 base::TimePoint now) const = 0;

  // The HTTP address (IP:PORT) of the control process last seen to own the
  // shard; empty if none is known.
  virtual std::string OwnerAddress(const std::string& shard) const = 0;
};

}  // namespace cassiastile::member
