#pragma once

#include <string>

#include <msgpack.hpp>

namespace cassiastile::base {

// Unpacks a MessagePack document of another process. Fails, by an exception of
// the library, for one that is nested more than 16 deep, or whose lists are
// longer than its bytes: memory for them would be taken before the document is
// found to be too short.
inline msgpack::object_handle UnpackBounded(const std::string& bytes) {
  constexpr std::size_t kMaxDepth = 16;
  const std::size_t most = bytes.size();
  return msgpack::unpack(
      bytes.data(), bytes.size(), nullptr, nullptr,
      msgpack::unpack_limit(most, most, most, most, most, kMaxDepth));
}

}  // namespace cassiastile::base
