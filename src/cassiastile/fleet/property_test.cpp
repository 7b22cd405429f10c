#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>
#include <tuple>

#include "fake_fleet.hpp"

namespace cassiastile::fleet {
namespace {

using std::chrono::seconds;

constexpr std::uint32_t kPools = 3;
constexpr std::uint32_t kHosts = 4;
// The same cases on every run, unless RC_PARAMS is set from outside.
[[maybe_unused]] const bool kSeeded =
    setenv("RC_PARAMS", "seed=20261203 max_success=300 max_size=120", 0) == 0;

constexpr int kFaultSteps = 4;

enum class Event : std::uint8_t {
  kFirstReads,
  kSecondReads,
  kFirstTicks,
  kSecondTicks,
  kBothRound,
  kTimePasses,
  kHostFails,
  kHostsRepaired,
  kOperatorDrains,
  kOperatorReturns,
  kBudgetEdited,
  kHostMovedByEdit,
  kHostRemovedByEdit,
  kWaveStarts,
  kWavePauses,
  kWaveAborts,
  kStoreGoes,
  kStoreComes,
  kWorkComes,
  kWorkEnds,
};

constexpr int kEvents = static_cast<int>(Event::kWorkEnds) + 1;

// One event and the host or pool that it strikes.
using Step = std::tuple<int, std::uint32_t>;

// Two control processes that race over everything, with no fence to help them.
class Race {
 public:
  Race(std::uint64_t seed, double faults)
      : m_world(fake::MakeDocument(m_shape), seed, seconds(5)),
        m_first(m_world.MakeReconciler("control-1", seed + 1)),
        m_second(m_world.MakeReconciler("control-2", seed + 2)) {
    Read(m_first);
    Read(m_second);
    m_world.Start(m_first);
    m_world.table.lose_answer = faults;
    m_world.table.delay_apply = faults;
  }

  void Take(const Step& step) {
    const std::uint32_t pick = std::get<1>(step);
    const auto event = static_cast<Event>(std::get<0>(step));
    if (!TakeEdit(event, pick) && !TakeFault(event, pick)) {
      TakeAct(event, pick);
    }
  }

  const fake::CheckedTable& Table() const { return m_world.table; }

 private:
  static std::string HostName(std::uint32_t pick) {
    return fmt::format("p{}-h{}", pick % kPools, pick / kPools % kHosts);
  }

  static std::string PoolName(std::uint32_t pick) {
    return fmt::format("p{}", pick % kPools);
  }

  void Read(Reconciler& reconciler) {
    static_cast<void>(reconciler.Refresh(m_world.document));
  }

  bool TakeEdit(Event event, std::uint32_t pick) {
    auto next = std::make_shared<config::AcceptedFleet>(*m_world.document);
    ++next->version;
    config::Pool& pool = next->fleet.pools[pick % kPools];
    config::Pool& other = next->fleet.pools[(pick + 1) % kPools];
    if (event == Event::kBudgetEdited) {
      pool.budget.max_out = pick / kPools % kHosts;
    } else if (event == Event::kHostMovedByEdit && !pool.hosts.empty()) {
      other.hosts.push_back(pool.hosts.back());
      pool.hosts.pop_back();
    } else if (event == Event::kHostRemovedByEdit && !pool.hosts.empty()) {
      pool.hosts.pop_back();
    } else {
      return false;
    }
    m_world.Accept(next);
    return true;
  }

  bool TakeFault(Event event, std::uint32_t pick) {
    switch (event) {
      case Event::kTimePasses:
        m_world.clock.Advance(seconds(pick % 30));
        return true;
      case Event::kHostFails:
        m_world.machines.Fail(HostName(pick));
        return true;
      case Event::kHostsRepaired:
        for (std::uint32_t i = 0; i < kPools * kHosts; ++i) {
          m_world.machines.Repair(HostName(i));
        }
        return true;
      case Event::kStoreGoes:
      case Event::kStoreComes:
        m_world.table.down = event == Event::kStoreGoes;
        return true;
      case Event::kWorkComes:
        m_world.work.work[HostName(pick)].running = 1;
        return true;
      case Event::kWorkEnds:
        m_world.work.work.clear();
        return true;
      default:
        return false;
    }
  }

  void TakeAct(Event event, std::uint32_t pick) {
    switch (event) {
      case Event::kFirstReads:
        return Read(m_first);
      case Event::kSecondReads:
        return Read(m_second);
      case Event::kFirstTicks:
        return m_first.Tick(PoolName(pick), std::nullopt);
      case Event::kSecondTicks:
        return m_second.Tick(PoolName(pick), std::nullopt);
      case Event::kBothRound:
        m_world.Round(m_first);
        return m_world.Round(m_second);
      case Event::kOperatorDrains:
        static_cast<void>(m_second.DrainHost(HostName(pick), "anna", {}));
        return;
      case Event::kOperatorReturns:
        static_cast<void>(m_second.ReturnHostBy(HostName(pick), "anna", {}));
        return;
      case Event::kWaveStarts:
        static_cast<void>(m_second.ActOn("wave", "anna", WaveAct::kStart, {}));
        return;
      case Event::kWavePauses:
        static_cast<void>(m_second.ActOn("wave", "anna", WaveAct::kPause, {}));
        return;
      case Event::kWaveAborts:
        static_cast<void>(m_second.ActOn("wave", "anna", WaveAct::kAbort, {}));
        return;
      default:
        return;
    }
  }

  fake::DocumentOptions m_shape{.pools = kPools,
                                .hosts = kHosts,
                                .max_out = 1,
                                .parallel = 2,
                                .spare = true};
  fake::World m_world;
  Reconciler m_first;
  Reconciler m_second;
};

RC_GTEST_PROP(RacingOwnersProperty,
              BudgetsHoldAndEveryHostIsInOnePool,
              (std::uint64_t seed)) {
  const auto steps = *rc::gen::container<std::vector<Step>>(rc::gen::tuple(
      rc::gen::inRange(0, kEvents), rc::gen::inRange<std::uint32_t>(0, 120)));
  const double faults = 0.1 * *rc::gen::inRange(0, kFaultSteps);
  Race race(seed, faults);
  for (const Step& step : steps) {
    race.Take(step);
    // Rounds between the events let waves and moves get under way.
    race.Take({static_cast<int>(Event::kBothRound), 0});
    race.Take({static_cast<int>(Event::kTimePasses), 3});
  }
  RC_ASSERT(race.Table().first_violation == std::string());
  RC_ASSERT(race.Table().budget_violations == 0U);
  RC_ASSERT(race.Table().pool_violations == 0U);
}

RC_GTEST_PROP(RacingOwnersProperty,
              StaleReadsNeverTakeTooMuch,
              (std::uint64_t seed)) {
  const auto steps = *rc::gen::container<std::vector<Step>>(rc::gen::tuple(
      rc::gen::inRange(0, kEvents), rc::gen::inRange<std::uint32_t>(0, 120)));
  Race race(seed, 0.2);
  for (const Step& step : steps) {
    race.Take(step);
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
