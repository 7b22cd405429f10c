#pragma once

#include <map>
#include <string>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/work/task.hpp"

namespace cassiastile::work {

// Whether a team could use more than it has.
enum class Demand : std::uint8_t {
  kNone,     // Nothing runs or waits.
  kMet,      // All it wants runs, or its own limit holds it back.
  kWaiting,  // It waits for room.
};

// Keeps what each team of a pool has had, for weighted fairness by dominant
// share. The account is by team, whatever its queues, kinds and task sizes.
//
// A team that lacks demand falls behind no further than the team that has had
// least among those that wait: idle capacity that others used meanwhile is
// neither owed to it nor held against them, so that each team's entitlement
// stays its weight's part of the pool.
class ShareAccount {
 public:
  explicit ShareAccount(base::Duration horizon = std::chrono::seconds(5));

  void SetCapacity(const Resources& capacity);
  void SetWeight(const std::string& team, double weight);

  // States what a team has from now on.
  void SetUse(const std::string& team, const Resources& use, Demand demand);

  // Accounts for the time since the last call.
  void Advance(base::TimePoint now);

  // Adds resources times seconds that a report showed to have been accounted
  // wrongly; negative amounts are given back.
  void Correct(const std::string& team, const Resources& resource_seconds);

  // Who comes next: the team with the lowest standing. Falls with weight, grows
  // with what a team has had and with what it has now.
  double ProjectedUsage(const std::string& team) const;

  // The part of the pool that the team is entitled to while all those that have
  // demand wait, and the part that it has now.
  double Entitlement(const std::string& team) const;
  double CurrentShare(const std::string& team) const;

 private:
  struct Account {
    double weight = 1;
    Resources use;
    Demand demand = Demand::kNone;
    // Dominant share times seconds, by weight, up to the last fold.
    double folded = 0;
    Resources since_fold;  // Resources times seconds.
    base::TimePoint fold_at{};
  };

  double Had(const Account& account) const;
  void Fold(Account& account, base::TimePoint now) const;

  void LiftThoseBehind();

  base::Duration m_horizon;
  Resources m_capacity;
  std::map<std::string, Account> m_accounts;
  double m_floor = 0;
  base::TimePoint m_last{};
};

}  // namespace cassiastile::work
