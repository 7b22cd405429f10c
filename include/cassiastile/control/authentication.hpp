#pragma once

#include <string>

#include "cassiastile/base/error.hpp"
#include "cassiastile/config/fleet.hpp"
#include "cassiastile/config/fleet_source.hpp"
#include "cassiastile/wire/http_types.hpp"

namespace cassiastile::control {

// Returns the name of the operator whose key a request carries. Fails with
// kDenied if the key is missing or belongs to no operator, and with
// kUnavailable if no document is in force yet or this host's document may be
// stale, so that the key could have been revoked.
base::Result<std::string> AuthenticateOperator(
    const config::FleetSource& source,
    const wire::HttpRequest& request,
    base::TimePoint now);

// Returns the team whose key a request carries, or an empty name if it carries
// no key. Fails with kDenied if the key is unknown, and with kUnavailable if no
// document is in force yet or this host's document may be stale, so that the
// key could have been revoked.
base::Result<std::string> AuthenticateTeam(const config::FleetSource& source,
                                           const wire::HttpRequest& request,
                                           base::TimePoint now);

}  // namespace cassiastile::control
