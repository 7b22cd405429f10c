#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "cassiastile/base/findings.hpp"
#include "cassiastile/config/positioned_json.hpp"

namespace cassiastile::config {

// The inclusive bounds of a number.
struct NumberRange {
  std::int64_t least = 0;
  std::int64_t greatest = std::numeric_limits<std::uint32_t>::max();
};

// At most this many findings are collected; one more then says that the rest
// are omitted.
constexpr std::size_t kMaxFindings = 1000;

// Adds a finding, unless kMaxFindings was reached.
void AddFinding(base::Findings& findings, base::Finding finding);

// Reads the fields of one object and collects findings about them. An invalid
// field is read as its default value. The document and the findings must
// outlive the reader.
class FieldReader {
 public:
  // Reads the object at `path`, which is empty for the root. Reports a value
  // that is not an object; all its fields then count as absent.
  FieldReader(const PositionedDocument& document,
              const PositionedValue& value,
              std::string path,
              base::Findings& findings);

  // Reads a required text that must not be empty.
  std::string Text(std::string_view name);
  std::string Text(std::string_view name, std::string_view default_value);
  // Reads a required name: up to 63 letters, digits, dots, dashes and
  // underscores, starting with a letter or digit. Another text is reported, but
  // returned as it is.
  std::string Name(std::string_view name);
  bool Flag(std::string_view name, bool default_value);
  // Reads an optional integer.
  std::int64_t Number(std::string_view name,
                      NumberRange range,
                      std::int64_t default_value);
  // Reads a required integer. An invalid or absent one is read as the least of
  // the range.
  std::int64_t RequiredNumber(std::string_view name, NumberRange range);
  // Reads an optional list of texts. An item that is not text is reported and
  // read as empty.
  std::vector<std::string> TextList(std::string_view name);

  // Calls `read` with a reader for each object of a list. An absent list is a
  // finding if it is required.
  void ForEach(std::string_view name,
               bool required,
               const std::function<void(FieldReader&)>& read);

  // Adds a finding about a field of this object.
  void Report(std::string_view name, std::string message);

  // Adds a finding for each field that was never read, with the nearest known
  // name as a suggestion.
  void ReportUnknownFields();

 private:
  const PositionedValue* Find(std::string_view name);
  const PositionedValue* Require(std::string_view name);
  std::string PathOf(std::string_view name) const;
  std::int64_t ReadNumber(std::string_view name,
                          const PositionedValue& value,
                          NumberRange range,
                          std::int64_t default_value);
  void ReportWrongKind(std::string_view name,
                       const PositionedValue& value,
                       std::string_view wanted);

  const PositionedDocument& m_document;
  const PositionedValue& m_value;
  std::string m_path;
  base::Findings& m_findings;
  std::vector<std::string> m_known_fields;
};

}  // namespace cassiastile::config
