#include "cassiastile/config/nearest_name.hpp"

#include <algorithm>
#include <numeric>

#include <fmt/format.h>

namespace cassiastile::config {

namespace {

// Longer names are not compared and longer candidates are cut to this length,
// as the cost grows with the square of the length.
constexpr std::size_t kMaxComparedBytes = 64;

std::size_t EditDistance(std::string_view left, std::string_view right) {
  std::vector<std::size_t> row(right.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 0; i < left.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < right.size(); ++j) {
      const std::size_t replaced = diagonal + (left[i] == right[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({replaced, row[j] + 1, diagonal + 1});
    }
  }
  return row.back();
}

}  // namespace

std::string_view FindNearestName(std::string_view name,
                                 const std::vector<std::string>& known) {
  if (name.size() > kMaxComparedBytes) {
    return {};
  }
  std::string_view nearest;
  // A likely misspelling differs in at most half of its bytes, or in two.
  std::size_t least = std::max<std::size_t>(2, name.size() / 2) + 1;
  for (const std::string& candidate : known) {
    const std::size_t distance = EditDistance(
        name, std::string_view(candidate).substr(0, kMaxComparedBytes));
    if (distance < least) {
      least = distance;
      nearest = candidate;
    }
  }
  return nearest;
}

std::string FormatSuggestion(std::string_view name,
                             const std::vector<std::string>& known) {
  const std::string_view nearest = FindNearestName(name, known);
  return nearest.empty() ? "" : fmt::format("; did you mean \"{}\"?", nearest);
}

}  // namespace cassiastile::config
