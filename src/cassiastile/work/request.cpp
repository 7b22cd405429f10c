#include "cassiastile/work/request.hpp"

#include <array>

#include "cassiastile/base/enum_names.hpp"

namespace cassiastile::work {

namespace {

constexpr std::array<base::EnumName<RefusalReason>, 13> kRefusalNames{{
    {RefusalReason::kQueueFull, "queue-full"},
    {RefusalReason::kWaitTooLong, "wait-too-long"},
    {RefusalReason::kTeamLimit, "team-limit"},
    {RefusalReason::kNoRunner, "no-runner"},
    {RefusalReason::kUnreachable, "runner-unreachable"},
    {RefusalReason::kClaimFailed, "claim-failed"},
    {RefusalReason::kStaleConfiguration, "configuration-not-fresh"},
    {RefusalReason::kUnknownKey, "key-unknown"},
    {RefusalReason::kNoSuchService, "no-such-service"},
    {RefusalReason::kTooLarge, "request-too-large"},
    {RefusalReason::kMalformed, "request-malformed"},
    {RefusalReason::kKeyReused, "idempotency-key-reused"},
    {RefusalReason::kStopping, "stopping"},
}};

constexpr std::array<base::EnumName<UnknownReason>, 4> kUnknownReasonNames{{
    {UnknownReason::kTimeout, "timeout"},
    {UnknownReason::kBroken, "answer-broken"},
    {UnknownReason::kCrossed, "answer-crossed"},
    {UnknownReason::kStillRunning, "still-at-work"},
}};

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kContentTooLarge = 413;
constexpr int kUnprocessable = 422;
constexpr int kTooManyRequests = 429;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

int StatusOf(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kQueueFull:
    case RefusalReason::kTeamLimit:
      return kTooManyRequests;
    case RefusalReason::kUnknownKey:
      return kUnauthorized;
    case RefusalReason::kNoSuchService:
      return kNotFound;
    case RefusalReason::kTooLarge:
      return kContentTooLarge;
    case RefusalReason::kMalformed:
      return kBadRequest;
    case RefusalReason::kKeyReused:
      return kUnprocessable;
    case RefusalReason::kWaitTooLong:
    case RefusalReason::kNoRunner:
    case RefusalReason::kUnreachable:
    case RefusalReason::kClaimFailed:
    case RefusalReason::kStaleConfiguration:
    case RefusalReason::kStopping:
      return kServiceUnavailable;
  }
  return kServiceUnavailable;
}

int StatusOf(UnknownReason reason) {
  switch (reason) {
    case UnknownReason::kTimeout:
      return kGatewayTimeout;
    case UnknownReason::kStillRunning:
      return kConflict;
    case UnknownReason::kBroken:
    case UnknownReason::kCrossed:
      return kBadGateway;
  }
  return kBadGateway;
}

struct ResponseMaker {
  const std::string& decision_id;

  wire::HttpResponse operator()(const Answered& answered) const {
    return answered.response;
  }

  wire::HttpResponse operator()(const NotRun& not_run) const {
    wire::Problem problem;
    problem.status = StatusOf(not_run.reason);
    problem.type = NameOf(not_run.reason);
    problem.title = "The request was refused and did not run.";
    problem.detail = not_run.detail;
    problem.execution = wire::Execution::kNotRun;
    problem.decision_id = decision_id;
    if (not_run.retry_after > base::Duration::zero()) {
      problem.retry_after =
          std::chrono::milliseconds(base::Milliseconds(not_run.retry_after));
    }
    return wire::MakeProblemResponse(problem);
  }

  wire::HttpResponse operator()(const MaybeRan& maybe_ran) const {
    wire::Problem problem;
    problem.status = StatusOf(maybe_ran.reason);
    problem.type = NameOf(maybe_ran.reason);
    problem.title = "It is unknown whether the request ran.";
    problem.execution = wire::Execution::kUnknown;
    problem.decision_id = decision_id;
    return wire::MakeProblemResponse(problem);
  }
};

struct ExecutionFinder {
  wire::Execution operator()(const Answered&) const {
    return wire::Execution::kRan;
  }
  wire::Execution operator()(const NotRun&) const {
    return wire::Execution::kNotRun;
  }
  wire::Execution operator()(const MaybeRan&) const {
    return wire::Execution::kUnknown;
  }
};

}  // namespace

std::string_view NameOf(RefusalReason reason) {
  return base::FindName(kRefusalNames, reason);
}

std::string_view NameOf(UnknownReason reason) {
  return base::FindName(kUnknownReasonNames, reason);
}

wire::Execution ExecutionOf(const Outcome& outcome) {
  return std::visit(ExecutionFinder{}, outcome);
}

wire::HttpResponse MakeResponse(const Outcome& outcome,
                                const std::string& decision_id) {
  return std::visit(ResponseMaker{decision_id}, outcome);
}

}  // namespace cassiastile::work
