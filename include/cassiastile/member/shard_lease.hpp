#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/error.hpp"
#include "cassiastile/member/shard_owner.hpp"
#include "cassiastile/platform/table.hpp"

namespace cassiastile::member {

struct ShardLeaseOptions {
  std::string owner;    // Name and incarnation; no two processes share it.
  std::string address;  // IP:PORT of its HTTP endpoint.
  base::Duration lease = std::chrono::milliseconds(3000);
  // Added by contenders for clocks that don't run alike.
  base::Duration margin = std::chrono::milliseconds(200);
  base::Duration renew_period = std::chrono::milliseconds(750);
  base::Duration scan_period = std::chrono::milliseconds(300);
  // How much longer each next candidate waits for the one before it.
  base::Duration rank_delay = std::chrono::milliseconds(150);
  // How long another process must have been the first candidate before a shard
  // is handed over to it.
  base::Duration settle = std::chrono::seconds(30);
};

// The rows of one shard's lease as read from the table.
struct LeaseRows {
  std::string owner;  // Empty after a release.
  std::string address;
  std::uint64_t epoch = 0;
  std::uint64_t lease_version = 0;    // Zero when there is no row.
  std::uint64_t renewal_version = 0;  // Likewise.
};

// Reads the rows under lease/ and renewal/, by shard.
std::map<std::string, LeaseRows> ReadLeaseRows(
    const std::vector<platform::Row>& leases,
    const std::vector<platform::Row>& renewals);

enum class LeaseActionKind : std::uint8_t {
  kTakeOver,
  kRenew,
  kRelease,
};

// A transaction to be applied, without its nonce.
struct LeaseAction {
  LeaseActionKind kind = LeaseActionKind::kRenew;
  std::vector<std::string> shards;
  platform::Transaction transaction;
};

// The order in which processes try for a shard, by rendezvous hashing.
std::vector<std::string> RankCandidates(
    const std::string& shard,
    const std::vector<std::string>& candidates);

// Which shards this process owns and what it does about the others. Does no
// I/O and reads no clock. A process acts as an owner until `lease` after the
// start of its last renewal that is known to have applied; another takes over
// when it has watched the renewal row unchanged for longer than that. Not safe
// for use by several threads.
class ShardLeases {
 public:
  explicit ShardLeases(ShardLeaseOptions options);

  // The shards there are, and the owners that are alive, this one included.
  void SetShards(const std::vector<std::string>& shards, base::TimePoint now);
  void SetCandidates(std::vector<std::string> candidates, base::TimePoint now);
  // Rows as a read of the table found them that ended at `now`.
  void ObserveRows(const std::map<std::string, LeaseRows>& rows,
                   base::TimePoint now);

  bool IsScanDue(base::TimePoint now) const;
  std::vector<LeaseAction> Decide(base::TimePoint now);
  // What became of an act that was started at a time. A conflict or an unknown
  // outcome is found out by the next scan, which falls due soon.
  void Finish(const LeaseAction& act,
              base::TimePoint started,
              const base::Result<platform::Commit>& outcome);
  // Makes acts that give up all shards; none is acted on from now on.
  std::vector<LeaseAction> ReleaseAll();

  std::optional<ShardLease> CurrentLease(const std::string& shard,
                                         base::TimePoint now) const;
  std::string OwnerAddress(const std::string& shard) const;
  std::vector<std::string> OwnedShards(base::TimePoint now) const;

 private:
  struct Shard {
    LeaseRows rows;
    bool observed = false;
    bool needs_scan = false;  // A takeover failed since the last scan.
    base::TimePoint unchanged_since;
    // Set while this process owns the shard: the start of its last renewal.
    std::optional<base::TimePoint> renewed_at;
    std::vector<std::string> ranked;
    base::TimePoint ranked_since;
  };

  bool IsOwn(const Shard& shard) const;
  bool MayTakeOver(const Shard& shard, base::TimePoint now) const;
  bool ShouldHandOver(const Shard& shard, base::TimePoint now) const;
  base::Duration RankDelay(const Shard& shard) const;
  LeaseAction MakeTakeover(const std::string& name, const Shard& shard) const;
  LeaseAction MakeRelease(const std::string& name, const Shard& shard) const;
  std::optional<LeaseAction> MakeRenewal() const;
  void ForgetRows(const LeaseAction& act);

  ShardLeaseOptions m_options;
  std::map<std::string, Shard> m_shards;
  std::vector<std::string> m_candidates;
  base::TimePoint m_next_scan{};
  base::TimePoint m_next_renewal{};
  bool m_released = false;
};

}  // namespace cassiastile::member
