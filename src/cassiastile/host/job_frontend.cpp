#include "cassiastile/host/job_frontend.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

#include "cassiastile/jobs/admission.hpp"

namespace cassiastile::host {

namespace {

using wire::HttpResponse;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kNotAllowed = 405;
constexpr int kGone = 410;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

constexpr std::size_t kJobIdLength = 16;
// For callers that send no timeout header; kMaxWait limits it like theirs.
constexpr std::chrono::milliseconds kDefaultTimeout{3000};
// A retry reaches another host, so a longer wait would not help the caller.
constexpr std::chrono::milliseconds kMaxWait{1500};
// A change of leader takes less than this.
constexpr std::chrono::milliseconds kRetryWithoutLeader{1000};
// A version is to be in force everywhere within this time.
constexpr std::chrono::milliseconds kMaxConfigAge{2000};

bool IsJobId(std::string_view text) {
  return text.size() == kJobIdLength && std::ranges::all_of(text, [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') ||
                  (c >= 'A' && c <= 'F');
         });
}

std::string HostOf(const wire::HttpRequest& request) {
  std::string host = wire::FindHeader(request.headers, "Host").value_or("");
  return host.substr(0, host.find(':'));
}

std::chrono::milliseconds TimeoutOf(const wire::HttpRequest& request,
                                    const std::string& header) {
  const auto text = wire::FindHeader(request.headers, header);
  std::int64_t millis = 0;
  if (text) {
    const char* end = text->data() + text->size();
    if (std::from_chars(text->data(), end, millis).ec == std::errc() &&
        millis > 0) {
      return std::chrono::milliseconds(millis);
    }
  }
  return kDefaultTimeout;
}

HttpResponse Answer(int status, std::string body = "{}") {
  HttpResponse response;
  response.status = status;
  response.headers.emplace_back("Content-Type", "application/json");
  response.body = std::move(body);
  return response;
}

HttpResponse AnswerError(int status, std::string_view error) {
  // The error may quote bytes of the request, which need not be UTF-8.
  return Answer(status,
                nlohmann::json{{"error", error}}.dump(
                    -1, ' ', false, nlohmann::json::error_handler_t::replace));
}

HttpResponse AnswerWithRetryAfter(int status,
                                  std::string_view error,
                                  std::chrono::milliseconds retry_after) {
  HttpResponse response = AnswerError(status, error);
  // Retry-After is in whole seconds; rounded up, at least 1.
  const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(retry_after).count();
  response.headers.emplace_back(
      "Retry-After", std::to_string(std::max<std::int64_t>(1, seconds)));
  return response;
}

HttpResponse Refusal(const JobAnswer& answer) {
  const auto reason = static_cast<jobs::RefusalReason>(answer.reason);
  const bool is_overload = reason == jobs::RefusalReason::kOverload ||
                           reason == jobs::RefusalReason::kLeaderBusy ||
                           reason == jobs::RefusalReason::kTooManyCancels;
  const int status = is_overload ? kTooMany : kUnavailable;
  return AnswerWithRetryAfter(status,
                              base::FindName(jobs::kRefusalNames, reason),
                              std::chrono::milliseconds(answer.retry_after_ms));
}

}  // namespace

JobFrontend::JobFrontend(JobFrontendFormat format,
                         Loop& loop,
                         EventLog& log,
                         ForwardJob forward_job,
                         std::function<LeaderView()> leader_view,
                         std::function<base::Duration()> config_age)
    : m_format(std::move(format)),
      m_loop(loop),
      m_log(log),
      m_forward_job(std::move(forward_job)),
      m_leader_view(std::move(leader_view)),
      m_config_age(std::move(config_age)) {}

void JobFrontend::ApplyConfig(std::shared_ptr<const jobs::FleetConfig> config) {
  m_config = std::move(config);
}

void JobFrontend::Deny(int status,
                       std::string_view error,
                       const wire::HttpResponder& respond) {
  // A host that stood still, or can't reach the store, may have missed a
  // version.
  if (m_config_age() > kMaxConfigAge) {
    respond(AnswerWithRetryAfter(kUnavailable, "configuration may be old",
                                 kRetryWithoutLeader));
    return;
  }
  respond(AnswerError(status, error));
}

void JobFrontend::Serve(const wire::HttpRequest& request,
                        const wire::HttpResponder& respond) {
  if (m_config == nullptr) {
    respond(AnswerWithRetryAfter(kUnavailable, "no configuration yet",
                                 kRetryWithoutLeader));
    return;
  }
  const std::string host = HostOf(request);
  const jobs::QueueConfig* queue = m_config->Route(host, request.path);
  if (queue == nullptr) {
    m_log.Write("request.no_queue", {{"path", request.path},
                                     {"host_header", host},
                                     {"config_version", m_config->version}});
    Deny(kNotFound, "no such queue", respond);
    return;
  }
  JobRequest job;
  job.queue = queue->name;
  const auto key = wire::FindHeader(request.headers, m_format.key_header);
  const jobs::CustomerConfig* customer =
      key ? m_config->CustomerOfKey(*key) : nullptr;
  if (customer == nullptr && !queue->open) {
    m_log.Write("request.bad_key", {{"path", request.path},
                                    {"queue", queue->name},
                                    {"config_version", m_config->version}});
    Deny(kUnauthorized, "unknown key", respond);
    return;
  }
  if (customer != nullptr) {
    job.customer = customer->name;
  }
  const std::string rest = request.path.substr(queue->path_prefix.size());
  if (rest.empty() && request.method == "GET") {
    job.verb = JobVerb::kQueueLength;
  } else if (!IsJobId(rest)) {
    respond(AnswerError(rest.empty() ? kNotAllowed : kBadRequest,
                        "the path must end with a job id"));
    return;
  } else if (request.method == "POST") {
    job.verb = JobVerb::kSubmit;
    job.spec = request.body;
  } else if (request.method == "GET") {
    job.verb = JobVerb::kState;
  } else if (request.method == "DELETE") {
    job.verb = JobVerb::kCancel;
  } else {
    respond(AnswerError(kNotAllowed, "POST, GET or DELETE"));
    return;
  }
  job.job = rest;
  if (m_is_closed) {
    respond(AnswerError(kGatewayTimeout, "the host is about to exit"));
    return;
  }
  const auto timeout = TimeoutOf(request, m_format.timeout_header);
  Forward(std::move(job), std::min(kMaxWait, timeout), respond);
}

void JobFrontend::Forward(JobRequest request,
                          std::chrono::milliseconds timeout,
                          const wire::HttpResponder& respond) {
  request.timeout_ms = timeout.count();
  const std::uint64_t number = ++m_last_request;
  m_waiting[number] = [this, verb = request.verb, job = request.job, respond,
                       arrived =
                           m_loop.GetClock().Now()](const JobAnswer& answer) {
    Respond(verb, job, arrived, answer, respond);
  };
  m_forward_job(std::move(request), timeout,
                [this, number](const JobAnswer& answer) {
                  const auto waiting = m_waiting.extract(number);
                  if (!waiting.empty()) {
                    waiting.mapped()(answer);
                  }
                });
}

void JobFrontend::Close() {
  m_is_closed = true;
  for (const auto& [number, answer] : std::exchange(m_waiting, {})) {
    answer({.kind = JobAnswerKind::kOutcomeUnknown});
  }
}

void JobFrontend::Respond(JobVerb verb,
                          const std::string& job,
                          base::TimePoint arrived,
                          const JobAnswer& answer,
                          const wire::HttpResponder& respond) {
  const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
      m_loop.GetClock().Now() - arrived);
  m_log.Metrics().Observe(Latency::kRequest, waited);
  switch (answer.kind) {
    case JobAnswerKind::kOk:
      if (verb == JobVerb::kState) {
        respond(Answer(kOk, m_format.encode_state(
                                static_cast<jobs::JobPhase>(answer.phase))));
      } else if (verb == JobVerb::kQueueLength) {
        respond(Answer(kOk, m_format.encode_queue_length(answer.count)));
      } else {
        respond(Answer(kOk));
      }
      return;
    case JobAnswerKind::kInvalid:
      respond(AnswerError(kBadRequest, answer.detail));
      return;
    case JobAnswerKind::kNoSuchJob:
      LogRequest("request.gone", verb, job, waited);
      respond(AnswerError(kGone, "no such job"));
      return;
    case JobAnswerKind::kForbidden:
      respond(AnswerError(kForbidden, "another customer's job"));
      return;
    case JobAnswerKind::kRefused:
      respond(Refusal(answer));
      return;
    case JobAnswerKind::kNotLeader:
      LogRequest("request.no_office", verb, job, waited);
      respond(AnswerWithRetryAfter(kUnavailable, "no host is in office",
                                   kRetryWithoutLeader));
      return;
    case JobAnswerKind::kOutcomeUnknown:
      LogRequest("request.undecided", verb, job, waited);
      respond(AnswerError(kGatewayTimeout, "not known yet"));
      return;
  }
}

void JobFrontend::LogRequest(std::string_view event,
                             JobVerb verb,
                             const std::string& job,
                             std::chrono::milliseconds waited) {
  const LeaderView leader_view = m_leader_view();
  m_log.Write(event, {{"job", job},
                      {"verb", base::FindName(kJobVerbNames, verb)},
                      {"waited_ms", waited.count()},
                      {"holder", leader_view.host},
                      {"fence", leader_view.fence},
                      {"heard_ms_ago", leader_view.heard_ago.count()}});
}

}  // namespace cassiastile::host
