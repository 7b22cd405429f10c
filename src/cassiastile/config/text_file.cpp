#include "cassiastile/config/text_file.hpp"

#include <filesystem>
#include <fstream>
#include <system_error>

#include <fmt/format.h>

#include "cassiastile/config/placed_json.hpp"

namespace cassiastile::config {

std::string ReadText(std::istream& stream) {
  std::string text(kMaxDocumentBytes + 1, '\0');
  stream.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(stream.gcount()));
  return text;
}

base::Result<std::string> ReadTextFile(const std::string& path) {
  std::error_code error;
  if (std::filesystem::is_directory(path, error)) {
    return base::Fail(base::ErrorCode::kInvalid,
                      fmt::format("{} is a directory", path));
  }
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return base::Fail(base::ErrorCode::kNotFound,
                      fmt::format("{} can't be opened for reading", path));
  }
  return ReadText(file);
}

}  // namespace cassiastile::config
