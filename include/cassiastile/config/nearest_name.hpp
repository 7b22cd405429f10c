#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace cassiastile::config {

// The name with the least edit distance, or nothing when none is near enough
// to be a likely misspelling.
std::string_view FindNearestName(std::string_view name,
                                 const std::vector<std::string>& known);

// A clause such as `; did you mean "zones"?`, or nothing.
std::string SuggestName(std::string_view name,
                        const std::vector<std::string>& known);

}  // namespace cassiastile::config
