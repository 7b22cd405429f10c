#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/platform/table.hpp"

namespace cassiastile::member {

// Proof that this host owns a pool's shard. Every transaction made as its owner
// carries the fence, so that an owner paused past its lease writes nothing.
struct ShardLease {
  std::string shard;        // The pool's name.
  std::uint64_t epoch = 0;  // Grows with every takeover.
  platform::Precondition fence;
};

// Which shards this host owns. There is one shard for each pool: its hosts,
// waves, queues and tasks. Safe for use by several threads.
class ShardOwner {
 public:
  virtual ~ShardOwner() = default;

  // The grip on a shard, or nothing when another host owns it or this host's
  // lease may be over.
  virtual std::optional<ShardLease> CurrentLease(const std::string& shard,
                                                 base::TimePoint now) const = 0;

  // The HTTP address (IP:PORT) of the control process that was last seen to own
  // the shard; empty when none is known.
  virtual std::string OwnerAddress(const std::string& shard) const = 0;
};

}  // namespace cassiastile::member
