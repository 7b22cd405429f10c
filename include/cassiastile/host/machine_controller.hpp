#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "cassiastile/host/event_log.hpp"
#include "cassiastile/host/loop.hpp"
#include "cassiastile/host/ports.hpp"
#include "cassiastile/jobs/pool_plan.hpp"
#include "cassiastile/jobs/scheduler.hpp"

namespace cassiastile::host {

struct MachineControllerOptions {
  std::string holder;
  // Orders of another office may still be on their way for so long.
  std::chrono::milliseconds settle{3000};
  bool moves = true;
};

// Carries out waves of upkeep and moves machines between pools during one term
// of office.
class MachineController {
 public:
  // Writes a row with the office's next commit; the function runs once it is
  // stored.
  using StoreRow = std::function<void(Row, std::function<void()>)>;

  MachineController(
      MachinePort& port,
      RowStore& store,
      Loop& loop,
      EventLog& log,
      jobs::Scheduler& scheduler,
      MachineControllerOptions options,
      StoreRow store_row,
      std::string status_table,
      std::string wave_prefix,
      std::function<std::string(std::uint64_t, bool)> encode_state);

  // Takes what the predecessor recorded of a wave.
  void Recover(const Row& row);
  // `store_now` reads the store's clock.
  void Begin(std::uint64_t fence,
             std::function<std::chrono::milliseconds()> store_now);
  void ApplyConfig(std::shared_ptr<const jobs::FleetConfig> config);
  void ApplyWaves(const std::map<std::uint64_t, WaveRequest>& waves);
  // A worker does not answer; its machine may be down.
  void WorkerSilent() { m_list_soon = true; }
  // Acts if it is time to. `may_order` is false while the term is in doubt.
  void Tick(bool may_order);

 private:
  using PoolLoads = jobs::Scheduler::PoolLoads;

  enum class Pending : std::uint8_t { kNone, kMaintain, kMove };

  struct Known {
    Machine machine;
    bool listed = false;
    jobs::WorkerId life;  // Of the worker when the order was given.
    Pending pending = Pending::kNone;  // An order that is not settled.
    bool answered = false;             // It was answered with success.
    base::TimePoint ordered_at{};
    base::TimePoint answered_at{};
    std::string going_to;
    bool cordoned = false;
    base::TimePoint cordoned_at{};
    base::TimePoint idle_since{};
    base::TimePoint retry_at{};
    base::TimePoint blocked_logged_at{};
  };
  struct Wave {
    WaveRequest request;
    std::map<std::string, bool> begun;  // By machine.
    // Machines that an order may have been given for.
    std::set<std::string> ordered;
    base::TimePoint seen_at{};
    bool done = false;
    bool running_stored = false;
    bool done_stored = false;
    bool storing = false;
  };

  void ListMachines();
  void Listed(std::vector<Machine> machines, base::TimePoint asked_at);
  void Settle(Known& known, base::TimePoint asked_at);
  void RunWave(Wave& wave, const PoolLoads& pools, base::TimePoint now);
  void MoveMachines(const PoolLoads& loads, base::TimePoint now);
  void LogLoads(const PoolLoads& loads);
  static Row RowOf(const Wave& wave);
  void Maintain(Wave& wave, Known& known);
  void SendMaintain(std::uint64_t wave, const std::string& name, bool first);
  // Ends the lives of workers whose machine is down or has another worker.
  void EndLostLives(base::TimePoint asked_at);
  void Move(Known& known, const jobs::MachineMove& move);
  void SetCordoned(Known& known, bool cordoned, base::TimePoint now);
  bool MayOrder(const std::string& machine) const;
  // Records an order, then gives it.
  void Record(const std::string& machine,
              std::vector<Row> rows,
              std::function<void()> order);
  void SendMove(const jobs::MachineMove& move);
  void StoreWave(Wave& wave, bool done);
  const jobs::WorkerState* WorkerOf(const Known& known) const;

  MachinePort& m_port;
  RowStore& m_store;
  StoreRow m_store_row;
  Loop& m_loop;
  EventLog& m_log;
  jobs::Scheduler& m_scheduler;
  MachineControllerOptions m_options;
  std::string m_status_table;
  std::string m_wave_prefix;
  std::function<std::string(std::uint64_t, bool)> m_encode_state;
  std::shared_ptr<const jobs::FleetConfig> m_config;
  std::map<std::string, Known> m_machines;
  std::map<std::uint64_t, Wave> m_waves;
  std::uint64_t m_fence = 0;
  std::function<std::chrono::milliseconds()> m_store_now;
  // When machines were last given an order, by the store's clock. Holders of
  // the office must not take turns with one machine too soon.
  std::map<std::string, std::chrono::milliseconds> m_ordered;
  base::TimePoint m_listed_at{};
  base::TimePoint m_planned_at{};
  base::TimePoint m_loads_logged_at{};
  std::chrono::milliseconds m_own_from{0};  // Orders since are our own.
  bool m_listing = false;
  bool m_list_soon = false;
  bool m_has_list = false;
  Lifetime m_lifetime;
};

}  // namespace cassiastile::host
