#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace cassiastile::base {

// One row of the table that maps an enumeration's values to names.
template <typename Enum>
struct EnumName {
  Enum value;
  std::string_view name;
};

// Returns the name of a value, or "?" if the table does not contain it.
template <typename Enum, std::size_t kSize>
constexpr std::string_view FindName(
    const std::array<EnumName<Enum>, kSize>& names,
    Enum value) {
  for (const auto& row : names) {
    if (row.value == value) {
      return row.name;
    }
  }
  return "?";
}

// Returns the value with a name, or nothing if no value has it.
template <typename Enum, std::size_t kSize>
constexpr std::optional<Enum> FindValue(
    const std::array<EnumName<Enum>, kSize>& names,
    std::string_view name) {
  for (const auto& row : names) {
    if (row.name == name) {
      return row.value;
    }
  }
  return std::nullopt;
}

}  // namespace cassiastile::base
