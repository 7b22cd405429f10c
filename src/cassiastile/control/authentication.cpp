#include "cassiastile/control/authentication.hpp"

namespace cassiastile::control {

namespace {

tl::unexpected<base::Error> NoDocumentError() {
  return base::Fail(base::ErrorCode::kUnavailable,
                    "No fleet document is in force on this host.");
}

tl::unexpected<base::Error> StaleConfigurationError() {
  return base::Fail(base::ErrorCode::kUnavailable,
                    "This host can't tell whether keys were withdrawn.");
}

}  // namespace

base::Result<std::string> AuthenticateOperator(
    const config::FleetSource& source,
    const wire::HttpRequest& request,
    base::TimePoint now) {
  const auto accepted = source.Current();
  if (!accepted) {
    return NoDocumentError();
  }
  if (!source.IsFresh(now)) {
    return StaleConfigurationError();
  }
  const auto secret = wire::FindBearerToken(request);
  const config::Operator* found =
      secret ? config::FindOperator(accepted->fleet, *secret) : nullptr;
  if (found == nullptr) {
    return base::Fail(base::ErrorCode::kDenied,
                      "This needs an operator's key: Authorization: Bearer "
                      "SECRET.");
  }
  return found->name;
}

base::Result<std::string> AuthenticateTeam(const config::FleetSource& source,
                                           const wire::HttpRequest& request,
                                           base::TimePoint now) {
  const auto secret = wire::FindBearerToken(request);
  if (!secret) {
    return std::string();
  }
  const auto accepted = source.Current();
  if (!accepted) {
    return NoDocumentError();
  }
  if (!source.IsFresh(now)) {
    return StaleConfigurationError();
  }
  const config::Key* key = config::FindKey(accepted->fleet, *secret);
  if (key == nullptr) {
    return base::Fail(base::ErrorCode::kDenied, "The key is not known.");
  }
  return key->team;
}

}  // namespace cassiastile::control
