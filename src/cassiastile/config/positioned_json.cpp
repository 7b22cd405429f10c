#include "cassiastile/config/positioned_json.hpp"

#include <algorithm>
#include <charconv>
#include <limits>
#include <unordered_set>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "text_cursor.hpp"

namespace cassiastile::config {

namespace {

// At most this many duplicate names are reported.
constexpr std::size_t kMaxDuplicates = 1000;

// A list or object that is being parsed and not yet closed.
struct Frame {
  PositionedValue value;
  PositionedMember member;  // In an object, the member being read.
  std::unordered_set<std::string> names;
  bool is_duplicate = false;  // Whether the object had this name already.
};

// Builds positioned values from the parser's events. The parser doesn't report
// positions, so a cursor follows it token by token.
class Builder {
 public:
  Builder(std::string_view text, const std::string& file)
      : m_text(text), m_cursor(text) {
    m_document.file = file;
  }

  bool null() { return AddScalar(nullptr); }
  bool boolean(bool value) { return AddScalar(value); }
  bool number_integer(std::int64_t value) { return AddScalar(value); }
  bool number_unsigned(std::uint64_t value) {
    if (value >
        static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
      return AddScalar(static_cast<double>(value));
    }
    return AddScalar(static_cast<std::int64_t>(value));
  }
  bool number_float(double value, const std::string& /*text*/) {
    return AddScalar(value);
  }
  bool string(std::string& value) {
    PositionedValue positioned = StartValue(std::move(value));
    m_cursor.SkipString();
    return Finish(std::move(positioned));
  }
  bool binary(nlohmann::json::binary_t& /*value*/) { return false; }

  bool start_object(std::size_t /*size*/) { return Open(PositionedObject{}); }
  bool end_object() { return Close(); }
  bool start_array(std::size_t /*size*/) { return Open(PositionedList{}); }
  bool end_array() { return Close(); }

  bool key(std::string& name) {
    m_cursor.SkipToToken();
    Frame& frame = m_open.back();
    frame.is_duplicate = !frame.names.insert(name).second;
    frame.member =
        PositionedMember{name, m_cursor.Line(), m_cursor.Column(), {}};
    if (frame.is_duplicate && m_document.duplicates.size() < kMaxDuplicates) {
      m_document.duplicates.push_back(
          FindingHere("the name occurs twice in this object; keep one"));
    }
    m_cursor.SkipString();
    return true;
  }

  bool parse_error(std::size_t position,
                   const std::string& /*token*/,
                   const nlohmann::json::exception& error) {
    m_cursor.AdvanceTo(position == 0 ? 0 : position - 1);
    const std::string_view what = error.what();
    const std::size_t start = what.find(": ");
    const std::string_view sentence =
        start == std::string_view::npos ? what : what.substr(start + 2);
    m_errors.push_back(FindingHere(std::string(sentence)));
    m_errors.back().path.clear();
    return false;
  }

  tl::expected<PositionedDocument, base::Findings> Take() {
    if (!m_errors.empty()) {
      return tl::make_unexpected(std::move(m_errors));
    }
    return std::move(m_document);
  }

 private:
  template <typename Content>
  PositionedValue StartValue(Content content) {
    m_cursor.SkipToToken();
    PositionedValue value;
    value.content = std::move(content);
    value.line = m_cursor.Line();
    value.column = m_cursor.Column();
    value.begin = m_cursor.Offset();
    return value;
  }

  template <typename Content>
  bool AddScalar(Content content) {
    PositionedValue value = StartValue(content);
    m_cursor.SkipScalar();
    return Finish(std::move(value));
  }

  template <typename Content>
  bool Open(Content content) {
    PositionedValue value = StartValue(std::move(content));
    if (m_open.size() >= kMaxDocumentDepth) {
      m_errors.push_back(FindingHere(fmt::format(
          "is nested deeper than the {} levels allowed", kMaxDocumentDepth)));
      return false;
    }
    m_cursor.Step();
    m_open.push_back(Frame{std::move(value), {}, {}, false});
    return true;
  }

  bool Close() {
    m_cursor.SkipToToken();
    m_cursor.Step();
    PositionedValue value = std::move(m_open.back().value);
    m_open.pop_back();
    return Finish(std::move(value));
  }

