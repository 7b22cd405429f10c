#include "table.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace cassiastile::operators {

namespace {

constexpr std::string_view kColumnGap = "  ";
constexpr std::string_view kIndent = "  ";
constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7F;

// Counts the code points of UTF-8 text.
std::size_t Width(std::string_view text) {
  return static_cast<std::size_t>(
      std::count_if(text.begin(), text.end(), [](char character) {
        return (static_cast<unsigned char>(character) & 0xC0U) != 0x80U;
      }));
}

std::string Indent(const std::string& text) {
  std::string indented;
  std::size_t from = 0;
  while (from < text.size()) {
    const std::size_t end = std::min(text.find('\n', from), text.size() - 1);
    indented += kIndent;
    indented += text.substr(from, end + 1 - from);
    from = end + 1;
  }
  return indented;
}

bool IsListOfObjects(const nlohmann::json& value) {
  return value.is_array() && !value.empty() &&
         std::all_of(value.begin(), value.end(),
                     [](const auto& item) { return item.is_object(); });
}

// Collects the member names of all rows, in the order in which they first
// occur.
std::vector<std::string> ColumnsOf(const nlohmann::json& rows) {
  std::vector<std::string> columns;
  for (const auto& row : rows) {
    for (const auto& member : row.items()) {
      if (std::find(columns.begin(), columns.end(), member.key()) ==
          columns.end()) {
        columns.push_back(member.key());
      }
    }
  }
  return columns;
}

std::string FormatRows(const nlohmann::json& rows) {
  const std::vector<std::string> columns = ColumnsOf(rows);
  Table table(columns);
  for (const auto& row : rows) {
    std::vector<std::string> cells;
    cells.reserve(columns.size());
    for (const std::string& column : columns) {
      cells.push_back(row.contains(column) ? FormatCell(row.at(column)) : "-");
    }
    table.Add(std::move(cells));
  }
  return table.Format();
}

std::string FormatMember(const std::string& name, const nlohmann::json& value) {
  const std::string label = Printable(name);
  if (IsListOfObjects(value)) {
    return fmt::format("{}:\n{}", label, Indent(FormatRows(value)));
  }
  if (value.is_object() && !value.empty()) {
    return fmt::format("{}:\n{}", label, Indent(FormatJson(value)));
  }
  return fmt::format("{}: {}\n", label, FormatCell(value));
}

// Shows an object in a cell as its name, if it has one, otherwise as its
// members.
std::string FormatObject(const nlohmann::json& object) {
  for (const char* name : {"name", "host", "subject", "id"}) {
    if (object.contains(name)) {
      return FormatCell(object.at(name));
    }
  }
  std::string text;
  for (const auto& [name, value] : object.items()) {
    text += text.empty() ? "" : ", ";
    text += Printable(name) + " " + FormatCell(value);
  }
  return text;
}

// Shows the first items of a list and the number of further ones; --json shows
// all.
std::string FormatList(const nlohmann::json& list) {
  constexpr std::size_t kMaxItems = 6;
  std::string text;
  for (std::size_t i = 0; i < std::min(list.size(), kMaxItems); ++i) {
    text += text.empty() ? "" : ", ";
    text += FormatCell(list[i]);
  }
  if (list.size() > kMaxItems) {
    text += fmt::format(" and {} more", list.size() - kMaxItems);
  }
  return text;
}

}  // namespace

Table::Table(std::vector<std::string> header) {
  Add(std::move(header));
}

void Table::Add(std::vector<std::string> row) {
  for (std::string& cell : row) {
    cell = Printable(cell);
  }
  m_rows.push_back(std::move(row));
}

std::string Table::Format() const {
  std::vector<std::size_t> widths(m_rows.front().size(), 0);
  for (const auto& row : m_rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], Width(row[i]));
    }
  }
  std::string text;
  for (const auto& row : m_rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      text += i == 0 ? "" : kColumnGap;
      text += row[i];
      text.append(i + 1 < row.size() ? widths[i] - Width(row[i]) : 0, ' ');
    }
    text += '\n';
  }
  return text;
}

std::string Printable(std::string_view text, bool multiline) {
  std::string printable(text);
  for (char& character : printable) {
    const auto byte = static_cast<unsigned char>(character);
    const bool allowed = multiline && (character == '\n' || character == '\t');
    if ((byte < kFirstPrintable || byte == kDelete) && !allowed) {
      character = '?';
    }
  }
  return printable;
}

std::string FormatJson(const nlohmann::json& value) {
  if (IsListOfObjects(value)) {
    return FormatRows(value);
  }
  if (!value.is_object()) {
    return FormatCell(value) + "\n";
  }
  std::string text;
  for (const auto& member : value.items()) {
    text += FormatMember(member.key(), member.value());
  }
  return text;
}

std::string FormatCell(const nlohmann::json& value) {
  if (value.is_null() || (value.is_structured() && value.empty())) {
    return "-";
  }
  if (value.is_string()) {
    const auto text = Printable(value.get<std::string>());
    return text.empty() ? "-" : text;
  }
  if (value.is_boolean()) {
    return value.get<bool>() ? "yes" : "no";
  }
  if (value.is_array()) {
    return FormatList(value);
  }
  return value.is_object()
             ? FormatObject(value)
             : value.dump(-1, ' ', false,
                          nlohmann::json::error_handler_t::replace);
}

}  // namespace cassiastile::operators
