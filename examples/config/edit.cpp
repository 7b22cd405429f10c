#include <cstdio>

#include "cassiastile/config/diff.hpp"
#include "cassiastile/config/section_edit.hpp"

// Replaces one section of a small document and prints what differs.
int main() {
  using cassiastile::config::SectionName;
  const std::string before =
      "{\n  // The weights were agreed in May.\n"
      "  \"shares\": [\n    { \"team\": \"brno\", \"weight\": 2 }\n  ]\n}\n";
  const auto after = cassiastile::config::ReplaceSection(
      before, SectionName::kShares,
      "[\n    { \"team\": \"brno\", \"weight\": 3 }\n  ]");
  if (!after) {
    std::fprintf(stderr, "%s\n", after.error().message.c_str());
    return 1;
  }
  const std::string diff =
      cassiastile::config::UnifiedDiff(before, *after, "before", "after");
  std::fputs(diff.c_str(), stdout);
  return 0;
}
