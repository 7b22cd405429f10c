#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"

namespace cassiastile::work {

enum class WorkerHealthState : std::uint8_t {
  kHealthy,
  kQuarantined,  // Gets no tasks.
  kProbing,      // Gets one idempotent task at a time.
};

struct WorkerHealthOptions {
  // Failures in a row of kinds that succeed elsewhere.
  std::uint32_t failures_with_evidence = 3;
  // Failures in a row whatever the kinds, if they are of several.
  std::uint32_t failures_without_evidence = 6;
  std::uint32_t kinds_without_evidence = 3;
  base::Duration evidence_age = std::chrono::minutes(10);
  base::Duration first_quarantine = std::chrono::seconds(30);
  base::Duration longest_quarantine = std::chrono::minutes(10);
};

// Tells workers that fail everything they start from tasks that fail
// everywhere, by what succeeded on other workers.
class WorkerHealthTracker {
 public:
  explicit WorkerHealthTracker(WorkerHealthOptions options = {});

  // Notes how a run ended. Returns true when the worker is quarantined by it.
  bool RecordEnd(const std::string& worker,
                 const std::string& kind,
                 bool succeeded,
                 base::TimePoint now);

  WorkerHealthState HealthOf(const std::string& worker,
                             base::TimePoint now) const;

  // What a quarantine rests on, for people; empty where there is none.
  std::string Evidence(const std::string& worker) const;

 private:
  struct Health {
    std::uint32_t failures = 0;
    std::uint32_t failures_with_evidence = 0;
    std::set<std::string> kinds;
    bool distrusted = false;
    base::TimePoint until{};
    base::Duration length{};
    std::string evidence;
  };
  struct Success {
    std::string worker;
    base::TimePoint at{};
  };

  bool SucceedsElsewhere(const std::string& kind,
                         const std::string& worker,
                         base::TimePoint now) const;
  void RecordSuccess(const std::string& worker,
                     const std::string& kind,
                     base::TimePoint now);
  void Quarantine(Health& health, base::TimePoint now) const;

  WorkerHealthOptions m_options;
  std::map<std::string, Health> m_workers;
  // The last success of a kind on each of the last two workers it had.
  std::map<std::string, std::vector<Success>> m_successes;
};

}  // namespace cassiastile::work
