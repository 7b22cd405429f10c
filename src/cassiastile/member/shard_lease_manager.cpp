#include "cassiastile/member/shard_lease_manager.hpp"

#include <utility>

namespace cassiastile::member {

namespace {

constexpr std::chrono::milliseconds kRoundPeriod{50};

}  // namespace

ShardLeaseManager::ShardLeaseManager(ShardLeaseOptions options,
                                     platform::Table& table,
                                     const base::Clock& clock,
                                     Sources sources,
                                     std::uint64_t seed)
    : m_table(table),
      m_clock(clock),
      m_sources(std::move(sources)),
      m_leases(std::move(options)),
      m_random(seed) {}

ShardLeaseManager::~ShardLeaseManager() {
  Stop();
}

void ShardLeaseManager::Start() {
  m_thread = std::thread([this] {
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
      lock.unlock();
      RunOnce();
      lock.lock();
      m_wake.wait_for(lock, kRoundPeriod, [this] { return m_stopping; });
    }
  });
}

void ShardLeaseManager::Stop() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_wake.notify_all();
  if (!m_thread.joinable()) {
    return;
  }
  m_thread.join();
  std::vector<LeaseAction> lease_actions;
  {
    const std::lock_guard lock(m_mutex);
    lease_actions = m_leases.ReleaseAll();
  }
  for (LeaseAction& lease_action : lease_actions) {
    Apply(std::move(lease_action));
  }
}

void ShardLeaseManager::RunOnce() {
  const std::vector<std::string> shards = m_sources.shards();
  std::vector<std::string> candidates = m_sources.candidates();
  const base::TimePoint now = m_clock.Now();
  bool scan_due = false;
  {
    const std::lock_guard lock(m_mutex);
    m_leases.SetShardNames(shards, now);
    m_leases.SetCandidates(std::move(candidates), now);
    scan_due = m_leases.IsScanDue(now);
  }
  if (scan_due) {
    Scan();
  }
  std::vector<LeaseAction> lease_actions;
  {
    const std::lock_guard lock(m_mutex);
    lease_actions = m_leases.DecideActions(m_clock.Now());
  }
  for (LeaseAction& lease_action : lease_actions) {
    Apply(std::move(lease_action));
  }
}

void ShardLeaseManager::Scan() {
  const auto leases = platform::ScanAll(m_table, "lease/");
  const auto renewals = platform::ScanAll(m_table, "renewal/");
  if (leases && renewals) {
    const auto rows = ReadLeaseRows(*leases, *renewals);
    const std::lock_guard lock(m_mutex);
    m_leases.ObserveRows(rows, m_clock.Now());
  }
}

void ShardLeaseManager::Apply(LeaseAction lease_action) {
  {
    const std::lock_guard lock(m_mutex);
    lease_action.transaction.nonce = base::MakeId(m_random);
  }
  const base::TimePoint started = m_clock.Now();
  const auto outcome = m_table.Apply(lease_action.transaction);
  const std::lock_guard lock(m_mutex);
  m_leases.RecordOutcome(lease_action, started, outcome);
}

std::optional<ShardLease> ShardLeaseManager::CurrentLease(
    const std::string& shard,
    base::TimePoint now) const {
  const std::lock_guard lock(m_mutex);
  return m_leases.CurrentLease(shard, now);
}

std::string ShardLeaseManager::OwnerAddress(const std::string& shard) const {
  const std::lock_guard lock(m_mutex);
  return m_leases.OwnerAddress(shard);
}

std::vector<std::string> ShardLeaseManager::OwnedShards(
    base::TimePoint now) const {
  const std::lock_guard lock(m_mutex);
  return m_leases.OwnedShards(now);
}

}  // namespace cassiastile::member
