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

// The identity of an owner and the timing of its leases.
struct ShardLeaseOptions {
  std::string owner;    // NAME#INCARNATION, unique to the process.
  std::string address;  // IP:PORT of its HTTP endpoint.
  base::Duration lease_duration = std::chrono::milliseconds(3000);
  // Contenders wait this much longer than `lease_duration`, because clocks may
  // run at different rates.
  base::Duration clock_margin = std::chrono::milliseconds(200);
  base::Duration renew_period = std::chrono::milliseconds(750);
  base::Duration scan_period = std::chrono::milliseconds(300);
  // Each candidate waits this much longer than the one ranked before it.
  base::Duration rank_delay = std::chrono::milliseconds(150);
  // A shard is handed over to another process only after that process has been
  // the first candidate for this long.
  base::Duration handover_delay = std::chrono::seconds(30);
};

// The lease and renewal rows of one shard as read from the table.
struct LeaseRows {
  std::string owner;    // Empty after a release.
  std::string address;  // The owner's HTTP endpoint, IP:PORT.
  std::uint64_t epoch = 0;
  std::uint64_t lease_version = 0;    // Row version; zero if there is no row.
  std::uint64_t renewal_version = 0;  // Row version; zero if there is no row.
};

// Groups the rows under lease/ and renewal/ by shard. A lease row that is not a
// JSON object counts as released, with epoch zero.
std::map<std::string, LeaseRows> ReadLeaseRows(
    const std::vector<platform::Row>& leases,
    const std::vector<platform::Row>& renewals);

// The kinds of lease transactions.
enum class LeaseActionKind : std::uint8_t {
  kTakeOver,
  kRenew,
  kRelease,
};

// A lease transaction to apply; the caller sets its nonce.
struct LeaseAction {
  LeaseActionKind kind = LeaseActionKind::kRenew;
  std::vector<std::string> shards;
  platform::Transaction transaction;
};

// Orders the candidates for a shard by rendezvous hashing; the first one should
// own it.
std::vector<std::string> RankCandidates(
    const std::string& shard,
    const std::vector<std::string>& candidates);

// The shard leases of this process: decides which leases to acquire, renew and
// release. Does no I/O and reads no clock. Not thread-safe.
//
// A process acts as the owner until `lease_duration` after the start of its
// last renewal that is known to have been applied. Another process takes over
// only after it has seen the rows unchanged for longer than that.
class ShardLeases {
 public:
  explicit ShardLeases(ShardLeaseOptions options);

  // Set the names of all shards, and the owner ids of the live candidates, this
  // process included.
  void SetShardNames(const std::vector<std::string>& shards,
                     base::TimePoint now);
  void SetCandidates(std::vector<std::string> candidates, base::TimePoint now);
  // Reports the rows found by a read of the table that ended at `now`.
  void ObserveRows(const std::map<std::string, LeaseRows>& rows,
                   base::TimePoint now);

  // Whether the caller should read the rows and call ObserveRows.
  bool IsScanDue(base::TimePoint now) const;
  // Returns the transactions to apply now. The caller reports each outcome with
  // RecordOutcome.
  std::vector<LeaseAction> DecideActions(base::TimePoint now);
  // Reports the outcome of a transaction that was started at `started`. After
  // an error, which may be a conflict or an unknown outcome, the next scan and
  // the next renewal are brought forward to find out what happened.
  void RecordOutcome(const LeaseAction& lease_action,
                     base::TimePoint started,
                     const base::Result<platform::Commit>& outcome);
  // Returns the transactions that release all leases. From now on this process
  // owns no shard and acquires none.
  std::vector<LeaseAction> ReleaseAll();

  // See ShardOwner.
  std::optional<ShardLease> CurrentLease(const std::string& shard,
                                         base::TimePoint now) const;
  std::string OwnerAddress(const std::string& shard) const;
  // The shards on which this process holds a valid lease.
  std::vector<std::string> OwnedShards(base::TimePoint now) const;

 private:
  struct Shard {
    LeaseRows rows;
    bool observed = false;    // Whether the rows have been read.
    bool needs_scan = false;  // A takeover failed since the last scan.
    base::TimePoint unchanged_since;
    // The start of the last applied renewal; set only while this process owns
    // the shard.
    std::optional<base::TimePoint> renewed_at;
    std::vector<std::string> ranked;
    // When the first candidate was ranked first, or when the last handover to
    // it was started.
    base::TimePoint first_candidate_since;
  };

  bool IsOwnedBySelf(const Shard& shard) const;
  bool MayTakeOver(const Shard& shard, base::TimePoint now) const;
  bool ShouldHandOver(const Shard& shard, base::TimePoint now) const;
  base::Duration RankDelay(const Shard& shard) const;
  LeaseAction MakeTakeover(const std::string& name, const Shard& shard) const;
  LeaseAction MakeRelease(const std::string& name, const Shard& shard) const;
  std::optional<LeaseAction> MakeRenewal() const;
  void RequireScan(const LeaseAction& lease_action);

  ShardLeaseOptions m_options;
  std::map<std::string, Shard> m_shards;
  std::vector<std::string> m_candidates;
  base::TimePoint m_next_scan{};
  base::TimePoint m_next_renewal{};
  bool m_released = false;
};

}  // namespace cassiastile::member
