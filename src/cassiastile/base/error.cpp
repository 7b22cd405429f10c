#include "cassiastile/base/error.hpp"

#include <utility>

#include "cassiastile/base/enum_names.hpp"

namespace cassiastile::base {

namespace {

constexpr std::array<EnumName<ErrorCode>, 9> kErrorNames{{
    {ErrorCode::kInvalid, "invalid"},
    {ErrorCode::kNotFound, "not-found"},
    {ErrorCode::kConflict, "conflict"},
    {ErrorCode::kDenied, "denied"},
    {ErrorCode::kOverloaded, "overloaded"},
    {ErrorCode::kUnavailable, "unavailable"},
    {ErrorCode::kUnknown, "unknown"},
    {ErrorCode::kTimeout, "timeout"},
    {ErrorCode::kInternal, "internal"},
}};

}  // namespace

std::string_view NameOf(ErrorCode code) {
  return FindName(kErrorNames, code);
}

tl::unexpected<Error> Fail(ErrorCode code, std::string message) {
  return tl::unexpected<Error>(Error{code, std::move(message)});
}

}  // namespace cassiastile::base
