#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cassiastile/host/event_log.hpp"
#include "cassiastile/host/loop.hpp"
#include "cassiastile/host/ports.hpp"
#include "cassiastile/host/wave_orders.hpp"
#include "cassiastile/jobs/pool_plan.hpp"
#include "cassiastile/jobs/scheduler.hpp"

namespace cassiastile::host {

// Settings of the controller.
struct MachineControllerOptions {
  std::string leader;  // The leader's name in orders.
  // How long orders of a previous leader may still be in flight.
  std::chrono::milliseconds machine_order_lease{3000};
  // Whether to move machines between pools.
  bool moves_machines = true;
};

// Carries out maintenance waves and moves machines between pools during one
// leadership term.
class MachineController {
 public:
  // Writes a row with the leader's next commit; the function runs once it is
  // stored.
  using StoreRow = std::function<void(Row, std::function<void()>)>;

  // The references must outlive the controller. `encode_wave_state` encodes a
  // wave's number and whether it is done, for the status table.
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
      std::function<std::string(std::uint64_t, bool)> encode_wave_state);

  // Restores a row that a previous leader stored: recent machine orders or a
  // wave's progress. Call it before Begin.
  void Recover(const Row& row);
  // Starts the term. `store_now` returns the store's steady clock.
  void Begin(std::uint64_t fence,
             std::function<std::chrono::milliseconds()> store_now);
  void ApplyConfig(std::shared_ptr<const jobs::FleetConfig> config);
  // Adds or updates the requested waves, by number.
  void ApplyWaves(const std::map<std::uint64_t, WaveRequest>& waves);
  // Notes that a worker does not answer; its machine may be down, so machines
  // are listed again soon.
  void WorkerSilent() { m_list_soon = true; }
  // Lists machines and plans when due; called often. No orders are given while
  // `may_order` is false, since leadership is not confirmed.
  void Tick(bool may_order);

 private:
  using PoolLoads = jobs::Scheduler::PoolLoads;

  enum class PendingOrder : std::uint8_t { kNone, kMaintain, kMove };

  struct TrackedMachine {
    Machine machine;
    bool listed = false;             // In the newest list.
    std::uint32_t missed_lists = 0;  // Newest lists in a row that lack it.
    jobs::WorkerId incarnation;      // Of the worker at the time of the order.
    PendingOrder pending = PendingOrder::kNone;  // Order whose outcome is open.
    // The order is a former leader's, which may have been sent and may still
    // be carried out.
    bool is_recovered = false;
    bool accepted = false;
    base::TimePoint ordered_at{};
    base::TimePoint accepted_at{};
    std::string destination;
    bool cordoned = false;  // For a wave or a move.
    bool vacating = false;  // To be moved once it is idle.
    base::TimePoint cordoned_at{};
    base::TimePoint idle_since{};
    base::TimePoint retry_at{};
    base::TimePoint blocked_logged_at{};
  };
  // A machine's last order, as it is stored.
  struct StoredOrder {
    std::chrono::milliseconds at{0};  // By the store's clock.
    // Of a move without an answer; empty otherwise.
    std::string destination;
    bool answered = false;  // It is not on its way any more. Not stored.
  };
  // A wave's row in the status table, which is in no commit of the leader. Each
  // write expects the row as this leader has seen it last, and its first one
  // changes the row: so a write of a former leader, or one that is applied
  // late, can't follow.
  struct WaveStatus {
    // Of the row as last seen; 0 if there was none.
    std::uint64_t version = 0;
    std::optional<bool> seen_done;  // Nothing: no row, or an odd one.
    bool is_own = false;            // This leader has written the row.
    bool is_writing = false;
  };
  struct Wave {
    WaveRequest request;
    WaveOrders orders;  // Also of earlier leaders.
    // When this leader first saw the request, from which its time limit is
    // counted.
    base::TimePoint seen_at{};
    bool done = false;  // The orders for all listed machines were accepted.
    // This is stored, so that each later leader finds the wave done as well.
    bool done_recorded = false;
    WaveStatus status;
  };

