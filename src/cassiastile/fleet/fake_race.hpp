#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <tuple>

#include <fmt/format.h>

#include "fake_fleet.hpp"

namespace cassiastile::fleet::fake {

// What may happen to a fleet while two control processes change it
// concurrently.
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
  kOperatorUndrains,
  kBudgetEdited,
  kHostMovedByEdit,
  kHostRemovedByEdit,
  kWaveStarts,
  kWavePauses,
  kWaveAborts,
  kTableFails,
  kTableRecovers,
  kWorkStarts,
  kWorkEnds,
};

inline constexpr int kEvents = static_cast<int>(Event::kWorkEnds) + 1;

// The number of an event, and a number that selects the host or pool that it
// affects.
using Step = std::tuple<int, std::uint32_t>;

// Two control processes that change the same fleet concurrently, without
// fencing tokens.
class Race {
 public:
  Race(std::uint64_t seed, double faults)
      : m_world(MakeDocument(m_document_options),
                seed,
                std::chrono::seconds(5)),
        m_first(m_world.MakeReconciler("control-1", seed + 1)),
        m_second(m_world.MakeReconciler("control-2", seed + 2)) {
    Read(m_first);
    Read(m_second);
    m_world.Start(m_first);
    m_world.table.lose_answer = faults;
    m_world.table.delay_apply = faults;
  }

  void ApplyStep(const Step& step) {
    const std::uint32_t pick = std::get<1>(step);
    const auto event = static_cast<Event>(std::get<0>(step));
    if (!ApplyEdit(event, pick) && !ApplyFault(event, pick)) {
      ApplyAction(event, pick);
    }
  }

  const CheckedTable& Table() const { return m_world.table; }

 private:
  static constexpr std::uint32_t kPools = 3;
  static constexpr std::uint32_t kHosts = 4;

  static std::string HostName(std::uint32_t pick) {
    return fmt::format("p{}-h{}", pick % kPools, pick / kPools % kHosts);
  }

  static std::string PoolName(std::uint32_t pick) {
    return fmt::format("p{}", pick % kPools);
  }

  void Read(Reconciler& reconciler) {
    static_cast<void>(reconciler.Refresh(m_world.document));
  }

  bool ApplyEdit(Event event, std::uint32_t pick) {
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

  bool ApplyFault(Event event, std::uint32_t pick) {
    switch (event) {
      case Event::kTimePasses:
        m_world.clock.Advance(std::chrono::seconds(pick % 30));
        return true;
      case Event::kHostFails:
        m_world.machines.Fail(HostName(pick));
        return true;
      case Event::kHostsRepaired:
        for (std::uint32_t i = 0; i < kPools * kHosts; ++i) {
          m_world.machines.Repair(HostName(i));
        }
        return true;
      case Event::kTableFails:
      case Event::kTableRecovers:
        m_world.table.down = event == Event::kTableFails;
        return true;
      case Event::kWorkStarts:
        m_world.work.work[HostName(pick)].running = 1;
        return true;
      case Event::kWorkEnds:
        m_world.work.work.clear();
        return true;
      default:
        return false;
    }
  }

  void ApplyAction(Event event, std::uint32_t pick) {
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
      case Event::kOperatorUndrains:
        static_cast<void>(m_second.UndrainHost(HostName(pick), "anna", {}));
        return;
      case Event::kWaveStarts:
        static_cast<void>(
            m_second.ApplyWaveAction("wave", "anna", WaveAction::kStart, {}));
        return;
      case Event::kWavePauses:
        static_cast<void>(
            m_second.ApplyWaveAction("wave", "anna", WaveAction::kPause, {}));
        return;
      case Event::kWaveAborts:
        static_cast<void>(
            m_second.ApplyWaveAction("wave", "anna", WaveAction::kAbort, {}));
        return;
      default:
        return;
    }
  }

  DocumentOptions m_document_options{.pools = kPools,
                                     .hosts = kHosts,
                                     .max_out = 1,
                                     .parallel = 2,
                                     .spare = true};
  World m_world;
  Reconciler m_first;
  Reconciler m_second;
};

}  // namespace cassiastile::fleet::fake
