#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "cassiastile/base/error.hpp"

// Calls to workers that the leader lets another host carry out, and their
// outcomes. Encoded with MessagePack, each struct as an array: fields may be
// added at the end, and one that is missing keeps its default.
namespace cassiastile::host {

// An incarnation of a worker that calls of a batch go to.
struct RelayedWorker {
  std::string id;
  std::int64_t incarnation_ms = 0;
  std::string endpoint;
  // Fencing token of the calls to it; 0: RelayBatch::fence.
  std::uint64_t fence = 0;

  MSGPACK_DEFINE(id, incarnation_ms, endpoint, fence);
};

// A task and the number of its run.
struct RelayedRun {
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  std::uint32_t run = 0;

  MSGPACK_DEFINE(job, occurrence, step, index, run);
};

// A LeaseExtension.
struct RelayedExtension {
  std::uint64_t call = 0;    // Number of the call, unique in the leader's term.
  std::uint32_t worker = 0;  // Index in RelayBatch::workers.
  std::uint64_t acknowledged_end = 0;
  // On the worker's clock; negative to get the report only.
  std::int64_t until_ms = -1;
  std::int64_t wait_ms = 0;
  bool fresh_connection = false;

  MSGPACK_DEFINE(call,
                 worker,
                 acknowledged_end,
                 until_ms,
                 wait_ms,
                 fresh_connection);
};

// A jobs::StartOrder.
struct RelayedStart {
  std::uint64_t call = 0;
  std::uint32_t worker = 0;
  RelayedRun run;
  std::uint32_t payload = 0;  // Index in RelayBatch::payloads.
  std::string checkpoint;
  std::string ticket;
  std::int64_t until_ms = 0;  // On the worker's clock.

  MSGPACK_DEFINE(call, worker, run, payload, checkpoint, ticket, until_ms);
};

// A jobs::StopOrder or jobs::PaceOrder; `value` is the percentage of a pace.
struct RelayedChange {
  std::uint64_t call = 0;
  std::uint32_t worker = 0;
  RelayedRun run;
  std::int32_t value = 0;

  MSGPACK_DEFINE(call, worker, run, value);
};

// What a leader lets a relay carry out at once.
struct RelayBatch {
  std::uint64_t fence = 0;     // The fencing token of the leader's term.
  std::string reply_endpoint;  // Of the leader's peer interface.
  // The relay's process, from its last reply; empty to ask for that reply only.
  std::string relay_incarnation;
  // Calls must not be sent after this time on the relay's clock, so that a
  // relay that was paused does not act for a leader of long ago.
  std::int64_t valid_until_ms = 0;
  std::int64_t collect_ms = 0;  // For how long outcomes are collected.
  std::vector<RelayedWorker> workers;
  std::vector<std::string> payloads;  // Each JobSpec::payload once.
  std::vector<RelayedExtension> extensions;
  std::vector<RelayedStart> starts;
  std::vector<RelayedChange> stops;
  std::vector<RelayedChange> paces;

  MSGPACK_DEFINE(fence,
                 reply_endpoint,
                 relay_incarnation,
                 valid_until_ms,
                 collect_ms,
                 workers,
                 payloads,
                 extensions,
                 starts,
                 stops,
                 paces);
};

// Whether a relay took a batch. Unless it is kTaken, nothing was sent.
enum class RelayVerdict : std::uint8_t {
  kTaken,
  kExpired,           // The batch arrived too late.
  kOtherIncarnation,  // Another process has the endpoint now.
  kFenced,            // A leader with a higher fencing token was heard.
};

// A relay's answer to a batch.
struct RelayReply {
  RelayVerdict verdict = RelayVerdict::kExpired;
  std::string incarnation;
  std::int64_t steady_ms = 0;  // The relay's steady clock.
  std::string availability_zone;
  // Whether it heeds RelayedWorker::fence, which former versions don't.
  bool has_worker_fences = false;

  MSGPACK_DEFINE(verdict,
                 incarnation,
                 steady_ms,
                 availability_zone,
                 has_worker_fences);
};

// A jobs::ListedRun.
struct RelayedListedRun {
  RelayedRun run;
  std::string checkpoint;
  std::int32_t percent = 0;
  std::int64_t load = 0;

  MSGPACK_DEFINE(run, checkpoint, percent, load);
};

// A jobs::ListedEnd.
struct RelayedEnd {
  std::uint64_t sequence = 0;
  RelayedRun run;
  std::uint8_t how = 0;  // A jobs::RunEnd.
  std::string checkpoint;

  MSGPACK_DEFINE(sequence, run, how, checkpoint);
};

// A jobs::WorkerReport, the outcome of an extension.
struct RelayedReport {
  std::uint64_t call = 0;
  std::int64_t incarnation_ms = 0;
  // The worker's clock. The report is as old as it takes to arrive, so the
  // leader reads the clock as earlier than it is, and leases end no later.
  std::int64_t steady_ms = 0;
  bool ends_cut = false;
  std::vector<RelayedListedRun> running;
  std::vector<RelayedEnd> ended;

  MSGPACK_DEFINE(call, incarnation_ms, steady_ms, ends_cut, running, ended);
};

// A WorkerCallFailure, the outcome of an extension.
struct RelayedFailure {
  std::uint64_t call = 0;
  bool refused = false;
  bool fenced = false;
  bool other_incarnation = false;
  std::string message;

  MSGPACK_DEFINE(call, refused, fenced, other_incarnation, message);
};

// The outcome of a start (a jobs::StartResult), or of a stop or pace (1 if the
// worker answered).
struct RelayedOutcome {
  std::uint64_t call = 0;
  std::uint8_t value = 0;
  // The worker's clock in its answer to a start; negative if it told none.
  std::int64_t worker_clock_ms = -1;

  MSGPACK_DEFINE(call, value, worker_clock_ms);
};

// Outcomes of relayed calls, in any order.
struct RelayResults {
  std::uint64_t fence = 0;  // Of the leader that made the calls.
  std::vector<RelayedReport> reports;
  std::vector<RelayedFailure> failures;
  std::vector<RelayedOutcome> starts;
  std::vector<RelayedOutcome> changes;

  MSGPACK_DEFINE(fence, reports, failures, starts, changes);
};

std::string Encode(const RelayBatch& message);
std::string Encode(const RelayReply& message);
std::string Encode(const RelayResults& message);
// Fail with kInvalid for bytes that are no such message, or whose indices and
// enumerators are out of range.
base::Result<RelayBatch> DecodeRelayBatch(const std::string& bytes);
base::Result<RelayReply> DecodeRelayReply(const std::string& bytes);
base::Result<RelayResults> DecodeRelayResults(const std::string& bytes);

}  // namespace cassiastile::host

MSGPACK_ADD_ENUM(cassiastile::host::RelayVerdict);
