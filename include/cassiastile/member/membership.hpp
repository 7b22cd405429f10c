#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/random.hpp"
#include "cassiastile/member/message.hpp"

namespace cassiastile::member {

// Times of the protocol.
struct MembershipTimes {
  // How long a host may act on a version that it last knew to be the head.
  base::Duration freshness = std::chrono::milliseconds(2000);
  base::Duration ping_period = std::chrono::milliseconds(190);
  base::Duration ping_timeout = std::chrono::milliseconds(1500);
  base::Duration suspect_after = std::chrono::milliseconds(3000);
  base::Duration dead_after = std::chrono::milliseconds(8000);
  base::Duration head_read_period = std::chrono::milliseconds(500);
  base::Duration list_read_period = std::chrono::milliseconds(5000);
  // A listed member not heard of for so long is taken off the list, one in each
  // period, so that majorities of a list and the next one overlap.
  base::Duration remove_after = std::chrono::minutes(10);
  base::Duration remove_period = std::chrono::minutes(1);
  base::Duration body_retry = std::chrono::milliseconds(250);
  base::Duration prepare_retry = std::chrono::milliseconds(100);
  // The longest time from the first promise to the commit. A process that
  // started anew may have forgotten promises; it speaks for the head only once
  // the head was confirmed to it at a time this long after its start.
  base::Duration voter_delay = std::chrono::milliseconds(10000);
};

struct MembershipOptions {
  MemberRecord self;
  std::string secret;
  std::vector<std::string> seeds;  // IP:PORT; may be out of date or wrong.
  MembershipTimes times;
};

enum class MemberState : std::uint8_t {
  kAlive,
  kSuspect,
  kDead,
};

std::string_view NameOf(MemberState state);

// A datagram to be sent.
struct Datagram {
  std::string to;  // IP:PORT
  std::string bytes;
};

// A body that is to be read, from the table or from one of the peers.
struct BodyPull {
  ConfigHead head;
  std::vector<std::string> peers;  // IP:PORT of those that have it in force.
};

// What the shell is to do.
struct MemberActions {
  std::vector<Datagram> datagrams;
  bool read_head = false;
  bool read_list = false;
  std::optional<BodyPull> pull;
};

// A member as seen from here.
struct MemberView {
  MemberRecord record;
  MemberState state = MemberState::kAlive;
  base::Duration heard_age{};
  std::uint64_t in_force = 0;  // The newest version known to be in force there.
  bool listed = false;
};

// Who is a member, which head is the newest, and whether this host may act on
// the version that it has in force. Does no I/O and reads no clock: the shell
// passes in what it saw and does what is returned. Not safe for use by several
// threads.
//
// A host may act on a version while it was the head at most `freshness` ago.
// It knows so from a read of the table that started then, from a peer that
// made such a read, or from a majority of the listed members which all agreed
// then. A member that has promised a newer version agrees no more, and none is
// committed without the promises of a majority.
class Membership {
 public:
  Membership(MembershipOptions options, base::TimePoint now);

  // Called at least as often as the prepare is repeated.
  MemberActions Tick(base::TimePoint now, base::Random& random);
  // Takes in a datagram; answers are sent to where it came from.
  std::vector<Datagram> Receive(std::string_view datagram,
                                const std::string& from,
                                base::TimePoint now,
                                base::Random& random);

  // What a read of the table that started at a time found.
  void ObserveHead(const ConfigHead& head, base::TimePoint started);
  void ObserveList(const std::vector<MemberRecord>& list, base::TimePoint now);
  void ObserveStoreFailure();
  // Takes a list from a peer, where this host has none.
  void LearnList(const std::vector<MemberRecord>& list, base::TimePoint now);
  void SetSeeds(std::vector<std::string> seeds);
  void SetShards(std::uint16_t shards);
  // Says that the body of this version, checked by its digest, is in force. An
  // older one than that in force now changes nothing.
  void SetInForce(std::uint64_t version);

  const ConfigHead& KnownHead() const { return m_head; }
  std::uint64_t InForce() const { return m_in_force; }
  // When the version in force was last known to be the head.
  std::optional<base::TimePoint> ConfirmedAt(base::TimePoint now) const;
  bool IsFresh(base::TimePoint now) const;
  // Whether a process that replaced this one has been heard of.
  bool IsSuperseded() const { return m_refused; }
  bool ReachesStore() const { return m_reaches_store; }
  std::vector<MemberView> Members(base::TimePoint now) const;
  const std::vector<MemberRecord>& List() const { return m_list; }
  const PacketFaultCounts& Faults() const { return m_faults; }
  std::uint64_t MessagesReceived() const { return m_received; }

  // The listed member whose row this host should remove now, if any. Only one
  // host, the first control process that is alive, removes rows, and only while
  // it hears a majority.
  std::optional<MemberRecord> NextRemoval(base::TimePoint now);

