#include "cassiastile/member/membership.hpp"

#include <algorithm>
#include <utility>

#include "cassiastile/base/enum_names.hpp"

namespace cassiastile::member {

namespace {

constexpr std::array kStateNames{
    base::EnumName<MemberState>{MemberState::kAlive, "alive"},
    base::EnumName<MemberState>{MemberState::kSuspect, "suspect"},
    base::EnumName<MemberState>{MemberState::kDead, "dead"},
};

// FNV-1a over the names; zero for an empty list.
std::uint32_t HashList(const std::vector<MemberRecord>& list) {
  constexpr std::uint32_t kOffset = 2166136261U;
  constexpr std::uint32_t kPrime = 16777619U;
  std::uint32_t hash = kOffset;
  for (const MemberRecord& record : list) {
    for (const char letter : record.name + "/") {
      hash = (hash ^ static_cast<unsigned char>(letter)) * kPrime;
    }
  }
  return list.empty() ? 0 : hash;
}

void AdvanceTo(std::optional<base::TimePoint>& time, base::TimePoint to) {
  if (!time || *time < to) {
    time = to;
  }
}

}  // namespace

std::string_view NameOf(MemberState state) {
  return base::FindName(kStateNames, state);
}

Membership::Membership(MembershipOptions options, base::TimePoint now)
    : m_options(std::move(options)),
      m_started(now),
      m_next_ping(now),
      m_next_head_read(now),
      m_next_list_read(now),
      m_next_pull(now),
      m_next_removal(now) {}

void Membership::ObserveHead(const ConfigHead& head, base::TimePoint started) {
  m_reaches_store = true;
  LearnHead(head, started);
  if (head == m_head) {
    AdvanceTo(m_head_known_at, started);
  }
}

void Membership::ObserveStoreFailure() {
  m_reaches_store = false;
}

void Membership::ObserveList(const std::vector<MemberRecord>& list,
                             base::TimePoint now) {
  m_list = list;
  std::sort(m_list.begin(), m_list.end(),
            [](const MemberRecord& left, const MemberRecord& right) {
              return left.name < right.name;
            });
  m_list_hash = HashList(m_list);
  for (auto& [name, peer] : m_peers) {
    peer.listed = false;
  }
  for (const MemberRecord& record : m_list) {
    LearnRecord(record, now);
    const auto found = m_peers.find(record.name);
    if (found != m_peers.end()) {
      found->second.listed = true;
    }
  }
  std::erase_if(m_peers, [&](const auto& entry) {
    return !entry.second.listed &&
           StateOf(entry.second, now) == MemberState::kDead;
  });
}

void Membership::LearnList(const std::vector<MemberRecord>& list,
                           base::TimePoint now) {
  if (m_list.empty()) {
    ObserveList(list, now);
  }
}

void Membership::SetSeeds(std::vector<std::string> seeds) {
  m_options.seeds = std::move(seeds);
}

void Membership::SetShardCount(std::uint16_t shards) {
  m_options.self.shards = shards;
}

void Membership::SetInForce(std::uint64_t version) {
  if (version > m_in_force && version <= m_head.version) {
    m_in_force = version;
    m_in_force_confirmed_at.reset();
  }
}

std::optional<base::TimePoint> Membership::ConfirmedAt(
    base::TimePoint now) const {
  return m_in_force == m_head.version ? HeadConfirmedAt(now)
                                      : m_in_force_confirmed_at;
}

bool Membership::IsFresh(base::TimePoint now) const {
  if (m_superseded) {
    return false;
  }
  const auto confirmed = ConfirmedAt(now);
  return confirmed && now - *confirmed <= m_options.times.freshness;
}

std::optional<base::TimePoint> Membership::HeadConfirmedAt(
    base::TimePoint now) const {
  std::optional<base::TimePoint> confirmed = m_head_known_at;
  if (const auto agreed = MajorityAgreedAt(now)) {
    AdvanceTo(confirmed, *agreed);
  }
  return confirmed;
}

// The latest time at or after which each member of some majority agreed with
// the head.
std::optional<base::TimePoint> Membership::MajorityAgreedAt(
    base::TimePoint now) const {
  if (m_list.empty()) {
    return std::nullopt;
  }
  std::vector<base::TimePoint> times;
  for (const MemberRecord& record : m_list) {
    if (record.name == m_options.self.name) {
      if (AgreesWithHead()) {
        times.push_back(now);
      }
      continue;
    }
    const auto found = m_peers.find(record.name);
    if (found != m_peers.end() && found->second.agreed_at) {
      times.push_back(*found->second.agreed_at);
    }
  }
  if (times.size() < MajoritySize()) {
    return std::nullopt;
  }
  const auto last =
      times.begin() + static_cast<std::ptrdiff_t>(MajoritySize()) - 1;
  std::nth_element(times.begin(), last, times.end(), std::greater<>());
  return *last;
}

bool Membership::AgreesWithHead() const {
  return m_voter && m_promises.empty() && !m_superseded;
}

void Membership::BecomeVoterIfDue(base::TimePoint now) {
  if (m_voter) {
    return;
  }
  const auto confirmed = HeadConfirmedAt(now);
  m_voter = confirmed && *confirmed - m_started >= m_options.times.voter_delay;
}

MemberState Membership::StateOf(const Peer& peer, base::TimePoint now) const {
  const base::Duration age = now - peer.heard_at.value_or(peer.known_since);
  if (age < m_options.times.suspect_after) {
    return MemberState::kAlive;
  }
  return age < m_options.times.dead_after ? MemberState::kSuspect
                                          : MemberState::kDead;
}

std::vector<MemberView> Membership::Members(base::TimePoint now) const {
  std::vector<MemberView> views;
  MemberView self;
  self.record = m_options.self;
  self.in_force = m_in_force;
  self.listed =
      std::any_of(m_list.begin(), m_list.end(), [this](const auto& record) {
        return record.name == m_options.self.name;
      });
  views.push_back(self);
  for (const auto& [name, peer] : m_peers) {
    views.push_back({peer.record, StateOf(peer, now),
                     now - peer.heard_at.value_or(peer.known_since),
                     peer.in_force, peer.listed});
  }
  return views;
}

void Membership::LearnHead(const ConfigHead& head, base::TimePoint now) {
  if (head.version <= m_head.version) {
    return;
  }
  // The newer version was committed, and so became the head, at some time after
  // the older one was last known to be the head. That earlier time is a safe
  // lower bound for when the newer version was the head.
  const std::optional<base::TimePoint> known_at = HeadConfirmedAt(now);
  if (m_in_force == m_head.version) {
    m_in_force_confirmed_at = known_at;
  }
  m_head = head;
  m_head_known_at = known_at;
  for (auto& [name, peer] : m_peers) {
    peer.agreed_at.reset();
  }
  std::erase_if(m_promises, [&](const auto& promise) {
    return promise.second <= head.version;
  });
  if (m_proposal && m_proposal->version <= head.version) {
    m_proposal.reset();
  }
}

void Membership::LearnRecord(const MemberRecord& record, base::TimePoint now) {
  if (record.name.empty()) {
    return;
  }
  if (record.name == m_options.self.name) {
    m_superseded |= record.incarnation > m_options.self.incarnation;
    return;
  }
  const auto [found, added] = m_peers.try_emplace(record.name);
  Peer& peer = found->second;
  if (added) {
    peer.known_since = now;
    peer.pinged_at = now;
  }
  if (record.incarnation > peer.record.incarnation) {
    peer.last_sequence = 0;
    peer.in_force = 0;
    peer.known_since = now;
  }
  if (record.incarnation >= peer.record.incarnation) {
    peer.record = record;
  }
}

std::optional<MemberRecord> Membership::NextRemoval(base::TimePoint now) {
  std::size_t alive = 0;
  std::optional<MemberRecord> selected;
  for (const MemberRecord& record : m_list) {
    const auto found = m_peers.find(record.name);
    if (found == m_peers.end()) {
      alive += record.name == m_options.self.name ? 1 : 0;
      continue;
    }
    const Peer& peer = found->second;
    const bool is_alive = StateOf(peer, now) == MemberState::kAlive;
    const bool is_before_self = record.name < m_options.self.name;
    if (is_alive && is_before_self && record.role == MemberRole::kControl) {
      return std::nullopt;
    }
    alive += is_alive ? 1 : 0;
    const base::Duration age = now - peer.heard_at.value_or(peer.known_since);
    if (age >= m_options.times.remove_after) {
      selected = record;
    }
  }
  const bool may_remove =
      selected && alive >= MajoritySize() && m_reaches_store &&
      m_options.self.role == MemberRole::kControl && now >= m_next_removal;
  if (!may_remove) {
    return std::nullopt;
  }
  m_next_removal = now + m_options.times.remove_period;
  return selected;
}

void Membership::Prepare(std::uint64_t version, std::uint64_t id) {
  m_proposal = Proposal{version, id, {m_options.self.name}, {}};
  m_promises[id] = version;
}

bool Membership::IsPrepared() const {
  if (!m_proposal || m_list.empty()) {
    return false;
  }
  const auto promised =
      std::count_if(m_list.begin(), m_list.end(), [this](const auto& record) {
        return m_proposal->promised.contains(record.name);
      });
  return static_cast<std::size_t>(promised) >= MajoritySize();
}

void Membership::AbortPrepare(base::TimePoint now) {
  if (m_proposal) {
    m_promises.erase(m_proposal->id);
    m_aborted = std::move(m_proposal);
    m_aborted->sent_at = now;
    m_proposal.reset();
  }
}

std::vector<std::string> Membership::MembersWithoutVersion(
    std::uint64_t version) const {
  std::vector<std::string> missing;
  for (const MemberRecord& record : m_list) {
    const auto found = m_peers.find(record.name);
    const bool is_self = record.name == m_options.self.name;
    const std::uint64_t in_force = is_self ? m_in_force
                                   : found == m_peers.end()
                                       ? 0
                                       : found->second.in_force;
    if (in_force < version) {
      missing.push_back(record.name);
    }
  }
  return missing;
}

}  // namespace cassiastile::member
