#include "cassiastile/jobs/start_reservations.hpp"

#include <algorithm>
#include <tuple>

namespace cassiastile::jobs {

std::optional<ReservedStart> FindEarliestStart(
    const Resources& need,
    const Resources& free,
    std::vector<ExpectedRelease> releases,
    base::TimePoint now) {
  if (Fits(need, free)) {
    return ReservedStart{now, free - need};
  }
  std::ranges::sort(releases, {}, &ExpectedRelease::at);
  Resources available = free;
  for (const ExpectedRelease& release : releases) {
    available += release.amount;
    if (Fits(need, available)) {
      return ReservedStart{std::max(now, release.at), available - need};
    }
  }
  return std::nullopt;
}

bool LeavesStart(const ReservedStart& start,
                 const Resources& need,
                 base::TimePoint ends_by) {
  return ends_by <= start.at || Fits(need, start.spare);
}

bool IsBetterStart(const ReservedStart& left, const ReservedStart& right) {
  return std::tie(left.at, left.spare.cpu) <
         std::tie(right.at, right.spare.cpu);
}

}  // namespace cassiastile::jobs
