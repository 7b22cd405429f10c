#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace cassiastile::base {

// A position in a text file; lines and columns count from one, and zero means
// that the position is not known.
struct TextPosition {
  std::string file;
  std::size_t line = 0;
  std::size_t column = 0;

  bool operator==(const TextPosition&) const = default;
};

// One thing wrong with an input: where it stands, the path of the value within
// the document (such as pools[2].hosts[0].zone), what is wrong and what would
// be right.
struct Finding {
  TextPosition place;
  std::string path;
  std::string message;

  bool operator==(const Finding&) const = default;
};

using Findings = std::vector<Finding>;

// FILE:LINE:COL: error: PATH: MESSAGE
std::string FormatFinding(const Finding& finding);

// One line for each finding, in the order of their places.
std::string FormatFindings(Findings findings);

}  // namespace cassiastile::base
