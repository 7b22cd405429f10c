#include "cassiastile/member/shard_lease.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "cassiastile/base/hash.hpp"

namespace cassiastile::member {

namespace {

const std::string kLeasePrefix = "lease/";
const std::string kRenewalPrefix = "renewal/";
constexpr base::Duration kRetryDelay = std::chrono::milliseconds(100);

std::string LeaseText(const std::string& owner,
                      const std::string& address,
                      std::uint64_t epoch) {
  return nlohmann::json{
      {"owner", owner}, {"address", address}, {"epoch", epoch}}
      .dump();
}

std::string RenewalText(const std::string& owner, std::uint64_t counter) {
  return nlohmann::json{{"owner", owner}, {"counter", counter}}.dump();
}

bool SameRows(const LeaseRows& left, const LeaseRows& right) {
  return left.lease_version == right.lease_version &&
         left.renewal_version == right.renewal_version;
}

}  // namespace

std::map<std::string, LeaseRows> ReadLeaseRows(
    const std::vector<platform::Row>& leases,
    const std::vector<platform::Row>& renewals) {
  std::map<std::string, LeaseRows> shards;
  for (const platform::Row& row : leases) {
    LeaseRows& rows = shards[row.key.substr(kLeasePrefix.size())];
    rows.lease_version = row.version;
    const auto json = nlohmann::json::parse(row.value, nullptr, false);
    if (json.is_object()) {
      rows.owner = json.value("owner", "");
      rows.address = json.value("address", "");
      rows.epoch = json.value("epoch", std::uint64_t{0});
    }
  }
  for (const platform::Row& row : renewals) {
    shards[row.key.substr(kRenewalPrefix.size())].renewal_version = row.version;
  }
  return shards;
}

std::vector<std::string> RankCandidates(
    const std::string& shard,
    const std::vector<std::string>& candidates) {
  std::vector<std::pair<std::string, std::string>> weighted;
  weighted.reserve(candidates.size());
  for (const std::string& candidate : candidates) {
    weighted.emplace_back(base::Sha256Hex(shard + "/" + candidate), candidate);
  }
  std::sort(weighted.begin(), weighted.end());
  std::vector<std::string> ranked;
  ranked.reserve(weighted.size());
  for (auto& [weight, candidate] : weighted) {
    ranked.push_back(std::move(candidate));
  }
  return ranked;
}

ShardLeases::ShardLeases(ShardLeaseOptions options)
    : m_options(std::move(options)), m_candidates{m_options.owner} {}

void ShardLeases::SetShardNames(const std::vector<std::string>& shards,
                                base::TimePoint now) {
  std::erase_if(m_shards, [&](const auto& entry) {
    return std::find(shards.begin(), shards.end(), entry.first) == shards.end();
  });
  for (const std::string& name : shards) {
    const auto [found, added] = m_shards.try_emplace(name);
    if (added) {
      found->second.ranked = RankCandidates(name, m_candidates);
      found->second.first_candidate_since = now;
      m_next_scan = now;
    }
  }
}

void ShardLeases::SetCandidates(std::vector<std::string> candidates,
                                base::TimePoint now) {
  std::sort(candidates.begin(), candidates.end());
  if (candidates == m_candidates) {
    return;
  }
  m_candidates = std::move(candidates);
  for (auto& [name, shard] : m_shards) {
    std::vector<std::string> ranked = RankCandidates(name, m_candidates);
    const bool same_first = !shard.ranked.empty() && !ranked.empty() &&
                            ranked.front() == shard.ranked.front();
    shard.first_candidate_since =
        same_first ? shard.first_candidate_since : now;
    shard.ranked = std::move(ranked);
  }
}

void ShardLeases::ObserveRows(const std::map<std::string, LeaseRows>& rows,
                              base::TimePoint now) {
  m_next_scan = now + m_options.scan_period;
  for (auto& [name, shard] : m_shards) {
    const auto found = rows.find(name);
    const LeaseRows seen = found == rows.end() ? LeaseRows{} : found->second;
    // A read that was started before this process's own write ended may show
    // older rows.
    if (seen.lease_version < shard.rows.lease_version) {
      continue;
    }
    if (!shard.observed || !SameRows(seen, shard.rows)) {
      shard.unchanged_since = now;
    }
    if (seen.lease_version != shard.rows.lease_version) {
      shard.renewed_at.reset();
    }
    shard.observed = true;
    shard.needs_scan = false;
    shard.rows = seen;
  }
}

bool ShardLeases::IsScanDue(base::TimePoint now) const {
  return now >= m_next_scan;
}

bool ShardLeases::IsOwnedBySelf(const Shard& shard) const {
  return shard.observed && shard.rows.owner == m_options.owner;
}

std::vector<LeaseAction> ShardLeases::DecideActions(base::TimePoint now) {
  std::vector<LeaseAction> lease_actions;
  if (m_released) {
    return lease_actions;
  }
  for (auto& [name, shard] : m_shards) {
    if (ShouldHandOver(shard, now)) {
      shard.renewed_at.reset();
      lease_actions.push_back(MakeRelease(name, shard));
      shard.first_candidate_since = now;
    } else if (MayTakeOver(shard, now)) {
      lease_actions.push_back(MakeTakeover(name, shard));
    }
  }
  if (now >= m_next_renewal) {
    m_next_renewal = now + m_options.renew_period;
    if (auto renewal = MakeRenewal()) {
      lease_actions.push_back(std::move(*renewal));
    }
  }
  return lease_actions;
}

bool ShardLeases::MayTakeOver(const Shard& shard, base::TimePoint now) const {
  if (!shard.observed || shard.needs_scan || IsOwnedBySelf(shard)) {
    return false;
  }
  const base::Duration watched = now - shard.unchanged_since;
  const base::Duration wait =
      shard.rows.owner.empty()
          ? base::Duration::zero()
          : m_options.lease_duration + m_options.clock_margin;
  return watched >= wait + RankDelay(shard);
}

// Each live candidate ranked before this process adds to its delay, except the
// current owner. Candidates that have left the list add nothing.
base::Duration ShardLeases::RankDelay(const Shard& shard) const {
  const auto found =
      std::find(shard.ranked.begin(), shard.ranked.end(), m_options.owner);
  base::Duration delay{};
  for (auto rank = shard.ranked.begin(); rank != found; ++rank) {
    if (*rank != shard.rows.owner) {
      delay += m_options.rank_delay;
    }
  }
  return delay;
}

bool ShardLeases::ShouldHandOver(const Shard& shard,
                                 base::TimePoint now) const {
  return IsOwnedBySelf(shard) && shard.renewed_at && !shard.ranked.empty() &&
         shard.ranked.front() != m_options.owner &&
         now - shard.first_candidate_since >= m_options.handover_delay;
}

LeaseAction ShardLeases::MakeTakeover(const std::string& name,
                                      const Shard& shard) const {
  LeaseAction lease_action{LeaseActionKind::kTakeOver, {name}, {}};
  lease_action.transaction.preconditions = {
      {kLeasePrefix + name, shard.rows.lease_version},
      {kRenewalPrefix + name, shard.rows.renewal_version}};
  lease_action.transaction.writes = {
      {kLeasePrefix + name,
       LeaseText(m_options.owner, m_options.address, shard.rows.epoch + 1)},
      {kRenewalPrefix + name, RenewalText(m_options.owner, 1)}};
  return lease_action;
}

LeaseAction ShardLeases::MakeRelease(const std::string& name,
                                     const Shard& shard) const {
  LeaseAction lease_action{LeaseActionKind::kRelease, {name}, {}};
  lease_action.transaction.preconditions = {
      {kLeasePrefix + name, shard.rows.lease_version}};
  lease_action.transaction.writes = {
      {kLeasePrefix + name, LeaseText("", "", shard.rows.epoch)}};
  return lease_action;
}

// Renews all owned shards together, in one transaction.
std::optional<LeaseAction> ShardLeases::MakeRenewal() const {
  LeaseAction lease_action{LeaseActionKind::kRenew, {}, {}};
  for (const auto& [name, shard] : m_shards) {
    if (!IsOwnedBySelf(shard)) {
      continue;
    }
    lease_action.shards.push_back(name);
    lease_action.transaction.preconditions.push_back(
        {kLeasePrefix + name, shard.rows.lease_version});
    lease_action.transaction.writes.push_back(
        {kRenewalPrefix + name,
         RenewalText(m_options.owner, shard.rows.renewal_version + 1)});
  }
  return lease_action.shards.empty() ? std::nullopt
                                     : std::optional(std::move(lease_action));
}

// A failed takeover is not tried again before the next scan.
void ShardLeases::RequireScan(const LeaseAction& lease_action) {
  if (lease_action.kind != LeaseActionKind::kTakeOver) {
    return;
  }
  for (const std::string& name : lease_action.shards) {
    const auto found = m_shards.find(name);
    if (found != m_shards.end()) {
      found->second.needs_scan = true;
    }
  }
}

void ShardLeases::RecordOutcome(const LeaseAction& lease_action,
                                base::TimePoint started,
                                const base::Result<platform::Commit>& outcome) {
  if (!outcome) {
    m_next_scan = std::min(m_next_scan, started + kRetryDelay);
    m_next_renewal = std::min(m_next_renewal, started + kRetryDelay);
    RequireScan(lease_action);
    return;
  }
  for (const std::string& name : lease_action.shards) {
    const auto found = m_shards.find(name);
    if (found == m_shards.end()) {
      continue;
    }
    Shard& shard = found->second;
    switch (lease_action.kind) {
      case LeaseActionKind::kTakeOver:
        ++shard.rows.lease_version;
        ++shard.rows.epoch;
        shard.rows.owner = m_options.owner;
        shard.rows.address = m_options.address;
        shard.renewed_at = started;
        break;
      case LeaseActionKind::kRenew:
        shard.renewed_at = started;
        break;
      case LeaseActionKind::kRelease:
        ++shard.rows.lease_version;
        shard.rows.owner.clear();
        shard.rows.address.clear();
        shard.unchanged_since = started;
        break;
    }
  }
}

std::vector<LeaseAction> ShardLeases::ReleaseAll() {
  m_released = true;
  std::vector<LeaseAction> lease_actions;
  for (auto& [name, shard] : m_shards) {
    shard.renewed_at.reset();
    if (IsOwnedBySelf(shard)) {
      lease_actions.push_back(MakeRelease(name, shard));
    }
  }
  return lease_actions;
}

std::optional<ShardLease> ShardLeases::CurrentLease(const std::string& shard,
                                                    base::TimePoint now) const {
  const auto found = m_shards.find(shard);
  if (found == m_shards.end() || !IsOwnedBySelf(found->second) ||
      !found->second.renewed_at ||
      now - *found->second.renewed_at >= m_options.lease_duration) {
    return std::nullopt;
  }
  const LeaseRows& rows = found->second.rows;
  return ShardLease{
      shard, rows.epoch, {kLeasePrefix + shard, rows.lease_version}};
}

std::string ShardLeases::OwnerAddress(const std::string& shard) const {
  const auto found = m_shards.find(shard);
  return found == m_shards.end() ? "" : found->second.rows.address;
}

std::vector<std::string> ShardLeases::OwnedShards(base::TimePoint now) const {
  std::vector<std::string> owned;
  for (const auto& [name, shard] : m_shards) {
    if (CurrentLease(name, now)) {
      owned.push_back(name);
    }
  }
  return owned;
}

}  // namespace cassiastile::member
