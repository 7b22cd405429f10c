#pragma once

#include <cstddef>
#include <string_view>

namespace cassiastile::config {

// Moves forward through JSON text, whose syntax is checked elsewhere, and
// tracks the line and column. Both count from one, columns in characters, not
// bytes.
class TextCursor {
 public:
  explicit TextCursor(std::string_view text);

  std::size_t Offset() const { return m_offset; }
  std::size_t Line() const { return m_line; }
  std::size_t Column() const { return m_column; }

  // Moves forward to an offset; does nothing when the cursor is already past
  // it.
  void AdvanceTo(std::size_t offset);
  // Skips whitespace and comments; SkipToToken skips commas and colons as well.
  void SkipWhitespaceAndComments();
  void SkipToToken();
  // Skips the string, or the number or literal, at the cursor.
  void SkipString();
  void SkipScalar();
  // Skips one byte.
  void Step();

 private:
  bool AtEnd() const { return m_offset >= m_text.size(); }
  // Skips comments and the given characters.
  void SkipOver(std::string_view characters);
  bool StartsWith(std::string_view prefix) const;
  void SkipLineComment();
  void SkipBlockComment();

  std::string_view m_text;
  std::size_t m_offset = 0;
  std::size_t m_line = 1;
  std::size_t m_column = 1;
};

// Returns the offset of the first byte that is not valid UTF-8 text, or
// std::string_view::npos. Control characters other than tab, line feed and
// carriage return are invalid.
std::size_t FindInvalidText(std::string_view text);

}  // namespace cassiastile::config
