#include "cassiastile/work/share_account.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

namespace cassiastile::work {

namespace {

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// For this long, usage is summed by resource before the dominant share is
// taken, so that a team with different tasks is not charged for the dominant
// resource of each task.
constexpr base::Duration kSettleInterval = std::chrono::seconds(60);

}  // namespace

ShareAccount::ShareAccount(base::Duration horizon) : m_horizon(horizon) {}

void ShareAccount::SetCapacity(const Resources& capacity) {
  m_capacity = capacity;
}

void ShareAccount::SetWeight(const std::string& team, double weight) {
  m_accounts[team].weight = weight;
}

void ShareAccount::SetUse(const std::string& team,
                          const Resources& use,
                          TeamDemand demand) {
  Account& account = m_accounts[team];
  if (account.demand == TeamDemand::kNone && demand != TeamDemand::kNone) {
    account.settled_usage += std::max(0.0, m_floor - AccruedUsage(account));
  }
  account.use = use;
  account.demand = demand;
}

void ShareAccount::Advance(base::TimePoint now) {
  const double seconds =
      m_last_advance == base::TimePoint{} ? 0 : Seconds(now - m_last_advance);
  m_last_advance = now;
  for (auto& [team, account] : m_accounts) {
    account.unsettled = account.unsettled + account.use * seconds;
    Settle(account, now);
  }
  RaiseToFloor();
}

void ShareAccount::Correct(const std::string& team,
                           const Resources& resource_seconds) {
  Account& account = m_accounts[team];
  account.unsettled = account.unsettled + resource_seconds;
}

double ShareAccount::ProjectedUsage(const std::string& team) const {
  const auto found = m_accounts.find(team);
  if (found == m_accounts.end()) {
    return m_floor;
  }
  const Account& account = found->second;
  const Resources projected =
      account.unsettled + account.use * Seconds(m_horizon);
  return account.settled_usage +
         DominantShare(projected, m_capacity) / account.weight;
}

double ShareAccount::Entitlement(const std::string& team) const {
  double weights = 0;
  for (const auto& [name, account] : m_accounts) {
    weights += account.demand == TeamDemand::kNone ? 0 : account.weight;
  }
  const auto found = m_accounts.find(team);
  return found == m_accounts.end() || weights <= 0
             ? 0
             : found->second.weight / weights;
}

double ShareAccount::CurrentShare(const std::string& team) const {
  const auto found = m_accounts.find(team);
  return found == m_accounts.end()
             ? 0
             : DominantShare(found->second.use, m_capacity);
}

double ShareAccount::AccruedUsage(const Account& account) const {
  const double dominant_share = DominantShare(account.unsettled, m_capacity);
  return account.settled_usage + dominant_share / account.weight;
}

void ShareAccount::Settle(Account& account, base::TimePoint now) const {
  if (now - account.settled_at < kSettleInterval) {
    return;
  }
  account.settled_usage = AccruedUsage(account);
  account.unsettled = {};
  account.settled_at = now;
}

void ShareAccount::RaiseToFloor() {
  double floor = std::numeric_limits<double>::infinity();
  for (const auto& [team, account] : m_accounts) {
    if (account.demand == TeamDemand::kWaiting) {
      floor = std::min(floor, AccruedUsage(account));
    }
  }
  if (std::isinf(floor)) {
    return;
  }
  m_floor = floor;
  for (auto& [team, account] : m_accounts) {
    account.settled_usage += std::max(0.0, m_floor - AccruedUsage(account));
  }
}

}  // namespace cassiastile::work
