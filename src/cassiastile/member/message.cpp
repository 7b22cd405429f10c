#include "cassiastile/member/message.hpp"

#include <algorithm>
#include <exception>
#include <sstream>

#include <cereal/archives/portable_binary.hpp>

#include "cassiastile/base/enum_names.hpp"
#include "cassiastile/base/hash.hpp"
#include "cassiastile/member/short_text.hpp"

namespace cassiastile::member {

namespace {

constexpr std::array kRoleNames{
    base::EnumName<MemberRole>{MemberRole::kEntry, "entry"},
    base::EnumName<MemberRole>{MemberRole::kControl, "control"},
};

constexpr std::array<base::EnumName<PacketFault>, kPacketFaultCount>
    kFaultNames{{
        {PacketFault::kTruncated, "truncated"},
        {PacketFault::kOversized, "oversized"},
        {PacketFault::kForged, "forged"},
        {PacketFault::kUnsupported, "unsupported"},
        {PacketFault::kMalformed, "malformed"},
        {PacketFault::kReplayed, "replayed"},
        {PacketFault::kOldIncarnation, "old-incarnation"},
    }};

// A datagram consists of a header (magic, format, oldest format that can read
// it), the archive, and a truncated HMAC-SHA256 tag over both.
constexpr std::string_view kMagic = "CM";
constexpr char kFormat = 1;
// The oldest format whose readers can decode the datagrams written here.
constexpr char kMinReaderFormat = 1;
constexpr std::size_t kHeaderBytes = 4;
constexpr std::size_t kMinReaderFormatOffset = 3;
constexpr std::size_t kTagBytes = 16;
constexpr std::size_t kMaxStatements = 255;  // Their count is sent as one byte.
constexpr std::uint8_t kReachesStoreFlag = 1;
constexpr std::uint8_t kAgreesFlag = 2;

std::string ComputeTag(std::string_view secret, std::string_view data) {
  return base::HmacSha256(secret, data).substr(0, kTagBytes);
}

int NibbleOf(char digit) {
  return digit >= 'a' ? digit - 'a' + 10 : digit - '0';
}

std::string PackDigest(const std::string& hex) {
  std::string raw;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
    raw += static_cast<char>(NibbleOf(hex[i]) * 16 + NibbleOf(hex[i + 1]));
  }
  return raw;
}

std::string UnpackDigest(const std::string& raw) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (const char byte : raw) {
    const auto value = static_cast<unsigned char>(byte);
    hex += kDigits[value / 16];
    hex += kDigits[value % 16];
  }
  return hex;
}

using StatementBit = bool (*)(const MemberStatement&);

bool IsAgreed(const MemberStatement& statement) {
  return statement.agreed_age != kAgeUnknown;
}

bool IsInForce(const MemberStatement& statement) {
  return statement.has_head_in_force;
}

void SaveBits(cereal::PortableBinaryOutputArchive& archive,
              const std::vector<MemberStatement>& statements,
              std::size_t count,
              StatementBit bit) {
  for (std::size_t i = 0; i < count; i += 8) {
    std::uint8_t bits = 0;
    for (std::size_t j = i; j < std::min(i + 8, count); ++j) {
      bits |= static_cast<std::uint8_t>(bit(statements[j]) << (j - i));
    }
    archive(bits);
  }
}

std::vector<bool> LoadBits(cereal::PortableBinaryInputArchive& archive,
                           std::size_t count) {
  std::vector<bool> all(count);
  for (std::size_t i = 0; i < count; i += 8) {
    std::uint8_t bits = 0;
    archive(bits);
    for (std::size_t j = i; j < std::min(i + 8, count); ++j) {
      all[j] = ((bits >> (j - i)) & 1U) != 0;
    }
  }
  return all;
}

// Sends one age for each member. If the member agreed with the head, this is
// the age of the agreement, which is also a time at which the member was heard.
void SaveStatements(cereal::PortableBinaryOutputArchive& archive,
                    const std::vector<MemberStatement>& statements) {
  const std::size_t count = std::min(statements.size(), kMaxStatements);
  archive(static_cast<std::uint8_t>(count));
  for (std::size_t i = 0; i < count; ++i) {
    archive(IsAgreed(statements[i]) ? statements[i].agreed_age
                                    : statements[i].heard_age);
  }
  SaveBits(archive, statements, count, IsAgreed);
  SaveBits(archive, statements, count, IsInForce);
}

std::vector<MemberStatement> LoadStatements(
    cereal::PortableBinaryInputArchive& archive) {
  std::uint8_t count = 0;
  archive(count);
  std::vector<MemberStatement> statements(count);
  for (MemberStatement& statement : statements) {
    archive(statement.heard_age);
  }
  const std::vector<bool> agreed = LoadBits(archive, count);
  const std::vector<bool> in_force = LoadBits(archive, count);
  for (std::size_t i = 0; i < count; ++i) {
    statements[i].agreed_age =
        agreed[i] ? statements[i].heard_age : kAgeUnknown;
    statements[i].has_head_in_force = in_force[i];
  }
  return statements;
}

