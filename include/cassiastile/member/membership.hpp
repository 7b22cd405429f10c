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

// Intervals and timeouts of the membership protocol.
struct MembershipTimes {
  // How long a host may act on a version after the last time at which it knows
  // the version was the head.
  base::Duration freshness = std::chrono::milliseconds(2000);
  base::Duration ping_period = std::chrono::milliseconds(190);
  // An acknowledgement that arrives later than this is dropped.
  base::Duration ping_timeout = std::chrono::milliseconds(1500);
  // How long a member must be silent before it is suspected, and before it is
  // considered dead.
  base::Duration suspect_after = std::chrono::milliseconds(3000);
  base::Duration dead_after = std::chrono::milliseconds(8000);
  base::Duration head_read_period = std::chrono::milliseconds(500);
  base::Duration list_read_period = std::chrono::milliseconds(5000);
  // A listed member that has been silent for `remove_after` is removed from the
  // list. Only one is removed per `remove_period`, so that every majority of a
  // list overlaps every majority of the next one.
  base::Duration remove_after = std::chrono::minutes(10);
  base::Duration remove_period = std::chrono::minutes(1);
  // Time between two attempts to fetch a body.
  base::Duration body_retry = std::chrono::milliseconds(250);
  // Time between two rounds of prepares to members that haven't promised.
  base::Duration prepare_retry = std::chrono::milliseconds(100);
  // The longest time from the first promise to the commit. A restarted process
  // has lost its promises, so it votes for the head only after the head has
  // been confirmed to it at a time at least this long after its start.
  base::Duration voter_delay = std::chrono::milliseconds(10000);
};

// The identity and the settings of a Membership.
struct MembershipOptions {
  MemberRecord self;
  std::string secret;              // Authenticates all datagrams.
  std::vector<std::string> seeds;  // IP:PORT; may be out of date or wrong.
  MembershipTimes times;
};

// Whether a member is reachable, judged by the time since it was last heard.
enum class MemberState : std::uint8_t {
  kAlive,
  kSuspect,
  kDead,
};

std::string_view NameOf(MemberState state);

// A datagram to send.
struct Datagram {
  std::string to;  // IP:PORT
  std::string bytes;
};

// A body to fetch, from the table or else from one of the peers.
struct BodyPull {
  ConfigHead head;
  std::vector<std::string> peers;  // IP:PORT of peers that have it in force.
};

// The I/O that the caller of Membership must do.
struct MemberActions {
  std::vector<Datagram> datagrams;  // To send.
  bool read_head = false;           // Read config/head from the table.
  bool read_list = false;           // Read the member list from the table.
  std::optional<BodyPull> pull;     // Fetch a body.
};

// A member as seen by this process.
struct MemberView {
  MemberRecord record;
  MemberState state = MemberState::kAlive;
  base::Duration heard_age{};  // Time since it was last heard.
  std::uint64_t in_force = 0;  // The newest version known to be in force there.
  bool listed = false;         // Whether the table's member list has it.
};

// The membership protocol: tracks who is a member, which configuration head is
// the newest, and whether this host may act on the version that it has in
// force. Does no I/O and reads no clock: the caller passes in what it observed
// and does what is returned. Not thread-safe.
//
// A host may act on a version that was the head at most `freshness` ago. Three
// things confirm that a version was the head at some time: a read of the table
// that was started at that time, a peer that made such a read, or a majority of
// the listed members that all agreed with the head at that time. A member that
// has promised a newer version stops agreeing with the head, and no version is
// committed without the promises of a majority.
class Membership {
 public:
  Membership(MembershipOptions options, base::TimePoint now);

  // Returns the I/O that is due now. Must be called at least once per
  // `prepare_retry`.
  MemberActions Tick(base::TimePoint now, base::Random& random);
  // Processes a received datagram and returns the answers to send to `from`
  // (IP:PORT).
  std::vector<Datagram> Receive(std::string_view datagram,
                                const std::string& from,
                                base::TimePoint now,
                                base::Random& random);

  // Reports the head found by a read of the table that was started at
  // `started`.
  void ObserveHead(const ConfigHead& head, base::TimePoint started);
  // Reports the member list read from the table.
  void ObserveList(const std::vector<MemberRecord>& list, base::TimePoint now);
  // Reports that the table could not be read.
  void ObserveStoreFailure();
  // Uses a member list from a peer if this host has none yet.
  void LearnList(const std::vector<MemberRecord>& list, base::TimePoint now);
  // Replaces the seed addresses, IP:PORT.
  void SetSeeds(std::vector<std::string> seeds);
  // Sets the number of owned shards that other members are told.
  void SetShardCount(std::uint16_t shards);
  // Reports that this version is in force here; its body must have been checked
  // against the digest. Ignored unless it is newer than the version in force
  // and no newer than the known head.
  void SetInForce(std::uint64_t version);

