#include <algorithm>
#include <utility>

#include "cassiastile/member/membership.hpp"

namespace cassiastile::member {

namespace {

// One ping round in this many pings a member of the own availability zone, the
// others a member of another zone. Without such a member the other kind is
// pinged.
constexpr std::uint64_t kSameZonePingInterval = 6;
// The number of pings in a round when the confirmation of the head is missing,
// expired or about to expire.
constexpr int kUrgentPings = 3;
// One ping round in this many also pings a member that is considered dead, or a
// seed address (from the settings or the host list) that no known member has.
constexpr std::uint64_t kSeedPingInterval = 5;
// The most peers to try when fetching a body.
constexpr std::size_t kMaxPullPeers = 3;
// Periods are shortened at random by up to one part in this many, so that the
// members' reads are spread over time.
constexpr std::uint64_t kJitterDivisor = 5;

base::Duration Jitter(base::Duration period, base::Random& random) {
  const auto range =
      static_cast<std::uint64_t>(base::Milliseconds(period)) / kJitterDivisor;
  return std::chrono::milliseconds(random() % (range + 1));
}

template <typename Value>
const Value& PickOne(const std::vector<Value>& values, base::Random& random) {
  return values[random() % values.size()];
}

}  // namespace

MemberActions Membership::Tick(base::TimePoint now, base::Random& random) {
  MemberActions actions;
  if (m_superseded) {
    return actions;
  }
  BecomeVoterIfDue(now);
  AddPings(actions, now, random);
  AddPrepares(actions, now);
  AddBroadcast(actions, now);
  AddReads(actions, now, random);
  AddPull(actions, now, random);
  return actions;
}

void Membership::AddPings(MemberActions& actions,
                          base::TimePoint now,
                          base::Random& random) {
  if (now < m_next_ping) {
    return;
  }
  m_next_ping = now + m_options.times.ping_period -
                Jitter(m_options.times.ping_period, random) / 2;
  ++m_ping_rounds;
  ForgetOldPings(now);
  const bool same_zone = m_ping_rounds % kSameZonePingInterval == 0;
  std::vector<std::string> names = PingCandidates(same_zone, now);
  if (names.empty()) {
    names = PingCandidates(!same_zone, now);
  }
  const int pings = IsNearlyStale(now) ? kUrgentPings : 1;
  for (int i = 0; i < pings && !names.empty(); ++i) {
    Peer& peer = m_peers.at(PickOne(names, random));
    peer.pinged_at = now;
    AddPing(actions, peer.record.address, !peer.heard_at, now);
  }
  AddSeedPing(actions, now, random);
  AddSuspectPings(actions, now);
}

std::vector<std::string> Membership::PingCandidates(bool same_zone,
                                                    base::TimePoint now) const {
  std::vector<std::string> names;
  for (const auto& [name, peer] : m_peers) {
    const bool in_zone = peer.record.zone == m_options.self.zone;
    const bool reachable = StateOf(peer, now) != MemberState::kDead;
    if (in_zone == same_zone && reachable && !peer.record.address.empty()) {
      names.push_back(name);
    }
  }
  return names;
}

bool Membership::IsNearlyStale(base::TimePoint now) const {
  const auto confirmed = HeadConfirmedAt(now);
  return !confirmed || now - *confirmed > m_options.times.freshness * 3 / 4;
}

void Membership::AddPing(MemberActions& actions,
                         const std::string& address,
                         bool with_own_record,
                         base::TimePoint now) {
  Message ping = MakeMessage(MessageKind::kPing);
  if (with_own_record) {
    ping.records.push_back(m_options.self);
  }
  m_pings[ping.sequence] = Ping{address, now};
  actions.datagrams.push_back({address, Encode(ping)});
}

void Membership::AddSeedPing(MemberActions& actions,
                             base::TimePoint now,
                             base::Random& random) {
  if (m_ping_rounds % kSeedPingInterval != 1) {
    return;
  }
  std::vector<std::string> candidates;
  for (const std::string& seed : m_options.seeds) {
    const bool known = std::any_of(
        m_peers.begin(), m_peers.end(),
        [&](const auto& entry) { return entry.second.record.address == seed; });
    if (!known && seed != m_options.self.address) {
      candidates.push_back(seed);
    }
  }
  // A member that is considered dead may only have been unreachable.
  for (const auto& [name, peer] : m_peers) {
    if (StateOf(peer, now) == MemberState::kDead &&
        !peer.record.address.empty()) {
      candidates.push_back(peer.record.address);
    }
  }
  if (!candidates.empty()) {
    AddPing(actions, PickOne(candidates, random), true, now);
  }
}

// Pings the suspected member whose last ping is the oldest, so that a member
// that no other member has heard lately can answer before it is considered
// dead.
void Membership::AddSuspectPings(MemberActions& actions, base::TimePoint now) {
  Peer* selected = nullptr;
  for (auto& [name, peer] : m_peers) {
    const bool suspect = StateOf(peer, now) == MemberState::kSuspect;
    if (suspect &&
        (selected == nullptr || peer.pinged_at < selected->pinged_at)) {
      selected = &peer;
    }
  }
  if (selected != nullptr && !selected->record.address.empty()) {
    selected->pinged_at = now;
    AddPing(actions, selected->record.address, true, now);
  }
}

void Membership::ForgetOldPings(base::TimePoint now) {
  std::erase_if(m_pings, [&](const auto& entry) {
    return now - entry.second.sent_at > m_options.times.ping_timeout;
  });
}

void Membership::AddReads(MemberActions& actions,
                          base::TimePoint now,
                          base::Random& random) {
  const MembershipTimes& times = m_options.times;
  if (now >= m_next_head_read) {
    actions.read_head = true;
    m_next_head_read =
        now + times.head_read_period - Jitter(times.head_read_period, random);
  }
  if (now >= m_next_list_read) {
    actions.read_list = true;
    m_next_list_read =
        now + times.list_read_period - Jitter(times.list_read_period, random);
  }
}

void Membership::AddPull(MemberActions& actions,
                         base::TimePoint now,
                         base::Random& random) {
  if (m_head.version <= m_in_force || now < m_next_pull) {
    return;
  }
  m_next_pull = now + m_options.times.body_retry;
  BodyPull pull{m_head, {}};
  for (const auto& [name, peer] : m_peers) {
    if (peer.in_force >= m_head.version && !peer.record.address.empty()) {
      pull.peers.push_back(peer.record.address);
    }
  }
  std::shuffle(pull.peers.begin(), pull.peers.end(), random);
  pull.peers.resize(std::min(pull.peers.size(), kMaxPullPeers));
  actions.pull = std::move(pull);
}

void Membership::AddPrepares(MemberActions& actions, base::TimePoint now) {
  std::optional<Proposal>& proposal = m_proposal ? m_proposal : m_aborted;
  if (!proposal || now - proposal->sent_at < m_options.times.prepare_retry) {
    return;
  }
  const bool aborted = !m_proposal;
  proposal->sent_at = now;
  Message message =
      MakeMessage(aborted ? MessageKind::kAbort : MessageKind::kPrepare);
  message.promise_version = proposal->version;
  message.promise_id = proposal->id;
  for (const MemberRecord& record : m_list) {
    const auto found = m_peers.find(record.name);
    const bool has_promised =
        !aborted && proposal->promised.contains(record.name);
    if (found != m_peers.end() && !has_promised) {
      actions.datagrams.push_back(
          {found->second.record.address, Encode(message)});
    }
  }
  if (aborted) {
    m_aborted.reset();
  }
}

void Membership::AddBroadcast(MemberActions& actions, base::TimePoint now) {
  if (!std::exchange(m_broadcast_head, false)) {
    return;
  }
  for (const auto& [name, peer] : m_peers) {
    if (StateOf(peer, now) != MemberState::kDead &&
        !peer.record.address.empty()) {
      AddPing(actions, peer.record.address, false, now);
    }
  }
}

}  // namespace cassiastile::member
