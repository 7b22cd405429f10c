#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

#include <cereal/cereal.hpp>

namespace cassiastile::member {

// The maximum length of a short text in bytes; longer texts are truncated.
inline constexpr std::size_t kMaxShortTextBytes = 255;

// Writes a text with a one-byte length, so that a corrupt length can't make the
// reader allocate much memory.
template <typename Archive>
void SaveShortText(Archive& archive, const std::string& text) {
  const std::size_t size = std::min(text.size(), kMaxShortTextBytes);
  archive(static_cast<std::uint8_t>(size));
  archive(cereal::binary_data(text.data(), size));
}

// Reads what SaveShortText wrote; throws cereal::Exception if the data is
// truncated.
template <typename Archive>
std::string LoadShortText(Archive& archive) {
  std::uint8_t size = 0;
  archive(size);
  std::string text(size, '\0');
  archive(cereal::binary_data(text.data(), text.size()));
  return text;
}

}  // namespace cassiastile::member
