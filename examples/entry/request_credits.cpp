#include <cstdio>

#include "cassiastile/entry/credit_plan.hpp"

// Lets two entry hosts compete for all 8 slots of a runner and prints the
// grants of each while the first returns the slots it does not use.
int main() {
  using namespace cassiastile;
  constexpr std::uint32_t kSlots = 8;
  const entry::CreditNeeds needs{{"r1", {kSlots, 0, kSlots}}};
  work::LedgerRow row;
  for (const char* holder : {"e1#1", "e2#1", "e1#1", "e2#1"}) {
    row = entry::PlanLedgerRow(row, holder, needs, {});
    std::printf("%s\n", work::FormatLedgerRow(row).c_str());
  }
  return 0;
}
