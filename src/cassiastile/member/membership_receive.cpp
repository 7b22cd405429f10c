#include <algorithm>
#include <utility>

#include "cassiastile/member/membership.hpp"

namespace cassiastile::member {

namespace {

// How many records of other members an acknowledgement carries to a member that
// has another member list.
constexpr std::size_t kRecordsPerAck = 2;
// The most promises that are kept at once; further prepares get no promise.
constexpr std::size_t kMaxPromises = 16;

// Rounds up, since an encoded age must be an upper bound.
std::uint8_t PackAge(const std::optional<base::TimePoint>& time,
                     base::TimePoint now) {
  if (!time) {
    return kAgeUnknown;
  }
  const auto units = base::Milliseconds(now - *time) / kAgeUnitMilliseconds + 1;
  return static_cast<std::uint8_t>(std::min<std::int64_t>(units, kAgeUnknown));
}

base::Duration UnpackAge(std::uint8_t units) {
  return std::chrono::milliseconds(units * kAgeUnitMilliseconds);
}

void AdvanceTo(std::optional<base::TimePoint>& time, base::TimePoint to) {
  if (!time || *time < to) {
    time = to;
  }
}

}  // namespace

Message Membership::MakeMessage(MessageKind kind) {
  Message message;
  message.kind = kind;
  message.sender = m_options.self.name;
  message.incarnation = m_options.self.incarnation;
  message.sequence = ++m_sequence;
  message.head = m_head;
  message.in_force = m_in_force;
  message.reaches_store = m_reaches_store;
  message.agrees = AgreesWithHead();
  message.list_hash = m_list_hash;
  return message;
}

std::string Membership::Encode(const Message& message) const {
  return EncodeMessage(message, m_options.secret);
}

Message Membership::MakeAck(const Message& ping,
                            base::TimePoint now,
                            base::Random& random) {
  Message ack = MakeMessage(MessageKind::kAck);
  ack.echo = ping.sequence;
  if (m_head_known_at) {
    const std::int64_t age = base::Milliseconds(now - *m_head_known_at) + 1;
    ack.head_age_ms = static_cast<std::uint16_t>(
        std::min<std::int64_t>(age, kHeadAgeUnknown));
  }
  AddStatements(ack, now);
  AddRecords(ack, ping.list_hash != m_list_hash, random);
  return ack;
}

void Membership::AddStatements(Message& message, base::TimePoint now) const {
  for (const MemberRecord& record : m_list) {
    MemberStatement statement{kAgeUnknown, kAgeUnknown, false};
    const auto found = m_peers.find(record.name);
    if (found != m_peers.end()) {
      statement.heard_age = PackAge(found->second.heard_at, now);
      statement.agreed_age = PackAge(found->second.agreed_at, now);
      statement.has_head_in_force = found->second.in_force >= m_head.version;
    }
    message.statements.push_back(statement);
  }
}

// Adds this member's record. A receiver with the same list knows the records of
// the others from the list, so it gets none of them.
void Membership::AddRecords(Message& message,
                            bool with_others,
                            base::Random& random) const {
  message.records.push_back(m_options.self);
  if (m_peers.empty() || !with_others) {
    return;
  }
  for (std::size_t i = 0; i < kRecordsPerAck; ++i) {
    const auto index = static_cast<std::ptrdiff_t>(random() % m_peers.size());
    message.records.push_back(std::next(m_peers.begin(), index)->second.record);
  }
}

void Membership::CountDropped(PacketFault fault) {
  ++m_faults.at(static_cast<std::size_t>(fault));
}

std::vector<Datagram> Membership::Receive(std::string_view datagram,
                                          const std::string& from,
                                          base::TimePoint now,
                                          base::Random& random) {
  ++m_received;
  const auto message = DecodeMessage(datagram, m_options.secret);
  if (!message) {
    CountDropped(message.error());
    return {};
  }
  if (message->sender == m_options.self.name) {
    m_superseded |= message->incarnation > m_options.self.incarnation;
    CountDropped(PacketFault::kReplayed);
    return {};
  }
  if (!IsCurrentIncarnation(*message)) {
    CountDropped(PacketFault::kOldIncarnation);
    Message superseded = MakeMessage(MessageKind::kSuperseded);
    superseded.echo = m_peers.at(message->sender).record.incarnation;
    return {{from, Encode(superseded)}};
  }
  return ProcessMessage(*message, from, now, random);
}

std::vector<Datagram> Membership::ProcessMessage(const Message& message,
                                                 const std::string& from,
                                                 base::TimePoint now,
                                                 base::Random& random) {
  if (message.kind == MessageKind::kAck) {
    const auto as_of = TakePing(message.echo);
    if (!as_of) {
      CountDropped(PacketFault::kReplayed);
      return {};
    }
    for (const MemberRecord& record : message.records) {
      LearnRecord(record, now);
    }
    LearnHead(message.head, now);
    LearnAck(message, *as_of);
    return {};
  }
  for (const MemberRecord& record : message.records) {
    LearnRecord(record, now);
  }
  if (!AcceptSequence(message)) {
    CountDropped(PacketFault::kReplayed);
    return {};
  }
  LearnHead(message.head, now);
  switch (message.kind) {
    case MessageKind::kPing:
      return {{from, Encode(MakeAck(message, now, random))}};
    case MessageKind::kPrepare:
      return {{from, Encode(AnswerPrepare(message))}};
    case MessageKind::kPromise:
      if (m_proposal && m_proposal->id == message.promise_id) {
        m_proposal->promised.insert(message.sender);
      }
      return {};
    case MessageKind::kAbort:
      m_promises.erase(message.promise_id);
      return {};
    case MessageKind::kSuperseded:
      m_superseded |= message.echo > m_options.self.incarnation;
      return {};
    case MessageKind::kAck:
      break;
  }
  return {};
}

// The answer has promise id zero if this member made no promise.
Message Membership::AnswerPrepare(const Message& prepare) {
  const bool has_room = m_promises.size() < kMaxPromises ||
                        m_promises.contains(prepare.promise_id);
  if (prepare.promise_version > m_head.version && has_room) {
    m_promises[prepare.promise_id] = prepare.promise_version;
  }
  Message promise = MakeMessage(MessageKind::kPromise);
  if (m_promises.contains(prepare.promise_id)) {
    promise.promise_version = prepare.promise_version;
    promise.promise_id = prepare.promise_id;
  }
  return promise;
}

bool Membership::IsCurrentIncarnation(const Message& message) {
  const auto found = m_peers.find(message.sender);
  return found == m_peers.end() ||
         message.incarnation >= found->second.record.incarnation;
}

// Returns whether the message is newer than all earlier ones of its sender, and
// records its sequence if the sender is known. Messages other than
// acknowledgements are processed only once and in the order sent; others are
// dropped as replayed.
bool Membership::AcceptSequence(const Message& message) {
  const auto found = m_peers.find(message.sender);
  if (found == m_peers.end()) {
    return true;
  }
  Peer& peer = found->second;
  if (message.incarnation > peer.record.incarnation) {
    peer.record.incarnation = message.incarnation;
    peer.last_sequence = 0;
    peer.in_force = 0;
  }
  if (message.sequence <= peer.last_sequence) {
    return false;
  }
  peer.last_sequence = message.sequence;
  return true;
}

// Removes an unanswered ping and returns when it was sent; nothing if there is
// none. What the answer says was true at that time or later, so the time is a
// safe lower bound.
std::optional<base::TimePoint> Membership::TakePing(std::uint64_t sequence) {
  const auto found = m_pings.find(sequence);
  if (found == m_pings.end()) {
    return std::nullopt;
  }
  const base::TimePoint sent_at = found->second.sent_at;
  m_pings.erase(found);
  return sent_at;
}

void Membership::LearnAck(const Message& ack, base::TimePoint as_of) {
  const auto found = m_peers.find(ack.sender);
  if (found != m_peers.end()) {
    Peer& peer = found->second;
    AdvanceTo(peer.heard_at, as_of);
    peer.in_force = std::max(peer.in_force, ack.in_force);
    if (ack.head == m_head && ack.agrees) {
      AdvanceTo(peer.agreed_at, as_of);
    }
  }
  LearnHeadAge(ack, as_of);
  LearnStatements(ack, as_of);
}

void Membership::LearnHeadAge(const Message& ack, base::TimePoint as_of) {
  if (ack.head == m_head && ack.head_age_ms != kHeadAgeUnknown) {
    AdvanceTo(m_head_known_at,
              as_of - std::chrono::milliseconds(ack.head_age_ms));
  }
}

void Membership::LearnStatements(const Message& ack, base::TimePoint as_of) {
  if (ack.list_hash != m_list_hash || ack.statements.size() != m_list.size()) {
    return;
  }
  for (std::size_t i = 0; i < m_list.size(); ++i) {
    const auto found = m_peers.find(m_list[i].name);
    if (found == m_peers.end()) {
      continue;
    }
    Peer& peer = found->second;
    const MemberStatement& statement = ack.statements[i];
    if (statement.heard_age != kAgeUnknown) {
      AdvanceTo(peer.heard_at, as_of - UnpackAge(statement.heard_age));
    }
    if (ack.head != m_head) {
      continue;
    }
    if (statement.agreed_age != kAgeUnknown) {
      AdvanceTo(peer.agreed_at, as_of - UnpackAge(statement.agreed_age));
    }
    if (statement.has_head_in_force) {
      peer.in_force = std::max(peer.in_force, m_head.version);
    }
  }
}

}  // namespace cassiastile::member
