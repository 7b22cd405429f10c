#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace cassiastile::operators {

// Text in columns for people to read.
class Table {
 public:
  explicit Table(std::vector<std::string> header);

  // A row has as many cells as the header.
  void Add(std::vector<std::string> row);
  // One line for each row, columns aligned.
  std::string Format() const;

 private:
  std::vector<std::vector<std::string>> m_rows;
};

// The text with control characters shown as question marks, so that it can't
// steer a terminal. Line feeds stay where `multiline` is set.
std::string Printable(std::string_view text, bool multiline = false);

// Any JSON for people: scalars as `name: value`, lists of objects as tables,
// objects within objects under their name.
std::string FormatJson(const nlohmann::json& value);

// A scalar as it is shown in a cell; lists of scalars joined by commas.
std::string FormatCell(const nlohmann::json& value);

}  // namespace cassiastile::operators
