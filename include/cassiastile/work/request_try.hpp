#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "cassiastile/wire/http_client.hpp"
#include "cassiastile/work/request.hpp"

namespace cassiastile::work {

// Identifies a request; the runner echoes it in its answer.
inline constexpr std::string_view kRequestIdHeader = "X-Request-Id";

// In milliseconds: how long the caller waits for an answer or, in a request to
// a runner, after how long the runner must have stopped working on it.
inline constexpr std::string_view kTimeoutHeader = "Request-Timeout-Ms";

// A complete answer to this request.
struct TryAnswered {
  wire::HttpResponse response;
};

// No byte of the request reached the runner.
struct TryNotSent {};

// The request may have reached the runner, but no complete answer came.
struct TryLost {
  UnknownReason reason = UnknownReason::kBroken;
};

// How one try at one runner ended.
using TryResult = std::variant<TryAnswered, TryNotSent, TryLost>;

// Classifies the result of a try. An answer counts only when its end was framed
// (by length or chunks) and its request id, where present, is that of the
// request sent.
TryResult ClassifyTry(wire::HttpOutcome outcome, const std::string& request_id);

}  // namespace cassiastile::work
