#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cassiastile/work/task.hpp"

namespace cassiastile::work {

// Mean and variance of the logarithm of what was seen, with older values
// counting less.
struct LogMoments {
  double mean = 0;
  double variance = 0;
  std::uint32_t count = 0;
};

void Observe(LogMoments& moments, double value);

// What a task is expected to take.
struct SizeEstimate {
  Resources size;
  double seconds = 0;        // Expected run time.
  double seconds_upper = 0;  // Exceeded by few.
  bool learned = false;      // False when only the declaration is known.
};

// What was seen of one quantity: its amount, and its ratio to the declaration.
struct LearntQuantity {
  LogMoments amount;
  LogMoments ratio;
};

struct LearntKind {
  LearntQuantity cores;
  LearntQuantity memory;
  LearntQuantity seconds;
};

// Learns the real sizes and run times of tasks by team and kind. A kind not
// seen before starts from how far off its team's declarations are in general,
// so that a new name for old work gains nothing.
class SizeEstimator {
 public:
  SizeEstimate Estimate(const TaskSpec& spec) const;
  void ObserveUsage(const TaskSpec& spec, const Resources& usage);
  void ObserveSeconds(const TaskSpec& spec, double seconds);

 private:
  struct LearntTeam {
    LearntKind all;
    std::map<std::string, LearntKind> kinds;
  };

  LearntKind& KindOf(const TaskSpec& spec);

  std::map<std::string, LearntTeam> m_teams;
};

}  // namespace cassiastile::work
