#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

#include <tl/expected.hpp>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/config/fleet.hpp"
#include "cassiastile/wire/http_types.hpp"
#include "cassiastile/work/request.hpp"

namespace cassiastile::entry {

// Limits for one request of a caller.
struct RequestLimits {
  std::size_t max_body_bytes = 1U << 20U;
  std::size_t max_header_bytes = 16U << 10U;  // All names and values together.
  std::size_t max_headers = 64;
  std::chrono::milliseconds longest_timeout{60000};
};

// What a valid request asks for.
struct ValidatedRequest {
  std::string service;
  work::RequestTicket ticket;  // Without its id, which is set later.
  std::optional<std::string> idempotency_key;
};

// The configuration that a request is checked against.
struct ValidationContext {
  // Null before the first configuration.
  const config::AcceptedFleet* accepted = nullptr;
  bool fresh = false;  // Whether team keys may be relied on.
  base::TimePoint now{};
};

// Checks a request for /v1/services/<service>/<path>: its size and headers,
// that the service exists, and its key. Returns the refusal if a check fails.
tl::expected<ValidatedRequest, work::NotRun> ValidateRequest(
    const wire::HttpRequest& request,
    const ValidationContext& context,
    const RequestLimits& limits);

// The headers that are forwarded to a runner, or back to a caller: without
// those of the connection, the caller's key, and those that this system sets.
wire::HttpHeaders KeepEndToEndHeaders(const wire::HttpHeaders& headers);

}  // namespace cassiastile::entry
