#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace cassiastile::standin {

// How a stand-in runner may fail a request.
enum class BackendFault : std::uint8_t {
  kNone,
  kRefuse,      // Takes no connection.
  kStall,       // Takes the request and never answers.
  kDie,         // Ends half-way through the work.
  kLate,        // Does the work and answers after the deadline.
  kShort,       // Sends less than it announced.
  kOverLong,    // Sends more than it announced.
  kCrossed,     // Sends the answer to another request.
  kChunkCut,    // Ends in the middle of a chunked body.
  kReset,       // Resets the connection and goes on with the work.
  kHeaderOnly,  // Sends the header and ends.
  kUnframed,    // Sends a body without marking its end.
};

std::string_view NameOf(BackendFault fault);
std::optional<BackendFault> FindBackendFault(std::string_view name);

}  // namespace cassiastile::standin
