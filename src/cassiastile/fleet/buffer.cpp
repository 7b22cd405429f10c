#include "cassiastile/fleet/buffer.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

#include <fmt/format.h>

namespace cassiastile::fleet {

namespace {

// Acceptable probability that more hosts are failed at once than the buffer
// covers.
constexpr double kFailureTailProbability = 0.001;
constexpr double kSecondsPerDay = 86400;

// The smallest count that a Poisson variable exceeds with probability at most
// `tail`.
std::uint32_t PoissonQuantile(double mean, double tail) {
  double term = std::exp(-mean);
  double sum = term;
  std::uint32_t count = 0;
  while (1 - sum > tail && term > 0) {
    ++count;
    term *= mean / count;
    sum += term;
  }
  return count;
}

std::uint32_t HostsForFailures(std::uint32_t hosts,
                               const BufferOptions& options) {
  const double mean_failed = hosts * options.failures_per_host_day *
                             static_cast<double>(options.repair_time.count()) /
                             kSecondsPerDay;
  return PoissonQuantile(mean_failed, kFailureTailProbability);
}

}  // namespace

double DeadlineMissRatio(std::span<const double> demand,
                         double hosts,
                         const BufferOptions& options) {
  const auto seconds = static_cast<double>(options.sample.count());
  const auto deadline = static_cast<double>(options.deadline.count());
  double backlog = 0;  // In host seconds.
  double arrived = 0;
  double missed = 0;
  for (const double sample : demand) {
    const double work = sample * seconds;
    // Work arrives evenly over the sample. What can't be done within the
    // deadline after the sample's end is late.
    const double end = backlog + work - hosts * seconds;
    const double done_by_deadline = hosts * deadline;
    const double late = std::clamp(end - done_by_deadline, 0.0, work);
    missed += late;
    arrived += work;
    backlog = std::max(end, 0.0);
  }
  return arrived > 0 ? missed / arrived : 0;
}

std::uint32_t HostsForDemand(std::span<const double> demand,
                             const BufferOptions& options) {
  if (demand.empty()) {
    return 0;
  }
  std::uint32_t low = 0;
  auto high = static_cast<std::uint32_t>(
      std::ceil(*std::max_element(demand.begin(), demand.end())));
  while (low < high) {
    const std::uint32_t middle = (low + high) / 2;
    if (DeadlineMissRatio(demand, middle, options) <= options.miss_target) {
      high = middle;
    } else {
      low = middle + 1;
    }
  }
  return low;
}

BufferPlan PlanBuffer(std::span<const double> demand,
                      const BufferOptions& options) {
  BufferPlan plan;
  if (demand.empty()) {
    return plan;
  }
  plan.mean_demand = std::accumulate(demand.begin(), demand.end(), 0.0) /
                     static_cast<double>(demand.size());
  plan.for_demand = HostsForDemand(demand, options);
  plan.for_failures = HostsForFailures(plan.for_demand, options);
  plan.for_planned = options.planned_out;
  if (options.survive_zone_loss) {
    const auto without_zone = static_cast<std::uint32_t>(
        std::ceil(plan.for_demand / (1 - options.largest_zone)));
    const std::uint32_t held = plan.for_demand + plan.for_failures;
    plan.for_zone_loss = without_zone > held ? without_zone - held : 0;
  }
  return plan;
}

std::string Describe(const BufferPlan& plan) {
  return fmt::format(
      "{} hosts: {} for demand (mean {:.1f}), {} for failures, {} for "
      "maintenance, {} for the loss of a zone",
      plan.Total(), plan.for_demand, plan.mean_demand, plan.for_failures,
      plan.for_planned, plan.for_zone_loss);
}

}  // namespace cassiastile::fleet
