#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace cassiastile::member {

// The most bytes that a datagram holds, so that none is split on the way.
inline constexpr std::size_t kMaxDatagramBytes = 1200;

// The version and digest of an accepted document. Version zero means none.
struct ConfigHead {
  std::uint64_t version = 0;
  std::string digest;  // SHA-256 in hexadecimal; empty for version zero.

  bool operator==(const ConfigHead&) const = default;
};

enum class MemberRole : std::uint8_t {
  kEntry,
  kControl,
};

std::string_view NameOf(MemberRole role);

// What is known of a member whatever its health.
struct MemberRecord {
  std::string name;
  std::uint64_t incarnation = 0;  // Grows each time the process starts anew.
  MemberRole role = MemberRole::kEntry;
  std::string zone;
  std::string address;       // IP:PORT for datagrams and for peer links.
  std::string http_address;  // IP:PORT of its HTTP endpoint.
  std::uint16_t shards = 0;  // The number of shards it owns.

  bool operator==(const MemberRecord&) const = default;
};

enum class MessageKind : std::uint8_t {
  kPing,     // Asks for an acknowledgement.
  kAck,      // Answers a ping with what the sender knows.
  kPrepare,  // Announces a version that is about to be committed.
  kPromise,  // Answers a prepare: the sender says so in what it sends after.
  kAbort,    // Takes back a prepare whose version was not committed.
  kRefused,  // The receiver's incarnation is over.
};

// What the sender of an acknowledgement knows of one listed member. An age is
// the time since the member itself sent what it rests on, at most.
struct MemberStatement {
  std::uint8_t heard_age = 0;   // In kAgeUnit; kAgeUnknown when too old.
  std::uint8_t agreed_age = 0;  // The same, for agreeing with the head.
  bool in_force = false;        // It has the head's version in force.
};

// One unit of the ages above, in milliseconds.
inline constexpr std::uint32_t kAgeUnitMilliseconds = 20;
inline constexpr std::uint8_t kAgeUnknown = 255;
inline constexpr std::uint16_t kStoreAgeUnknown = 65535;

// One datagram between members.
struct Message {
  MessageKind kind = MessageKind::kPing;
  std::string sender;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;  // Grows with each message of an incarnation.
  std::uint64_t echo = 0;      // The sequence answered, or zero.
  ConfigHead head;             // The newest head that the sender knows.
  std::uint64_t in_force = 0;  // The version in force at the sender.
  std::uint64_t promise_version = 0;
  std::uint64_t promise_id = 0;
  std::uint16_t store_age = kStoreAgeUnknown;  // Milliseconds, rounded up.
  bool reaches_store = false;
  bool agrees = false;  // Knows the head as the newest; no newer one prepared.
  std::uint32_t list_hash = 0;  // Names the list that the statements follow.
  std::vector<MemberStatement> statements;
  std::vector<MemberRecord> records;
};

// Why a received datagram was dropped.
enum class PacketFault : std::uint8_t {
  kTruncated,
  kOversized,
  kForged,         // Not sealed with the fleet's secret.
  kUnsupported,    // A format that this release can't read.
  kMalformed,      // Sealed, but not a message.
  kReplayed,       // Seen before, late, or an answer to nothing asked.
  kOldIncarnation  // From a process that another has replaced.
};

inline constexpr std::size_t kPacketFaultCount = 7;

std::string_view NameOf(PacketFault fault);

// How many datagrams were dropped, by cause.
using PacketFaultCounts = std::array<std::uint64_t, kPacketFaultCount>;

// Seals a message with the fleet's secret. Records that don't fit in a datagram
// are left out.
std::string EncodeMessage(const Message& message, std::string_view secret);

// Opens a datagram. Never throws, whatever the bytes.
tl::expected<Message, PacketFault> DecodeMessage(std::string_view datagram,
                                                 std::string_view secret);

}  // namespace cassiastile::member
