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

// A JSON value that knows where it stands in the text. Integers beyond 64 bits
// are kept as floating-point numbers.
struct PositionedValue {
  std::variant<std::nullptr_t,
               bool,
               std::int64_t,
               double,
               std::string,
               PositionedList,
               PositionedObject>
      content;
  std::size_t line = 0;  // Of the first character; lines count from one.
  std::size_t column = 0;
  std::size_t begin = 0;  // Bytes from the start of the text.
  std::size_t end = 0;    // One past the last byte.
};

// A name and its value, in the order of the text.
struct PositionedMember {
  std::string name;
  std::size_t line = 0;  // Of the name.
  std::size_t column = 0;
  PositionedValue value;
};

// JSON with comments as it was read from a file.
struct PositionedDocument {
  std::string file;
  PositionedValue root;
  // Names that stand twice in one object. The first value is kept.
  base::Findings duplicates;
};

// Texts that are larger, nested deeper or made of more values are refused. The
// last bounds the memory, as each value takes up to 100 bytes or so.
constexpr std::size_t kMaxDocumentBytes = 8U << 20U;
constexpr std::size_t kMaxDocumentDepth = 64;
constexpr std::size_t kMaxDocumentValues = 200000;

// Parses JSON in which both kinds of C++ comments are ignored. Any text gives
// either a document or findings; syntax is read up to the first error.
tl::expected<PositionedDocument, base::Findings> ParsePositionedJson(
    std::string_view text,
    const std::string& file);

// The member of an object, or null when there is none or the value is not an
// object.
const PositionedMember* FindMember(const PositionedValue& value,
                                   std::string_view name);

// Where the value at a path such as pools[2].hosts[0].zone stands. Where the
// path leads nowhere, the place of its last part that exists.
base::TextPosition FindTextPosition(const PositionedDocument& document,
                                    std::string_view path);

// What kind of JSON value it is, in words such as "a number".
std::string_view KindOf(const PositionedValue& value);

}  // namespace cassiastile::config
