#pragma once

#include <string>

#include "cassiastile/control/task_event_batcher.hpp"
#include "cassiastile/wire/http_types.hpp"
#include "cassiastile/work/task_poll.hpp"

namespace cassiastile::control {

// The answers to calls on tasks, from what a pump did with them.

wire::HttpResponse MakeSubmitResponse(const BatcherResult& result,
                                      const work::TaskSpec& spec);

// For reads, cancellations and operators' words on a task.
wire::HttpResponse MakeTaskResponse(const BatcherResult& result);

wire::HttpResponse MakePollResponse(const BatcherResult& result);

// An answer that renews a worker's leases and says nothing else, for when no
// owner of the shard can be asked.
wire::HttpResponse MakeRenewalResponse(const std::string& pool,
                                       base::Duration lease,
                                       base::Duration poll_after);

// Whether an answer says that no owner of the shard could be asked.
bool IsNoOwnerResponse(const wire::HttpResponse& response);

}  // namespace cassiastile::control
