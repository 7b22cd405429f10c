#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace cassiastile::member {

// The largest datagram, in bytes. Small enough to avoid IP fragmentation.
inline constexpr std::size_t kMaxDatagramBytes = 1200;

// The version and digest of an accepted configuration document. Version zero
// means that there is none.
struct ConfigHead {
  std::uint64_t version = 0;
  std::string digest;  // SHA-256 in hexadecimal; empty for version zero.

  bool operator==(const ConfigHead&) const = default;
};

// The kind of process that a member is.
enum class MemberRole : std::uint8_t {
  kEntry,
  kControl,
};

std::string_view NameOf(MemberRole role);

// A member's identity and addresses, which don't depend on its health.
struct MemberRecord {
  std::string name;
  std::uint64_t incarnation = 0;  // Increases with each process start.
  MemberRole role = MemberRole::kEntry;
  std::string zone;
  std::string address;       // IP:PORT for datagrams and for peer requests.
  std::string http_address;  // IP:PORT of its HTTP endpoint.
  std::uint16_t shards = 0;  // The number of shards it owns.

  bool operator==(const MemberRecord&) const = default;
};

// The kinds of messages. Sent as numbers in this order.
enum class MessageKind : std::uint8_t {
  kPing,  // Asks for an acknowledgement.
  kAck,   // Answers a ping with what the sender knows.
  // Asks the receiver to promise a version that is about to be committed.
  kPrepare,
  // Answers a prepare: the sender has promised the version, so it no longer
  // agrees with the old head.
  kPromise,
  kAbort,       // Cancels a prepare whose version was not committed.
  kSuperseded,  // The receiver has been replaced by a later incarnation.
};

// What the sender of an acknowledgement knows about one listed member. An age
// is an upper bound on the time since the member itself sent the information.
struct MemberStatement {
  std::uint8_t heard_age = 0;      // In kAgeUnitMilliseconds; or kAgeUnknown.
  std::uint8_t agreed_age = 0;     // Since it agreed with the head; same unit.
  bool has_head_in_force = false;  // It acts on the head's version.
};

// The unit of the ages in MemberStatement, in milliseconds.
inline constexpr std::uint32_t kAgeUnitMilliseconds = 20;
// Stand for an age that is unknown or too large to be encoded.
inline constexpr std::uint8_t kAgeUnknown = 255;
inline constexpr std::uint16_t kHeadAgeUnknown = 65535;

// A message between members, sent as one datagram.
struct Message {
  MessageKind kind = MessageKind::kPing;
  std::string sender;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;  // Increases with each message of an incarnation.
  // The sequence of the ping that this answers, else zero. In kSuperseded, the
  // newest known incarnation of the receiver.
  std::uint64_t echo = 0;
  ConfigHead head;             // The newest head that the sender knows.
  std::uint64_t in_force = 0;  // The version in force at the sender.
  // The version and the id of the prepare that this message belongs to, or
  // zero.
  std::uint64_t promise_version = 0;
  std::uint64_t promise_id = 0;
  // The time, rounded up, since the latest moment at which `head` is known to
  // have been the table's head.
  std::uint16_t head_age_ms = kHeadAgeUnknown;
  bool reaches_store = false;  // The sender's last read of the table succeeded.
  // The sender votes for `head`; it has promised no newer version.
  bool agrees = false;
  // Identifies the member list whose order the statements follow.
  std::uint32_t list_hash = 0;
  std::vector<MemberStatement> statements;  // One for each listed member.
  std::vector<MemberRecord> records;        // The sender's and some others'.
};

// Why a received datagram was dropped.
enum class PacketFault : std::uint8_t {
  kTruncated,
  kOversized,
  kForged,         // Not authenticated with the fleet's secret.
  kUnsupported,    // A format that this release can't read.
  kMalformed,      // Authenticated, but can't be decoded.
  kReplayed,       // Duplicate, late, or an answer to no open request.
  kOldIncarnation  // From a process that a later incarnation has replaced.
};

inline constexpr std::size_t kPacketFaultCount = 7;

std::string_view NameOf(PacketFault fault);

// The number of dropped datagrams, indexed by PacketFault.
using PacketFaultCounts = std::array<std::uint64_t, kPacketFaultCount>;

// Encodes a message and authenticates it with the fleet's secret. Records that
// don't fit in a datagram are left out, the last ones first.
std::string EncodeMessage(const Message& message, std::string_view secret);

// Authenticates and decodes a datagram. Never throws, for any input.
tl::expected<Message, PacketFault> DecodeMessage(std::string_view datagram,
                                                 std::string_view secret);

}  // namespace cassiastile::member