void SaveRecord(cereal::PortableBinaryOutputArchive& archive,
                const MemberRecord& record) {
  SaveShortText(archive, record.name);
  archive(record.incarnation, static_cast<std::uint8_t>(record.role));
  SaveShortText(archive, record.zone);
  SaveShortText(archive, record.address);
  SaveShortText(archive, record.http_address);
  archive(record.shards);
}

MemberRecord LoadRecord(cereal::PortableBinaryInputArchive& archive) {
  MemberRecord record;
  std::uint8_t role = 0;
  record.name = LoadShortText(archive);
  archive(record.incarnation, role);
  record.role = role == 0 ? MemberRole::kEntry : MemberRole::kControl;
  record.zone = LoadShortText(archive);
  record.address = LoadShortText(archive);
  record.http_address = LoadShortText(archive);
  archive(record.shards);
  return record;
}

void SaveFixedFields(cereal::PortableBinaryOutputArchive& archive,
                     const Message& message) {
  std::uint8_t flags = message.reaches_store ? kReachesStoreFlag : 0;
  flags |= message.agrees ? kAgreesFlag : 0;
  archive(static_cast<std::uint8_t>(message.kind), flags);
  SaveShortText(archive, message.sender);
  archive(message.incarnation, message.sequence, message.echo);
  archive(message.head.version);
  SaveShortText(archive, PackDigest(message.head.digest));
  archive(message.in_force, message.promise_version, message.promise_id);
  archive(message.head_age_ms, message.list_hash);
}

Message LoadFixedFields(cereal::PortableBinaryInputArchive& archive) {
  Message message;
  std::uint8_t kind = 0;
  std::uint8_t flags = 0;
  archive(kind, flags);
  message.kind = static_cast<MessageKind>(kind);
  message.reaches_store = (flags & kReachesStoreFlag) != 0;
  message.agrees = (flags & kAgreesFlag) != 0;
  message.sender = LoadShortText(archive);
  archive(message.incarnation, message.sequence, message.echo);
  archive(message.head.version);
  message.head.digest = UnpackDigest(LoadShortText(archive));
  archive(message.in_force, message.promise_version, message.promise_id);
  archive(message.head_age_ms, message.list_hash);
  return message;
}

std::string EncodeWithRecords(const Message& message, std::size_t records) {
  std::ostringstream stream;
  stream << kMagic << kFormat << kMinReaderFormat;
  cereal::PortableBinaryOutputArchive archive(stream);
  SaveFixedFields(archive, message);
  SaveStatements(archive, message.statements);
  archive(static_cast<std::uint8_t>(records));
  for (std::size_t i = 0; i < records; ++i) {
    SaveRecord(archive, message.records[i]);
  }
  return stream.str();
}

// Ignores bytes after the last known field: a newer release may have added
// fields.
Message DecodePayload(std::string_view payload) {
  std::istringstream stream{std::string(payload)};
  cereal::PortableBinaryInputArchive archive(stream);
  Message message = LoadFixedFields(archive);
  message.statements = LoadStatements(archive);
  std::uint8_t records = 0;
  archive(records);
  for (std::size_t i = 0; i < records; ++i) {
    message.records.push_back(LoadRecord(archive));
  }
  return message;
}

bool IsKnownKind(MessageKind kind) {
  return kind <= MessageKind::kSuperseded;
}

}  // namespace

std::string_view NameOf(MemberRole role) {
  return base::FindName(kRoleNames, role);
}

std::string_view NameOf(PacketFault fault) {
  return base::FindName(kFaultNames, fault);
}

std::string EncodeMessage(const Message& message, std::string_view secret) {
  std::size_t records = message.records.size();
  std::string data = EncodeWithRecords(message, records);
  while (records > 0 && data.size() + kTagBytes > kMaxDatagramBytes) {
    data = EncodeWithRecords(message, --records);
  }
  return data + ComputeTag(secret, data);
}

tl::expected<Message, PacketFault> DecodeMessage(std::string_view datagram,
                                                 std::string_view secret) {
  if (datagram.size() > kMaxDatagramBytes) {
    return tl::unexpected(PacketFault::kOversized);
  }
  if (datagram.size() <= kHeaderBytes + kTagBytes) {
    return tl::unexpected(PacketFault::kTruncated);
  }
  const std::string_view data = datagram.substr(0, datagram.size() - kTagBytes);
  const std::string_view tag = datagram.substr(data.size());
  if (!base::ConstantTimeEqual(ComputeTag(secret, data), tag)) {
    return tl::unexpected(PacketFault::kForged);
  }
  if (!data.starts_with(kMagic) || data[kMinReaderFormatOffset] > kFormat) {
    return tl::unexpected(PacketFault::kUnsupported);
  }
  try {
    Message message = DecodePayload(data.substr(kHeaderBytes));
    if (!IsKnownKind(message.kind)) {
      return tl::unexpected(PacketFault::kUnsupported);
    }
    return message;
  } catch (const std::exception&) {
    return tl::unexpected(PacketFault::kMalformed);
  }
}

}  // namespace cassiastile::member
