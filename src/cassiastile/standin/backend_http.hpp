#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cassiastile/standin/backend_fault.hpp"
#include "cassiastile/wire/http_types.hpp"

namespace cassiastile::standin {

// A request as the stand-in backend server reads it.
struct ReceivedRequest {
  std::string method;
  std::string path;
  wire::HttpHeaders headers;
  std::string body;
};

// Parses the request line and the header fields. Each line of the text ends in
// CRLF.
void ParseHeader(std::string_view text, ReceivedRequest& received);

// Returns the number at the start of the text, or the default where there is
// none.
std::int64_t ParseNumberOr(const std::optional<std::string>& text,
                           std::int64_t default_value);

// Returns the bytes of a complete response.
std::string FormatResponse(const std::string& id, const std::string& body);

// Returns the bytes to send under a fault; empty if none are sent.
std::string FormatFaultyResponse(BackendFault fault,
                                 const std::string& id,
                                 const std::string& body);

}  // namespace cassiastile::standin
