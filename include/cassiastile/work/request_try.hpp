#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "cassiastile/wire/http_client.hpp"
#include "cassiastile/work/request.hpp"

namespace cassiastile::work {

// Names a request on its way to the runner and back.
inline constexpr std::string_view kRequestIdHeader = "X-Request-Id";

// How long, in milliseconds, the caller waits for an answer; towards a runner,
// after how long it must have stopped working on the request.
inline constexpr std::string_view kTimeoutHeader = "Request-Timeout-Ms";

// A whole answer to this very request.
struct TryAnswered {
  wire::HttpResponse response;
};

// No byte reached the runner.
struct TryNotSent {};

// The request may have reached the runner and no whole answer came.
struct TryLost {
  UnknownReason reason = UnknownReason::kBroken;
};

// How one try at one runner ended.
using TryResult = std::variant<TryAnswered, TryNotSent, TryLost>;

// Judges what came back: an answer counts only when its end was marked and it
// names the request that was sent, where it names one.
TryResult ClassifyTry(wire::HttpOutcome outcome, const std::string& request_id);

}  // namespace cassiastile::work
