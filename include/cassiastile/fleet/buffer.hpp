#pragma once

#include <chrono>
#include <cstdint>
#include <span>
#include <string>

namespace cassiastile::fleet {

// What idle capacity is there for.
struct BufferOptions {
  std::chrono::seconds sample{1};     // Between two samples of demand.
  std::chrono::seconds deadline{30};  // How long work may wait.
  double miss_target = 0.01;          // The part of work that may be late.
  // A failed host is out for as long as its reboot or its replacement takes.
  double failures_per_host_day = 0.01;
  std::chrono::seconds repair_time{900};
  std::uint32_t planned_out = 0;   // Hosts that maintenance may take at once.
  bool survive_zone_loss = false;  // Carry the demand without one zone.
  double largest_zone = 1.0 / 3;   // The part of the hosts in one zone.
};

// The hosts to hold, and what each part of them is for.
struct BufferPlan {
  double mean_demand = 0;           // In hosts.
  std::uint32_t for_demand = 0;     // Carry the demand at the miss target.
  std::uint32_t for_failures = 0;   // Stand in for hosts that fail.
  std::uint32_t for_planned = 0;    // Stand in for hosts under maintenance.
  std::uint32_t for_zone_loss = 0;  // More, to carry the loss of a zone.

  std::uint32_t Total() const {
    return for_demand + for_failures + for_planned + for_zone_loss;
  }
  // What is idle at the mean demand.
  double Idle() const { return Total() - mean_demand; }
};

// The part of the work that waits longer than the deadline when `hosts` serve
// the demand, given in hosts' worth of work, first come first served.
double DeadlineMissRatio(std::span<const double> demand,
                         double hosts,
                         const BufferOptions& options);

// The fewest hosts that carry the demand at the miss target.
std::uint32_t HostsForDemand(std::span<const double> demand,
                             const BufferOptions& options);

// The buffer that the measured demand, failure rate and repair time ask for. A
// burst is queued as long as its work ends in time; only the rest needs hosts.
BufferPlan PlanBuffer(std::span<const double> demand,
                      const BufferOptions& options);

// "14 hosts: 9 for demand, 1 for failures, ...".
std::string Describe(const BufferPlan& plan);

}  // namespace cassiastile::fleet
