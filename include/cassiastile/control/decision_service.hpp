#pragma once

#include "cassiastile/base/clock.hpp"
#include "cassiastile/config/fleet_source.hpp"
#include "cassiastile/platform/decision_log.hpp"
#include "cassiastile/wire/router.hpp"

namespace cassiastile::control {

// Serves GET /v1/decisions/<id> to operators, and to a team for its own
// decisions, and GET /v1/decisions/gaps to operators. Looks for a decision in
// this process's memory first, then in the batches in the object store. All
// constructor arguments must outlive the service.
class DecisionService {
 public:
  DecisionService(const base::Clock& clock,
                  const config::FleetSource& source,
                  const platform::DecisionLog& log,
                  platform::ObjectStore& objects);

  // Adds the routes. The service must outlive the router.
  void Register(wire::Router& router);

 private:
  wire::HttpResponse AnswerDecision(const wire::HttpRequest& request);
  wire::HttpResponse AnswerGaps(const wire::HttpRequest& request);
  base::Result<base::Decision> Find(const std::string& id);
  base::Result<void> CheckReader(const wire::HttpRequest& request,
                                 const base::Decision& decision) const;

  const base::Clock& m_clock;
  const config::FleetSource& m_source;
  const platform::DecisionLog& m_log;
  platform::ObjectStore& m_objects;
};

}  // namespace cassiastile::control
