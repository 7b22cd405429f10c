#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cassiastile/standin/backend_fault.hpp"
#include "cassiastile/wire/http_types.hpp"

namespace cassiastile::standin {

// A request as the stand-in runner reads it.
struct Received {
  std::string method;
  std::string path;
  wire::HttpHeaders headers;
  std::string body;
};

// Takes the request line and the fields from the text before the body, whose
// lines each end in CRLF.
void ParseHeader(std::string_view text, Received& received);

// The number that the text begins with, and `absent` where there is none.
std::int64_t NumberOf(const std::optional<std::string>& text,
                      std::int64_t absent);

// The bytes of a whole answer.
std::string MakeAnswer(const std::string& id, const std::string& body);

// The bytes that are sent under a fault, and nothing where none are.
std::string MakeFaultyAnswer(BackendFault fault,
                             const std::string& id,
                             const std::string& body);

}  // namespace cassiastile::standin
