#pragma once

#include <cstdint>
#include <string>

#include "cassiastile/base/decision.hpp"
#include "cassiastile/entry/service_shard.hpp"
#include "cassiastile/work/request.hpp"

namespace cassiastile::entry {

// What was known when a request was refused or its outcome stayed unknown.
struct RefusalContext {
  std::string id;
  std::string service;
  work::RequestTicket ticket;
  std::uint64_t version = 0;  // Of the fleet document in force.
  base::WallTime at{};
  base::TimePoint now{};
  ServiceShard::Stats stats;
};

// The decision record for auditors: which rule of which section refused the
// request, and what was observed. Not for answered requests.
base::Decision MakeRefusalDecision(const RefusalContext& context,
                                   const work::Outcome& outcome);

}  // namespace cassiastile::entry
