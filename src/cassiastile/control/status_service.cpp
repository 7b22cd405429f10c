#include "cassiastile/control/status_service.hpp"

#include <utility>

#include <nlohmann/json.hpp>

#include "cassiastile/control/authentication.hpp"
#include "cassiastile/wire/problem.hpp"

namespace cassiastile::control {

StatusService::StatusService(const base::Clock& clock,
                             const config::FleetSource& fleet,
                             std::map<std::string, StatusSource> status_sources)
    : m_clock(clock),
      m_fleet(fleet),
      m_status_sources(std::move(status_sources)) {}

void StatusService::Register(wire::Router& router) {
  router.Add(
      "GET", "/v1/status",
      [this](const wire::HttpRequest& request,
             const wire::HttpResponder& respond) { respond(Answer(request)); });
}

wire::HttpResponse StatusService::Answer(
    const wire::HttpRequest& request) const {
  constexpr int kOk = 200;
  const auto reader = AuthenticateOperator(m_fleet, request, m_clock.Now());
  if (!reader) {
    return wire::MakeErrorResponse(reader.error());
  }
  nlohmann::json status = nlohmann::json::object();
  for (const auto& [name, read_status] : m_status_sources) {
    status[name] = read_status();
  }
  return wire::MakeJsonResponse(kOk, status);
}

}  // namespace cassiastile::control
