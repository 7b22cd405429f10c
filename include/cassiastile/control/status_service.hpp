#pragma once

#include <functional>
#include <map>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/config/fleet_source.hpp"
#include "cassiastile/wire/router.hpp"

namespace cassiastile::control {

// Answers GET /v1/status to operators with what each part says of itself.
class StatusService {
 public:
  // Returns a part's status; called on a thread of the server.
  using Part = std::function<nlohmann::json()>;

  // The clock and the source outlive the service.
  StatusService(const base::Clock& clock,
                const config::FleetSource& source,
                std::map<std::string, Part> parts);

  void Register(wire::Router& router);

 private:
  wire::HttpResponse Answer(const wire::HttpRequest& request) const;

  const base::Clock& m_clock;
  const config::FleetSource& m_source;
  std::map<std::string, Part> m_parts;
};

}  // namespace cassiastile::control
