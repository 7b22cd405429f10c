#pragma once

#include <functional>

#include "cassiastile/wire/metrics.hpp"
#include "cassiastile/wire/router.hpp"

namespace cassiastile::daemon {

// Adds /healthz (the process runs), /readyz (200 while `ready` says so, else
// 503) and /metrics, which first calls `update` to bring gauges up to date. The
// metrics outlive the router.
void AddHealthRoutes(wire::Router& router,
                     std::function<bool()> ready,
                     const wire::Metrics& metrics,
                     std::function<void()> update);

}  // namespace cassiastile::daemon
