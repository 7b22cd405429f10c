#include "cassiastile/entry/refusal_decision.hpp"

#include <fmt/format.h>

#include "cassiastile/wire/problem.hpp"

namespace cassiastile::entry {

namespace {

// The section of the fleet document that a refusal comes from; empty where it
// comes from the state of the fleet alone.
std::string SectionOf(work::RefusalReason reason) {
  switch (reason) {
    case work::RefusalReason::kTeamLimit:
      return "limits";
    case work::RefusalReason::kUnknownKey:
    case work::RefusalReason::kStaleConfiguration:
      return "keys";
    case work::RefusalReason::kQueueFull:
    case work::RefusalReason::kWaitTooLong:
    case work::RefusalReason::kNoSuchService:
      return "services";
    default:
      return "";
  }
}

// Whether the request passed validation, which sets its id.
bool WasAccepted(const RefusalContext& context) {
  return context.ticket.id != 0;
}

std::string DescribeObservation(const RefusalContext& context) {
  if (!WasAccepted(context)) {
    return "refused on arrival, before it was queued";
  }
  const ServiceShard::Stats& stats = context.stats;
  return fmt::format(
      "{} waiting, {} of {} slots in use, {} runners ejected; {} ms after it "
      "came, {} ms before its deadline",
      stats.waiting, stats.in_use, stats.slots, stats.ejected,
      base::Milliseconds(context.now - context.ticket.arrived),
      base::Milliseconds(context.ticket.deadline - context.now));
}

struct ReasonMaker {
  const RefusalContext& context;

  base::Reason operator()(const work::Answered&) const { return {}; }

  base::Reason operator()(const work::NotRun& not_run) const {
    return {std::string(work::NameOf(not_run.reason)),
            SectionOf(not_run.reason), context.version,
            DescribeObservation(context)};
  }

  base::Reason operator()(const work::MaybeRan& maybe_ran) const {
    return {std::string(work::NameOf(maybe_ran.reason)), "", context.version,
            "last sent to " + maybe_ran.runner + "; " +
                DescribeObservation(context)};
  }
};

}  // namespace

base::Decision MakeRefusalDecision(const RefusalContext& context,
                                   const work::Outcome& outcome) {
  base::Decision decision;
  decision.id = context.id;
  decision.kind = base::DecisionKind::kRefusal;
  decision.subject =
      WasAccepted(context)
          ? fmt::format("request {} for service {}", context.ticket.id,
                        context.service)
          : fmt::format("a request for service {}", context.service);
  decision.team = context.ticket.team;
  decision.outcome =
      std::holds_alternative<work::NotRun>(outcome) ? "not run" : "unknown";
  decision.reasons.push_back(std::visit(ReasonMaker{context}, outcome));
  decision.at = context.at;
  return decision;
}

}  // namespace cassiastile::entry
