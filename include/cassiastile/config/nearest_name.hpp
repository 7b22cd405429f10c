#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace cassiastile::config {

// Returns the known name with the least edit distance, or an empty text when
// none is near enough to be a likely misspelling.
std::string_view FindNearestName(std::string_view name,
                                 const std::vector<std::string>& known);

// Returns a clause such as `; did you mean "zones"?`, or an empty text.
std::string SuggestName(std::string_view name,
                        const std::vector<std::string>& known);

}  // namespace cassiastile::config
