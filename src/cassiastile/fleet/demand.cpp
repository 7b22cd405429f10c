#include "cassiastile/fleet/demand.hpp"

#include <algorithm>
#include <cmath>

namespace cassiastile::fleet {

namespace {

std::uint32_t SizeFor(double demand, const DemandOptions& options) {
  return static_cast<std::uint32_t>(
      std::ceil(std::max(demand, 0.0) / options.target_utilization));
}

}  // namespace

DemandHistory AddDemand(DemandHistory history,
                        double hosts,
                        base::TimePoint now,
                        const DemandOptions& options) {
  if (!history.bucket_start) {
    history.bucket_start = now;
  }
  if (now - *history.bucket_start >= options.bucket && history.samples > 0) {
    history.means.push_back(history.sum / history.samples);
    history.sum = 0;
    history.samples = 0;
    history.bucket_start = now;
  }
  while (history.means.size() > options.buckets) {
    history.means.pop_front();
  }
  history.sum += hosts;
  ++history.samples;
  return history;
}

std::int32_t PoolSizeChange(const DemandHistory& history,
                            std::uint32_t size,
                            const DemandOptions& options) {
  if (history.means.size() < options.buckets) {
    return 0;
  }
  const auto [least, most] =
      std::minmax_element(history.means.begin(), history.means.end());
  if (*least > options.grow_above * size) {
    const std::uint32_t wanted = SizeFor(*least, options);
    return static_cast<std::int32_t>(wanted - std::min(wanted, size));
  }
  const std::uint32_t enough = SizeFor(*most, options);
  if (enough < size && *most < options.shrink_below * (size - 1)) {
    return -static_cast<std::int32_t>(size - enough);
  }
  return 0;
}

}  // namespace cassiastile::fleet
