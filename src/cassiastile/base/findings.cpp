#include "cassiastile/base/findings.hpp"

#include <algorithm>
#include <tuple>

#include <fmt/format.h>

namespace cassiastile::base {

std::string FormatFinding(const Finding& finding) {
  const TextPosition& position = finding.position;
  if (finding.path.empty()) {
    return fmt::format("{}:{}:{}: error: {}", position.file, position.line,
                       position.column, finding.message);
  }
  return fmt::format("{}:{}:{}: error: {}: {}", position.file, position.line,
                     position.column, finding.path, finding.message);
}

std::string FormatFindings(Findings findings) {
  std::stable_sort(findings.begin(), findings.end(),
                   [](const Finding& left, const Finding& right) {
                     return std::tie(left.position.file, left.position.line,
                                     left.position.column) <
                            std::tie(right.position.file, right.position.line,
                                     right.position.column);
                   });
  std::string text;
  for (const Finding& finding : findings) {
    text += FormatFinding(finding);
    text += '\n';
  }
  return text;
}

}  // namespace cassiastile::base
