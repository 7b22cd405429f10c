#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace cassiastile::operators {

// Formats rows of text as aligned columns.
class Table {
 public:
  explicit Table(std::vector<std::string> header);

  // Adds a row, which must have as many cells as the header.
  void Add(std::vector<std::string> row);
  // Returns the header and the rows, one line each.
  std::string Format() const;

 private:
  std::vector<std::vector<std::string>> m_rows;
};

// Replaces control characters by question marks, so that text from a server or
// a file can't send escape sequences to the terminal. Line feeds and tabs stay
// if `multiline` is set.
std::string Printable(std::string_view text, bool multiline = false);

// Formats JSON as plain text: scalars as `name: value`, lists of objects as
// tables, and nested objects indented under their name.
std::string FormatJson(const nlohmann::json& value);

// Formats a value for one table cell. Lists are joined by commas and cut after
// six items; null and empty values are shown as "-".
std::string FormatCell(const nlohmann::json& value);

}  // namespace cassiastile::operators
