#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/wire/http_types.hpp"
#include "cassiastile/wire/problem.hpp"

namespace cassiastile::work {

using RequestId = std::uint64_t;

// The properties of a caller's request that routing and admission need.
struct RequestTicket {
  RequestId id = 0;
  std::string team;         // Empty when the request has no API key.
  std::string key_id;       // Id of its API key; empty when it has none.
  bool urgent = false;      // Served before others, within bounds.
  bool idempotent = false;  // May be sent again although it may have run.
  base::TimePoint arrived{};
  base::TimePoint deadline{};
};

// Why a request was refused without being run.
enum class RefusalReason : std::uint8_t {
  kQueueFull,           // The queue's limit is reached.
  kWaitTooLong,         // It would miss its deadline.
  kTeamLimit,           // The team is at its concurrency limit.
  kNoRunner,            // No runner is available.
  kUnreachable,         // The runner could not be connected to.
  kClaimFailed,         // Its idempotency key could not be claimed.
  kStaleConfiguration,  // The host's set of valid keys may be outdated.
  kUnknownKey,          // No such API key, or it was revoked.
  kNoSuchService,       // The configuration has no such service.
  kTooLarge,            // It exceeds a size limit.
  kMalformed,           // A header is malformed.
  kKeyReused,           // The key was used for a different request.
  kStopping,            // This host is shutting down.
};

std::string_view NameOf(RefusalReason reason);

// The request did not run and will not.
struct NotRun {
  RefusalReason reason = RefusalReason::kNoRunner;
  base::Duration retry_after{};  // Zero when a retry would not help.
  std::string detail;
};

// Why it is unknown whether a request ran.
enum class UnknownReason : std::uint8_t {
  kTimeout,      // The deadline passed after it was sent.
  kBroken,       // The answer was truncated, malformed or missing.
  kCrossed,      // The answer belongs to another request.
  kStillRunning  // Another host may be running it under the same key.
};

std::string_view NameOf(UnknownReason reason);

// The request may have run.
struct MaybeRan {
  UnknownReason reason = UnknownReason::kBroken;
  std::string runner;  // The last runner tried; may be empty.
};

// A complete answer from the runner.
struct Answered {
  wire::HttpResponse response;
  std::string runner;
};

// How a request ended. Callers can always tell the three cases apart: each has
// its own type here, and its own status and `execution` value in the response.
using Outcome = std::variant<Answered, NotRun, MaybeRan>;

// The execution state reported to the caller.
wire::Execution ExecutionOf(const Outcome& outcome);

// The HTTP response for the caller. Refusals and unknown outcomes carry
// `decision_id`.
wire::HttpResponse MakeResponse(const Outcome& outcome,
                                const std::string& decision_id);

}  // namespace cassiastile::work
