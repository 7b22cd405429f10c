#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace cassiastile::base {

// A position in a text file. Lines and columns start at one; zero means
// unknown.
struct TextPosition {
  std::string file;
  std::size_t line = 0;
  std::size_t column = 0;

  bool operator==(const TextPosition&) const = default;
};

// One error in an input: its position in the file, the path of the value in the
// document (such as pools[2].hosts[0].zone), and a message that says what is
// wrong and what would be valid.
struct Finding {
  TextPosition position;
  std::string path;
  std::string message;

  bool operator==(const Finding&) const = default;
};

using Findings = std::vector<Finding>;

// Formats a finding as FILE:LINE:COL: error: PATH: MESSAGE, without "PATH: " if
// the path is empty.
std::string FormatFinding(const Finding& finding);

// Formats one line per finding, sorted by file, line and column.
std::string FormatFindings(Findings findings);

}  // namespace cassiastile::base
