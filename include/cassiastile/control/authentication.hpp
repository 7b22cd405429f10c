#pragma once

#include <string>

#include "cassiastile/base/error.hpp"
#include "cassiastile/config/fleet.hpp"
#include "cassiastile/config/fleet_source.hpp"
#include "cassiastile/wire/http_types.hpp"

namespace cassiastile::control {

// The operator whose key came with a request. kDenied when it is nobody's;
// kUnavailable when no document is in force yet, or when this host can't tell
// whether keys were withdrawn.
base::Result<std::string> AuthenticateOperator(
    const config::FleetSource& source,
    const wire::HttpRequest& request,
    base::TimePoint now);

// The team whose key came with a request; empty where none came. kDenied for a
// key that is nobody's; kUnavailable when this host can't tell whether keys
// were withdrawn.
base::Result<std::string> AuthenticateTeam(const config::FleetSource& source,
                                           const wire::HttpRequest& request,
                                           base::TimePoint now);

}  // namespace cassiastile::control
