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

// State of a request that carries an idempotency key.
enum class ClaimState : std::uint8_t {
  kClaimed,   // It may be running.
  kAnswered,  // Its answer is stored.
  kRan,       // It ran to completion; its answer could not be stored.
  kUnknown,   // It may have run; no host works on it any more.
};

std::string_view NameOf(ClaimState state);

// The row that is written for an idempotency key before its request is sent, so
// that a retry at any host finds it.
struct Claim {
  std::string fingerprint;  // Digest of the request's content.
  std::string holder;       // The host that sends it to a runner.
  std::string nonce;        // Distinguishes claims for the same key.
  ClaimState state = ClaimState::kClaimed;
  base::WallTime claimed_at{};
  wire::HttpResponse answer;  // Only in state kAnswered.
};

// The largest answer body, in bytes, that is stored for retries. Bodies that
// are not UTF-8 are not stored either.
inline constexpr std::size_t kMaxStoredAnswerBytes = 64U << 10U;

// Whether a caller's idempotency key is valid: 1 to 128 characters, each a
// letter, a digit or one of "._:-".
bool IsValidIdempotencyKey(std::string_view key);

// The claim's row key in the table.
std::string ClaimRowKey(const std::string& team, const std::string& key);

// A digest over the service and the request's method, path, query and body.
// Requests with the same digest are treated as the same request.
std::string FingerprintOf(const std::string& service,
                          const wire::HttpRequest& request);

std::string FormatClaim(const Claim& claim);
// kInvalid when the text is not a claim. A state that this version does not
// know is read as kUnknown.
base::Result<Claim> ParseClaim(const std::string& text);

// The outcome of a retry that found this claim. kKeyReused when the
// fingerprints differ.
Outcome OutcomeOfRetry(const Claim& claim, const std::string& fingerprint);

// The claim to store once its request has ended. Nothing when the request did
// not run; the claim is then deleted, so that the key can be used again.
std::optional<Claim> EndClaim(const Claim& claim, const Outcome& outcome);

}  // namespace cassiastile::work
