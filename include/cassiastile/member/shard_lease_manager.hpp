#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/random.hpp"
#include "cassiastile/member/shard_lease.hpp"
#include "cassiastile/platform/table.hpp"

namespace cassiastile::member {

// Acquires, renews and releases this process's leases on shards in the table,
// on its own thread.
class ShardLeaseManager final : public ShardOwner {
 public:
  // Return the names of all shards and the owner ids of all live candidates,
  // this process included. Called in RunOnce.
  struct Sources {
    std::function<std::vector<std::string>()> shards;
    std::function<std::vector<std::string>()> candidates;
  };

  // The table and the clock must outlive the manager. The table should be a
  // platform::StoreGuard.
  ShardLeaseManager(ShardLeaseOptions options,
                    platform::Table& table,
                    const base::Clock& clock,
                    Sources sources,
                    std::uint64_t seed);
  ~ShardLeaseManager() override;

  // Starts the thread.
  void Start();
  // Stops the thread and releases all leases, so that other processes can take
  // over without waiting for their end. Releases none if Start was not called.
  void Stop();
  // Runs one round of the thread's work. Public for tests and measurements.
  void RunOnce();

  std::optional<ShardLease> CurrentLease(const std::string& shard,
                                         base::TimePoint now) const override;
  std::string OwnerAddress(const std::string& shard) const override;
  // The shards on which this process holds a valid lease.
  std::vector<std::string> OwnedShards(base::TimePoint now) const;

 private:
  void Scan();
  void Apply(LeaseAction lease_action);

  platform::Table& m_table;
  const base::Clock& m_clock;
  Sources m_sources;

  mutable std::mutex m_mutex;
  ShardLeases m_leases;
  base::Random m_random;
  bool m_stopping = false;
  std::condition_variable m_wake;
  std::thread m_thread;
};

}  // namespace cassiastile::member