  // The newest head known to this host.
  const ConfigHead& KnownHead() const { return m_head; }
  // The version that this host acts on; zero if none.
  std::uint64_t InForce() const { return m_in_force; }
  // The latest time at which the version in force is known to have been the
  // head.
  std::optional<base::TimePoint> ConfirmedAt(base::TimePoint now) const;
  // Whether this host may act on the version in force now.
  bool IsFresh(base::TimePoint now) const;
  // Whether a later incarnation of this member has been seen.
  bool IsSuperseded() const { return m_superseded; }
  // Whether the last read of the table succeeded.
  bool ReachesStore() const { return m_reaches_store; }
  // All known members, this one first.
  std::vector<MemberView> Members(base::TimePoint now) const;
  // The last member list read, in order of names.
  const std::vector<MemberRecord>& List() const { return m_list; }
  // How many received datagrams were dropped, by cause.
  const PacketFaultCounts& Faults() const { return m_faults; }
  // The number of datagrams received, dropped ones included.
  std::uint64_t MessagesReceived() const { return m_received; }

  // The listed member whose row this host should remove now, if any. Only the
  // first live control process, in order of names, removes rows, and only while
  // it hears a majority of the listed members and reaches the table.
  std::optional<MemberRecord> NextRemoval(base::TimePoint now);

  // Starts asking all members to promise a version that is about to be
  // committed. Tick repeats the request until it is aborted or the version is
  // known to be committed.
  void Prepare(std::uint64_t version, std::uint64_t id);
  // Whether a majority of the listed members has promised the version.
  bool IsPrepared() const;
  // Cancels the last Prepare. Call only if its version is certain not to be
  // committed.
  void AbortPrepare(base::TimePoint now);
  // Names of the listed members not known to have the version in force.
  std::vector<std::string> MembersWithoutVersion(std::uint64_t version) const;
  // Makes the next Tick send the head to all members that are not dead.
  void BroadcastHead() { m_broadcast_head = true; }

 private:
  struct Peer {
    MemberRecord record;
    std::optional<base::TimePoint> heard_at;
    std::optional<base::TimePoint> agreed_at;  // When it agreed with m_head.
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
  bool AcceptSequence(const Message& message);
  void LearnRecord(const MemberRecord& record, base::TimePoint now);
  void LearnHead(const ConfigHead& head, base::TimePoint now);
  void LearnHeadAge(const Message& ack, base::TimePoint as_of);
  void LearnAck(const Message& ack, base::TimePoint as_of);
  void LearnStatements(const Message& ack, base::TimePoint as_of);
  std::optional<base::TimePoint> TakePing(std::uint64_t sequence);
  std::vector<Datagram> ProcessMessage(const Message& message,
                                       const std::string& from,
                                       base::TimePoint now,
                                       base::Random& random);
  Message AnswerPrepare(const Message& prepare);
  void CountDropped(PacketFault fault);

  void AddPings(MemberActions& actions,
                base::TimePoint now,
                base::Random& random);
  void AddPing(MemberActions& actions,
               const std::string& address,
               bool with_own_record,
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
  void AddBroadcast(MemberActions& actions, base::TimePoint now);
  std::vector<std::string> PingCandidates(bool same_zone,
                                          base::TimePoint now) const;
  bool IsNearlyStale(base::TimePoint now) const;
  void ForgetOldPings(base::TimePoint now);
  MemberState StateOf(const Peer& peer, base::TimePoint now) const;
  bool AgreesWithHead() const;
  void BecomeVoterIfDue(base::TimePoint now);
  std::optional<base::TimePoint> HeadConfirmedAt(base::TimePoint now) const;
  std::optional<base::TimePoint> MajorityAgreedAt(base::TimePoint now) const;
  std::size_t MajoritySize() const { return m_list.size() / 2 + 1; }

  MembershipOptions m_options;
  base::TimePoint m_started;
  std::map<std::string, Peer> m_peers;
  std::vector<MemberRecord> m_list;  // The table's, in order of names.
  std::uint32_t m_list_hash = 0;

  ConfigHead m_head;
  // The latest time at which m_head is known to have been the head, from reads
  // of the table by this host or by peers, or from the time known for the
  // previous head.
  std::optional<base::TimePoint> m_head_known_at;
  std::uint64_t m_in_force = 0;
  // When the version in force was last known to be the head; set only once a
  // newer head is known.
  std::optional<base::TimePoint> m_in_force_confirmed_at;
  std::map<std::uint64_t, std::uint64_t> m_promises;  // Version by prepare id.
  std::optional<Proposal> m_proposal;
  // A cancelled proposal that the other members haven't been told of yet.
  std::optional<Proposal> m_aborted;

  std::map<std::uint64_t, Ping> m_pings;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_ping_rounds = 0;
  base::TimePoint m_next_ping;
  base::TimePoint m_next_head_read;
  base::TimePoint m_next_list_read;
  base::TimePoint m_next_pull;
  base::TimePoint m_next_removal;
  bool m_reaches_store = false;
  bool m_superseded = false;
  bool m_voter = false;  // Whether this process may vote for the head.
  bool m_broadcast_head = false;
  PacketFaultCounts m_faults{};
  std::uint64_t m_received = 0;
};

}  // namespace cassiastile::member
