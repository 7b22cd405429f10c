#include "cassiastile/wire/problem.hpp"

#include <nlohmann/json.hpp>

#include "cassiastile/base/enum_names.hpp"

namespace cassiastile::wire {

namespace {

constexpr std::array<base::EnumName<Execution>, 3> kExecutionNames{{
    {Execution::kNotRun, "not-run"},
    {Execution::kUnknown, "unknown"},
    {Execution::kRan, "ran"},
}};

// Retry-After for transient errors.
constexpr std::chrono::milliseconds kErrorRetryAfter{1000};

int StatusOf(base::ErrorCode code) {
  switch (code) {
    case base::ErrorCode::kInvalid:
      return 400;
    case base::ErrorCode::kNotFound:
      return 404;
    case base::ErrorCode::kConflict:
      return 409;
    case base::ErrorCode::kDenied:
      return 403;
    case base::ErrorCode::kOverloaded:
      return 429;
    case base::ErrorCode::kUnavailable:
      return 503;
    case base::ErrorCode::kUnknown:
      return 502;
    case base::ErrorCode::kTimeout:
      return 504;
    case base::ErrorCode::kInternal:
      return 500;
  }
  return 500;
}

}  // namespace

std::string_view NameOf(Execution execution) {
  return base::FindName(kExecutionNames, execution);
}

HttpResponse MakeProblemResponse(const Problem& problem) {
  nlohmann::json body{
      {"type", "urn:cassiastile:problem:" + problem.type},
      {"title", problem.title},
      {"status", problem.status},
      {"execution", NameOf(problem.execution)},
  };
  if (!problem.detail.empty()) {
    body["detail"] = problem.detail;
  }
  if (!problem.decision_id.empty()) {
    body["decision"] = problem.decision_id;
  }
  HttpResponse response;
  response.status = problem.status;
  response.headers.emplace_back("Content-Type", "application/problem+json");
  if (problem.retry_after) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(*problem.retry_after);
    response.headers.emplace_back("Retry-After",
                                  std::to_string(seconds.count()));
    body["retry_after_ms"] = problem.retry_after->count();
  }
  response.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

HttpResponse MakeErrorResponse(const base::Error& error) {
  Problem problem;
  problem.status = StatusOf(error.code);
  problem.type = base::NameOf(error.code);
  problem.title = error.message;
  if (error.code == base::ErrorCode::kUnknown ||
      error.code == base::ErrorCode::kInternal) {
    problem.execution = Execution::kUnknown;
  }
  if (error.code == base::ErrorCode::kOverloaded ||
      error.code == base::ErrorCode::kUnavailable) {
    problem.retry_after = kErrorRetryAfter;
  }
  return MakeProblemResponse(problem);
}

HttpResponse MakeJsonResponse(int status, const nlohmann::json& body) {
  HttpResponse response;
  response.status = status;
  response.headers.emplace_back("Content-Type", "application/json");
  response.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

base::Result<nlohmann::json> ParseJsonBody(const std::string& body) {
  try {
    return nlohmann::json::parse(body);
  } catch (const nlohmann::json::parse_error& error) {
    return base::Fail(base::ErrorCode::kInvalid,
                      std::string("The body is not JSON: ") + error.what());
  }
}

}  // namespace cassiastile::wire
