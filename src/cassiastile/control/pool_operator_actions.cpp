#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "cassiastile/control/authentication.hpp"
#include "cassiastile/control/pool_service.hpp"
#include "cassiastile/wire/problem.hpp"
#include "pool_status.hpp"

namespace cassiastile::control {

void PoolService::Register(wire::Router& router) {
  for (const std::string action : {"drain", "return"}) {
    router.Add("POST", "/v1/hosts/:host/" + action,
               [this, action](const wire::HttpRequest& request,
                              const wire::HttpResponder& respond) {
                 HandleHostAction(request, respond, action);
               });
  }
  router.Add("GET", "/v1/waves/:wave",
             [this](const wire::HttpRequest& request,
                    const wire::HttpResponder& respond) {
               AnswerWave(request, respond);
             });
  router.Add("POST", "/v1/waves/:wave/:act",
             [this](const wire::HttpRequest& request,
                    const wire::HttpResponder& respond) {
               HandleWaveAction(request, respond);
             });
}

base::Result<std::string> PoolService::AuthorizeSectionOwner(
    const wire::HttpRequest& request,
    config::SectionName section) const {
  base::Result<std::string> name = AuthenticateOperator(
      m_dependencies.fleet, request, m_dependencies.clock.Now());
  if (!name) {
    return name;
  }
  const auto document = m_dependencies.fleet.Current();
  const auto& ownership = document->fleet.ownership;
  const bool owns =
      std::any_of(ownership.begin(), ownership.end(), [&](const auto& entry) {
        return entry.section == section && entry.owner == *name;
      });
  if (!owns) {
    return base::Fail(base::ErrorCode::kDenied,
                      "The operator " + *name + " does not own the section " +
                          std::string(config::NameOf(section)) + ".");
  }
  return name;
}

void PoolService::HandleHostAction(const wire::HttpRequest& request,
                                   const wire::HttpResponder& respond,
                                   const std::string& action) {
  const auto name = AuthorizeSectionOwner(request, config::SectionName::kPools);
  if (!name) {
    respond(wire::MakeErrorResponse(name.error()));
    return;
  }
  const std::string host = request.path_parameters.at("host");
  const std::string& actor = *name;
  const bool drain = action == "drain";
  OperatorAction next;
  next.entry = {"host " + host + " " + action, actor,
                m_dependencies.clock.WallNow(), ""};
  next.run = [this, host, actor, drain](const fleet::AuditAddition& audit) {
    return drain ? m_reconciler.DrainHost(host, actor, audit)
                 : m_reconciler.UndrainHost(host, actor, audit);
  };
  next.make_body = [this, host]() -> nlohmann::json {
    const fleet::HostRecord& record =
        m_reconciler.State().hosts.at(host).record;
    return {{"host", host},
            {"pool", record.pool},
            {"state", fleet::NameOf(record.state)},
            {"detail", record.detail}};
  };
  next.respond = respond;
  Enqueue(std::move(next));
}

void PoolService::HandleWaveAction(const wire::HttpRequest& request,
                                   const wire::HttpResponder& respond) {
  const auto name = AuthorizeSectionOwner(request, config::SectionName::kWaves);
  if (!name) {
    respond(wire::MakeErrorResponse(name.error()));
    return;
  }
  const std::string wave = request.path_parameters.at("wave");
  const auto action = fleet::FindWaveAction(request.path_parameters.at("act"));
  if (!action) {
    respond(wire::MakeErrorResponse(
        {base::ErrorCode::kNotFound,
         "A wave takes start, pause, resume and abort."}));
    return;
  }
  const std::string& actor = *name;
  OperatorAction next;
  next.entry = {"wave " + wave + " " + std::string(fleet::NameOf(*action)),
                actor, m_dependencies.clock.WallNow(), ""};
  next.run = [this, wave, actor, action](const fleet::AuditAddition& audit) {
    return m_reconciler.ApplyWaveAction(wave, actor, *action, audit);
  };
  next.make_body = [this, wave] {
    PoolSnapshot snapshot;
    snapshot.document = m_document;
    snapshot.wall_time = m_dependencies.clock.WallNow();
    snapshot.state = m_reconciler.State();
    const config::Wave* declared = config::FindWave(m_document->fleet, wave);
    snapshot.forecasts[wave] = m_reconciler.Forecast(*declared);
    return MakeWaveJson(snapshot, *declared);
  };
  next.respond = respond;
  Enqueue(std::move(next));
}

void PoolService::AnswerWave(const wire::HttpRequest& request,
                             const wire::HttpResponder& respond) const {
  const auto name = AuthenticateOperator(m_dependencies.fleet, request,
                                         m_dependencies.clock.Now());
  if (!name) {
    respond(wire::MakeErrorResponse(name.error()));
    return;
  }
  const auto latest = LatestSnapshot();
  const config::Wave* wave =
      latest == nullptr ? nullptr
                        : config::FindWave(latest->document->fleet,
                                           request.path_parameters.at("wave"));
  if (wave == nullptr) {
    respond(wire::MakeErrorResponse(
        {base::ErrorCode::kNotFound,
         "No such wave: " + request.path_parameters.at("wave")}));
    return;
  }
  constexpr int kOk = 200;
  respond(wire::MakeJsonResponse(kOk, MakeWaveJson(*latest, *wave)));
}

}  // namespace cassiastile::control
