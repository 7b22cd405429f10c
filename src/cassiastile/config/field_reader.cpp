#include "cassiastile/config/field_reader.hpp"

#include <algorithm>
#include <cctype>
#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "cassiastile/config/nearest_name.hpp"

namespace cassiastile::config {

namespace {

constexpr std::size_t kMaxQuotedNameBytes = 64;
constexpr std::size_t kMaxNameLength = 63;

// Cuts a name to the length shown in messages, without splitting a UTF-8
// character.
std::string_view TruncateName(std::string_view name) {
  std::size_t length = std::min(name.size(), kMaxQuotedNameBytes);
  while (length < name.size() && length > 0 &&
         (static_cast<unsigned char>(name[length]) & 0xC0U) == 0x80U) {
    --length;
  }
  return name.substr(0, length);
}

bool IsNameCharacter(char character) {
  const auto byte = static_cast<unsigned char>(character);
  return std::isalnum(byte) != 0 || character == '.' || character == '-' ||
         character == '_';
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::isalnum(static_cast<unsigned char>(text.front())) != 0 &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

}  // namespace

void AddFinding(base::Findings& findings, base::Finding finding) {
  if (findings.size() == kMaxFindings) {
    finding.path.clear();
    finding.message =
        fmt::format("further findings are omitted; only the first {} are shown",
                    kMaxFindings);
  }
  if (findings.size() <= kMaxFindings) {
    findings.push_back(std::move(finding));
  }
}

FieldReader::FieldReader(const PositionedDocument& document,
                         const PositionedValue& value,
                         std::string path,
                         base::Findings& findings)
    : m_document(document),
      m_value(value),
      m_path(std::move(path)),
      m_findings(findings) {
  if (!std::holds_alternative<PositionedObject>(value.content)) {
    AddFinding(m_findings, {{m_document.file, value.line, value.column},
                            m_path,
                            fmt::format("is {}, but must be an object",
                                        DescribeKind(value))});
  }
}

std::string FieldReader::Text(std::string_view name) {
  const PositionedValue* value = Require(name);
  if (value == nullptr) {
    return "";
  }
  const auto* text = std::get_if<std::string>(&value->content);
  if (text == nullptr) {
    ReportWrongKind(name, *value, "text");
    return "";
  }
  if (text->empty()) {
    Report(name, "is empty, but must be given");
  }
  return *text;
}

std::string FieldReader::Text(std::string_view name,
                              std::string_view default_value) {
  const PositionedValue* value = Find(name);
  if (value == nullptr) {
    return std::string(default_value);
  }
  const auto* text = std::get_if<std::string>(&value->content);
  if (text == nullptr) {
    ReportWrongKind(name, *value, "text");
    return std::string(default_value);
  }
  return *text;
}

std::string FieldReader::Name(std::string_view name) {
  std::string text = Text(name);
  if (!text.empty() && !IsName(text)) {
    Report(name,
           fmt::format("must be a name: up to {} letters, digits, dots, dashes "
                       "and underscores, starting with a letter or digit",
                       kMaxNameLength));
  }
  return text;
}

bool FieldReader::Flag(std::string_view name, bool default_value) {
  const PositionedValue* value = Find(name);
  if (value == nullptr) {
    return default_value;
  }
  const auto* flag = std::get_if<bool>(&value->content);
  if (flag == nullptr) {
    ReportWrongKind(name, *value, "true or false");
    return default_value;
  }
  return *flag;
}

std::int64_t FieldReader::Number(std::string_view name,
                                 NumberRange range,
                                 std::int64_t default_value) {
  const PositionedValue* value = Find(name);
  return value == nullptr ? default_value
                          : ReadNumber(name, *value, range, default_value);
}

std::int64_t FieldReader::RequiredNumber(std::string_view name,
                                         NumberRange range) {
  const PositionedValue* value = Require(name);
  return value == nullptr ? range.least
                          : ReadNumber(name, *value, range, range.least);
}

std::int64_t FieldReader::ReadNumber(std::string_view name,
                                     const PositionedValue& value,
                                     NumberRange range,
                                     std::int64_t default_value) {
  const auto* number = std::get_if<std::int64_t>(&value.content);
  if (number == nullptr) {
    ReportWrongKind(name, value,
                    fmt::format("a whole number from {} to {}", range.least,
                                range.greatest));
    return default_value;
  }
  if (*number < range.least || *number > range.greatest) {
    Report(name, fmt::format("is {}, but must be from {} to {}", *number,
                             range.least, range.greatest));
    return default_value;
  }
  return *number;
}

std::vector<std::string> FieldReader::TextList(std::string_view name) {
  const PositionedValue* value = Find(name);
  if (value == nullptr) {
    return {};
  }
  const auto* list = std::get_if<PositionedList>(&value->content);
  if (list == nullptr) {
    ReportWrongKind(name, *value, "a list of text");
    return {};
  }
  std::vector<std::string> texts;
  for (std::size_t i = 0; i < list->size(); ++i) {
    const PositionedValue& item = (*list)[i];
    const auto* text = std::get_if<std::string>(&item.content);
    if (text == nullptr) {
      ReportWrongKind(fmt::format("{}[{}]", name, i), item, "text");
    }
    texts.push_back(text == nullptr ? "" : *text);
  }
  return texts;
}

void FieldReader::ForEach(std::string_view name,
                          bool required,
                          const std::function<void(FieldReader&)>& read) {
  const PositionedValue* value = required ? Require(name) : Find(name);
  if (value == nullptr) {
    return;
  }
  const auto* list = std::get_if<PositionedList>(&value->content);
  if (list == nullptr) {
    ReportWrongKind(name, *value, "a list of objects");
    return;
  }
  for (std::size_t i = 0; i < list->size(); ++i) {
    FieldReader reader(m_document, (*list)[i],
                       fmt::format("{}[{}]", PathOf(name), i), m_findings);
    read(reader);
    reader.ReportUnknownFields();
  }
}

void FieldReader::Report(std::string_view name, std::string message) {
  const std::string path = PathOf(name);
  AddFinding(m_findings,
             {FindTextPosition(m_document, path), path, std::move(message)});
}

void FieldReader::ReportUnknownFields() {
  const auto* object = std::get_if<PositionedObject>(&m_value.content);
  if (object == nullptr) {
    return;
  }
  for (const PositionedMember& member : *object) {
    if (m_findings.size() > kMaxFindings) {
      return;
    }
    if (std::find(m_known_fields.begin(), m_known_fields.end(), member.name) !=
        m_known_fields.end()) {
      continue;
    }
    const std::string suggestion =
        FormatSuggestion(member.name, m_known_fields);
    AddFinding(m_findings,
               {{m_document.file, member.line, member.column},
                PathOf(TruncateName(member.name)),
                suggestion.empty()
                    ? fmt::format("is not a known field; known are {}",
                                  fmt::join(m_known_fields, ", "))
                    : fmt::format("is not a known field{}", suggestion)});
  }
}

const PositionedValue* FieldReader::Find(std::string_view name) {
  if (std::find(m_known_fields.begin(), m_known_fields.end(), name) ==
      m_known_fields.end()) {
    m_known_fields.emplace_back(name);
  }
  const PositionedMember* member = FindMember(m_value, name);
  return member == nullptr ? nullptr : &member->value;
}

const PositionedValue* FieldReader::Require(std::string_view name) {
  const PositionedValue* value = Find(name);
  if (value == nullptr &&
      std::holds_alternative<PositionedObject>(m_value.content)) {
    Report(name, "is missing, but must be given");
  }
  return value;
}

std::string FieldReader::PathOf(std::string_view name) const {
  return m_path.empty() ? std::string(name)
                        : fmt::format("{}.{}", m_path, name);
}

void FieldReader::ReportWrongKind(std::string_view name,
                                  const PositionedValue& value,
                                  std::string_view wanted) {
  Report(name,
         fmt::format("is {}, but must be {}", DescribeKind(value), wanted));
}

}  // namespace cassiastile::config
