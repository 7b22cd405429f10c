#include "cassiastile/control/task_http.hpp"

#include <optional>

#include <nlohmann/json.hpp>

#include "cassiastile/wire/problem.hpp"

namespace cassiastile::control {

namespace {

constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr std::chrono::milliseconds kRetryAfter{1000};

wire::HttpResponse MakeRefusal(int status,
                               std::string type,
                               std::string title,
                               const std::string& decision_id = "") {
  wire::Problem problem;
  problem.status = status;
  problem.type = std::move(type);
  problem.title = std::move(title);
  problem.decision_id = decision_id;
  if (status == kUnavailable) {
    problem.retry_after = kRetryAfter;
  }
  return wire::MakeProblemResponse(problem);
}

wire::HttpResponse MakeUnknownResponse() {
  wire::Problem problem;
  problem.status = kBadGateway;
  problem.type = "table-answer-lost";
  problem.title =
      "The table's answer was lost; the call may have taken effect.";
  problem.detail = "Repeat the call with the same id; it takes effect once.";
  problem.execution = wire::Execution::kUnknown;
  problem.retry_after = kRetryAfter;
  return wire::MakeProblemResponse(problem);
}

std::optional<wire::HttpResponse> MakeBatcherRefusal(BatcherRefusal refusal) {
  switch (refusal) {
    case BatcherRefusal::kNone:
      return std::nullopt;
    case BatcherRefusal::kNotOwner:
      return MakeRefusal(kUnavailable, "no-owner",
                         "This host no longer owns the pool's shard.");
    case BatcherRefusal::kFull:
      return MakeRefusal(kUnavailable, "queue-full",
                         "Too many calls wait for the pool's shard.");
    case BatcherRefusal::kStopping:
      return MakeRefusal(kUnavailable, "stopping", "This host is stopping.");
  }
  return std::nullopt;
}

std::optional<wire::HttpResponse> MakeEffectRefusal(
    const BatcherResult& result) {
  if (auto refused = MakeBatcherRefusal(result.refusal)) {
    return refused;
  }
  switch (result.result.effect) {
    case work::Effect::kCommitted:
      return std::nullopt;
    case work::Effect::kNotRun:
      return MakeRefusal(kUnavailable, "store-unavailable",
                         "The table can't be written; nothing took effect.");
    case work::Effect::kUnknown:
      return MakeUnknownResponse();
  }
  return std::nullopt;
}

std::optional<wire::HttpResponse> MakeVerdictRefusal(
    const work::TaskReply& reply) {
  switch (reply.verdict) {
    case work::Verdict::kDone:
    case work::Verdict::kSame:
      return std::nullopt;
    case work::Verdict::kConflict:
      return MakeRefusal(kConflict, "task-conflict",
                         "Refused: " + reply.reason + ".", reply.decision_id);
    case work::Verdict::kRefused:
      return MakeRefusal(kUnprocessable, "task-can-never-run",
                         "Refused: " + reply.reason + ".", reply.decision_id);
    case work::Verdict::kFull:
      return MakeRefusal(kUnavailable, "queue-full",
                         "Refused: " + reply.reason + ".", reply.decision_id);
    case work::Verdict::kNotFound:
      return MakeRefusal(kNotFound, "no-such-task", "There is no such task.");
    case work::Verdict::kStale:
      return MakeRefusal(kConflict, "stale-poll",
                         "The poll was not taken: " + reply.reason + ".");
  }
  return std::nullopt;
}

nlohmann::json DescribeTask(const work::Task& task,
                            const std::string& explanation) {
  nlohmann::json json{{"id", task.spec.id},
                      {"queue", task.spec.queue},
                      {"team", task.spec.team},
                      {"state", work::NameOf(task.state)},
                      {"reason", explanation},
                      {"progress", task.progress},
                      {"epoch", task.lease.epoch},
                      {"failed_on", task.failed_on},
                      {"cancel_requested", task.cancel_requested},
                      {"runs_not_confirmed_stopped", task.unconfirmed.size()}};
  if (task.outcome != work::TaskOutcome::kNone) {
    json["outcome"] = work::NameOf(task.outcome);
  }
  if (!task.lease.worker.empty()) {
    json["worker"] = task.lease.worker;
  }
  if (!task.placement.empty()) {
    json["decision"] = task.placement;
  }
  return json;
}

}  // namespace

wire::HttpResponse MakeSubmitResponse(const BatcherResult& result,
                                      const work::TaskSpec& spec) {
  if (result.refusal == BatcherRefusal::kNone) {
    if (auto refused = MakeVerdictRefusal(result.result.reply)) {
      return *refused;
    }
  }
  if (auto refused = MakeEffectRefusal(result)) {
    return *refused;
  }
  return wire::MakeJsonResponse(
      kCreated, {{"id", spec.id}, {"queue", spec.queue}, {"team", spec.team}});
}

wire::HttpResponse MakeTaskResponse(const BatcherResult& result) {
  if (auto refused = MakeEffectRefusal(result)) {
    return *refused;
  }
  if (auto refused = MakeVerdictRefusal(result.result.reply)) {
    return *refused;
  }
  if (!result.task) {
    return MakeRefusal(kNotFound, "no-such-task", "There is no such task.");
  }
  return wire::MakeJsonResponse(kOk,
                                DescribeTask(*result.task, result.explanation));
}

wire::HttpResponse MakePollResponse(const BatcherResult& result) {
  if (auto refused = MakeBatcherRefusal(result.refusal)) {
    return *refused;
  }
  if (!result.result.answer) {
    return MakeVerdictRefusal(result.result.reply)
        .value_or(MakeRefusal(kUnavailable, "no-owner",
                              "The pool's shard can't be read yet."));
  }
  wire::HttpResponse response;
  response.headers.emplace_back("Content-Type", "application/json");
  response.body = work::EncodePollAnswer(*result.result.answer);
  return response;
}

wire::HttpResponse MakeRenewalResponse(const std::string& pool,
                                       base::Duration lease,
                                       base::Duration poll_after) {
  work::PollAnswer answer;
  answer.pool = pool;
  answer.lease = lease;
  answer.poll_after = poll_after;
  wire::HttpResponse response;
  response.headers.emplace_back("Content-Type", "application/json");
  response.body = work::EncodePollAnswer(answer);
  return response;
}

bool IsNoOwnerResponse(const wire::HttpResponse& response) {
  if (response.status != kUnavailable) {
    return false;
  }
  const auto json = nlohmann::json::parse(response.body, nullptr, false);
  if (!json.is_object()) {
    return false;
  }
  const std::string type = json.value("type", "");
  return type.ends_with(":no-owner") || type.ends_with(":owner-unreachable");
}

}  // namespace cassiastile::control
