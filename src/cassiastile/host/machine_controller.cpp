#include "cassiastile/host/machine_controller.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <sstream>
#include <utility>

#include <nlohmann/json.hpp>

#include "cassiastile/host/leader_transactions.hpp"
#include "cassiastile/jobs/wave_plan.hpp"

namespace cassiastile::host {

namespace {

// A plan looks at all machines, so a large fleet is planned less often.
constexpr std::chrono::milliseconds kPlanInterval{100};
constexpr std::chrono::microseconds kPlanIntervalPerMachine{200};
constexpr std::chrono::milliseconds kMaxPlanInterval{300};
// Between reads of the machine list: while a wave or an order is open,
// otherwise, and once after a worker did not answer.
constexpr std::chrono::milliseconds kListInterval{500};
constexpr std::chrono::milliseconds kQuietListInterval{2000};
constexpr std::chrono::milliseconds kSoonListInterval{200};
// A list has a line for each machine, so that a large fleet is listed less
// often: at least this time for each machine passes between two reads.
constexpr std::chrono::milliseconds kListIntervalPerMachine{8};
constexpr std::chrono::milliseconds kMaxListInterval{2000};
// How long an order whose answer was lost may still be carried out.
constexpr std::chrono::milliseconds kUnknownOrderTimeout{4000};
// The recent orders are stored in a row, which holds 64 KB; the platform takes
// fewer orders in the time for which they count.
constexpr std::size_t kMaxRecentOrders = 1000;
constexpr std::chrono::milliseconds kRefusedPause{500};
constexpr std::chrono::milliseconds kStoreTimeout{1500};
// Allows for inexact clocks and for call latency.
constexpr std::chrono::milliseconds kOrderLeaseMargin{300};
// A machine that so many lists in a row lack is removed.
constexpr std::uint32_t kListsUntilRemoved = 2;
// Rows with the time of each machine's last order, and with the destinations
// of those orders that are moves. Older programs read the first one only.
constexpr char kOrdersKey[] = "orders";
constexpr char kMovesKey[] = "moves";
// States of a machine in a wave's stored row.
constexpr std::chrono::milliseconds kBlockedLogInterval{2000};
constexpr std::chrono::milliseconds kLoadLogInterval{1000};
// From the order to move a machine until its new worker is listed and has
// reported, where the move itself takes 1.5 s; a later one counts as due next.
constexpr std::chrono::milliseconds kExpectedMoveTime{1700};
constexpr std::chrono::milliseconds kArrivalStep{200};
// A pool that uses more than this share of its processor capacity needs all of
// its machines.
constexpr double kBusyShare = 0.6;

bool IsNeeded(const jobs::Scheduler::PoolLoads& pools,
              const std::string& pool) {
  const auto found = pools.find(pool);
  if (found == pools.end()) {
    return false;
  }
  const jobs::Scheduler::PoolLoad& load = found->second;
  return load.unplaced.memory > 0 ||
         static_cast<double>(load.used.cpu) >
             kBusyShare * static_cast<double>(load.capacity.cpu);
}

}  // namespace

MachineController::MachineController(
    MachinePort& port,
    RowStore& store,
    Loop& loop,
    EventLog& log,
    jobs::Scheduler& scheduler,
    MachineControllerOptions options,
    StoreRow store_row,
    std::string status_table,
    std::string wave_prefix,
    std::function<std::string(std::uint64_t, bool)> encode_wave_state)
    : m_machine_port(port),
      m_store(store),
      m_store_row(std::move(store_row)),
      m_loop(loop),
      m_log(log),
      m_scheduler(scheduler),
      m_options(std::move(options)),
      m_status_table(std::move(status_table)),
      m_wave_prefix(std::move(wave_prefix)),
      m_encode_wave_state(std::move(encode_wave_state)),
      m_config(std::make_shared<jobs::FleetConfig>()) {}

void MachineController::Recover(const Row& row) {
  std::istringstream lines(row.value);
  if (row.key == kOrdersKey) {
    std::string machine;
    std::int64_t at = 0;
    while (lines >> machine >> at) {
      m_last_orders[machine].at = std::chrono::milliseconds(at);
    }
    return;
  }
  if (row.key == kMovesKey) {
    std::string machine;
    std::int64_t at = 0;
    std::string destination;
    while (lines >> machine >> at >> destination) {
      m_recovered_moves[machine] = {std::chrono::milliseconds(at), destination};
    }
    return;
  }
  std::uint64_t number = 0;
  const char* end = row.key.data() + row.key.size();
  if (std::from_chars(row.key.data(), end, number).ec != std::errc()) {
    m_log.Write("wave.bad_row", {{"key", row.key}});
    return;
  }
  m_waves[number].orders.Recover(row);
}

void MachineController::Begin(
    std::uint64_t fence,
    std::function<std::chrono::milliseconds()> store_now) {
  m_fencing_token = fence;
  m_store_now = std::move(store_now);
  m_term_began = m_store_now();
  for (auto& [machine, order] : m_last_orders) {
    const auto move = m_recovered_moves.find(machine);
    if (move != m_recovered_moves.end() && move->second.at == order.at) {
      order.destination = move->second.destination;
    }
    RecoverOrder(machine, order);
  }
  m_recovered_moves.clear();
}

void MachineController::RecoverOrder(const std::string& machine,
                                     const StoredOrder& order) {
  const bool is_move = !order.destination.empty();
  const bool is_open =
      is_move || std::ranges::any_of(m_waves, [&machine](const auto& entry) {
        return entry.second.orders.MayHaveBegun(machine);
      });
  const auto age =
      std::max(m_term_began - order.at, std::chrono::milliseconds(0));
  const jobs::WorkerState* worker = m_scheduler.FindWorkerOnMachine(machine);
  const bool has_moved = is_move && worker != nullptr &&
                         worker->entry.service == order.destination;
  if (!is_open || has_moved || age > LongestOrder()) {
    return;
  }
  TrackedMachine& tracked = m_machines[machine];
  tracked.machine.name = machine;
  tracked.pending = is_move ? PendingOrder::kMove : PendingOrder::kMaintain;
  tracked.is_recovered = true;
  tracked.destination = order.destination;
  const base::TimePoint now = m_loop.GetClock().Now();
  tracked.cordoned = true;
  tracked.cordoned_at = now;
  // The latest time at which it may have been sent.
  tracked.ordered_at = now - age + MaxOrderDelay() + kOrderLeaseMargin;
  m_log.Write("machine.order_recovered", {{"machine", machine},
                                          {"to", order.destination},
                                          {"age_ms", base::Milliseconds(age)}});
  CordonRecovered(tracked);
}

void MachineController::CordonRecovered(TrackedMachine& tracked) {
  const jobs::WorkerState* worker = WorkerOf(tracked);
  if (worker == nullptr || !tracked.incarnation.id.empty()) {
    return;
  }
  tracked.incarnation = worker->entry.id;
  m_scheduler.CordonInDoubt(tracked.incarnation.id, m_loop.GetClock().Now());
}

std::chrono::milliseconds MachineController::LongestOrder() const {
  return MaxOrderDelay() + kOrderLeaseMargin + kUnknownOrderTimeout;
}

std::chrono::milliseconds MachineController::MaxOrderDelay() const {
  return m_options.machine_order_lease / 2;
}

bool MachineController::MayOrder(const std::string& machine) const {
  const auto found = m_last_orders.find(machine);
  return found == m_last_orders.end() || found->second.at >= m_term_began ||
         m_store_now() - found->second.at >
             m_options.machine_order_lease + kOrderLeaseMargin;
}

bool MachineController::HasRoomForOrder() {
  ForgetOldOrders();
  return m_last_orders.size() < kMaxRecentOrders;
}

void MachineController::ForgetOldOrders() {
  const auto now = m_store_now();
  const auto lease = m_options.machine_order_lease + kOrderLeaseMargin;
  const auto keep = std::max(lease, LongestOrder());
  std::erase_if(m_last_orders, [now, lease, keep](const auto& entry) {
    const StoredOrder& order = entry.second;
    return now - order.at > (order.answered ? lease : keep);
  });
}

void MachineController::OrderAnswered(const std::string& machine) {
  const auto found = m_last_orders.find(machine);
  if (found != m_last_orders.end()) {
    found->second.destination.clear();
    found->second.answered = true;
  }
}

void MachineController::RecordOrder(const std::string& machine,
                                    std::string destination,
                                    std::vector<Row> rows,
                                    std::function<void()> order) {
  ForgetOldOrders();
  m_last_orders[machine] = {m_store_now(), std::move(destination)};
  std::string times;
  std::string moves;
  for (const auto& [name, last] : m_last_orders) {
    const std::string line = name + " " + std::to_string(last.at.count());
    times += line + "\n";
    if (!last.destination.empty()) {
      moves += line + " " + last.destination + "\n";
    }
  }
  rows.push_back(
      {kMachineTable, kLeaderPart, kMovesKey, std::move(moves), 0, false});
  for (Row& row : rows) {
    m_store_row(std::move(row), [] {});
  }
  // A leader that was paused learns of the commit so late that its successor
  // may give orders by then. It sends nothing, and plans anew if it still
  // leads.
  m_store_row(
      {kMachineTable, kLeaderPart, kOrdersKey, std::move(times), 0, false},
      m_lifetime.Guard([this, machine, order = std::move(order),
                        recorded_at = m_loop.GetClock().Now()] {
        const base::TimePoint stored_at = m_loop.GetClock().Now();
        if (stored_at - recorded_at > MaxOrderDelay()) {
          m_log.Write(
              "machine.order_too_late",
              {{"machine", machine},
               {"fence", m_fencing_token},
               {"after_ms", base::Milliseconds(stored_at - recorded_at)}});
          CancelOrder(m_machines[machine], stored_at);
          return;
        }
        order();
      }));
}

void MachineController::CancelOrder(TrackedMachine& tracked,
                                    base::TimePoint now) {
  tracked.retry_at = now + kRefusedPause;
  SettleOrder(tracked, now);
}

void MachineController::SettleOrder(TrackedMachine& tracked,
                                    base::TimePoint now) {
  tracked.pending = PendingOrder::kNone;
  tracked.is_recovered = false;
  tracked.destination.clear();
  SetCordoned(tracked, false, now);
}

void MachineController::ApplyConfig(
    std::shared_ptr<const jobs::FleetConfig> config) {
  m_config = std::move(config);
}

void MachineController::ApplyWaves(
    const std::map<std::uint64_t, WaveRequest>& waves) {
  for (const auto& [number, request] : waves) {
    Wave& wave = m_waves[number];
    wave.request = request;
    if (wave.seen_at == base::TimePoint{}) {
      wave.seen_at = m_loop.GetClock().Now();
    }
    wave.done = false;
  }
}

void MachineController::Tick(bool may_order) {
  const base::TimePoint now = m_loop.GetClock().Now();
  const auto plan_interval = std::clamp<std::chrono::microseconds>(
      kPlanIntervalPerMachine * static_cast<std::int64_t>(m_machines.size()),
      kPlanInterval, kMaxPlanInterval);
  if (now - m_planned_at < plan_interval) {
    return;
  }
  m_planned_at = now;
  const bool open_wave = std::ranges::any_of(
      m_waves, [](const auto& entry) { return !entry.second.done; });
  const bool open_order =
      std::ranges::any_of(m_machines, [](const auto& entry) {
        return entry.second.pending != PendingOrder::kNone;
      });
  auto interval = open_wave || open_order ? kListInterval : kQuietListInterval;
  if (m_list_soon) {
    interval = kSoonListInterval;
  }
  interval = std::max<std::chrono::milliseconds>(
      interval, std::min<std::chrono::milliseconds>(
                    kListIntervalPerMachine *
                        static_cast<std::int64_t>(m_machines.size()),
                    kMaxListInterval));
  if (!m_listing && now - m_listed_at >= interval) {
    ListMachines();
  }
  if (m_lists == 0 || !may_order) {
    return;
  }
  for (auto& [name, tracked] : m_machines) {
    if (tracked.is_recovered && !tracked.accepted) {
      CordonRecovered(tracked);
    }
  }
  const PoolLoads loads = m_scheduler.GetPoolLoads(now);
  if (now - m_loads_logged_at > kLoadLogInterval) {
    m_loads_logged_at = now;
    LogLoads(loads);
  }
  for (auto& [number, wave] : m_waves) {
    RunWave(wave, loads, now);
  }
  if (m_options.moves_machines) {
    MoveMachines(loads, now);
  }
}

void MachineController::ListMachines() {
  m_listing = true;
  m_list_soon = false;
  const base::TimePoint asked_at = m_loop.GetClock().Now();
  m_listed_at = asked_at;
  m_machine_port.List(m_lifetime.Guard(
      [this, asked_at](base::Result<std::vector<Machine>> machines) {
        m_listing = false;
        if (!machines) {
          m_log.Write("machines.unread", {{"error", machines.error().message}});
          return;
        }
        HandleMachineList(std::move(*machines), asked_at);
      }));
}

void MachineController::HandleMachineList(std::vector<Machine> machines,
                                          base::TimePoint asked_at) {
  ++m_lists;
  m_previous_list_asked_at = std::exchange(m_list_asked_at, asked_at);
  for (auto& [name, tracked] : m_machines) {
    tracked.listed = false;
    ++tracked.missed_lists;
  }
  for (Machine& machine : machines) {
    TrackedMachine& tracked = m_machines[machine.name];
    tracked.machine = std::move(machine);
    tracked.listed = true;
    tracked.missed_lists = 0;
    ClearSettledOrder(tracked, asked_at);
  }
  ReportLostWorkers(asked_at);
}

void MachineController::ClearSettledOrder(TrackedMachine& tracked,
                                          base::TimePoint asked_at) {
  if (tracked.pending == PendingOrder::kNone) {
    return;
  }
  if (!tracked.accepted && IsCarriedOut(tracked)) {
    tracked.accepted = true;
    tracked.accepted_at = asked_at;
  }
  const bool up = tracked.machine.state == MachineState::kUp;
  const bool has_moved = tracked.pending == PendingOrder::kMove &&
                         tracked.machine.pool == tracked.destination;
  const bool accepted = tracked.accepted && asked_at > tracked.accepted_at;
  const bool given_up = asked_at > tracked.ordered_at + kUnknownOrderTimeout;
  if (up && (has_moved || accepted || given_up)) {
    SettleOrder(tracked, asked_at);
  }
}

bool MachineController::IsCarriedOut(const TrackedMachine& tracked) {
  const Machine& machine = tracked.machine;
  if (tracked.pending == PendingOrder::kMove) {
    return machine.state == MachineState::kMoving ||
           machine.pool == tracked.destination;
  }
  return machine.state == MachineState::kMaintenance;
}

bool MachineController::IsRemoved(const std::string& machine) const {
  const auto found = m_machines.find(machine);
  const std::uint32_t missed =
      found == m_machines.end() ? m_lists : found->second.missed_lists;
  return missed >= kListsUntilRemoved;
}

void MachineController::ReportLostWorkers(base::TimePoint asked_at) {
  std::vector<jobs::WorkerId> gone;
  std::vector<jobs::WorkerId> replaced;
  for (const auto& [id, worker] : m_scheduler.Workers()) {
    // A worker that answers is alive, even if the list says otherwise.
    const bool answers = worker.Answers();
    const bool holds_tasks = !worker.runs.empty() || !worker.withdrawn.empty();
    const base::TimePoint alive_at =
        std::max(worker.last_report, worker.known_since);
    if (!holds_tasks || answers || worker.entry.machine.empty() ||
        alive_at > asked_at) {
      continue;
    }
    const auto found = m_machines.find(worker.entry.machine);
    const bool unlisted = found == m_machines.end() || !found->second.listed;
    const bool is_removed = unlisted && IsRemoved(worker.entry.machine) &&
                            alive_at <= m_previous_list_asked_at;
    const bool is_down =
        !unlisted && found->second.machine.state == MachineState::kDown;
    const bool is_replaced = !unlisted &&
                             !found->second.machine.worker.empty() &&
                             found->second.machine.worker != id;
    m_list_soon = m_list_soon || (unlisted && !is_removed);
    if (is_removed || is_down || is_replaced) {
      m_log.Write("worker.gone", {{"worker", id},
                                  {"machine", worker.entry.machine},
                                  {"machine_listed", !unlisted},
                                  {"replaced", is_replaced},
                                  {"runs", worker.runs.size()}});
      // No worker of this id comes back without its machine.
      (is_replaced || is_removed ? replaced : gone).push_back(worker.entry.id);
    }
  }
  const base::TimePoint now = m_loop.GetClock().Now();
  for (const jobs::WorkerId& id : gone) {
    m_scheduler.WorkerGone(id, asked_at, now);
  }
  for (const jobs::WorkerId& id : replaced) {
    m_scheduler.WorkerReplaced(id, now);
  }
}

const jobs::WorkerState* MachineController::WorkerOf(
    const TrackedMachine& tracked) const {
  // Looks in the workers' table, which is more recent than the machine list.
  return m_scheduler.FindWorkerOnMachine(tracked.machine.name);
}

void MachineController::SetCordoned(TrackedMachine& tracked,
                                    bool cordoned,
                                    base::TimePoint now) {
  tracked.cordoned = cordoned;
  tracked.cordoned_at = now;
  ApplyCordon(tracked);
}

void MachineController::ApplyCordon(const TrackedMachine& tracked) {
  if (const jobs::WorkerState* worker = WorkerOf(tracked)) {
    m_scheduler.SetCordoned(worker->entry.id.id,
                            tracked.cordoned || tracked.vacating);
  }
}

void MachineController::RunWave(Wave& wave,
                                const PoolLoads& pools,
                                base::TimePoint now) {
  if (wave.done) {
    PublishWaveState(wave);
    return;
  }
  std::vector<jobs::WaveMachine> machines;
  bool all_begun = true;
  for (const std::string& name : wave.request.machines) {
    const auto found = m_machines.find(name);
    if (found == m_machines.end() || IsRemoved(name)) {
      all_begun = all_begun && (wave.orders.HasBegun(name) || IsRemoved(name));
      continue;
    }
    TrackedMachine& tracked = found->second;
    jobs::WaveMachine& machine = machines.emplace_back();
    machine.name = name;
    machine.begun = wave.orders.HasBegun(name);
    machine.down = tracked.pending == PendingOrder::kMaintain ||
                   tracked.machine.state == MachineState::kMaintenance;
    if (!tracked.listed) {
      // It is as it was in the list before.
      machine.cannot_be_ordered = true;
      all_begun = all_begun && machine.begun;
      continue;
    }
    machine.cannot_be_ordered = tracked.machine.state != MachineState::kUp ||
                                tracked.pending == PendingOrder::kMove ||
                                now < tracked.retry_at || !MayOrder(name);
    machine.may_repeat =
        tracked.is_recovered && tracked.pending == PendingOrder::kMaintain &&
        !machine.cannot_be_ordered && wave.orders.MayHaveBegun(name);
    machine.cordoned = tracked.cordoned;
    machine.cordoned_at = tracked.cordoned_at;
    if (const jobs::WorkerState* worker = WorkerOf(tracked)) {
      const std::string& id = worker->entry.id.id;
      if (tracked.cordoned && !machine.begun && !machine.down &&
          !machine.cannot_be_ordered) {
        m_scheduler.Evacuate(id, now);
      }
      machine.finite_cpu = worker->used.cpu - worker->long_running_used.cpu;
      machine.idle = worker->runs.empty();
      machine.needed = IsNeeded(pools, tracked.machine.pool);
    }
    machine.can_drain = m_scheduler.CanDrainMachine(name);
    all_begun = all_begun && machine.begun;
    if (!machine.begun && !machine.can_drain &&
        now - tracked.blocked_logged_at > kBlockedLogInterval) {
      tracked.blocked_logged_at = now;
      const jobs::WorkerState* worker = WorkerOf(tracked);
      const std::string id = worker == nullptr ? "" : worker->entry.id.id;
      const auto blocker = m_scheduler.DrainBlocker(name);
      m_log.Write("wave.blocked", {{"machine", name},
                                   {"worker", id},
                                   {"job", blocker ? blocker->job : ""}});
    }
  }
  if (all_begun) {
    wave.done = true;
    m_log.Write("wave.done", {{"wave", wave.request.wave}});
    RecordWaveDone(wave);
    return;
  }
  wave.done_recorded = false;
  PublishWaveState(wave);
  const jobs::WavePlan plan = jobs::PlanWave(
      machines,
      {.max_down = std::max(1U, wave.request.max_down),
       .time_left = std::chrono::duration_cast<std::chrono::milliseconds>(
           wave.seen_at + wave.request.time_limit - now)},
      now);
  for (const std::string& name : plan.cordon) {
    SetCordoned(m_machines[name], true, now);
  }
  for (const std::string& name : plan.maintain) {
    TrackedMachine& tracked = m_machines[name];
    // Machines ordered earlier in this loop may have changed what can be
    // drained.
    if (HasRoomForOrder() && m_scheduler.CanDrainMachine(name)) {
      Maintain(wave, tracked);
    }
  }
}

void MachineController::RecordWaveDone(Wave& wave) {
  if (wave.done_recorded) {
    return;
  }
  m_store_row(wave.orders.FirstRow(wave.request.wave),
              m_lifetime.Guard([this, number = wave.request.wave] {
                Wave& stored = m_waves[number];
                stored.done_recorded = stored.done;
              }));
}

void MachineController::Maintain(Wave& wave, TrackedMachine& tracked) {
  const std::uint64_t number = wave.request.wave;
  const std::string name = tracked.machine.name;
  tracked.pending = PendingOrder::kMaintain;
  tracked.is_recovered = false;
  tracked.accepted = false;
  tracked.ordered_at = m_loop.GetClock().Now();
  const jobs::WorkerState* worker = WorkerOf(tracked);
  tracked.incarnation = worker == nullptr ? jobs::WorkerId{} : worker->entry.id;
  m_scheduler.CordonAndMarkUnavailable(tracked.incarnation.id,
                                       tracked.ordered_at);
  const bool first_order = wave.orders.Add(name);
  if (!first_order) {
    RecordOrder(name, "", {},
                [this, number, name] { SendMaintain(number, name, false); });
    return;
  }
  RecordOrder(name, "", {wave.orders.RowOf(number, name)},
              [this, number, name] { SendMaintain(number, name, true); });
}

void MachineController::SendMaintain(std::uint64_t number,
                                     const std::string& name,
                                     bool first_order) {
  m_machines[name].ordered_at = m_loop.GetClock().Now();
  m_machine_port.Maintain(
      name, number, {m_options.leader, m_fencing_token},
      m_lifetime.Guard([this, number, name,
                        first_order](MachineOrderResult result) {
        TrackedMachine& tracked = m_machines[name];
        const base::TimePoint now = m_loop.GetClock().Now();
        m_log.Write("machine.upkeep", {{"machine", name},
                                       {"wave", number},
                                       {"fence", m_fencing_token},
                                       {"result", static_cast<int>(result)}});
        if (result != MachineOrderResult::kUnknown) {
          OrderAnswered(name);
        }
        if (result == MachineOrderResult::kAccepted) {
          WaveOrders& orders = m_waves[number].orders;
          orders.SetBegun(name);
          m_store_row(orders.RowOf(number, name), [] {});
          tracked.accepted = true;
          tracked.accepted_at = now;
          // After a repeated order the worker may be a newer incarnation: the
          // machine may have been maintained long ago.
          if (first_order && !tracked.incarnation.id.empty()) {
            m_scheduler.WorkerTerminated(tracked.incarnation, now);
          }
        } else if (result == MachineOrderResult::kRefused) {
          CancelOrder(tracked, now);
        }
      }));
}

void MachineController::PublishWaveState(Wave& wave) {
  WaveStatus& status = wave.status;
  const bool is_done = wave.done && wave.done_recorded;
  if (status.is_writing || (wave.done && !is_done) ||
      (status.is_own && status.seen_done == is_done)) {
    return;
  }
  // A former leader has seen the end of the wave. This one finds the same,
  // unless the request has grown; without two lists it can't tell which
  // machines are removed.
  if (status.seen_done == true && !is_done && m_lists < kListsUntilRemoved) {
    return;
  }
  status.is_writing = true;
  const std::uint64_t number = wave.request.wave;
  const std::string key = m_wave_prefix + std::to_string(number);
  RowTransaction transaction;
  transaction.expect.push_back({m_status_table, "", key, status.version});
  transaction.puts.push_back({m_status_table, "", key,
                              m_encode_wave_state(number, is_done), 0, false});
  m_store.Commit(
      std::move(transaction), kStoreTimeout,
      m_lifetime.Guard([this, number, is_done](const TransactionReply& reply) {
        HandleWaveStateReply(number, is_done, reply);
      }));
}

void MachineController::HandleWaveStateReply(std::uint64_t number,
                                             bool done,
                                             const TransactionReply& reply) {
  WaveStatus& status = m_waves[number].status;
  status.is_writing = false;
  switch (reply.outcome) {
    case TransactionReply::Outcome::kApplied:
      status.version = reply.version;
      status.seen_done = done;
      status.is_own = true;
      return;
    case TransactionReply::Outcome::kConflict: {
      const std::string key = m_wave_prefix + std::to_string(number);
      const auto row = std::ranges::find(reply.current, key, &Row::key);
      status.version = row == reply.current.end() ? 0 : row->version;
      status.seen_done.reset();
      for (const bool state : {false, true}) {
        if (row != reply.current.end() &&
            row->value == m_encode_wave_state(number, state)) {
          status.seen_done = state;
        }
      }
      return;
    }
    case TransactionReply::Outcome::kNotApplied:
    case TransactionReply::Outcome::kBusy:
    case TransactionReply::Outcome::kRefused:
    case TransactionReply::Outcome::kUnknown:
      return;
  }
}

bool MachineController::IsEvacuated(const TrackedMachine& tracked) const {
  return m_scheduler.Evacuations().Contains(tracked.machine.availability_zone);
}

void MachineController::MoveMachines(const PoolLoads& loads,
                                     base::TimePoint now) {
  std::map<std::string, jobs::PoolDemand> pools;
  for (const auto& [service, load] : loads) {
    jobs::PoolDemand& demand = pools[service];
    demand.long_running_used = load.long_running_used;
    demand.unplaced = load.unplaced;
    demand.unplaced_long_running = load.unplaced_long_running;
    demand.evacuating = load.evacuating;
    demand.long_running_capacity = load.long_running_capacity;
    demand.used = load.used;
    demand.arriving_work = load.arriving_work;
    demand.min_machines = load.min_workers;
  }
  // A pool that a version lacks keeps its meaning: the machines of a spare pool
  // are off.
  for (const jobs::ServiceConfig& service : m_config->FormerServices()) {
    pools[service.name].is_spare = service.is_spare;
  }
  for (const jobs::ServiceConfig& service : m_config->services) {
    pools[service.name].is_spare = service.is_spare;
  }
  std::vector<jobs::PoolMachine> machines;
  for (auto& [name, tracked] : m_machines) {
    if (!tracked.listed || IsEvacuated(tracked)) {
      continue;
    }
    jobs::PoolMachine& machine = machines.emplace_back();
    machine.name = name;
    machine.pool = tracked.machine.pool;
    machine.capacity = tracked.machine.capacity;
    const jobs::WorkerState* worker = WorkerOf(tracked);
    if (tracked.pending == PendingOrder::kMove) {
      machine.pool = tracked.destination;
      machine.arriving = true;
      continue;
    }
    const bool is_spare = pools[machine.pool].is_spare;
    const bool idle = worker == nullptr ? is_spare : worker->runs.empty();
    if (!idle || tracked.idle_since == base::TimePoint{}) {
      tracked.idle_since = now;
    }
    machine.idle_since = tracked.idle_since;
    const bool can_leave = tracked.pending == PendingOrder::kNone &&
                           tracked.machine.state == MachineState::kUp &&
                           !tracked.cordoned && now >= tracked.retry_at &&
                           MayOrder(name);
    machine.movable = idle && can_leave;
    machine.vacating = tracked.vacating;
    machine.can_be_vacated = !idle && can_leave && worker != nullptr &&
                             worker->long_running_used == jobs::Resources{};
    machine.finite_cpu = worker == nullptr ? 0 : worker->used.cpu;
  }
  jobs::PoolPlan plan = jobs::PlanPools(machines, pools, {}, now);
  m_scheduler.SetPoolProspects(ListArrivals(now), std::move(plan.reachable));
  for (const jobs::MachineMove& move : plan.moves) {
    if (!HasRoomForOrder()) {
      break;
    }
    Move(m_machines[move.machine], move);
  }
  SetVacating({plan.vacate.begin(), plan.vacate.end()});
}

std::map<std::string, std::vector<jobs::CapacityStep>>
MachineController::ListArrivals(base::TimePoint now) const {
  // By service and in steps of kArrivalStep.
  std::map<std::string, std::map<std::int64_t, jobs::Resources>> arriving;
  for (const auto& [name, tracked] : m_machines) {
    if (tracked.listed && tracked.pending == PendingOrder::kMove &&
        !IsEvacuated(tracked)) {
      const auto left = std::max<base::Duration>(
          tracked.ordered_at + kExpectedMoveTime - now, kArrivalStep);
      arriving[tracked.destination][left / kArrivalStep] +=
          tracked.machine.capacity;
    }
  }
  std::map<std::string, std::vector<jobs::CapacityStep>> steps;
  for (const auto& [service, by_time] : arriving) {
    for (const auto& [step, capacity] : by_time) {
      steps[service].push_back({kArrivalStep * step, capacity});
    }
  }
  return steps;
}

void MachineController::SetVacating(const std::set<std::string>& machines) {
  for (auto& [name, tracked] : m_machines) {
    const bool vacating = machines.contains(name);
    if (vacating != tracked.vacating) {
      tracked.vacating = vacating;
      ApplyCordon(tracked);
    }
  }
}

void MachineController::LogLoads(const PoolLoads& loads) {
  const auto list = [](const jobs::Resources& value) {
    return nlohmann::json{value.cpu, value.memory, value.gpus};
  };
  for (const auto& [service, load] : loads) {
    if (load.workers > 0 || load.unplaced.memory > 0) {
      m_log.Write("pool.load",
                  {{"service", service},
                   {"workers", load.workers},
                   {"capacity", list(load.capacity)},
                   {"used", list(load.used)},
                   {"lasting", list(load.long_running_used)},
                   {"reserved_starts", load.reserved_starts},
                   {"contending", load.contending_customers},
                   {"beyond_share", load.jobs_beyond_share},
                   {"slow_workers", load.slow_workers},
                   {"unplaced", list(load.unplaced)},
                   {"backlog_core_ms", std::llround(load.backlog.cpu)},
                   {"arriving_cores", load.arriving_work.cpu}});
    }
  }
}

void MachineController::Move(TrackedMachine& tracked,
                             const jobs::MachineMove& move) {
  tracked.pending = PendingOrder::kMove;
  tracked.accepted = false;
  tracked.ordered_at = m_loop.GetClock().Now();
  tracked.destination = move.to;
  const jobs::WorkerState* worker = WorkerOf(tracked);
  tracked.incarnation = worker == nullptr ? jobs::WorkerId{} : worker->entry.id;
  SetCordoned(tracked, true, tracked.ordered_at);
  RecordOrder(move.machine, move.to, {}, [this, move] { SendMove(move); });
}

void MachineController::SendMove(const jobs::MachineMove& move) {
  m_machine_port.Move(
      move.machine, move.to, {m_options.leader, m_fencing_token},
      m_lifetime.Guard([this, move](MachineOrderResult result) {
        TrackedMachine& tracked = m_machines[move.machine];
        const base::TimePoint now = m_loop.GetClock().Now();
        m_log.Write("machine.move", {{"machine", move.machine},
                                     {"from", move.from},
                                     {"to", move.to},
                                     {"fence", m_fencing_token},
                                     {"result", static_cast<int>(result)}});
        if (result != MachineOrderResult::kUnknown) {
          OrderAnswered(move.machine);
        }
        if (result == MachineOrderResult::kAccepted) {
          tracked.accepted = true;
          tracked.accepted_at = now;
          tracked.idle_since = {};
          m_scheduler.WorkerTerminated(tracked.incarnation, now);
        } else if (result == MachineOrderResult::kRefused) {
          CancelOrder(tracked, now);
        }
      }));
}

}  // namespace cassiastile::host
