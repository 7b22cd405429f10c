#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>
#include <tuple>

#include "fake_race.hpp"

namespace cassiastile::fleet {
namespace {

using fake::Event;
using fake::kEvents;
using fake::Race;
using fake::Step;

// Runs the same cases every time, unless RC_PARAMS is set in the environment.
[[maybe_unused]] const bool kSeeded =
    setenv("RC_PARAMS", "seed=20261203 max_success=300 max_size=120", 0) == 0;

constexpr int kFaultSteps = 4;

RC_GTEST_PROP(RacingOwnersProperty,
              BudgetsHoldAndEveryHostIsInOnePool,
              (std::uint64_t seed)) {
  const auto steps = *rc::gen::container<std::vector<Step>>(rc::gen::tuple(
      rc::gen::inRange(0, kEvents), rc::gen::inRange<std::uint32_t>(0, 120)));
  const double faults = 0.1 * *rc::gen::inRange(0, kFaultSteps);
  Race race(seed, faults);
  for (const Step& step : steps) {
    race.ApplyStep(step);
    // Rounds between the events let waves and moves start.
    race.ApplyStep({static_cast<int>(Event::kBothRound), 0});
    race.ApplyStep({static_cast<int>(Event::kTimePasses), 3});
  }
  RC_ASSERT(race.Table().first_violation == std::string());
  RC_ASSERT(race.Table().budget_violations == 0U);
  RC_ASSERT(race.Table().pool_violations == 0U);
}

RC_GTEST_PROP(RacingOwnersProperty,
              StaleReadsBreakNoInvariant,
              (std::uint64_t seed)) {
  const auto steps = *rc::gen::container<std::vector<Step>>(rc::gen::tuple(
      rc::gen::inRange(0, kEvents), rc::gen::inRange<std::uint32_t>(0, 120)));
  Race race(seed, 0.2);
  for (const Step& step : steps) {
    race.ApplyStep(step);
  }
  RC_ASSERT(race.Table().first_violation == std::string());
}

RC_GTEST_PROP(BudgetProperty, FreeAndExcessAgreeWithWhatIsOut, ()) {
  PoolRecord record;
  const int out = *rc::gen::inRange(0, 8);
  for (int i = 0; i < out; ++i) {
    OutEntry& entry = record.out[fmt::format("h{}", i)];
    entry.reason = *rc::gen::elementOf(std::vector<OutReason>{
        OutReason::kWave, OutReason::kFailed, OutReason::kMoving});
    entry.replaced_by = *rc::gen::element<std::string>("", "h1", "stand-in");
  }
  config::Pool pool;
  pool.budget.max_out = *rc::gen::inRange<std::uint32_t>(0, 8);
  const BudgetCount count = CountBudget(&pool, record, {});
  RC_ASSERT(count.Out() + count.replaced == record.out.size());
  RC_ASSERT(count.Free() == 0 || count.Excess() == 0);
  RC_ASSERT(count.Out() + count.Free() - count.Excess() == pool.budget.max_out);
}

}  // namespace
}  // namespace cassiastile::fleet
