#include "cassiastile/entry/credit_plan.hpp"

#include <algorithm>

namespace cassiastile::entry {

namespace {

work::Holding HoldingOf(const work::LedgerRow& row,
                        const std::string& resource,
                        const work::HolderName& holder) {
  const auto ledger = row.find(resource);
  if (ledger == row.end()) {
    return {};
  }
  const auto holding = ledger->second.holdings.find(holder);
  return holding == ledger->second.holdings.end() ? work::Holding{}
                                                  : holding->second;
}

std::uint32_t CapacityOf(const work::LedgerRow& row,
                         const std::string& resource) {
  const auto ledger = row.find(resource);
  return ledger == row.end() ? 0 : ledger->second.capacity;
}

// What the holder could be granted of a resource now: its own grant and what is
// free.
std::uint32_t FindObtainable(const work::LedgerRow& row,
                             const std::string& resource,
                             const work::HolderName& holder,
                             std::uint32_t capacity) {
  const auto ledger = row.find(resource);
  if (ledger == row.end()) {
    return capacity;
  }
  const std::uint32_t total = work::TotalGranted(ledger->second);
  const std::uint32_t free = total >= capacity ? 0 : capacity - total;
  return HoldingOf(row, resource, holder).granted + free;
}

// Whether the holder begins or ceases to lack credits, or lacks many more or
// fewer than the row says.
bool IsShortageChange(const work::Holding& stated,
                      const work::Holding& planned) {
  constexpr std::uint32_t kSignificantFactor = 2;
  const bool lacks = planned.wanted > planned.granted;
  const bool lacked = stated.wanted > stated.granted;
  return lacks != lacked ||
         (lacks && (planned.wanted > kSignificantFactor * stated.wanted ||
                    stated.wanted > kSignificantFactor * planned.wanted));
}

void ForfeitAll(work::LedgerRow& row, const std::set<work::HolderName>& gone) {
  for (auto& [resource, ledger] : row) {
    for (const work::HolderName& holder : gone) {
      ledger = work::RemoveHolder(ledger, holder);
    }
  }
}

std::uint32_t DivideUp(std::uint32_t value, std::uint32_t by) {
  return by == 0 ? 0 : (value + by - 1) / by;
}

}  // namespace

Grants GrantsOf(const work::LedgerRow& row, const work::HolderName& holder) {
  Grants grants;
  for (const auto& [resource, ledger] : row) {
    const std::uint32_t granted = HoldingOf(row, resource, holder).granted;
    if (granted > 0) {
      grants[resource] = granted;
    }
  }
  return grants;
}

work::LedgerRow PlanLedgerRow(const work::LedgerRow& row,
                              const work::HolderName& holder,
                              const CreditNeeds& needs,
                              const std::set<work::HolderName>& gone) {
  work::LedgerRow planned = row;
  ForfeitAll(planned, gone);
  for (const auto& [resource, need] : needs) {
    work::Ledger& ledger = planned[resource];
    ledger.capacity = need.capacity;
    ledger = work::Rebalance(ledger, holder, need.in_use, need.wanted);
  }
  for (auto& [resource, ledger] : planned) {
    if (!needs.contains(resource)) {
      ledger = work::Rebalance(ledger, holder, 0, 0);
    }
  }
  std::erase_if(planned, [&needs](const auto& entry) {
    return entry.second.holdings.empty() && !needs.contains(entry.first);
  });
  return planned;
}

bool IsWorthWriting(const work::LedgerRow& row,
                    const work::LedgerRow& planned,
                    const work::HolderName& holder) {
  if (row.size() != planned.size()) {
    return true;
  }
  for (const auto& [resource, ledger] : planned) {
    const work::Holding stated = HoldingOf(row, resource, holder);
    const work::Holding holding = HoldingOf(planned, resource, holder);
    const auto before = row.find(resource);
    if (before == row.end() || ledger.capacity != CapacityOf(row, resource) ||
        before->second.holdings.size() != ledger.holdings.size() ||
        stated.granted != holding.granted ||
        IsShortageChange(stated, holding)) {
      return true;
    }
  }
  return false;
}

CreditNeeds SplitSlots(const std::vector<work::Runner>& runners,
                       const std::string& zone,
                       std::uint32_t slots_per_runner,
                       std::uint32_t target,
                       const work::LedgerRow& row,
                       const work::HolderName& holder) {
  CreditNeeds needs;
  std::vector<std::string> same_zone;
  std::vector<std::string> other_zones;
  for (const work::Runner& runner : runners) {
    CreditNeed& need = needs[runner.name];
    need.capacity = slots_per_runner;
    need.in_use = runner.in_use;
    need.wanted = runner.in_use;
    if (!runner.leaving && runner.health == work::RunnerHealth::kHealthy) {
      (runner.zone == zone ? same_zone : other_zones).push_back(runner.name);
    }
  }
  std::uint32_t left = target;
  for (const auto* group : {&same_zone, &other_zones}) {
    const auto count = static_cast<std::uint32_t>(group->size());
    const std::uint32_t each =
        std::min(slots_per_runner, DivideUp(left, count));
    for (const std::string& name : *group) {
      CreditNeed& need = needs[name];
      need.wanted = std::max(need.wanted, each);
      const std::uint32_t obtainable =
          FindObtainable(row, name, holder, slots_per_runner);
      left -= std::min(left, std::min(each, obtainable));
    }
  }
  return needs;
}

void PeakWindow::Add(std::uint32_t value, base::TimePoint now) {
  while (!m_values.empty() && m_values.back().second <= value) {
    m_values.pop_back();
  }
  m_values.emplace_back(now, value);
  while (m_values.front().first + m_length < now) {
    m_values.pop_front();
  }
}

std::uint32_t PeakWindow::Peak() const {
  return m_values.empty() ? 0 : m_values.front().second;
}

std::uint32_t WithHeadroom(std::uint32_t peak) {
  constexpr std::uint32_t kHeadroomDivisor = 4;
  constexpr std::uint32_t kMinHeadroom = 2;
  return peak + peak / kHeadroomDivisor + kMinHeadroom;
}

}  // namespace cassiastile::entry
