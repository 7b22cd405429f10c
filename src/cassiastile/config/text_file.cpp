#include "cassiastile/config/text_file.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <system_error>

#include <fmt/format.h>

#include "cassiastile/config/positioned_json.hpp"

namespace cassiastile::config {

namespace {

constexpr std::size_t kChunkBytes = 64U << 10U;

}  // namespace

std::string ReadText(std::istream& stream) {
  std::string text;
  while (stream && text.size() <= kMaxDocumentBytes) {
    const std::size_t size = text.size();
    const std::size_t wanted =
        std::min(kChunkBytes, kMaxDocumentBytes + 1 - size);
    text.resize(size + wanted);
    stream.read(text.data() + size, static_cast<std::streamsize>(wanted));
    text.resize(size + static_cast<std::size_t>(stream.gcount()));
  }
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
