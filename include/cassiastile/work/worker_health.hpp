#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"

namespace cassiastile::work {

// Whether a worker gets tasks.
enum class WorkerHealthState : std::uint8_t {
  kHealthy,
  kQuarantined,  // Gets no tasks.
  kProbing,      // Gets one idempotent task at a time.
};

// When workers are quarantined, and for how long.
struct WorkerHealthOptions {
  // Consecutive failures of kinds that succeed on other workers.
  std::uint32_t failures_with_evidence = 3;
  // Consecutive failures of any kinds, and how many kinds these must be of.
  std::uint32_t failures_without_evidence = 6;
  std::uint32_t kinds_without_evidence = 3;
  // How long a success on another worker counts as evidence.
  base::Duration evidence_age = std::chrono::minutes(10);
  base::Duration first_quarantine = std::chrono::seconds(30);
  base::Duration longest_quarantine = std::chrono::minutes(10);
};

// Distinguishes workers on which everything fails from tasks that fail
// everywhere, by what succeeded on other workers.
class WorkerHealthTracker {
 public:
  explicit WorkerHealthTracker(WorkerHealthOptions options = {});

  // Records how a run ended. Returns true when this quarantines the worker. A
  // worker that fails again before its first success after a quarantine is
  // quarantined for twice as long, up to longest_quarantine.
  bool RecordEnd(const std::string& worker,
                 const std::string& kind,
                 bool succeeded,
                 base::TimePoint now);

  WorkerHealthState HealthOf(const std::string& worker,
                             base::TimePoint now) const;

  // The reason for a quarantine as text; empty when there is none.
  std::string Evidence(const std::string& worker) const;

 private:
  struct Health {
    std::uint32_t failures = 0;
    std::uint32_t failures_with_evidence = 0;
    std::set<std::string> kinds;
    bool was_quarantined = false;
    base::TimePoint quarantined_until{};
    base::Duration quarantine_length{};
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
  // The latest success of each kind on each of the last two workers where it
  // succeeded.
  std::map<std::string, std::vector<Success>> m_successes;
};

}  // namespace cassiastile::work
