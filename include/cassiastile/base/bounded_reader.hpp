#pragma once

#include <bit>
#include <concepts>
#include <cstdint>
#include <cstring>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace cassiastile::base {

// Reads what cereal::PortableBinaryOutputArchive has written, and takes the
// same serialize functions. cereal's own reader allocates as much memory as a
// length in the input says, so that a few bytes from anywhere can end a
// process; this one checks each length against the bytes that are left. Throws
// std::runtime_error for an input that is too short.
class BoundedReader {
 public:
  explicit BoundedReader(std::string_view bytes) : m_bytes(bytes) {
    const auto is_little_endian = Read<std::uint8_t>();
    m_swaps =
        (is_little_endian != 0) != (std::endian::native == std::endian::little);
  }

  template <typename... Values>
  void operator()(Values&&... values) {
    (Load(values), ...);
  }

  // Whether bytes are left.
  bool HasMore() const { return !m_bytes.empty(); }

 private:
  std::string_view Take(std::size_t size) {
    if (size > m_bytes.size()) {
      throw std::runtime_error("the input ends too early");
    }
    const std::string_view taken = m_bytes.substr(0, size);
    m_bytes.remove_prefix(size);
    return taken;
  }

  template <typename Value>
  Value Read() {
    char raw[sizeof(Value)];
    std::memcpy(raw, Take(sizeof(Value)).data(), sizeof(Value));
    if (m_swaps) {
      for (std::size_t i = 0; i < sizeof(Value) / 2; ++i) {
        std::swap(raw[i], raw[sizeof(Value) - 1 - i]);
      }
    }
    Value value;
    std::memcpy(&value, raw, sizeof(Value));
    return value;
  }

  // The number of elements that follow, each of at least one byte.
  std::size_t ReadLength() {
    const auto length = Read<std::uint64_t>();
    if (length > m_bytes.size()) {
      throw std::runtime_error("a length exceeds the input");
    }
    return length;
  }

  void Load(bool& value) { value = Read<std::uint8_t>() != 0; }

  template <typename Value>
  requires std::is_arithmetic_v<Value>
  void Load(Value& value) { value = Read<Value>(); }

  template <typename Value>
  requires std::is_enum_v<Value>
  void Load(Value& value) {
    value = static_cast<Value>(Read<std::underlying_type_t<Value>>());
  }

  void Load(std::string& value) { value = std::string(Take(ReadLength())); }

  template <typename Value>
  void Load(std::vector<Value>& values) {
    const std::size_t length = ReadLength();
    values.clear();
    for (std::size_t i = 0; i < length; ++i) {
      Load(values.emplace_back());
    }
  }

  template <typename Key, typename Value>
  void Load(std::map<Key, Value>& values) {
    const std::size_t length = ReadLength();
    values.clear();
    for (std::size_t i = 0; i < length; ++i) {
      Key key;
      Load(key);
      Load(values[key]);
    }
  }

  template <typename Value>
  requires requires(Value& value, BoundedReader& reader) {
    value.serialize(reader);
  }
  void Load(Value& value) { value.serialize(*this); }

  std::string_view m_bytes;
  bool m_swaps = false;
};

}  // namespace cassiastile::base