  void ListMachines();
  void HandleMachineList(std::vector<Machine> machines,
                         base::TimePoint asked_at);
  void ClearSettledOrder(TrackedMachine& tracked, base::TimePoint asked_at);
  // Whether the newest list shows that the pending order was carried out.
  static bool IsCarriedOut(const TrackedMachine& tracked);
  // Takes a former leader's order as pending if it may still be carried out.
  void RecoverOrder(const std::string& machine, const StoredOrder& order);
  // Cordons the worker that a recovered order ends, once it is listed.
  void CordonRecovered(TrackedMachine& tracked);
  // From the stored time of an order until it can't be carried out any more.
  std::chrono::milliseconds LongestOrder() const;
  // From the stored time of an order until it is sent; no later one is sent.
  std::chrono::milliseconds MaxOrderDelay() const;
  void RunWave(Wave& wave, const PoolLoads& pools, base::TimePoint now);
  void MoveMachines(const PoolLoads& loads, base::TimePoint now);
  // Whether the machine's zone is being evacuated: pools can't count on it.
  bool IsEvacuated(const TrackedMachine& tracked) const;
  void LogLoads(const PoolLoads& loads);
  void Maintain(Wave& wave, TrackedMachine& tracked);
  // `first_order` tells whether the wave has not ordered this machine before.
  void SendMaintain(std::uint64_t wave,
                    const std::string& name,
                    bool first_order);
  // Whether a machine is missing from the newest two lists. The pages of one
  // list are of different moments, so a single list may lack a machine.
  bool IsRemoved(const std::string& machine) const;
  // Tells the scheduler which silent workers are gone, since their machine is
  // removed, down or runs another worker.
  void ReportLostWorkers(base::TimePoint asked_at);
  void Move(TrackedMachine& tracked, const jobs::MachineMove& move);
  void SetCordoned(TrackedMachine& tracked, bool cordoned, base::TimePoint now);
  // The machines on their way to each service, in the order of time.
  std::map<std::string, std::vector<jobs::CapacityStep>> ListArrivals(
      base::TimePoint now) const;
  // Sets which machines are to be moved once they are idle.
  void SetVacating(const std::set<std::string>& machines);
  // Cordons the machine's worker or not, by what the machine is kept for.
  void ApplyCordon(const TrackedMachine& tracked);
  // Whether no order of a previous leader to the machine can still be in
  // flight.
  bool MayOrder(const std::string& machine) const;
  // Whether the row of recent orders has room for another one; if not, machines
  // wait for the next round.
  bool HasRoomForOrder();
  void ForgetOldOrders();
  // The machine's last order has been accepted or refused: it is no longer on
  // its way.
  void OrderAnswered(const std::string& machine);
  // Stores an order's time and destination, which is empty for maintenance,
  // together with `rows`, then sends it, unless the next leader could give
  // orders by then.
  void RecordOrder(const std::string& machine,
                   std::string destination,
                   std::vector<Row> rows,
                   std::function<void()> order);
  // Ends an order that was not carried out; the machine is planned again.
  void CancelOrder(TrackedMachine& tracked, base::TimePoint now);
  // The machine has no pending order any more and takes tasks again.
  void SettleOrder(TrackedMachine& tracked, base::TimePoint now);
  void SendMove(const jobs::MachineMove& move);
  // Stores that all machines have begun, unless that is stored.
  void RecordWaveDone(Wave& wave);
  // Writes the wave's state to the status table unless it is there.
  void PublishWaveState(Wave& wave);
  void HandleWaveStateReply(std::uint64_t number,
                            bool done,
                            const TransactionReply& reply);
  const jobs::WorkerState* WorkerOf(const TrackedMachine& tracked) const;

  MachinePort& m_machine_port;
  RowStore& m_store;
  StoreRow m_store_row;
  Loop& m_loop;
  EventLog& m_log;
  jobs::Scheduler& m_scheduler;
  MachineControllerOptions m_options;
  std::string m_status_table;
  std::string m_wave_prefix;
  std::function<std::string(std::uint64_t, bool)> m_encode_wave_state;
  std::shared_ptr<const jobs::FleetConfig> m_config;
  std::map<std::string, TrackedMachine> m_machines;
  std::map<std::uint64_t, Wave> m_waves;
  std::uint64_t m_fencing_token = 0;
  std::function<std::chrono::milliseconds()> m_store_now;
  // A new leader must not order a machine while the previous leader's order may
  // still arrive.
  std::map<std::string, StoredOrder> m_last_orders;
  // Read, but not yet matched with the times of orders; empty once the term has
  // begun.
  std::map<std::string, StoredOrder> m_recovered_moves;
  base::TimePoint m_listed_at{};
  base::TimePoint m_planned_at{};
  base::TimePoint m_loads_logged_at{};
  // Store time at which this term began; later orders are this leader's own.
  std::chrono::milliseconds m_term_began{0};
  bool m_listing = false;
  bool m_list_soon = false;
  std::uint32_t m_lists = 0;  // Number of lists read.
  // When the newest list and the one before were requested.
  base::TimePoint m_list_asked_at{};
  base::TimePoint m_previous_list_asked_at{};
  Lifetime m_lifetime;
};

}  // namespace cassiastile::host
