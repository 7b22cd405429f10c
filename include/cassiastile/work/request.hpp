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

// What routing and admission need to know of a caller's request.
struct RequestTicket {
  RequestId id = 0;
  std::string team;         // Empty where no key came with it.
  std::string key_id;       // The key it came with; empty where none did.
  bool urgent = false;      // Goes before the others, within bounds.
  bool idempotent = false;  // May be sent again after it may have run.
  base::TimePoint arrived{};
  base::TimePoint deadline{};
};

// Why a request was refused before its work began.
enum class RefusalReason : std::uint8_t {
  kQueueFull,           // The queue's bound is reached.
  kWaitTooLong,         // It would not be answered before its deadline.
  kTeamLimit,           // The team runs as much as it may.
  kNoRunner,            // No runner can take it.
  kUnreachable,         // The runner could not be connected to.
  kClaimFailed,         // Its idempotency key could not be claimed.
  kStaleConfiguration,  // This host can't tell which keys are in force.
  kUnknownKey,          // No such key, or it was withdrawn.
  kNoSuchService,       // The document has no such service.
  kTooLarge,            // A limit on the request's size is broken.
  kMalformed,           // A header can't be understood.
  kKeyReused,           // The idempotency key came with another request before.
  kStopping,            // This host is shutting down.
};

std::string_view NameOf(RefusalReason reason);

// The work did not run and will not.
struct NotRun {
  RefusalReason reason = RefusalReason::kNoRunner;
  base::Duration retry_after{};  // Zero where a retry would not help.
  std::string detail;
};

// Why it is not known whether a request's work was done.
enum class UnknownReason : std::uint8_t {
  kTimeout,      // The deadline passed after it was sent.
  kBroken,       // The answer was cut, malformed or never came.
  kCrossed,      // The answer belongs to another request.
  kStillRunning  // Another host may still be running it under the same key.
};

std::string_view NameOf(UnknownReason reason);

// The work may have run.
struct MaybeRan {
  UnknownReason reason = UnknownReason::kBroken;
  std::string runner;  // Where it was last sent; may be empty.
};

// The runner's own whole answer.
struct Answered {
  wire::HttpResponse response;
  std::string runner;
};

// How a request ended. The three are never mixed up: each has its own type
// here, and its own status and `execution` towards the caller.
using Outcome = std::variant<Answered, NotRun, MaybeRan>;

// What the caller is told about the execution.
wire::Execution ExecutionOf(const Outcome& outcome);

// The answer for the caller, with `decision_id` in refusals.
wire::HttpResponse MakeResponse(const Outcome& outcome,
                                const std::string& decision_id);

}  // namespace cassiastile::work
