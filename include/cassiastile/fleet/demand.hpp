#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

#include "cassiastile/base/clock.hpp"

namespace cassiastile::fleet {

// How a pool's size follows its demand.
struct DemandOptions {
  // Demand is averaged over buckets longer than a round of bursts.
  std::chrono::seconds bucket{120};
  std::uint32_t buckets = 5;        // Whole buckets that must agree.
  double grow_above = 0.9;          // Of the pool's size, in every bucket.
  double target_utilization = 0.8;  // What a pool is filled to after a change.
  double shrink_below = 0.6;  // Of the size after shrinking, in every bucket.
};

// The demand of one pool over the last buckets, in hosts.
struct DemandHistory {
  std::deque<double> means;  // Whole buckets, the oldest first.
  double sum = 0;            // Of the bucket under way.
  std::uint32_t samples = 0;
  std::optional<base::TimePoint> bucket_start;
};

// Adds a sample, closing the bucket under way when it is full.
DemandHistory AddDemand(DemandHistory history,
                        double hosts,
                        base::TimePoint now,
                        const DemandOptions& options);

// How many hosts more (positive) or fewer (negative) the pool needs. Zero until
// the shift has lasted over all buckets; then just as many as it needs.
std::int32_t PoolSizeChange(const DemandHistory& history,
                            std::uint32_t size,
                            const DemandOptions& options);

}  // namespace cassiastile::fleet
