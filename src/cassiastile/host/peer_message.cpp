#include "cassiastile/host/peer_message.hpp"

#include <sstream>

#include <fmt/format.h>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>

#include "cassiastile/base/bounded_reader.hpp"

namespace cassiastile::host {

namespace {

template <typename Message>
std::string EncodeMessage(const Message& message) {
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(message);
  return std::move(out).str();
}

template <typename Message>
base::Result<Message> DecodeMessage(const std::string& bytes) {
  try {
    base::BoundedReader reader(bytes);
    Message message;
    reader(message);
    return message;
  } catch (const std::exception& error) {
    return base::Fail(
        base::ErrorCode::kInvalid,
        fmt::format("cannot decode a message between hosts: {}", error.what()));
  }
}

}  // namespace

std::string Encode(const GossipMessage& message) {
  return EncodeMessage(message);
}

std::string Encode(const JobRequest& message) {
  return EncodeMessage(message);
}

std::string Encode(const JobAnswer& message) {
  return EncodeMessage(message);
}

std::string Encode(const LeaderRecord& record) {
  return EncodeMessage(record);
}

base::Result<GossipMessage> DecodeGossipMessage(const std::string& bytes) {
  return DecodeMessage<GossipMessage>(bytes);
}

base::Result<JobRequest> DecodeJobRequest(const std::string& bytes) {
  return DecodeMessage<JobRequest>(bytes);
}

base::Result<JobAnswer> DecodeJobAnswer(const std::string& bytes) {
  return DecodeMessage<JobAnswer>(bytes);
}

base::Result<LeaderRecord> DecodeLeaderRecord(const std::string& bytes) {
  return DecodeMessage<LeaderRecord>(bytes);
}

}  // namespace cassiastile::host
