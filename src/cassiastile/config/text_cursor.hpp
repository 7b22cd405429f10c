#pragma once

#include <cstddef>
#include <string_view>

namespace cassiastile::config {

// Walks forward through JSON text whose syntax another reader checks, and
// knows the line and column it stands at. Columns count characters.
class TextCursor {
 public:
  explicit TextCursor(std::string_view text);

  std::size_t Offset() const { return m_offset; }
  std::size_t Line() const { return m_line; }
  std::size_t Column() const { return m_column; }

  // Moves on to the given offset; does nothing when it lies behind.
  void AdvanceTo(std::size_t offset);
  // Skips blanks and comments, and with them commas and colons.
  void SkipToMark();
  void SkipToToken();
  // Skips the string, number or word that starts here.
  void SkipString();
  void SkipScalar();
  // Skips one character.
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

// The offset of the first byte that is not part of valid UTF-8 text, or
// std::string_view::npos. Control characters other than tab, line feed and
// carriage return count as invalid.
std::size_t FindInvalidText(std::string_view text);

}  // namespace cassiastile::config
