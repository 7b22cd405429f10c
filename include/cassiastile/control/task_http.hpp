#pragma once

#include <string>

#include "cassiastile/control/task_event_batcher.hpp"
#include "cassiastile/wire/http_types.hpp"
#include "cassiastile/work/task_poll.hpp"

namespace cassiastile::control {

// HTTP responses to task and worker requests, made from a batcher's results.

// Responds to a submission of `spec`.
wire::HttpResponse MakeSubmitResponse(const BatcherResult& result,
                                      const work::TaskSpec& spec);

// Responds to a read, a cancellation or an operator's resolution of a task.
wire::HttpResponse MakeTaskResponse(const BatcherResult& result);

// Responds to a worker's poll.
wire::HttpResponse MakePollResponse(const BatcherResult& result);

// A poll response that only renews the worker's leases, for when no owner of
// the shard can be reached.
wire::HttpResponse MakeRenewalResponse(const std::string& pool,
                                       base::Duration lease,
                                       base::Duration poll_after);

// Whether a response says that the shard has no owner or that its owner can't
// be reached.
bool IsNoOwnerResponse(const wire::HttpResponse& response);

}  // namespace cassiastile::control
