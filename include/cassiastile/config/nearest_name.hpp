#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace cassiastile::config {

// Returns the known name with the least edit distance, or an empty text when
// none is near enough to be a likely misspelling or `name` is over 64 bytes
// long. The result points into `known`.
std::string_view FindNearestName(std::string_view name,
                                 const std::vector<std::string>& known);

// Formats the nearest name as the end of a message, such as `; did you mean
// "zones"?`. Returns an empty text if there is none.
std::string FormatSuggestion(std::string_view name,
                             const std::vector<std::string>& known);

}  // namespace cassiastile::config
