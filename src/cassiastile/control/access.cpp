#include "cassiastile/control/access.hpp"

#include <string_view>

namespace cassiastile::control {

namespace {

constexpr std::string_view kScheme = "Bearer ";

tl::unexpected<base::Error> NoDocument() {
  return base::Fail(base::ErrorCode::kUnavailable,
                    "No fleet document is in force on this host.");
}

}  // namespace

std::optional<std::string> BearerSecret(const wire::HttpRequest& request) {
  const auto value = wire::FindHeader(request.headers, "Authorization");
  if (!value || !value->starts_with(kScheme)) {
    return std::nullopt;
  }
  return value->substr(kScheme.size());
}

base::Result<std::string> OperatorOf(const config::FleetSource& source,
                                     const wire::HttpRequest& request) {
  const auto accepted = source.Current();
  if (!accepted) {
    return NoDocument();
  }
  const auto secret = BearerSecret(request);
  const config::Operator* found =
      secret ? config::FindOperator(accepted->fleet, *secret) : nullptr;
  if (found == nullptr) {
    return base::Fail(base::ErrorCode::kDenied,
                      "This needs an operator's key: Authorization: Bearer "
                      "SECRET.");
  }
  return found->name;
}

base::Result<std::string> TeamOf(const config::FleetSource& source,
                                 const wire::HttpRequest& request,
                                 base::TimePoint now) {
  const auto secret = BearerSecret(request);
  if (!secret) {
    return std::string();
  }
  const auto accepted = source.Current();
  if (!accepted) {
    return NoDocument();
  }
  if (!source.IsFresh(now)) {
    return base::Fail(base::ErrorCode::kUnavailable,
                      "This host can't tell whether keys were withdrawn.");
  }
  const config::Key* key = config::FindKey(accepted->fleet, *secret);
  if (key == nullptr) {
    return base::Fail(base::ErrorCode::kDenied, "The key is not known.");
  }
  return key->team;
}

}  // namespace cassiastile::control
