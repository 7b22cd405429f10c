#include "cassiastile/work/request_try.hpp"

#include <utility>

namespace cassiastile::work {

TryResult ClassifyTry(wire::HttpOutcome outcome,
                      const std::string& request_id) {
  if (!outcome) {
    const wire::HttpFailure& failure = outcome.error();
    if (failure.state == wire::SendState::kNotSent) {
      return TryNotSent{};
    }
    return TryLost{failure.timed_out ? UnknownReason::kTimeout
                                     : UnknownReason::kBroken};
  }
  if (!outcome->framed) {
    return TryLost{UnknownReason::kBroken};
  }
  const auto named = wire::FindHeader(outcome->headers, kRequestIdHeader);
  if (named && *named != request_id) {
    return TryLost{UnknownReason::kCrossed};
  }
  return TryAnswered{std::move(*outcome)};
}

}  // namespace cassiastile::work
