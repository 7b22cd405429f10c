#pragma once

#include <istream>
#include <string>

#include "cassiastile/base/error.hpp"

namespace cassiastile::config {

// Reads a stream to its end, or up to one byte more than kMaxDocumentBytes, so
// that an endless one ends in a finding about its size.
std::string ReadText(std::istream& stream);

// The same for a file. Fails when it can't be opened or read.
base::Result<std::string> ReadTextFile(const std::string& path);

}  // namespace cassiastile::config
