#include <exception>
#include <sstream>

#include <cereal/archives/portable_binary.hpp>

#include "cassiastile/base/hash.hpp"
#include "cassiastile/member/peer_link.hpp"
#include "cassiastile/member/short_text.hpp"

namespace cassiastile::member {

namespace {

constexpr std::uint8_t kFormat = 1;
constexpr std::size_t kTagBytes = 32;

std::string PrependTag(const std::string& data, std::string_view secret) {
  return base::HmacSha256(secret, data) + data;
}

base::Result<std::string> VerifyTag(std::string_view frame,
                                    std::string_view secret) {
  if (frame.size() < kTagBytes) {
    return base::Fail(base::ErrorCode::kInvalid,
                      "The peer's frame is shorter than its HMAC.");
  }
  const std::string_view data = frame.substr(kTagBytes);
  if (!base::ConstantTimeEqual(base::HmacSha256(secret, data),
                               frame.substr(0, kTagBytes))) {
    return base::Fail(
        base::ErrorCode::kDenied,
        "The peer's frame is not authenticated with this fleet's secret.");
  }
  return std::string(data);
}

void SaveRecord(cereal::PortableBinaryOutputArchive& archive,
                const MemberRecord& record) {
  SaveShortText(archive, record.name);
  archive(record.incarnation, static_cast<std::uint8_t>(record.role));
  SaveShortText(archive, record.zone);
  SaveShortText(archive, record.address);
  SaveShortText(archive, record.http_address);
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
  return record;
}

// The text comes last and has no length of its own: it is the rest of the
// stream.
PeerReply LoadReply(std::istringstream& stream) {
  cereal::PortableBinaryInputArchive archive(stream);
  PeerReply reply;
  std::uint8_t format = 0;
  std::uint16_t records = 0;
  archive(format, reply.version, records);
  reply.nonce = LoadShortText(archive);
  for (std::uint16_t i = 0; i < records; ++i) {
    reply.list.push_back(LoadRecord(archive));
  }
  std::ostringstream rest;
  if (stream.peek() != std::istringstream::traits_type::eof()) {
    rest << stream.rdbuf();
  }
  reply.text = rest.str();
  return reply;
}

}  // namespace

std::string EncodeRequest(const PeerRequest& request, std::string_view secret) {
  std::ostringstream stream;
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(kFormat, request.version);
  SaveShortText(archive, request.nonce);
  return PrependTag(stream.str(), secret);
}

std::string EncodeReply(const PeerReply& reply, std::string_view secret) {
  std::ostringstream stream;
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(kFormat, reply.version,
          static_cast<std::uint16_t>(reply.list.size()));
  SaveShortText(archive, reply.nonce);
  for (const MemberRecord& record : reply.list) {
    SaveRecord(archive, record);
  }
  stream << reply.text;
  return PrependTag(stream.str(), secret);
}

base::Result<PeerRequest> DecodeRequest(std::string_view frame,
                                        std::string_view secret) {
  const auto data = VerifyTag(frame, secret);
  if (!data) {
    return tl::unexpected(data.error());
  }
  try {
    std::istringstream stream(*data);
    cereal::PortableBinaryInputArchive archive(stream);
    PeerRequest request;
    std::uint8_t format = 0;
    archive(format, request.version);
    request.nonce = LoadShortText(archive);
    return request;
  } catch (const std::exception&) {
    return base::Fail(base::ErrorCode::kInvalid,
                      "The peer's request can't be decoded.");
  }
}

base::Result<PeerReply> DecodeReply(std::string_view frame,
                                    std::string_view secret) {
  const auto data = VerifyTag(frame, secret);
  if (!data) {
    return tl::unexpected(data.error());
  }
  try {
    std::istringstream stream(*data);
    return LoadReply(stream);
  } catch (const std::exception&) {
    return base::Fail(base::ErrorCode::kInvalid,
                      "The peer's reply can't be decoded.");
  }
}

base::Result<IpPort> ParseIpPort(const std::string& text) {
  constexpr unsigned long kLargestPort = 65535;
  const std::size_t colon = text.rfind(':');
  if (colon != std::string::npos && colon > 0) {
    const std::string port = text.substr(colon + 1);
    const bool digits =
        !port.empty() && port.size() <= 5 &&
        port.find_first_not_of("0123456789") == std::string::npos;
    if (digits && std::stoul(port) <= kLargestPort) {
      return IpPort{text.substr(0, colon),
                    static_cast<std::uint16_t>(std::stoul(port))};
    }
  }
  return base::Fail(
      base::ErrorCode::kInvalid,
      "The address does not have the form IP:PORT: " + text + ".");
}

}  // namespace cassiastile::member
