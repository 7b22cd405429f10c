#pragma once

#include <string_view>

namespace cassiastile::base {

// The version that daemons print with --version; cassiactl.cpp has its own
// copy.
inline constexpr std::string_view kVersion = "0.1.0";

}  // namespace cassiastile::base
