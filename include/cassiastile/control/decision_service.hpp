#pragma once

#include "cassiastile/base/clock.hpp"
#include "cassiastile/config/fleet_source.hpp"
#include "cassiastile/platform/decision_log.hpp"
#include "cassiastile/wire/router.hpp"

namespace cassiastile::control {

// Answers GET /v1/decisions/<id> to operators, and to a team for its own
// decisions, and GET /v1/decisions/gaps to operators. Looks in this process's
// memory first, then among the stored batches. All that is passed in outlives
// the service.
class DecisionService {
 public:
  DecisionService(const base::Clock& clock,
                  const config::FleetSource& source,
                  const platform::DecisionLog& log,
                  platform::ObjectStore& objects);

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
