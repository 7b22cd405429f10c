#pragma once

#include <functional>

#include "cassiastile/wire/metrics.hpp"
#include "cassiastile/wire/router.hpp"

namespace cassiastile::daemon {

// Adds the routes /healthz (always 200), /readyz (200 if `ready` returns true,
// else 503) and /metrics, which calls `update` first to refresh the gauges. The
// metrics must outlive the router.
void AddHealthRoutes(wire::Router& router,
                     std::function<bool()> ready,
                     const wire::Metrics& metrics,
                     std::function<void()> update);

}  // namespace cassiastile::daemon
