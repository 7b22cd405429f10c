#include "cassiastile/work/credit_ledger.hpp"

#include <algorithm>

namespace cassiastile::work {

namespace {

// The max-min fair split of a capacity: each holder may have `level`, and
// `remainder` of those that want more may have one unit above it.
struct FairLevel {
  std::uint32_t level = 0;
  std::uint32_t remainder = 0;
};

FairLevel FindFairLevel(const Ledger& ledger) {
  std::vector<std::uint32_t> wants;
  wants.reserve(ledger.holdings.size());
  for (const auto& [name, holding] : ledger.holdings) {
    wants.push_back(holding.wanted);
  }
  std::sort(wants.begin(), wants.end());
  std::uint32_t left = ledger.capacity;
  for (std::size_t i = 0; i < wants.size(); ++i) {
    const auto sharing = static_cast<std::uint32_t>(wants.size() - i);
    if (wants[i] > left / sharing) {
      return {left / sharing, left % sharing};
    }
    left -= wants[i];
  }
  return {ledger.capacity, 0};
}

// Counts the holders other than this one that have more than `level`.
std::uint32_t CountAbove(const Ledger& ledger,
                         const HolderName& holder,
                         std::uint32_t level) {
  std::uint32_t count = 0;
  for (const auto& [name, holding] : ledger.holdings) {
    count += name != holder && holding.granted > level ? 1 : 0;
  }
  return count;
}

std::uint32_t FindFairShare(const Ledger& ledger, const HolderName& holder) {
  const std::uint32_t wanted = ledger.holdings.at(holder).wanted;
  const FairLevel fair = FindFairLevel(ledger);
  const bool one_more = CountAbove(ledger, holder, fair.level) < fair.remainder;
  return std::min(wanted, fair.level + (one_more ? 1 : 0));
}

std::uint32_t FindFree(const Ledger& ledger) {
  const std::uint32_t total = TotalGranted(ledger);
  return total >= ledger.capacity ? 0 : ledger.capacity - total;
}

}  // namespace

std::uint32_t TotalGranted(const Ledger& ledger) {
  std::uint32_t total = 0;
  for (const auto& [name, holding] : ledger.holdings) {
    total += holding.granted;
  }
  return total;
}

Ledger Rebalance(const Ledger& ledger,
                 const HolderName& holder,
                 std::uint32_t in_use,
                 std::uint32_t wanted) {
  Ledger next = ledger;
  Holding& holding = next.holdings[holder];
  holding.wanted = std::max(wanted, in_use);
  const std::uint32_t fair_share = FindFairShare(next, holder);
  if (fair_share < holding.granted) {
    holding.granted = std::max(fair_share, std::min(in_use, holding.granted));
  } else {
    holding.granted += std::min(fair_share - holding.granted, FindFree(next));
  }
  if (holding.granted == 0 && holding.wanted == 0) {
    next.holdings.erase(holder);
  }
  return next;
}

Ledger RemoveHolder(const Ledger& ledger, const HolderName& holder) {
  Ledger next = ledger;
  next.holdings.erase(holder);
  return next;
}

}  // namespace cassiastile::work
