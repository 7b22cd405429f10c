#include "cassiastile/control/decision_service.hpp"

#include <nlohmann/json.hpp>

#include "cassiastile/control/authentication.hpp"
#include "cassiastile/platform/decision_json.hpp"
#include "cassiastile/wire/problem.hpp"

namespace cassiastile::control {

namespace {

using nlohmann::json;

constexpr int kOk = 200;

}  // namespace

DecisionService::DecisionService(const base::Clock& clock,
                                 const config::FleetSource& source,
                                 const platform::DecisionLog& log,
                                 platform::ObjectStore& objects)
    : m_clock(clock), m_source(source), m_log(log), m_objects(objects) {}

void DecisionService::Register(wire::Router& router) {
  router.Add("GET", "/v1/decisions/gaps",
             [this](const wire::HttpRequest& request,
                    const wire::HttpResponder& respond) {
               respond(AnswerGaps(request));
             });
  router.Add("GET", "/v1/decisions/:id",
             [this](const wire::HttpRequest& request,
                    const wire::HttpResponder& respond) {
               respond(AnswerDecision(request));
             });
}

wire::HttpResponse DecisionService::AnswerDecision(
    const wire::HttpRequest& request) {
  const auto decision = Find(request.path_parameters.at("id"));
  if (!decision) {
    return wire::MakeErrorResponse(decision.error());
  }
  const auto allowed = CheckReader(request, *decision);
  if (!allowed) {
    return wire::MakeErrorResponse(allowed.error());
  }
  return wire::MakeJsonResponse(kOk, *decision);
}

wire::HttpResponse DecisionService::AnswerGaps(
    const wire::HttpRequest& request) {
  const auto reader = AuthenticateOperator(m_source, request, m_clock.Now());
  if (!reader) {
    return wire::MakeErrorResponse(reader.error());
  }
  const auto gaps = platform::FindDecisionGaps(m_objects);
  if (!gaps) {
    return wire::MakeErrorResponse(gaps.error());
  }
  json list = json::array();
  for (const platform::DecisionGap& gap : *gaps) {
    list.push_back(
        {{"process", gap.process}, {"first", gap.first}, {"last", gap.last}});
  }
  return wire::MakeJsonResponse(kOk, {{"gaps", std::move(list)}});
}

base::Result<base::Decision> DecisionService::Find(const std::string& id) {
  if (const auto recent = m_log.FindRecent(id)) {
    return *recent;
  }
  auto stored = platform::FindStoredDecision(m_objects, id);
  if (!stored && stored.error().code == base::ErrorCode::kNotFound) {
    stored.error().message +=
        " A decision reaches the store within seconds; ask again if it is "
        "new.";
  }
  return stored;
}

base::Result<void> DecisionService::CheckReader(
    const wire::HttpRequest& request,
    const base::Decision& decision) const {
  const auto reader = AuthenticateOperator(m_source, request, m_clock.Now());
  if (reader) {
    return {};
  }
  const auto team = AuthenticateTeam(m_source, request, m_clock.Now());
  if (team && !team->empty() && *team == decision.team) {
    return {};
  }
  return tl::unexpected(reader.error());
}

}  // namespace cassiastile::control
