#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "cassiastile/base/error.hpp"
#include "cassiastile/wire/http_types.hpp"

namespace cassiastile::wire {

// What a response says about whether the request was executed.
enum class Execution : std::uint8_t {
  kNotRun,   // It did not run and will not.
  kUnknown,  // It may have run.
  kRan,      // It ran to its end.
};

std::string_view NameOf(Execution execution);

// The problem details of a refusal (RFC 9457).
struct Problem {
  int status = 500;
  std::string type;    // A short name such as "queue-full".
  std::string title;   // One sentence.
  std::string detail;  // How to resolve it; may be empty.
  Execution execution = Execution::kNotRun;
  std::string decision_id;  // For `cassiactl explain`; may be empty.
  std::optional<std::chrono::milliseconds> retry_after;
};

// A response with content type application/problem+json. Retry-After is rounded
// up to whole seconds where one is given.
HttpResponse MakeProblemResponse(const Problem& problem);

// The response for an error of the library: its code selects the status.
HttpResponse MakeErrorResponse(const base::Error& error);

// A JSON response.
HttpResponse MakeJsonResponse(int status, const nlohmann::json& body);

// Parses a JSON body. Fails with kInvalid and the parse error.
base::Result<nlohmann::json> ParseJsonBody(const std::string& body);

}  // namespace cassiastile::wire
