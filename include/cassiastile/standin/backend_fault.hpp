#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace cassiastile::standin {

// How a simulated runner may fail a request.
enum class BackendFault : std::uint8_t {
  kNone,
  kRefuse,      // Refuses the connection.
  kStall,       // Accepts the request and never answers.
  kDie,         // Crashes while it processes the request.
  kLate,        // Processes the request but answers after the deadline.
  kShort,       // Sends fewer bytes than Content-Length says.
  kOverLong,    // Sends more bytes than Content-Length says.
  kCrossed,     // Sends the response to another request.
  kChunkCut,    // Closes in the middle of a chunked body.
  kReset,       // Resets the connection but keeps processing.
  kHeaderOnly,  // Closes after the header.
  kUnframed,    // Sends a body without a length or chunking.
};

std::string_view NameOf(BackendFault fault);
std::optional<BackendFault> FindBackendFault(std::string_view name);

}  // namespace cassiastile::standin
