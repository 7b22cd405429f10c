#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/work/credit_rows.hpp"
#include "cassiastile/work/runner.hpp"

namespace cassiastile::entry {

// What this host needs of one resource.
struct CreditNeed {
  std::uint32_t capacity = 0;  // The resource's own, by the document.
  std::uint32_t in_use = 0;
  std::uint32_t wanted = 0;
};

// By the name of the resource.
using CreditNeeds = std::map<std::string, CreditNeed>;
using Grants = std::map<std::string, std::uint32_t>;

// What a row grants to a holder.
Grants GrantsOf(const work::LedgerRow& row, const work::HolderName& holder);

// The row as the holder would have it: holders that are gone lose theirs, then
// the holder takes and gives back what it is due.
work::LedgerRow PlanLedgerRow(const work::LedgerRow& row,
                              const work::HolderName& holder,
                              const CreditNeeds& needs,
                              const std::set<work::HolderName>& gone);

// Whether the planned row differs in more than small changes of what the
// holder says that it wants.
bool IsWorthWriting(const work::LedgerRow& row,
                    const work::LedgerRow& planned,
                    const work::HolderName& holder);

// How many slots to want on each runner so that `target` requests can run:
// those of the own zone first, others for what the own zone lacks.
CreditNeeds SplitSlots(const std::vector<work::Runner>& runners,
                       const std::string& zone,
                       std::uint32_t slots_per_runner,
                       std::uint32_t target,
                       const work::LedgerRow& row,
                       const work::HolderName& holder);

// The largest value of the last few seconds.
class PeakWindow {
 public:
  explicit PeakWindow(base::Duration length) : m_length(length) {}

  void Add(std::uint32_t value, base::TimePoint now);
  std::uint32_t Peak() const;

 private:
  base::Duration m_length;
  std::deque<std::pair<base::TimePoint, std::uint32_t>> m_values;  // Falling.
};

// How many to want so that a demand with this peak is met while it grows.
std::uint32_t WithHeadroom(std::uint32_t peak);

}  // namespace cassiastile::entry
