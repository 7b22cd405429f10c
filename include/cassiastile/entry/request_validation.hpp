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

// What a caller's request may be at most.
struct RequestLimits {
  std::size_t max_body_bytes = 1U << 20U;
  std::size_t max_header_bytes = 16U << 10U;  // All fields together.
  std::size_t max_headers = 64;
  std::chrono::milliseconds longest_timeout{60000};
};

// What a request asks for, once its key and its form were found good.
struct ValidatedRequest {
  std::string service;
  work::RequestTicket ticket;  // Without its id.
  std::optional<std::string> idempotency_key;
};

// The configuration that a request is checked against.
struct ValidationContext {
  const config::AcceptedFleet* accepted = nullptr;  // Null before the first.
  bool fresh = false;  // Whether team keys may be acted on.
  base::TimePoint now{};
};

// Checks a request of /v1/services/<service>/<path>: its size and headers, that
// the service exists, and its key.
tl::expected<ValidatedRequest, work::NotRun> ValidateRequest(
    const wire::HttpRequest& request,
    const ValidationContext& context,
    const RequestLimits& limits);

// The headers that are passed on to a runner, or back to a caller: without
// those of the connection, the caller's key, and those this system sets.
wire::HttpHeaders KeepEndToEndHeaders(const wire::HttpHeaders& headers);

}  // namespace cassiastile::entry
