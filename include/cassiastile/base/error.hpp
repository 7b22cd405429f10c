#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace cassiastile::base {

// The kinds of failure that callers handle differently.
enum class ErrorCode : std::uint8_t {
  kInvalid,      // The input is invalid; a retry fails as well.
  kNotFound,     // The named object does not exist.
  kConflict,     // A precondition failed; read again and retry.
  kDenied,       // The key or the operator lacks permission.
  kOverloaded,   // Rejected because a limit or queue is full; nothing ran.
  kUnavailable,  // A dependency is unreachable; nothing took effect.
  kUnknown,      // The call may or may not have taken effect.
  kTimeout,      // The deadline passed before anything took effect.
  kInternal,     // A bug in this program.
};

// The code's name, such as "not-found"; the type of an HTTP problem answer.
std::string_view NameOf(ErrorCode code);

// A failure with a message for people. The message must never contain a key.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string message;
};

template <typename Value>
using Result = tl::expected<Value, Error>;

// Makes an error to return from a function that returns a Result.
tl::unexpected<Error> Fail(ErrorCode code, std::string message);

}  // namespace cassiastile::base
