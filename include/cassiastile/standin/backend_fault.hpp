#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace cassiastile::standin {

// How a runner (a backend server) fails a request, in BackendModel and in
// Backend.
enum class BackendFault : std::uint8_t {
  kNone,
  // BackendModel refuses the connection. Backend can't: it runs the request and
  // closes the connection without an answer, like kDie.
  kRefuse,
  kStall,       // Accepts the request and never answers.
  kDie,         // Closes the connection without an answer, as in a crash.
  kLate,        // Processes the request but answers after the deadline.
  kShort,       // Sends fewer bytes than Content-Length says.
  kOverLong,    // Sends a second answer after the one to the request.
  kCrossed,     // Sends the response to another request.
  kChunkCut,    // Closes in the middle of a chunked body.
  kReset,       // Resets the connection but keeps processing.
  kHeaderOnly,  // Closes after the header.
  kUnframed,    // Sends half of the body, without a length or chunking.
};

std::string_view NameOf(BackendFault fault);
std::optional<BackendFault> FindBackendFault(std::string_view name);

}  // namespace cassiastile::standin
