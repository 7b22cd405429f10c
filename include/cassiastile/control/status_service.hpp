#pragma once

#include <functional>
#include <map>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/config/fleet_source.hpp"
#include "cassiastile/wire/router.hpp"

namespace cassiastile::control {

// Serves GET /v1/status to operators: one field per component, with the status
// that the component reports.
class StatusService {
 public:
  // Returns a component's status. Called on the HTTP server's threads.
  using StatusSource = std::function<nlohmann::json()>;

  // `status_sources` gives the source of each field. The clock, the fleet
  // source and all that the status sources refer to must outlive the service.
  StatusService(const base::Clock& clock,
                const config::FleetSource& fleet,
                std::map<std::string, StatusSource> status_sources);

  // Adds the route. The service must outlive the router.
  void Register(wire::Router& router);

 private:
  wire::HttpResponse Answer(const wire::HttpRequest& request) const;

  const base::Clock& m_clock;
  const config::FleetSource& m_fleet;
  std::map<std::string, StatusSource> m_status_sources;
};

}  // namespace cassiastile::control
