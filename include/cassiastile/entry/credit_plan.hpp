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

// What this host needs of one resource, in credits.
struct CreditNeed {
  // Of the whole resource, as the fleet document sets it.
  std::uint32_t capacity = 0;
  std::uint32_t in_use = 0;
  std::uint32_t wanted = 0;
};

// Needs and granted credits, by the name of the resource: a runner for its
// slots, a team for its request limit.
using CreditNeeds = std::map<std::string, CreditNeed>;
using Grants = std::map<std::string, std::uint32_t>;

// What a row grants to a holder; resources without a grant are left out.
Grants GrantsOf(const work::LedgerRow& row, const work::HolderName& holder);

// The row as this holder should write it: the credits of gone holders are
// forfeited, then the holder takes or releases credits according to its needs.
work::LedgerRow PlanLedgerRow(const work::LedgerRow& row,
                              const work::HolderName& holder,
                              const CreditNeeds& needs,
                              const std::set<work::HolderName>& gone);

// Whether the planned row differs in more than the holder's demand. A change of
// the demand counts only if it begins or ends a lack of credits, or if it more
// than doubles or halves the demand while credits are lacking.
bool IsWorthWriting(const work::LedgerRow& row,
                    const work::LedgerRow& planned,
                    const work::HolderName& holder);

// How many slots to request on each runner so that `target` requests can run:
// runners in the own availability zone first, the others for what that zone
// lacks.
CreditNeeds SplitSlots(const std::vector<work::Runner>& runners,
                       const std::string& zone,
                       std::uint32_t slots_per_runner,
                       std::uint32_t target,
                       const work::LedgerRow& row,
                       const work::HolderName& holder);

// The maximum over a sliding time window.
class PeakWindow {
 public:
  explicit PeakWindow(base::Duration length) : m_length(length) {}

  // `now` must not be earlier than in the call before.
  void Add(std::uint32_t value, base::TimePoint now);
  // The maximum in the window that ended at the last Add; zero before any Add.
  std::uint32_t Peak() const;

 private:
  base::Duration m_length;
  // Times ascend and values descend.
  std::deque<std::pair<base::TimePoint, std::uint32_t>> m_values;
};

// How many slots to request for a demand with this peak, so that it is still
// met while it grows.
std::uint32_t WithHeadroom(std::uint32_t peak);

}  // namespace cassiastile::entry
