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

// Keeps this process's leases on shards in the table, on a thread of its own.
class ShardLeaseManager final : public ShardOwner {
 public:
  // What there is to own, and who is alive to own it. Called on the thread.
  struct Sources {
    std::function<std::vector<std::string>()> shards;
    std::function<std::vector<std::string>()> candidates;
  };

  // The table, which should be the guarded one, and the clock outlive it.
  ShardLeaseManager(ShardLeaseOptions options,
                    platform::Table& table,
                    const base::Clock& clock,
                    Sources sources,
                    std::uint64_t seed);
  ~ShardLeaseManager() override;

  void Start();
  // Gives up all shards, so that others take them at once.
  void Stop();
  // One round of the thread's work, for tests and for Start.
  void RunOnce();

  std::optional<ShardLease> CurrentLease(const std::string& shard,
                                         base::TimePoint now) const override;
  std::string OwnerAddress(const std::string& shard) const override;
  std::vector<std::string> OwnedShards(base::TimePoint now) const;

 private:
  void Scan();
  void Apply(LeaseAction act);

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
