#include "cassiastile/entry/request_validation.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <string_view>

#include "cassiastile/work/claim.hpp"
#include "cassiastile/work/request_try.hpp"

namespace cassiastile::entry {

namespace {

constexpr std::array<std::string_view, 7> kMethods{
    "GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"};
constexpr std::array<std::string_view, 5> kIdempotentMethods{
    "GET", "HEAD", "OPTIONS", "PUT", "DELETE"};

// Headers that belong to one connection (RFC 9110, section 7.6.1) or that this
// system sets.
constexpr std::array<std::string_view, 17> kNotForwarded{"connection",
                                                         "keep-alive",
                                                         "proxy-authenticate",
                                                         "te",
                                                         "trailer",
                                                         "transfer-encoding",
                                                         "upgrade",
                                                         "proxy-connection",
                                                         "proxy-authorization",
                                                         "host",
                                                         "content-length",
                                                         "expect",
                                                         "authorization",
                                                         "x-request-id",
                                                         "request-timeout-ms",
                                                         "cassiastile-team",
                                                         "cassiastile-runner"};

using Read = tl::expected<ValidatedRequest, work::NotRun>;

tl::unexpected<work::NotRun> Refuse(work::RefusalReason reason,
                                    std::string detail,
                                    base::Duration retry_after = {}) {
  return tl::unexpected(work::NotRun{reason, retry_after, std::move(detail)});
}

std::string ToLower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char letter) { return std::tolower(letter); });
  return lower;
}

template <std::size_t kSize>
bool IsIn(const std::array<std::string_view, kSize>& list,
          std::string_view text) {
  return std::find(list.begin(), list.end(), text) != list.end();
}

std::optional<work::NotRun> CheckSize(const wire::HttpRequest& request,
                                      const RequestLimits& limits) {
  using work::RefusalReason;
  if (request.body.size() > limits.max_body_bytes) {
    return work::NotRun{RefusalReason::kTooLarge,
                        {},
                        "The body may have at most " +
                            std::to_string(limits.max_body_bytes) + " bytes."};
  }
  std::size_t header_bytes = 0;
  for (const auto& [name, value] : request.headers) {
    header_bytes += name.size() + value.size();
  }
  if (request.headers.size() > limits.max_headers ||
      header_bytes > limits.max_header_bytes) {
    return work::NotRun{
        RefusalReason::kTooLarge,
        {},
        "There may be at most " + std::to_string(limits.max_headers) +
            " headers with " + std::to_string(limits.max_header_bytes) +
            " bytes in all."};
  }
  return std::nullopt;
}

// The caller's own timeout or the service's deadline, capped by the limit;
// nothing when the header is invalid.
std::optional<std::chrono::milliseconds> ReadTimeout(
    const wire::HttpRequest& request,
    const config::Service& service,
    const RequestLimits& limits) {
  const auto header = wire::FindHeader(request.headers, work::kTimeoutHeader);
  if (!header) {
    return std::min(service.deadline, limits.longest_timeout);
  }
  std::int64_t millis = 0;
  const char* end = header->data() + header->size();
  const auto [stop, error] = std::from_chars(header->data(), end, millis);
  if (error != std::errc() || stop != end || millis <= 0) {
    return std::nullopt;
  }
  return std::min(std::chrono::milliseconds(millis), limits.longest_timeout);
}

// Urgency (RFC 9218) ranges from 0, the highest, to 7; 3 is the default.
bool IsUrgent(const wire::HttpRequest& request) {
  const auto header = wire::FindHeader(request.headers, "Priority");
  return header && (header->starts_with("u=0") || header->starts_with("u=1"));
}

// Sets the team that the request's key belongs to, or returns the refusal. Only
// open services accept requests without a key.
std::optional<work::NotRun> CheckKey(const wire::HttpRequest& request,
                                     const config::Service& service,
                                     const ValidationContext& context,
                                     work::RequestTicket& ticket) {
  constexpr std::chrono::seconds kStaleRetryAfter{2};
  const auto secret = wire::FindBearerToken(request);
  if (!secret && service.open) {
    return std::nullopt;
  }
  if (!context.fresh) {
    return work::NotRun{work::RefusalReason::kStaleConfiguration,
                        kStaleRetryAfter,
                        "This host can't tell which keys are in force."};
  }
  const config::Key* key =
      secret ? config::FindKey(context.accepted->fleet, *secret) : nullptr;
  if (key == nullptr) {
    return work::NotRun{work::RefusalReason::kUnknownKey,
                        {},
                        "The service takes requests with a team's key only."};
  }
  ticket.team = key->team;
  ticket.key_id = key->id;
  return std::nullopt;
}

}  // namespace

tl::expected<ValidatedRequest, work::NotRun> ValidateRequest(
    const wire::HttpRequest& request,
    const ValidationContext& context,
    const RequestLimits& limits) {
  using work::RefusalReason;
  constexpr std::chrono::seconds kNoConfigurationRetryAfter{2};
  if (const auto refusal = CheckSize(request, limits)) {
    return tl::unexpected(*refusal);
  }
  if (!IsIn(kMethods, request.method)) {
    return Refuse(RefusalReason::kMalformed, "The method is not taken.");
  }
  if (context.accepted == nullptr) {
    return Refuse(RefusalReason::kStaleConfiguration,
                  "This host has no configuration yet.",
                  kNoConfigurationRetryAfter);
  }
  ValidatedRequest validated;
  validated.service = request.path_parameters.at("service");
  const config::Service* service =
      config::FindService(context.accepted->fleet, validated.service);
  if (service == nullptr) {
    return Refuse(RefusalReason::kNoSuchService, "");
  }
  if (const auto refusal =
          CheckKey(request, *service, context, validated.ticket)) {
    return tl::unexpected(*refusal);
  }
  const auto timeout = ReadTimeout(request, *service, limits);
  if (!timeout) {
    return Refuse(RefusalReason::kMalformed,
                  "Request-Timeout-Ms must be a whole number above zero.");
  }
  validated.idempotency_key =
      wire::FindHeader(request.headers, "Idempotency-Key");
  if (validated.idempotency_key &&
      !work::IsValidIdempotencyKey(*validated.idempotency_key)) {
    return Refuse(RefusalReason::kMalformed,
                  "Idempotency-Key must be 1 to 128 letters, digits or ._:-");
  }
  validated.ticket.urgent = IsUrgent(request);
  validated.ticket.idempotent =
      !validated.idempotency_key && IsIn(kIdempotentMethods, request.method);
  validated.ticket.arrived = context.now;
  validated.ticket.deadline = context.now + *timeout;
  return validated;
}

wire::HttpHeaders KeepEndToEndHeaders(const wire::HttpHeaders& headers) {
  wire::HttpHeaders kept;
  for (const auto& [name, value] : headers) {
    if (!IsIn(kNotForwarded, ToLower(name))) {
      kept.emplace_back(name, value);
    }
  }
  return kept;
}

}  // namespace cassiastile::entry
