#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/error.hpp"
#include "cassiastile/work/request.hpp"

namespace cassiastile::work {

// How far a request with an idempotency key has come.
enum class ClaimState : std::uint8_t {
  kClaimed,   // It may be running.
  kAnswered,  // Its answer is kept.
  kRan,       // It ran to its end; the answer was too large to be kept.
  kUnknown,   // It may have run; nobody works on it any more.
};

std::string_view NameOf(ClaimState state);

// The row that a request with an idempotency key leaves in the table before it
// is sent, so that a retry at any host finds it.
struct Claim {
  std::string fingerprint;  // Of the request's content.
  std::string holder;       // The host that runs it.
  std::string nonce;        // Tells this claim from others for the same key.
  ClaimState state = ClaimState::kClaimed;
  base::WallTime claimed_at{};
  wire::HttpResponse answer;  // Where it is kept.
};

// The longest body of an answer that is kept for retries.
inline constexpr std::size_t kMaxKeptAnswerBytes = 64U << 10U;

// Whether a caller's key may name a claim: 1 to 128 letters, digits or any of
// "._:-".
bool IsValidIdempotencyKey(std::string_view key);

// The row's key in the table.
std::string ClaimKey(const std::string& team, const std::string& key);

// A digest of what makes two requests the same.
std::string FingerprintOf(const std::string& service,
                          const wire::HttpRequest& request);

std::string FormatClaim(const Claim& claim);
base::Result<Claim> ParseClaim(const std::string& text);

// How a retry ends that found this claim.
Outcome OutcomeOfRetry(const Claim& claim, const std::string& fingerprint);

// The claim after its request has ended, or nothing when the request did not
// run and the key is free again.
std::optional<Claim> EndClaim(const Claim& claim, const Outcome& outcome);

}  // namespace cassiastile::work
