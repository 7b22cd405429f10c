#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cassiastile/work/task.hpp"

namespace cassiastile::work {

// Mean and variance of the logarithm of the observed values, weighted towards
// recent ones.
struct LogMoments {
  double mean = 0;
  double variance = 0;
  std::uint32_t count = 0;
};

// Adds a value, which must be above zero.
void Observe(LogMoments& moments, double value);

// The expected size and run time of a task.
struct SizeEstimate {
  Resources size;
  double seconds = 0;         // Expected run time.
  double seconds_upper = 0;   // A run time that is rarely exceeded.
  bool cores_learnt = false;  // Whether size.cores comes from observations.
};

// Observations of one quantity: its amount, and its ratio to the declared
// amount.
struct LearntQuantity {
  LogMoments amount;
  LogMoments ratio;
};

// Observations of one kind of task, or of all tasks of a team.
struct LearntKind {
  LearntQuantity cores;
  LearntQuantity memory;
  LearntQuantity seconds;
};

// Learns the actual sizes and run times of tasks by team and kind. An unseen
// kind starts from the team's overall ratio of actual to declared amounts, so
// that giving old work a new kind gains nothing.
class SizeEstimator {
 public:
  // Estimates each quantity on its own. Without at least three observations of
  // the kind or the team, it is as declared.
  SizeEstimate Estimate(const TaskSpec& spec) const;
  // Records a measurement. Amounts that are not above zero are ignored.
  void ObserveUsage(const TaskSpec& spec, const Resources& usage);
  void ObserveRunTime(const TaskSpec& spec, double seconds);

 private:
  struct LearntTeam {
    LearntKind all;
    std::map<std::string, LearntKind> kinds;
  };

  LearntKind& KindOf(const TaskSpec& spec);

  std::map<std::string, LearntTeam> m_teams;
};

}  // namespace cassiastile::work
