#include "cassiastile/jobs/pool_shares.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace cassiastile::jobs {

namespace {

// A weight of zero would get nothing, not even what it waits for.
constexpr double kMinWeight = 0.01;

double Ratio(std::int64_t need, std::int64_t capacity) {
  return capacity > 0
             ? static_cast<double>(need) / static_cast<double>(capacity)
             : 0;
}

}  // namespace

PoolShares::PoolShares(const Resources& capacity,
                       const CustomerDemands& demands) {
  Resources needed;
  for (const auto& [name, demand] : demands) {
    needed += demand.running + demand.waiting;
  }
  m_by_memory =
      Ratio(needed.memory, capacity.memory) > Ratio(needed.cpu, capacity.cpu);
  m_capacity = std::max(0.0, AmountOf(capacity));
  double total = 0;
  for (const auto& [name, demand] : demands) {
    Share& share = m_customers[name];
    share.weight = std::max(kMinWeight, demand.weight);
    share.used = AmountOf(demand.running);
    share.needed = share.used + AmountOf(demand.waiting);
    total += share.needed;
  }
  m_contended = m_customers.size() > 1 && total > m_capacity;
  const double level = LevelFor(m_customers);
  for (auto& [name, share] : m_customers) {
    share.allowed = level * share.weight;
  }
}

double PoolShares::AmountOf(const Resources& value) const {
  return static_cast<double>(m_by_memory ? value.memory : value.cpu);
}

double PoolShares::LevelFor(
    const std::map<std::string, Share>& customers) const {
  std::vector<std::pair<double, const Share*>> by_level;
  by_level.reserve(customers.size());
  double weights = 0;
  for (const auto& [name, share] : customers) {
    by_level.emplace_back(share.needed / share.weight, &share);
    weights += share.weight;
  }
  std::ranges::sort(by_level, {}, &std::pair<double, const Share*>::first);
  double left = m_capacity;
  double level = 0;
  for (const auto& [needed, share] : by_level) {
    level = left / weights;
    if (needed > level) {
      break;
    }
    left -= share->needed;
    weights -= share->weight;
  }
  return level;
}

double PoolShares::PartOf(const std::string& customer, double weight) const {
  if (m_capacity <= 0) {
    return 1.0;
  }
  std::map<std::string, Share> customers = m_customers;
  Share& share = customers[customer];
  share.weight = std::max(kMinWeight, weight);
  share.needed = std::max(share.needed, m_capacity);
  return std::min(1.0, LevelFor(customers) * share.weight / m_capacity);
}

bool PoolShares::IsWithinShare(const std::string& customer) const {
  const auto found = m_customers.find(customer);
  return !m_contended || found == m_customers.end() ||
         found->second.used < found->second.allowed;
}

void PoolShares::Take(const std::string& customer, const Resources& need) {
  if (const auto found = m_customers.find(customer);
      found != m_customers.end()) {
    found->second.used += AmountOf(need);
  }
}

}  // namespace cassiastile::jobs
