#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>

#include "cassiastile/base/enum_names.hpp"
#include "cassiastile/base/error.hpp"

// What hosts say to each other, as cereal archives in HTTP bodies.
namespace cassiastile::host {

// The host that gives orders, as another host knows it.
struct LeaderAnnouncement {
  std::uint64_t fence = 0;  // Grows with each term; 0: none known.
  std::string host;         // Empty once it has resigned.
  std::string endpoint;     // Of its peer interface.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(fence, host, endpoint);
  }
};

// Exchanged regularly between hosts.
struct GossipMessage {
  std::string host;
  std::string endpoint;
  std::uint64_t config_version = 0;
  // The sender knows of a newer configuration that the table did not bring.
  bool wants_config = false;
  std::string config;  // As the operators wrote it, for those that want it.
  LeaderAnnouncement office;
  bool in_office = false;
  // The sender holds the office and can't reach the store; whoever can should
  // take over.
  bool requests_takeover = false;
  bool store_answers = false;  // The sender has lately reached the store.
  double processor_share = 0;  // Of one core.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(host, endpoint, config_version, wants_config, config, office,
            in_office, requests_takeover, store_answers, processor_share);
  }
};

enum class JobVerb : std::uint8_t { kSubmit, kState, kCancel, kCount };

inline constexpr std::array<base::EnumName<JobVerb>, 4> kJobVerbNames{{
    {JobVerb::kSubmit, "submit"},
    {JobVerb::kState, "state"},
    {JobVerb::kCancel, "cancel"},
    {JobVerb::kCount, "count"},
}};

// A caller's request on its way to the host in office.
struct JobRequest {
  JobVerb verb = JobVerb::kState;
  std::string queue;
  std::string customer;  // Empty on open queues.
  std::string job;
  std::string spec;  // As the caller wrote it; decoded again there.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(verb, queue, customer, job, spec);
  }
};

enum class JobAnswerKind : std::uint8_t {
  kOk,
  kInvalid,  // The specification is wrong; `detail` says where.
  kNoSuchJob,
  kForbidden,       // The job is another customer's.
  kRefused,         // Not taken and not run; `retry_after` says when to return.
  kNotLeader,       // Ask another host; nothing was done.
  kOutcomeUnknown,  // Taken or not is not known yet.
};

struct JobAnswer {
  JobAnswerKind kind = JobAnswerKind::kOutcomeUnknown;
  std::uint8_t phase = 0;   // A jobs::JobPhase, for kState.
  std::uint64_t count = 0;  // For kCount.
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
base::Result<GossipMessage> DecodeGossipMessage(const std::string& bytes);
base::Result<JobRequest> DecodeJobRequest(const std::string& bytes);
base::Result<JobAnswer> DecodeJobAnswer(const std::string& bytes);

// The record of who holds the office, in the platform's table.
struct LeaderRecord {
  std::string host;  // Empty once resigned.
  std::string endpoint;
  std::string life;          // Unique to the process.
  std::uint64_t commit = 0;  // Counts the commits of all terms.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(host, endpoint, life, commit);
  }
  friend bool operator==(const LeaderRecord&, const LeaderRecord&) = default;
};

std::string Encode(const LeaderRecord& record);
base::Result<LeaderRecord> DecodeLeaderRecord(const std::string& bytes);

}  // namespace cassiastile::host
