#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

#include "cassiastile/base/clock.hpp"

namespace cassiastile::fleet {

// When and how far a pool's size follows its demand.
struct DemandOptions {
  // Demand is averaged over buckets that are longer than a burst cycle.
  std::chrono::seconds bucket{120};
  std::uint32_t buckets = 5;  // Completed buckets that must agree.
  // The pool grows if demand exceeds this fraction of its size in every bucket.
  double grow_above = 0.9;
  double target_utilization = 0.8;  // Utilization to reach by a size change.
  // The pool shrinks if demand in every bucket is below this fraction of a pool
  // that is one host smaller.
  double shrink_below = 0.6;
};

// The demand of one pool over the last buckets, in units of one host's
// capacity.
struct DemandHistory {
  std::deque<double> means;  // Of completed buckets, oldest first.
  double sum = 0;            // Of the samples in the current bucket.
  std::uint32_t samples = 0;
  std::optional<base::TimePoint> bucket_start;
};

// Adds a sample, in units of one host's capacity, and completes the current
// bucket if its time is over.
DemandHistory AddDemand(DemandHistory history,
                        double hosts,
                        base::TimePoint now,
                        const DemandOptions& options);

// How many more (positive) or fewer (negative) hosts the pool needs. Zero
// unless the change in demand has lasted over all buckets.
std::int32_t PoolSizeChange(const DemandHistory& history,
                            std::uint32_t size,
                            const DemandOptions& options);

}  // namespace cassiastile::fleet
