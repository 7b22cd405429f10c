#include "text_cursor.hpp"

#include <cstdint>
#include <optional>

namespace cassiastile::config {

namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
constexpr std::string_view kWhitespace = " \t\r\n";
constexpr std::string_view kBetweenTokens = " \t\r\n,:";
constexpr std::string_view kEndOfScalar = " \t\r\n,:[]{}\"/";
constexpr std::uint32_t kContinuationMask = 0xC0;
constexpr std::uint32_t kContinuationBits = 0x80;
constexpr std::uint32_t kPayloadMask = 0x3F;
constexpr std::uint32_t kPayloadBits = 6;
constexpr std::uint32_t kFirstSurrogate = 0xD800;
constexpr std::uint32_t kLastSurrogate = 0xDFFF;
constexpr std::uint32_t kLastCodePoint = 0x10FFFF;
constexpr unsigned char kFirstPrintable = 0x20;

bool IsContinuation(char byte) {
  return (static_cast<unsigned char>(byte) & kContinuationMask) ==
         kContinuationBits;
}

bool IsForbiddenControl(char byte) {
  return static_cast<unsigned char>(byte) < kFirstPrintable && byte != '\t' &&
         byte != '\n' && byte != '\r';
}

// The lead byte of a UTF-8 sequence: the number of bytes that follow it, the
// bits of the code point that it carries, and the least code point that needs a
// sequence of this length.
struct LeadByte {
  std::size_t following;
  std::uint32_t bits;
  std::uint32_t least;
};

std::optional<LeadByte> ParseLeadByte(unsigned char byte) {
  if (byte < 0x80U) {
    return LeadByte{0, byte, 0};
  }
  if ((byte & 0xE0U) == 0xC0U) {
    return LeadByte{1, byte & 0x1FU, 0x80};
  }
  if ((byte & 0xF0U) == 0xE0U) {
    return LeadByte{2, byte & 0x0FU, 0x800};
  }
  if ((byte & 0xF8U) == 0xF0U) {
    return LeadByte{3, byte & 0x07U, 0x10000};
  }
  return std::nullopt;
}

// Returns the length in bytes of the UTF-8 character at the start of the text,
// or zero when it is invalid.
std::size_t CharacterLength(std::string_view text) {
  const auto lead_byte =
      ParseLeadByte(static_cast<unsigned char>(text.front()));
  if (!lead_byte || lead_byte->following >= text.size()) {
    return 0;
  }
  std::uint32_t code = lead_byte->bits;
  for (std::size_t i = 1; i <= lead_byte->following; ++i) {
    if (!IsContinuation(text[i])) {
      return 0;
    }
    code = (code << kPayloadBits) |
           (static_cast<unsigned char>(text[i]) & kPayloadMask);
  }
  const bool surrogate = code >= kFirstSurrogate && code <= kLastSurrogate;
  if (code < lead_byte->least || code > kLastCodePoint || surrogate) {
    return 0;
  }
  return lead_byte->following + 1;
}

}  // namespace

TextCursor::TextCursor(std::string_view text) : m_text(text) {
  if (text.substr(0, kByteOrderMark.size()) == kByteOrderMark) {
    m_offset = kByteOrderMark.size();
  }
}

void TextCursor::Step() {
  if (AtEnd()) {
    return;
  }
  const char byte = m_text[m_offset++];
  if (byte == '\n') {
    ++m_line;
    m_column = 1;
  } else if (!IsContinuation(byte)) {
    ++m_column;
  }
}

void TextCursor::AdvanceTo(std::size_t offset) {
  while (m_offset < offset && !AtEnd()) {
    Step();
  }
}

void TextCursor::SkipWhitespaceAndComments() {
  SkipOver(kWhitespace);
}

void TextCursor::SkipToToken() {
  SkipOver(kBetweenTokens);
}

void TextCursor::SkipString() {
  Step();
  while (!AtEnd() && m_text[m_offset] != '"') {
    if (m_text[m_offset] == '\\') {
      Step();
    }
    Step();
  }
  Step();
}

void TextCursor::SkipScalar() {
  while (!AtEnd() &&
         kEndOfScalar.find(m_text[m_offset]) == std::string_view::npos) {
    Step();
  }
}

void TextCursor::SkipOver(std::string_view characters) {
  while (!AtEnd()) {
    if (StartsWith("//")) {
      SkipLineComment();
    } else if (StartsWith("/*")) {
      SkipBlockComment();
    } else if (characters.find(m_text[m_offset]) != std::string_view::npos) {
      Step();
    } else {
      return;
    }
  }
}

bool TextCursor::StartsWith(std::string_view prefix) const {
  return m_text.substr(m_offset, prefix.size()) == prefix;
}

void TextCursor::SkipLineComment() {
  while (!AtEnd() && m_text[m_offset] != '\n') {
    Step();
  }
}

void TextCursor::SkipBlockComment() {
  const std::size_t close = m_text.find("*/", m_offset + 2);
  AdvanceTo(close == std::string_view::npos ? m_text.size() : close + 2);
}

std::size_t FindInvalidText(std::string_view text) {
  std::size_t offset = 0;
  while (offset < text.size()) {
    if (IsForbiddenControl(text[offset])) {
      return offset;
    }
    const std::size_t length = CharacterLength(text.substr(offset));
    if (length == 0) {
      return offset;
    }
    offset += length;
  }
  return std::string_view::npos;
}

}  // namespace cassiastile::config
