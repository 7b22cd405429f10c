#pragma once

#include <string_view>

namespace cassiastile::base {

// The release that all programs of one build name with --version.
inline constexpr std::string_view kVersion = "0.1.0";

}  // namespace cassiastile::base
