#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <tl/expected.hpp>

#include "cassiastile/base/findings.hpp"

namespace cassiastile::config {

struct PositionedMember;
struct PositionedValue;

using PositionedList = std::vector<PositionedValue>;
using PositionedObject = std::vector<PositionedMember>;

// A JSON value with its position in the text. Integers that don't fit into a
// signed 64-bit number are kept as floating-point numbers.
struct PositionedValue {
  std::variant<std::nullptr_t,
               bool,
               std::int64_t,
               double,
               std::string,
               PositionedList,
               PositionedObject>
      content;
  std::size_t line = 0;  // Of the first character; counted from one.
  std::size_t column = 0;
  std::size_t begin = 0;  // Bytes from the start of the text.
  std::size_t end = 0;    // One past the last byte.
};

// A member of an object. Members keep the order of the text.
struct PositionedMember {
  std::string name;
  std::size_t line = 0;  // Of the name.
  std::size_t column = 0;
  PositionedValue value;
};

// A parsed file of JSON with comments.
struct PositionedDocument {
  std::string file;
  PositionedValue root;
  // One finding for each name that occurs twice in one object, at most 1000.
  // The first value is kept.
  base::Findings duplicates;
};

// Texts beyond any of these limits are rejected. The number of values bounds
// the memory, as each value takes up to about 100 bytes.
constexpr std::size_t kMaxDocumentBytes = 8U << 20U;
constexpr std::size_t kMaxDocumentDepth = 64;
constexpr std::size_t kMaxDocumentValues = 200000;

// Parses JSON with C and C++ comments. Any text gives either a document or
// findings; parsing stops at the first syntax error.
tl::expected<PositionedDocument, base::Findings> ParsePositionedJson(
    std::string_view text,
    const std::string& file);

// Returns the member of an object, or null when there is none or the value is
// not an object.
const PositionedMember* FindMember(const PositionedValue& value,
                                   std::string_view name);

// Returns the position of the value at a path such as pools[2].hosts[0].zone.
// If the path doesn't exist, returns the position of its last part that does.
base::TextPosition FindTextPosition(const PositionedDocument& document,
                                    std::string_view path);

// Names the JSON type of a value in words, such as "a number".
std::string_view DescribeKind(const PositionedValue& value);

}  // namespace cassiastile::config
