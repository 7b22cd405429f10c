#include "cassiastile/host/relay_message.hpp"

#include <algorithm>

#include <fmt/format.h>

#include "cassiastile/base/bounded_unpack.hpp"
#include "cassiastile/jobs/worker_view.hpp"

namespace cassiastile::host {

namespace {

template <typename Message>
std::string Pack(const Message& message) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, message);
  return {buffer.data(), buffer.size()};
}

template <typename Message>
base::Result<Message> Unpack(const std::string& bytes) {
  try {
    return base::UnpackBounded(bytes).get().as<Message>();
  } catch (const std::exception& error) {
    return base::Fail(
        base::ErrorCode::kInvalid,
        fmt::format("cannot decode a relayed message: {}", error.what()));
  }
}

template <typename Message>
base::Result<Message> CheckThat(bool valid, Message message) {
  if (!valid) {
    return base::Fail(base::ErrorCode::kInvalid,
                      "a relayed message refers to what it does not have");
  }
  return message;
}

}  // namespace

std::string Encode(const RelayBatch& message) {
  return Pack(message);
}

std::string Encode(const RelayReply& message) {
  return Pack(message);
}

std::string Encode(const RelayResults& message) {
  return Pack(message);
}

base::Result<RelayBatch> DecodeRelayBatch(const std::string& bytes) {
  auto batch = Unpack<RelayBatch>(bytes);
  if (!batch) {
    return batch;
  }
  const auto has_worker = [&batch](const auto& call) {
    return call.worker < batch->workers.size();
  };
  const bool valid =
      std::ranges::all_of(batch->extensions, has_worker) &&
      std::ranges::all_of(batch->starts, has_worker) &&
      std::ranges::all_of(batch->stops, has_worker) &&
      std::ranges::all_of(batch->paces, has_worker) &&
      std::ranges::all_of(batch->starts, [&batch](const RelayedStart& start) {
        return start.payload < batch->payloads.size();
      });
  return CheckThat(valid, std::move(*batch));
}

base::Result<RelayReply> DecodeRelayReply(const std::string& bytes) {
  auto reply = Unpack<RelayReply>(bytes);
  if (!reply) {
    return reply;
  }
  const bool valid = reply->verdict <= RelayVerdict::kFenced;
  return CheckThat(valid, std::move(*reply));
}

base::Result<RelayResults> DecodeRelayResults(const std::string& bytes) {
  auto results = Unpack<RelayResults>(bytes);
  if (!results) {
    return results;
  }
  const bool valid =
      std::ranges::all_of(results->starts,
                          [](const RelayedOutcome& start) {
                            return start.value < jobs::kStartResultNames.size();
                          }) &&
      std::ranges::all_of(results->reports, [](const RelayedReport& report) {
        return std::ranges::all_of(report.ended, [](const RelayedEnd& end) {
          return end.how < jobs::kRunEndNames.size();
        });
      });
  return CheckThat(valid, std::move(*results));
}

}  // namespace cassiastile::host
