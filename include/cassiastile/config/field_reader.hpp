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

// The least and the greatest value that a number may have.
struct NumberRange {
  std::int64_t least = 0;
  std::int64_t greatest = std::numeric_limits<std::uint32_t>::max();
};

// Once so many findings are collected the rest are left out, and the last one
// says so.
constexpr std::size_t kMaxFindings = 1000;

// Adds a finding unless there are too many.
void AddFinding(base::Findings& findings, base::Finding finding);

// Reads the fields of one object and collects what is wrong with them. A field
// with a fault is read as its default. The document and the findings must
// outlive the reader.
class FieldReader {
 public:
  // A value that is not an object is a finding; all its fields are then absent.
  FieldReader(const PositionedDocument& document,
              const PositionedValue& value,
              std::string path,
              base::Findings& findings);

  // Text that must be there and not be empty.
  std::string Text(std::string_view name);
  std::string Text(std::string_view name, std::string_view absent);
  // Text that names something: up to 63 letters, digits, dots, dashes and
  // underscores, starting with a letter or digit.
  std::string Name(std::string_view name);
  bool Flag(std::string_view name, bool absent);
  // A whole number with a default.
  std::int64_t Number(std::string_view name,
                      NumberRange range,
                      std::int64_t absent);
  // A whole number that must be there; a fault is read as the least one.
  std::int64_t RequiredNumber(std::string_view name, NumberRange range);
  std::vector<std::string> TextList(std::string_view name);

  // Calls `read` with a reader for each object of a list. A list that must be
  // there and is not is a finding.
  void ForEach(std::string_view name,
               bool required,
               const std::function<void(FieldReader&)>& read);

  // Adds a finding about a field of this object.
  void Report(std::string_view name, std::string message);

  // Adds a finding for each field that was never asked for, with the nearest
  // known name.
  void ReportUnknownFields();

 private:
  const PositionedValue* Find(std::string_view name);
  const PositionedValue* Require(std::string_view name);
  std::string PathOf(std::string_view name) const;
  std::int64_t ReadNumber(std::string_view name,
                          const PositionedValue& value,
                          NumberRange range,
                          std::int64_t fallback);
  void ReportKind(std::string_view name,
                  const PositionedValue& value,
                  std::string_view wanted);

  const PositionedDocument& m_document;
  const PositionedValue& m_value;
  std::string m_path;
  base::Findings& m_findings;
  std::vector<std::string> m_known;
};

}  // namespace cassiastile::config
