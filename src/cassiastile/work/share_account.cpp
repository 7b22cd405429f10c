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

double LargestPart(const Resources& amount, const Resources& capacity) {
  const double positive = DominantShare(amount, capacity);
  const double negative = DominantShare(amount * -1, capacity);
  return positive >= negative ? positive : -negative;
}

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
                          Demand demand) {
  Account& account = m_accounts[team];
  if (account.demand == Demand::kNone && demand != Demand::kNone) {
    account.had = std::max(account.had, m_floor);
  }
  account.use = use;
  account.demand = demand;
}

void ShareAccount::Advance(base::TimePoint now) {
  const double seconds =
      m_last == base::TimePoint{} ? 0 : Seconds(now - m_last);
  m_last = now;
  for (auto& [team, account] : m_accounts) {
    const double part = DominantShare(account.use, m_capacity);
    account.had += part * seconds / account.weight;
  }
  LiftThoseBehind();
}

void ShareAccount::Correct(const std::string& team,
                           const Resources& resource_seconds) {
  Account& account = m_accounts[team];
  account.had += LargestPart(resource_seconds, m_capacity) / account.weight;
}

double ShareAccount::Standing(const std::string& team) const {
  const auto found = m_accounts.find(team);
  if (found == m_accounts.end()) {
    return m_floor;
  }
  const Account& account = found->second;
  const double now = DominantShare(account.use, m_capacity) / account.weight;
  return account.had + now * Seconds(m_horizon);
}

double ShareAccount::Entitlement(const std::string& team) const {
  double weights = 0;
  for (const auto& [name, account] : m_accounts) {
    weights += account.demand == Demand::kNone ? 0 : account.weight;
  }
  const auto found = m_accounts.find(team);
  return found == m_accounts.end() || weights <= 0
             ? 0
             : found->second.weight / weights;
}

double ShareAccount::Part(const std::string& team) const {
  const auto found = m_accounts.find(team);
  return found == m_accounts.end()
             ? 0
             : DominantShare(found->second.use, m_capacity);
}

void ShareAccount::LiftThoseBehind() {
  double floor = std::numeric_limits<double>::infinity();
  for (const auto& [team, account] : m_accounts) {
    if (account.demand == Demand::kWaiting) {
      floor = std::min(floor, account.had);
    }
  }
  if (std::isinf(floor)) {
    return;
  }
  m_floor = floor;
  for (auto& [team, account] : m_accounts) {
    account.had = std::max(account.had, m_floor);
  }
}

}  // namespace cassiastile::work
