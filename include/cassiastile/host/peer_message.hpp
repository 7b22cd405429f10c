#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>

#include "cassiastile/base/enum_names.hpp"
#include "cassiastile/base/error.hpp"

// Messages between hosts, sent in HTTP bodies, and the leader's record in the
// table store. All are portable binary cereal archives: the order of the fields
// is the format, and no version is encoded.
namespace cassiastile::host {

// The leader as the sender knows it.
struct LeaderAnnouncement {
  // The term's fencing token, which grows with each term; 0 if unknown.
  std::uint64_t fence = 0;
  std::string host;      // Empty after the leader resigned.
  std::string endpoint;  // Of the leader's peer interface.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(fence, host, endpoint);
  }
};

// State that hosts exchange periodically.
struct GossipMessage {
  std::string host;
  std::string endpoint;
  std::uint64_t config_version = 0;
  // The sender has heard of a newer configuration that it did not get from the
  // table.
  bool wants_config = false;
  // The text that the operators wrote; filled only if it was asked for.
  std::string config;
  LeaderAnnouncement leader;
  bool is_leader = false;
  // The sender is the leader and can't reach the store; a host that can should
  // take over.
  bool requests_takeover = false;
  bool store_reachable = false;  // Recently reached the store.
  double processor_share = 0;    // Of one core.
  // How long ago the sender last heard of `leader`, if it is another host.
  std::int64_t leader_silence_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(host, endpoint, config_version, wants_config, config, leader,
            is_leader, requests_takeover, store_reachable, processor_share,
            leader_silence_ms);
  }
};

// What a caller asks for; kQueueLength gets the number of jobs in the queue.
enum class JobVerb : std::uint8_t { kSubmit, kState, kCancel, kQueueLength };

inline constexpr std::array<base::EnumName<JobVerb>, 4> kJobVerbNames{{
    {JobVerb::kSubmit, "submit"},
    {JobVerb::kState, "state"},
    {JobVerb::kCancel, "cancel"},
    {JobVerb::kQueueLength, "count"},
}};

// A caller's request that is forwarded to the leader.
struct JobRequest {
  JobVerb verb = JobVerb::kState;
  std::string queue;
  std::string customer;  // Empty for requests to open queues without a key.
  std::string job;
  // The text that the caller sent; the leader decodes it.
  std::string spec;
  // How long the caller still waits for an answer; 0 if that is not known.
  std::int64_t timeout_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(verb, queue, customer, job, spec, timeout_ms);
  }
};

// Outcome of a job request.
enum class JobAnswerKind : std::uint8_t {
  kOk,
  kInvalid,  // Invalid specification; see `detail`.
  kNoSuchJob,
  kForbidden,       // The job belongs to another customer.
  kRefused,         // Not accepted and not run; see `retry_after_ms`.
  kNotLeader,       // Nothing was done; ask another host.
  kOutcomeUnknown,  // May or may not have been carried out.
};

// The leader's answer to a JobRequest.
struct JobAnswer {
  JobAnswerKind kind = JobAnswerKind::kOutcomeUnknown;
  std::uint8_t phase = 0;   // A jobs::JobPhase, for kState.
  std::uint64_t count = 0;  // Of queued jobs, for kQueueLength.
  std::uint8_t reason = 0;  // A jobs::RefusalReason, for kRefused.
  std::int64_t retry_after_ms = 0;
  std::string detail = {};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind, phase, count, reason, retry_after_ms, detail);
  }
};

std::string Encode(const GossipMessage& message);
std::string Encode(const JobRequest& message);
std::string Encode(const JobAnswer& message);
// Fail with kInvalid for bytes that end too early. Bytes after the last field
// are ignored, and enumerators out of range are accepted.
base::Result<GossipMessage> DecodeGossipMessage(const std::string& bytes);
base::Result<JobRequest> DecodeJobRequest(const std::string& bytes);
base::Result<JobAnswer> DecodeJobAnswer(const std::string& bytes);

// The leader's record in the table store.
struct LeaderRecord {
  std::string host;  // Empty after the leader resigned.
  std::string endpoint;
  std::string incarnation;   // Unique per process.
  std::uint64_t commit = 0;  // Number of this commit, counted over all terms.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(host, endpoint, incarnation, commit);
  }
  friend bool operator==(const LeaderRecord&, const LeaderRecord&) = default;
};

std::string Encode(const LeaderRecord& record);
// Fails with kInvalid for bytes that end too early; further bytes are ignored.
base::Result<LeaderRecord> DecodeLeaderRecord(const std::string& bytes);

}  // namespace cassiastile::host
