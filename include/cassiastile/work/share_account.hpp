#pragma once

#include <map>
#include <string>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/work/task.hpp"

namespace cassiastile::work {

// Whether a team could use more resources than it has.
enum class TeamDemand : std::uint8_t {
  kNone,     // Nothing runs or waits.
  kMet,      // All its tasks run, or its own limit holds them back.
  kWaiting,  // It waits for resources.
};

// Tracks each team's resource usage in a pool for weighted dominant-share
// fairness. Usage is counted per team, regardless of its queues, kinds and task
// sizes.
//
// The recorded usage of every team is at least that of the waiting team with
// the lowest usage. Idle capacity that other teams used is neither owed to a
// team without demand nor held against the others, so each team's entitlement
// stays its weight's fraction of the pool.
class ShareAccount {
 public:
  // ProjectedUsage assumes that current use goes on for `horizon`.
  explicit ShareAccount(base::Duration horizon = std::chrono::seconds(5));

  void SetCapacity(const Resources& capacity);
  void SetWeight(const std::string& team, double weight);

  // Sets the resources that a team uses from now on.
  void SetUse(const std::string& team, const Resources& use, TeamDemand demand);

  // Charges each team for its use since the last call.
  void Advance(base::TimePoint now);

  // Corrects a team's usage, in resources times seconds, after a report showed
  // that the wrong amount was charged. Negative amounts are credited.
  void Correct(const std::string& team, const Resources& resource_seconds);

  // The scheduling key: the team with the lowest value comes next. Decreases
  // with the team's weight, increases with its past and its current usage. In
  // dominant share times seconds, divided by weight.
  double ProjectedUsage(const std::string& team) const;

  // The fraction of the pool that the team is entitled to while all teams with
  // demand wait, and the dominant share that it has now.
  double Entitlement(const std::string& team) const;
  double CurrentShare(const std::string& team) const;

 private:
  struct Account {
    double weight = 1;
    Resources use;
    TeamDemand demand = TeamDemand::kNone;
    // Dominant share times seconds, divided by weight, up to settled_at.
    double settled_usage = 0;
    Resources unsettled;  // Resources times seconds since settled_at.
    base::TimePoint settled_at{};
  };

  double AccruedUsage(const Account& account) const;
  void Settle(Account& account, base::TimePoint now) const;

  void RaiseToFloor();

  base::Duration m_horizon;
  Resources m_capacity;
  std::map<std::string, Account> m_accounts;
  double m_floor = 0;  // The lowest usage of a waiting team.
  base::TimePoint m_last_advance{};
};

}  // namespace cassiastile::work
