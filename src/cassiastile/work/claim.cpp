#include "cassiastile/work/claim.hpp"

#include <algorithm>
#include <array>
#include <cctype>

#include <nlohmann/json.hpp>

#include "cassiastile/base/enum_names.hpp"
#include "cassiastile/base/hash.hpp"
#include "cassiastile/wire/problem.hpp"

namespace cassiastile::work {

namespace {

constexpr std::array<base::EnumName<ClaimState>, 4> kStateNames{{
    {ClaimState::kClaimed, "claimed"},
    {ClaimState::kAnswered, "answered"},
    {ClaimState::kRan, "ran"},
    {ClaimState::kUnknown, "unknown"},
}};

constexpr std::size_t kMaxKeyLength = 128;
constexpr int kConflict = 409;

std::int64_t ToMillis(base::WallTime time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             time.time_since_epoch())
      .count();
}

wire::HttpResponse MakeRanResponse() {
  wire::Problem problem;
  problem.status = kConflict;
  problem.type = "answer-not-kept";
  problem.title = "The request ran before; its answer was too large to keep.";
  problem.execution = wire::Execution::kRan;
  return wire::MakeProblemResponse(problem);
}

bool IsValidUtf8(const std::string& body) {
  try {
    static_cast<void>(nlohmann::json(body).dump());
    return true;
  } catch (const nlohmann::json::exception&) {
    return false;
  }
}

struct ClaimEnder {
  const Claim& claim;

  std::optional<Claim> operator()(const Answered& answered) const {
    Claim ended = claim;
    const std::string& body = answered.response.body;
    const bool kept = body.size() <= kMaxStoredAnswerBytes && IsValidUtf8(body);
    ended.state = kept ? ClaimState::kAnswered : ClaimState::kRan;
    ended.answer = kept ? answered.response : wire::HttpResponse{};
    return ended;
  }

  std::optional<Claim> operator()(const NotRun&) const { return std::nullopt; }

  std::optional<Claim> operator()(const MaybeRan&) const {
    Claim ended = claim;
    ended.state = ClaimState::kUnknown;
    return ended;
  }
};

}  // namespace

std::string_view NameOf(ClaimState state) {
  return base::FindName(kStateNames, state);
}

bool IsValidIdempotencyKey(std::string_view key) {
  return !key.empty() && key.size() <= kMaxKeyLength &&
         std::all_of(key.begin(), key.end(), [](unsigned char character) {
           return std::isalnum(character) != 0 || character == '.' ||
                  character == '_' || character == ':' || character == '-';
         });
}

std::string ClaimRowKey(const std::string& team, const std::string& key) {
  return "claim/" + team + "/" + key;
}

std::string FingerprintOf(const std::string& service,
                          const wire::HttpRequest& request) {
  return base::Sha256Hex(service + "\n" + request.method + "\n" + request.path +
                         "\n" + request.query + "\n" + request.body);
}

std::string FormatClaim(const Claim& claim) {
  nlohmann::json json{
      {"fingerprint", claim.fingerprint},
      {"holder", claim.holder},
      {"nonce", claim.nonce},
      {"state", NameOf(claim.state)},
      {"claimed_at_ms", ToMillis(claim.claimed_at)},
  };
  if (claim.state == ClaimState::kAnswered) {
    json["status"] = claim.answer.status;
    json["headers"] = claim.answer.headers;
    json["body"] = claim.answer.body;
  }
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

base::Result<Claim> ParseClaim(const std::string& text) {
  try {
    const nlohmann::json json = nlohmann::json::parse(text);
    Claim claim;
    json.at("fingerprint").get_to(claim.fingerprint);
    json.at("holder").get_to(claim.holder);
    json.at("nonce").get_to(claim.nonce);
    const auto state =
        base::FindValue(kStateNames, json.at("state").get<std::string>());
    claim.state = state.value_or(ClaimState::kUnknown);
    claim.claimed_at = base::WallTime(std::chrono::milliseconds(
        json.at("claimed_at_ms").get<std::int64_t>()));
    if (claim.state == ClaimState::kAnswered) {
      json.at("status").get_to(claim.answer.status);
      json.at("headers").get_to(claim.answer.headers);
      json.at("body").get_to(claim.answer.body);
    }
    return claim;
  } catch (const nlohmann::json::exception& error) {
    return base::Fail(
        base::ErrorCode::kInvalid,
        std::string("The row does not contain a valid claim: ") + error.what());
  }
}

Outcome OutcomeOfRetry(const Claim& claim, const std::string& fingerprint) {
  if (claim.fingerprint != fingerprint) {
    return NotRun{
        RefusalReason::kKeyReused,
        {},
        "The idempotency key was used for a different request before."};
  }
  switch (claim.state) {
    case ClaimState::kAnswered:
      return Answered{claim.answer, claim.holder};
    case ClaimState::kRan:
      return Answered{MakeRanResponse(), claim.holder};
    case ClaimState::kClaimed:
      return MaybeRan{UnknownReason::kStillRunning, ""};
    case ClaimState::kUnknown:
      return MaybeRan{UnknownReason::kBroken, ""};
  }
  return MaybeRan{UnknownReason::kBroken, ""};
}

std::optional<Claim> EndClaim(const Claim& claim, const Outcome& outcome) {
  return std::visit(ClaimEnder{claim}, outcome);
}

}  // namespace cassiastile::work
