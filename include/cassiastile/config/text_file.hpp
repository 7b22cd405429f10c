#pragma once

#include <istream>
#include <string>

#include "cassiastile/base/error.hpp"

namespace cassiastile::config {

// Reads a stream to its end, but at most one byte more than kMaxDocumentBytes.
// The extra byte makes the parser reject an endless stream by its size.
std::string ReadText(std::istream& stream);

// Reads a file in the same way. Fails with kInvalid when it is a directory and
// with kNotFound when it can't be opened.
base::Result<std::string> ReadTextFile(const std::string& path);

}  // namespace cassiastile::config
