#pragma once

#include <chrono>
#include <cstdint>
#include <span>
#include <string>

namespace cassiastile::fleet {

// The assumptions from which the idle capacity of a pool is sized.
struct BufferOptions {
  std::chrono::seconds sample{1};     // Interval between demand samples.
  std::chrono::seconds deadline{30};  // Longest acceptable queueing time.
  double miss_target = 0.01;          // Fraction of work that may be late.
  double failures_per_host_day = 0.01;
  // How long a failed host is out of service: until it has rebooted or been
  // replaced.
  std::chrono::seconds repair_time{900};
  std::uint32_t planned_out = 0;   // Hosts under maintenance at once.
  bool survive_zone_loss = false;  // Serve the demand without one zone.
  double largest_zone = 1.0 / 3;   // Largest fraction of hosts in one zone.
};

// The number of hosts that a pool needs, by purpose.
struct BufferPlan {
  double mean_demand = 0;           // In hosts.
  std::uint32_t for_demand = 0;     // Serve the demand at the miss target.
  std::uint32_t for_failures = 0;   // Replace failed hosts.
  std::uint32_t for_planned = 0;    // Replace hosts under maintenance.
  std::uint32_t for_zone_loss = 0;  // Additional hosts to survive a zone loss.

  std::uint32_t Total() const {
    return for_demand + for_failures + for_planned + for_zone_loss;
  }
  // Hosts that are idle at the mean demand.
  double Idle() const { return Total() - mean_demand; }
};

// The fraction of work that waits longer than the deadline when `hosts` hosts
// serve the demand in FIFO order. `demand` holds one sample per
// `options.sample`, in units of one host's capacity.
double DeadlineMissRatio(std::span<const double> demand,
                         double hosts,
                         const BufferOptions& options);

// The smallest number of hosts that serves the demand at the miss target.
std::uint32_t HostsForDemand(std::span<const double> demand,
                             const BufferOptions& options);

// Sizes a pool from measured demand, failure rate and repair time. Bursts are
// queued as far as the deadline allows; only the rest requires more hosts.
BufferPlan PlanBuffer(std::span<const double> demand,
                      const BufferOptions& options);

// "14 hosts: 9 for demand, 1 for failures, ...".
std::string Describe(const BufferPlan& plan);

}  // namespace cassiastile::fleet
