#include "cassiastile/base/findings.hpp"

#include <algorithm>
#include <tuple>

#include <fmt/format.h>

namespace cassiastile::base {

std::string FormatFinding(const Finding& finding) {
  const TextPosition& place = finding.place;
  if (finding.path.empty()) {
    return fmt::format("{}:{}:{}: error: {}", place.file, place.line,
                       place.column, finding.message);
  }
  return fmt::format("{}:{}:{}: error: {}: {}", place.file, place.line,
                     place.column, finding.path, finding.message);
}

std::string FormatFindings(Findings findings) {
  std::stable_sort(
      findings.begin(), findings.end(),
      [](const Finding& left, const Finding& right) {
        return std::tie(left.place.file, left.place.line, left.place.column) <
               std::tie(right.place.file, right.place.line, right.place.column);
      });
  std::string text;
  for (const Finding& finding : findings) {
    text += FormatFinding(finding);
    text += '\n';
  }
  return text;
}

}  // namespace cassiastile::base
