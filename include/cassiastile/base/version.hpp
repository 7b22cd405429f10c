#pragma once

#include <string_view>

namespace cassiastile::base {

// The version that every program prints with --version.
inline constexpr std::string_view kVersion = "0.1.0";

}  // namespace cassiastile::base