  // Starts to ask all members to promise a version that is about to be
  // committed; the asking goes on in Tick until it is withdrawn or known.
  void Prepare(std::uint64_t version, std::uint64_t id);
  // Whether a majority of the listed members has promised.
  bool IsPrepared() const;
  // Ends a prepare whose version certainly was not committed.
  void AbortPrepare(base::TimePoint now);
  // The listed members not known to have the version in force.
  std::vector<std::string> Missing(std::uint64_t version) const;
  // Sends the head to all members at once in the next Tick.
  void BroadcastHead() { m_spread = true; }

 private:
  struct Peer {
    MemberRecord record;
    std::optional<base::TimePoint> heard_at;
    std::optional<base::TimePoint> agreed_at;  // With m_head.
    base::TimePoint known_since;
    base::TimePoint pinged_at;
    std::uint64_t in_force = 0;
    std::uint64_t last_sequence = 0;
    bool listed = false;
  };
  struct Ping {
    std::string address;
    base::TimePoint sent_at;
  };
  struct Proposal {
    std::uint64_t version = 0;
    std::uint64_t id = 0;
    std::set<std::string> promised;
    base::TimePoint sent_at;
  };

  Message MakeMessage(MessageKind kind);
  Message MakeAck(const Message& ping,
                  base::TimePoint now,
                  base::Random& random);
  std::string Encode(const Message& message) const;
  void AddStatements(Message& message, base::TimePoint now) const;
  void AddRecords(Message& message,
                  bool with_others,
                  base::Random& random) const;

  bool IsCurrentIncarnation(const Message& message);
  bool IsInOrder(const Message& message);
  void LearnRecord(const MemberRecord& record, base::TimePoint now);
  void LearnHead(const ConfigHead& head, base::TimePoint now);
  void LearnStoreAge(const Message& ack, base::TimePoint as_of);
  void LearnAck(const Message& ack, base::TimePoint as_of);
  void LearnStatements(const Message& ack, base::TimePoint as_of);
  std::optional<base::TimePoint> TakePing(std::uint64_t sequence);
  std::vector<Datagram> Answer(const Message& message,
                               const std::string& from,
                               base::TimePoint now,
                               base::Random& random);
  Message AnswerPrepare(const Message& prepare);
  void Count(PacketFault fault);

  void AddPings(MemberActions& actions,
                base::TimePoint now,
                base::Random& random);
  void AddPing(MemberActions& actions,
               const std::string& address,
               bool introduce,
               base::TimePoint now);
  void AddSeedPing(MemberActions& actions,
                   base::TimePoint now,
                   base::Random& random);
  void AddSuspectPings(MemberActions& actions, base::TimePoint now);
  void AddReads(MemberActions& actions,
                base::TimePoint now,
                base::Random& random);
  void AddPull(MemberActions& actions,
               base::TimePoint now,
               base::Random& random);
  void AddPrepares(MemberActions& actions, base::TimePoint now);
  void AddSpread(MemberActions& actions, base::TimePoint now);
  std::vector<std::string> PingCandidates(bool same_zone,
                                          base::TimePoint now) const;
  bool IsNearlyStale(base::TimePoint now) const;
  void ForgetOldPings(base::TimePoint now);
  MemberState StateOf(const Peer& peer, base::TimePoint now) const;
  bool Agrees() const;
  void BecomeVoter(base::TimePoint now);
  std::optional<base::TimePoint> HeadConfirmedAt(base::TimePoint now) const;
  std::optional<base::TimePoint> MajorityAgreedAt(base::TimePoint now) const;
  std::size_t Majority() const { return m_list.size() / 2 + 1; }

  MembershipOptions m_options;
  base::TimePoint m_started;
  std::map<std::string, Peer> m_peers;
  std::vector<MemberRecord> m_list;  // From the table, in order of names.
  std::uint32_t m_list_hash = 0;

  ConfigHead m_head;
  // The latest time at which the head is known to have been the head, by reads
  // of the store here or at peers, or by the version before it.
  std::optional<base::TimePoint> m_head_known_at;
  std::uint64_t m_in_force = 0;
  // Kept while the version in force is not the head.
  std::optional<base::TimePoint> m_in_force_confirmed_at;
  std::map<std::uint64_t, std::uint64_t> m_promises;  // Version by id.
  std::optional<Proposal> m_proposal;
  std::optional<Proposal> m_withdrawn;

  std::map<std::uint64_t, Ping> m_pings;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_ticks = 0;
  base::TimePoint m_next_ping;
  base::TimePoint m_next_head_read;
  base::TimePoint m_next_list_read;
  base::TimePoint m_next_pull;
  base::TimePoint m_next_removal;
  bool m_reaches_store = false;
  bool m_refused = false;
  bool m_voter = false;  // Whether this process speaks for the head.
  bool m_spread = false;
  PacketFaultCounts m_faults{};
  std::uint64_t m_received = 0;
};

}  // namespace cassiastile::member
