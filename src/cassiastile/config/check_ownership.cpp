#include <array>
#include <optional>

#include "check_context.hpp"

namespace cassiastile::config {

namespace {

constexpr std::size_t kSectionCount =
    static_cast<std::size_t>(SectionName::kWaves) + 1;

}  // namespace

void CheckOwnership(const Fleet& fleet, CheckContext& context) {
  std::array<std::optional<std::size_t>, kSectionCount> rows;
  for (std::size_t i = 0; i < fleet.ownership.size(); ++i) {
    const SectionName section = fleet.ownership[i].section;
    auto& row = rows.at(static_cast<std::size_t>(section));
    if (row) {
      context.Report(
          RowPath(SectionName::kOwnership, i, "section"),
          fmt::format("section \"{}\" is owned by \"{}\" already at "
                      "ownership[{}]; a section has one owner",
                      NameOf(section), fleet.ownership[*row].owner, *row));
    }
    row = row.value_or(i);
  }
  for (std::size_t i = 0; i < kSectionCount; ++i) {
    if (!rows.at(i)) {
      context.Report(
          "ownership",
          fmt::format("section \"{}\" has no owner; add a row that names one",
                      NameOf(static_cast<SectionName>(i))));
    }
  }
}

}  // namespace cassiastile::config
