#include "cassiastile/config/list_edit.hpp"

#include <utility>

#include <fmt/format.h>

#include "cassiastile/config/positioned_json.hpp"
#include "text_cursor.hpp"

namespace cassiastile::config {

namespace {

constexpr std::string_view kWhitespace = " \t\r\n";
constexpr std::string_view kItemIndent = "    ";
constexpr std::string_view kListIndent = "  ";

base::Result<PositionedList> ParseList(std::string_view text) {
  auto document = ParsePositionedJson(text, "list");
  if (!document) {
    return base::Fail(base::ErrorCode::kInvalid,
                      base::FormatFinding(document.error().front()));
  }
  auto* list = std::get_if<PositionedList>(&document->root.content);
  if (list == nullptr) {
    return base::Fail(base::ErrorCode::kInvalid, "the text is not a list");
  }
  return std::move(*list);
}

// Returns the offset of the comma after an item.
std::size_t FindComma(std::string_view text, std::size_t item_end) {
  TextCursor cursor(text);
  cursor.AdvanceTo(item_end);
  cursor.SkipWhitespaceAndComments();
  return cursor.Offset();
}

// Removes a range of the text, and the whole line if nothing else is on it.
std::string Cut(std::string text, std::size_t begin, std::size_t end) {
  const std::size_t line = text.rfind('\n', begin);
  const std::size_t next = text.find_first_not_of(" \t\r", end);
  const bool blank_before = line != std::string::npos &&
                            text.find_first_not_of(kWhitespace, line) >= begin;
  const bool blank_after = next != std::string::npos && text[next] == '\n';
  if (blank_before && blank_after) {
    begin = line;
    end = next;
  }
  return text.erase(begin, end - begin);
}

}  // namespace

base::Result<std::string> AppendItem(std::string_view list,
                                     std::string_view item) {
  const auto items = ParseList(list);
  if (!items) {
    return tl::make_unexpected(items.error());
  }
  const std::size_t bracket = list.rfind(']');
  std::string text(list.substr(0, bracket));
  text.erase(text.find_last_not_of(kWhitespace) + 1);
  if (!items->empty()) {
    text.insert(items->back().end, 1, ',');
  }
  return fmt::format("{}\n{}{}\n{}{}", text, kItemIndent, item, kListIndent,
                     list.substr(bracket));
}

base::Result<std::string> RemoveItem(std::string_view list, std::size_t index) {
  const auto items = ParseList(list);
  if (!items) {
    return tl::make_unexpected(items.error());
  }
  if (index >= items->size()) {
    return base::Fail(base::ErrorCode::kNotFound,
                      "the list has no item at this index");
  }
  const PositionedValue& item = (*items)[index];
  std::string text(list);
  if (index + 1 < items->size()) {
    const std::size_t comma = FindComma(list, item.end);
    text.erase(comma, 1);
    return Cut(std::move(text), item.begin, item.end);
  }
  text = Cut(std::move(text), item.begin, item.end);
  if (index > 0) {
    text.erase(FindComma(list, (*items)[index - 1].end), 1);
  }
  return text;
}

}  // namespace cassiastile::config
