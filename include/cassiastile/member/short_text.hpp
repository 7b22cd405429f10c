#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

#include <cereal/cereal.hpp>

namespace cassiastile::member {

// The most bytes that a short text holds; longer ones are cut.
inline constexpr std::size_t kMaxShortTextBytes = 255;

// Writes a text with a length of one byte, so that a bad length can't make the
// reader take much memory.
template <typename Archive>
void SaveShortText(Archive& archive, const std::string& text) {
  const std::size_t size = std::min(text.size(), kMaxShortTextBytes);
  archive(static_cast<std::uint8_t>(size));
  archive(cereal::binary_data(text.data(), size));
}

// Reads what SaveShortText wrote; throws cereal::Exception when it is cut.
template <typename Archive>
std::string LoadShortText(Archive& archive) {
  std::uint8_t size = 0;
  archive(size);
  std::string text(size, '\0');
  archive(cereal::binary_data(text.data(), text.size()));
  return text;
}

}  // namespace cassiastile::member
