#pragma once

#include <optional>
#include <string>

#include "cassiastile/base/error.hpp"
#include "cassiastile/config/fleet.hpp"
#include "cassiastile/config/fleet_source.hpp"
#include "cassiastile/wire/http_types.hpp"

namespace cassiastile::control {

// The secret in `Authorization: Bearer SECRET`, or nothing.
std::optional<std::string> BearerSecret(const wire::HttpRequest& request);

// The operator whose key came with a request. kDenied when it is nobody's;
// kUnavailable when no document is in force yet.
base::Result<std::string> OperatorOf(const config::FleetSource& source,
                                     const wire::HttpRequest& request);

// The team whose key came with a request; empty where none came. kDenied for a
// key that is nobody's; kUnavailable when this host can't tell whether keys
// were withdrawn.
base::Result<std::string> TeamOf(const config::FleetSource& source,
                                 const wire::HttpRequest& request,
                                 base::TimePoint now);

}  // namespace cassiastile::control