  // Ends a value at the cursor and adds it to its parent, or makes it the root.
  bool Finish(PositionedValue value) {
    value.end = m_cursor.Offset();
    if (++m_values > kMaxDocumentValues) {
      m_errors.push_back(FindingHere(
          fmt::format("the text holds more than the {} values allowed",
                      kMaxDocumentValues)));
      return false;
    }
    if (m_open.empty()) {
      m_document.root = std::move(value);
      return true;
    }
    Frame& frame = m_open.back();
    if (auto* list = std::get_if<PositionedList>(&frame.value.content)) {
      list->push_back(std::move(value));
    } else if (!frame.is_duplicate) {
      frame.member.value = std::move(value);
      std::get<PositionedObject>(frame.value.content)
          .push_back(std::move(frame.member));
    }
    return true;
  }

  base::Finding FindingHere(std::string message) const {
    return {{m_document.file, m_cursor.Line(), m_cursor.Column()},
            OpenPath(),
            std::move(message)};
  }

  // Returns the path of the value being parsed.
  std::string OpenPath() const {
    std::string path;
    for (const Frame& frame : m_open) {
      if (const auto* list =
              std::get_if<PositionedList>(&frame.value.content)) {
        path += fmt::format("[{}]", list->size());
      } else {
        path += path.empty() ? "" : ".";
        path += frame.member.name;
      }
    }
    return path;
  }

  std::string_view m_text;
  TextCursor m_cursor;
  std::vector<Frame> m_open;
  PositionedDocument m_document;
  base::Findings m_errors;
  std::size_t m_values = 0;
};

tl::unexpected<base::Findings> MakeTextFinding(std::string_view text,
                                               const std::string& file,
                                               std::size_t offset,
                                               std::string message) {
  TextCursor cursor(text);
  cursor.AdvanceTo(offset);
  return tl::make_unexpected(base::Findings{
      {{file, cursor.Line(), cursor.Column()}, "", std::move(message)}});
}

// Returns the child that the first part of the path names, or null. Removes
// that part from the path.
const PositionedValue* StepInto(const PositionedValue& value,
                                std::string_view& path) {
  if (path.front() == '[') {
    const std::size_t close = path.find(']');
    std::size_t index = 0;
    std::from_chars(path.data() + 1, path.data() + path.size(), index);
    path.remove_prefix(std::min(path.size(), close + 1));
    const auto* list = std::get_if<PositionedList>(&value.content);
    return list == nullptr || index >= list->size() ? nullptr : &(*list)[index];
  }
  path.remove_prefix(path.front() == '.' ? 1 : 0);
  const std::size_t end = std::min(path.find_first_of(".["), path.size());
  const PositionedMember* member = FindMember(value, path.substr(0, end));
  path.remove_prefix(end);
  return member == nullptr ? nullptr : &member->value;
}

}  // namespace

tl::expected<PositionedDocument, base::Findings> ParsePositionedJson(
    std::string_view text,
    const std::string& file) {
  if (text.size() > kMaxDocumentBytes) {
    return MakeTextFinding(
        text, file, 0,
        fmt::format("the text has {} bytes; at most {} are read", text.size(),
                    kMaxDocumentBytes));
  }
  const std::size_t invalid = FindInvalidText(text);
  if (invalid != std::string_view::npos) {
    return MakeTextFinding(text, file, invalid,
                           "the text is not valid UTF-8 here; save it as UTF-8 "
                           "without control characters");
  }
  Builder builder(text, file);
  nlohmann::json::sax_parse(text.begin(), text.end(), &builder,
                            nlohmann::json::input_format_t::json, true, true);
  return builder.Take();
}

const PositionedMember* FindMember(const PositionedValue& value,
                                   std::string_view name) {
  const auto* object = std::get_if<PositionedObject>(&value.content);
  if (object == nullptr) {
    return nullptr;
  }
  const auto found = std::find_if(
      object->begin(), object->end(),
      [name](const PositionedMember& member) { return member.name == name; });
  return found == object->end() ? nullptr : &*found;
}

base::TextPosition FindTextPosition(const PositionedDocument& document,
                                    std::string_view path) {
  const PositionedValue* value = &document.root;
  while (!path.empty()) {
    const PositionedValue* next = StepInto(*value, path);
    if (next == nullptr) {
      break;
    }
    value = next;
  }
  return {document.file, value->line, value->column};
}

std::string_view DescribeKind(const PositionedValue& value) {
  constexpr std::string_view kKinds[] = {
      "null", "true or false", "a whole number", "a number",
      "text", "a list",        "an object"};
  return kKinds[value.content.index()];
}

}  // namespace cassiastile::config
