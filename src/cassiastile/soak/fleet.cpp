#include "fleet.hpp"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iterator>

#include <sys/wait.h>
#include <unistd.h>

#include <fmt/format.h>
#include <asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>

#include "cassiastile/host/leader_transactions.hpp"
#include "cassiastile/sim/odd_values.hpp"
#include "names.hpp"
#include "standin/encode.hpp"

namespace cassiastile::soak {

namespace {

using std::chrono::milliseconds;

constexpr char kSparePool[] = "spare";
constexpr jobs::Resources kCapacity{8000, 16384, 0};
// A call for ten workers takes 90 ms.
constexpr jobs::AdviceConfig kAdvice{.decision = milliseconds(50),
                                     .period = milliseconds(4),
                                     .validity = milliseconds(3000)};
constexpr milliseconds kProcessCheckInterval{20};
constexpr milliseconds kRestartDelay{300};
// The platform removes a silent worker from its list after some missed
// heartbeats.
constexpr milliseconds kDelistDelay{3000};
constexpr milliseconds kMoveDuration{800};
constexpr milliseconds kMaintenanceDuration{1000};
constexpr milliseconds kLinkDelay{80};
constexpr std::size_t kWaveMaxDown = 2;
constexpr milliseconds kEvacuationTime{5000};
// An order to a worker that carries out starts late.
constexpr milliseconds kMaxOrderDelay{13000};
// A fault affects connections and leases for about this long.
constexpr milliseconds kFaultEffectTime{4000};

// Returns ports that nothing listens on now, below the kernel's ephemeral
// ports, of which an outgoing connection could take one while a host is down.
// The search begins at a port that depends on the process id, so that soaks can
// run side by side.
std::vector<std::uint16_t> FreePorts(asio::io_context& context,
                                     std::size_t count) {
  constexpr int kLowest = 10000;
  constexpr int kHighest = 32000;
  constexpr int kBlockSize = 100;
  constexpr int kBlocks = (kHighest - kLowest) / kBlockSize;
  int port = kLowest + (getpid() % kBlocks) * kBlockSize;
  std::vector<std::uint16_t> ports;
  for (; ports.size() < count;
       port = port + 1 < kHighest ? port + 1 : kLowest) {
    asio::ip::tcp::acceptor acceptor(context);
    asio::error_code error;
    acceptor.open(asio::ip::tcp::v4(), error);
    acceptor.bind(
        {asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)},
        error);
    if (!error) {
      ports.push_back(static_cast<std::uint16_t>(port));
    }
  }
  return ports;
}

std::string ZoneName(std::size_t index) {
  return index % 2 == 0 ? "loopback-a" : "loopback-b";
}

std::string LoopbackEndpoint(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

// The end of a file, on one line.
std::string LastBytes(const std::string& path) {
  constexpr std::streamoff kBytes = 600;
  std::ifstream file(path, std::ios::binary | std::ios::ate);
  const std::streamoff size = file.tellg();
  if (size <= 0) {
    return "none";
  }
  file.seekg(std::max<std::streamoff>(0, size - kBytes));
  std::string text(std::istreambuf_iterator<char>(file), {});
  std::ranges::replace(text, '\n', ' ');
  return text;
}

}  // namespace

std::string ServiceName(std::size_t index) {
  return "service-" + std::to_string(index);
}

Fleet::Fleet(asio::io_context& context,
             host::Loop& loop,
             const SoakOptions& options)
    : m_context(context),
      m_loop(loop),
      m_options(options),
      m_advisor(
          kAdvice,
          [this](const std::string& worker) { return IncarnationOf(worker); },
          [](const std::string& worker) {
            // One worker in four may not run the steps.
            constexpr std::size_t kNotAllowedOneIn = 4;
            return std::hash<std::string>()(worker) % kNotAllowedOneIn != 0;
          }),
      m_checker(&loop.GetClock()) {}

Fleet::~Fleet() = default;

base::Result<std::unique_ptr<Fleet>> Fleet::Start(asio::io_context& context,
                                                  host::Loop& loop,
                                                  const SoakOptions& options) {
  std::unique_ptr<Fleet> fleet(new Fleet(context, loop, options));
  if (const auto started = fleet->StartPlatform(); !started) {
    return tl::unexpected(started.error());
  }
  if (const auto started = fleet->StartHosts(); !started) {
    return tl::unexpected(started.error());
  }
  fleet->WatchProcesses();
  return fleet;
}

void Fleet::After(milliseconds delay, std::function<void()> run) {
  m_loop.After(delay, m_lifetime.Guard(std::move(run)));
}

base::Result<void> Fleet::StartPlatform() {
  auto table = adapter::TableServer::Start(m_context, m_loop);
  if (!table) {
    return tl::unexpected(table.error());
  }
  m_table = std::move(*table);
  WriteConfig();
  auto machines = adapter::MachineServer::Start(
      m_context,
      {.list =
           [this] {
             std::vector<host::Machine> list;
             for (const auto& machine : m_machines) {
               list.push_back({machine->name, machine->pool, machine->state,
                               machine->worker_id, kCapacity, machine->zone});
             }
             return list;
           },
       .move = [this](const auto& name,
                      const auto& pool) { return Move(name, pool); },
       .maintain = [this](const auto& name,
                          auto wave) { return Maintain(name, wave); }});
  if (!machines) {
    return tl::unexpected(machines.error());
  }
  m_machine_server = std::move(*machines);
  for (std::size_t i = 0; i < m_options.plan.workers; ++i) {
    auto worker = adapter::WorkerServer::Start(
        m_context, m_loop, m_checker,
        [this, i](const jobs::TaskId& task) -> const jobs::StepSpec* {
          CheckEvacuation(*m_machines[i]);
          NoteStart(*m_machines[i], task.job);
          const jobs::JobSpec* spec = m_checker.SpecOf(task.job);
          return spec != nullptr && task.step < spec->steps.size()
                     ? &spec->steps[task.step]
                     : nullptr;
        });
    if (!worker) {
      return tl::unexpected(worker.error());
    }
    (*worker)->SetTicketCheck(
        [this](const jobs::StartOrder& order) { return HasTicket(order); });
    auto proxy = LoopbackProxy::Start(m_context, (*worker)->Port());
    if (!proxy) {
      return tl::unexpected(proxy.error());
    }
    auto machine = std::make_unique<Machine>();
    machine->name = fmt::format("machine-{:02}", i);
    machine->pool = ServiceName(i % kServices);
    // Each service has workers in both zones.
    machine->zone = ZoneName(i / kServices);
    machine->worker = std::move(*worker);
    machine->proxy = std::move(*proxy);
    BeginIncarnation(*machine);
    m_machines.push_back(std::move(machine));
  }
  WriteOddEntries();
  return {};
}

void Fleet::WriteOddEntries() {
  constexpr std::size_t kVeryDeep = 100000;
  jobs::WorkerEntry entry;
  entry.id = {"odd", 1};
  entry.service = m_machines.front()->pool;
  entry.capacity = kCapacity;
  const auto write = [this](const std::string& key, const std::string& value) {
    m_table->Write({adapter::kWorkerTable, "", key, value, 0, false});
  };
  write("odd-nesting",
        std::string(kVeryDeep, '[') + std::string(kVeryDeep, ']'));
  entry.endpoint = LoopbackEndpoint(m_machines.front()->proxy->Port()) + "0000";
  write("odd-port", adapter::EncodeWorker(entry));
  entry.endpoint = LoopbackEndpoint(m_machines.front()->proxy->Port());
  entry.capacity.cpu = INT64_MAX;
  write("odd-number", adapter::EncodeWorker(entry));
  entry.capacity.cpu = -1;
  write("odd-sign", adapter::EncodeWorker(entry));
  // Endpoints that no call can go to, drawn for each seed.
  constexpr int kDrawnEntries = 40;
  base::Random random(m_options.seed);
  entry.capacity = kCapacity;
  for (int i = 0; i < kDrawnEntries; ++i) {
    entry.endpoint = sim::DrawNoDestination(random);
    const std::string key = "odd-address-" + std::to_string(i);
    write(key, adapter::EncodeWorker(entry));
    m_table->Write({host::kHostTable, "", key, entry.endpoint, 0, false});
  }
  entry.endpoint = LoopbackEndpoint(m_machines.front()->proxy->Port());
  // An id of the fleet once more, in another part of the table.
  m_table->Write({adapter::kWorkerTable, "other", m_machines.front()->worker_id,
                  adapter::EncodeWorker(entry), 0, false});
}

base::Result<void> Fleet::StartHosts() {
  constexpr std::size_t kPortsPerHost = 4;
  const auto ports = FreePorts(m_context, kPortsPerHost * m_options.plan.hosts);
  for (std::size_t i = 0; i < m_options.plan.hosts; ++i) {
    auto host = std::make_unique<Host>();
    host->name = "host-" + std::to_string(i);
    host->zone = ZoneName(i);
    host->settings_path = m_options.folder + "/" + host->name + ".json";
    host->log_path = m_options.folder + "/" + host->name + ".log";
    host->error_path = m_options.folder + "/" + host->name + ".err";
    host->peer_port = ports[kPortsPerHost * i];
    host->metrics_port = ports[kPortsPerHost * i + 1];
    host->client_port = ports[kPortsPerHost * i + 2];
    host->ready_port = ports[kPortsPerHost * i + 3];
    auto callers = LoopbackProxy::Start(m_context, host->client_port);
    auto table = LoopbackProxy::Start(m_context, m_table->Port());
    if (!callers || !table) {
      return tl::unexpected((callers ? table : callers).error());
    }
    host->callers = std::move(*callers);
    host->table = std::move(*table);
    auto advisor =
        adapter::AdvisorServer::Start(m_context, m_loop, m_advisor, host->name);
    if (!advisor) {
      return tl::unexpected(advisor.error());
    }
    host->advisor = std::move(*advisor);
    WriteSettings(*host);
    StartProcess(*host);
    m_hosts.push_back(std::move(host));
  }
  return {};
}

std::optional<std::int64_t> Fleet::IncarnationOf(
    const std::string& worker) const {
  for (const auto& machine : m_machines) {
    const sim::WorkerModel* model = machine->worker->CurrentIncarnation();
    if (machine->worker_id == worker && model != nullptr) {
      return model->Entry().id.incarnation_ms;
    }
  }
  return std::nullopt;
}

bool Fleet::HasTicket(const jobs::StartOrder& order) const {
  return !m_advised_jobs.contains(order.task.job) ||
         m_advisor.IsValid(order.ticket,
                           jobs::StepKey(order.task.job, order.task.occurrence,
                                         order.task.step),
                           order.worker, m_loop.GetClock().Now());
}

void Fleet::WriteSettings(const Host& host) const {
  constexpr int kFinishedStateSeconds = 120;
  nlohmann::json settings{
      {"host", host.name},
      {"availability_zone", host.zone},
      {"address", "127.0.0.1"},
      {"peer_port", host.peer_port},
      {"metrics_port", host.metrics_port},
      {"client_endpoint", LoopbackEndpoint(host.client_port)},
      {"ready_endpoint", LoopbackEndpoint(host.ready_port)},
      {"table_endpoint", LoopbackEndpoint(host.table->Port())},
      {"machines_endpoint", LoopbackEndpoint(m_machine_server->Port())},
      {"advice_endpoint", LoopbackEndpoint(host.advisor->Port())},
      {"processor_share", 1.0},
      {"max_worker_lease_ms", 10000},
      {"drain_ms", 2000},
      {"evacuate_ms", kEvacuationTime.count()},
      {"max_reserved_starts", m_options.max_reserved_starts},
      {"share_by_weight", m_options.share_by_weight},
      {"avoid_slow_workers", m_options.avoid_slow_workers},
      {"stop_grace_s", 6},
      {"finished_state_s", kFinishedStateSeconds + host.reloads},
      {"machine_order_lease_ms", 3000},
      {"min_relayed_workers", m_options.min_relayed_workers}};
  if (m_options.memory_mb > 0) {
    settings["memory_mb"] = m_options.memory_mb;
  }
  if (m_options.max_descriptors > 0) {
    settings["max_descriptors"] = m_options.max_descriptors;
  }
  std::ofstream(host.settings_path) << settings.dump(2) << "\n";
}

void Fleet::StartProcess(Host& host) {
  host.was_killed = false;
  host.was_stopped = false;
  host.paused = false;
  host.disrupted_until =
      std::max(host.disrupted_until, m_loop.GetClock().Now());
  ++m_process_starts;
  const auto started =
      host.process.Start(m_options.host_program, host.settings_path,
                         host.log_path, host.error_path);
  if (!started) {
    m_checker.AddViolation(started.error().message);
  }
}

void Fleet::WatchProcesses() {
  NoteLeader();
  for (const auto& host : m_hosts) {
    const auto end = host->process.TakeExitStatus();
    if (!end) {
      continue;
    }
    host->ended_at = m_loop.GetClock().Now();
    CheckEnd(*host, *end);
    if (!m_shutting_down) {
      After(kRestartDelay, [this, host = host.get()] {
        if (!m_shutting_down && !host->process.IsRunning()) {
          StartProcess(*host);
        }
      });
    }
  }
  After(kProcessCheckInterval, [this] { WatchProcesses(); });
}

void Fleet::CheckEnd(const Host& host, int status) {
  const bool killed =
      host.was_killed && WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
  // A process that has just started ends by the signal itself.
  const bool stopped =
      host.was_stopped && (WIFEXITED(status) ? WEXITSTATUS(status) == 0
                                             : WTERMSIG(status) == SIGTERM);
  if (killed || stopped) {
    return;
  }
  m_checker.AddViolation(fmt::format(
      "{} ended by itself, {}; standard error: {}; log: {}", host.name,
      WIFSIGNALED(status) ? fmt::format("signal {}", WTERMSIG(status))
                          : fmt::format("exit status {}", WEXITSTATUS(status)),
      LastBytes(host.error_path), LastBytes(host.log_path)));
}

void Fleet::WriteConfigWithGap() {
  constexpr milliseconds kGap{700};
  WriteConfig(kServices - 1);
  After(kGap, [this] { WriteConfig(); });
}

void Fleet::WriteConfig(std::size_t services) {
  m_config_version += 3;
  jobs::FleetConfig config;
  config.version = m_config_version;
  for (std::size_t i = 0; i < services; ++i) {
    config.queues.push_back({.name = "queue-" + std::to_string(i),
                             .host = "127.0.0.1",
                             .path_prefix = fmt::format("/q{}/", i),
                             .service = ServiceName(i),
                             .max_attempts = 5,
                             .stretch = 3.0,
                             .slack = milliseconds(4000),
                             .open = false,
                             .advice = {}});
    if (i < m_options.advised_services) {
      config.queues.back().advice = kAdvice;
    }
    config.services.push_back({.name = ServiceName(i)});
  }
  config.services.push_back({.name = kSparePool, .is_spare = true});
  config.customers.push_back(
      {.name = "customer", .weight = 1000, .limit = {}, .keys = {"key"}});
  m_table->Write({adapter::kOperatorTable, "", adapter::kConfigKey,
                  adapter::EncodeConfig(config), 0, false});
}

void Fleet::RequestWave() {
  host::WaveRequest wave;
  wave.wave = ++m_wave;
  wave.time_limit = std::chrono::seconds(20);
  wave.max_down = kWaveMaxDown;
  for (const auto& machine : m_machines) {
    wave.machines.push_back(machine->name);
  }
  m_table->Write({adapter::kOperatorTable, "",
                  adapter::kWavePrefix + std::to_string(wave.wave),
                  adapter::EncodeWave(wave), 0, false});
}

void Fleet::EvacuateZone(const Fault& fault) {
  const std::string zone = ZoneName(fault.target);
  m_table->Write({adapter::kOperatorTable, "",
                  adapter::kEvacuationPrefix + zone, "{}", 0, false});
  m_evacuated_since.emplace(zone, m_loop.GetClock().Now());
  After(fault.active_for, [this] { EndEvacuations(); });
}

void Fleet::EndEvacuations() {
  for (const auto& [zone, since] : std::exchange(m_evacuated_since, {})) {
    m_table->Delete({adapter::kOperatorTable, "",
                     adapter::kEvacuationPrefix + zone, "", 0, false});
  }
}

void Fleet::CheckEvacuation(const Machine& machine) {
  const base::TimePoint now = m_loop.GetClock().Now();
  const auto since = m_evacuated_since.find(machine.zone);
  if (since != m_evacuated_since.end() && now > machine.late_until &&
      now - since->second > kEvacuationTime) {
    m_checker.AddViolation(fmt::format(
        "{} got a start {} ms after its zone was evacuated", machine.worker_id,
        base::Milliseconds(now - since->second)));
  }
}

void Fleet::NoteLeader() {
  if (const auto leader = FindLeader()) {
    m_hosts[*leader]->last_led_at = m_loop.GetClock().Now();
  }
}

bool Fleet::AreSendersInTouch() const {
  // A former leader's orders may still be on their way.
  constexpr milliseconds kTermEffectTime{10000};
  const base::TimePoint now = m_loop.GetClock().Now();
  const bool any_host_relays =
      m_options.min_relayed_workers <= m_options.plan.workers;
  for (std::size_t i = 0; i < m_hosts.size(); ++i) {
    const bool may_send =
        any_host_relays || now - m_hosts[i]->last_led_at < kTermEffectTime;
    if (may_send && !IsInTouch(i)) {
      return false;
    }
  }
  return true;
}

void Fleet::NoteStart(const Machine& machine, const std::string& job) {
  NoteLeader();
  const base::TimePoint now = m_loop.GetClock().Now();
  if (now > machine.late_until && AreSendersInTouch()) {
    m_last_starts_in_touch[job] = now;
  }
}

base::TimePoint Fleet::LastStartInTouch(const std::string& job) const {
  const auto found = m_last_starts_in_touch.find(job);
  return found == m_last_starts_in_touch.end() ? base::TimePoint{}
                                               : found->second;
}

bool Fleet::IsInTouch(std::size_t host) const {
  const base::TimePoint now = m_loop.GetClock().Now();
  const Host& each = *m_hosts[host];
  return each.process.IsRunning() &&
         now - std::max(each.disrupted_until, m_table_disrupted_until) >
             kContact;
}

void Fleet::BeginIncarnation(Machine& machine) {
  machine.state = host::MachineState::kUp;
  if (machine.pool == kSparePool) {
    return;
  }
  ++machine.incarnation_number;
  if (!machine.reuses_id || machine.worker_id.empty()) {
    machine.worker_id =
        fmt::format("{}-life-{}", machine.name, machine.incarnation_number);
  }
  jobs::WorkerEntry entry;
  entry.id = {machine.worker_id,
              std::chrono::duration_cast<milliseconds>(
                  m_loop.GetClock().WallNow().time_since_epoch())
                  .count()};
  entry.service = machine.pool;
  entry.machine = machine.name;
  entry.endpoint = LoopbackEndpoint(machine.proxy->Port());
  entry.availability_zone = machine.zone;
  entry.kind = "a";
  entry.rack = "r";
  entry.capacity = kCapacity;
  m_table->Write({adapter::kWorkerTable, "", machine.worker_id,
                  adapter::EncodeWorker(entry), 0, false});
  machine.worker->BeginIncarnation(std::move(entry));
}

void Fleet::EndIncarnation(Machine& machine,
                           host::MachineState state,
                           milliseconds down) {
  machine.worker->EndIncarnation();
  machine.state = state;
  const std::string id = machine.worker_id;
  if (!machine.reuses_id) {
    machine.worker_id.clear();
  }
  After(kDelistDelay, [this, id, machine = &machine] {
    if (machine->worker_id != id) {
      m_table->Delete({adapter::kWorkerTable, "", id, "", 0, false});
    }
  });
  After(down, [this, machine = &machine] { BeginIncarnation(*machine); });
}

void Fleet::Restart(Machine& machine, milliseconds silence) {
  machine.restarting = true;
  machine.reuses_id = true;
  machine.worker->EndIncarnation();
  machine.proxy->Set({.cut_to_server = true, .cut_from_server = true});
  After(silence, [this, &machine] {
    machine.restarting = false;
    BeginIncarnation(machine);
    machine.proxy->Set({});
  });
}

Fleet::Machine* Fleet::FindMachine(const std::string& name) {
  for (const auto& machine : m_machines) {
    if (machine->name == name) {
      return machine.get();
    }
  }
  return nullptr;
}

host::MachineOrderResult Fleet::Move(const std::string& name,
                                     const std::string& pool) {
  Machine* machine = FindMachine(name);
  if (machine == nullptr || machine->state != host::MachineState::kUp ||
      machine->restarting) {
    return host::MachineOrderResult::kRefused;
  }
  if (machine->pool != pool) {
    if (!m_options.machines_move) {
      return host::MachineOrderResult::kRefused;
    }
    machine->reuses_id = false;
    machine->pool = pool;
    EndIncarnation(*machine, host::MachineState::kMoving, kMoveDuration);
  }
  return host::MachineOrderResult::kAccepted;
}

host::MachineOrderResult Fleet::Maintain(const std::string& name,
                                         std::uint64_t wave) {
  Machine* machine = FindMachine(name);
  if (machine != nullptr && machine->last_wave == wave) {
    return host::MachineOrderResult::kAccepted;
  }
  if (machine == nullptr || machine->state != host::MachineState::kUp ||
      machine->restarting) {
    return host::MachineOrderResult::kRefused;
  }
  std::size_t down = 0;
  for (const auto& other : m_machines) {
    down += other->state == host::MachineState::kMaintenance ? 1 : 0;
  }
  if (down >= kWaveMaxDown) {
    m_checker.AddViolation(fmt::format(
        "maintenance of {} begins while {} machines are down for it", name,
        down));
  }
  machine->last_wave = wave;
  machine->reuses_id = false;
  EndIncarnation(*machine, host::MachineState::kMaintenance,
                 kMaintenanceDuration);
  return host::MachineOrderResult::kAccepted;
}

void Fleet::Apply(const Fault& fault) {
  const bool delays_orders = fault.kind == FaultKind::kDelayStarts;
  const base::TimePoint over = m_loop.GetClock().Now() + fault.active_for +
                               (delays_orders ? kMaxOrderDelay : kRestartDelay);
  m_calm_since = std::max(m_calm_since, over);
  if (fault.kind != FaultKind::kCrash && fault.place != Place::kOperators) {
    m_orders_undisturbed_since = std::max(m_orders_undisturbed_since, over);
  }
  const std::size_t index = fault.target % m_hosts.size();
  Host& host = *m_hosts[index];
  const base::TimePoint end = m_loop.GetClock().Now() + fault.active_for;
  switch (fault.place) {
    case Place::kHost:
      if (fault.kind == FaultKind::kPause) {
        Pause(index, fault.active_for);
      } else if (fault.kind == FaultKind::kPauseLeader) {
        Pause(FindLeader().value_or(index), fault.active_for);
      } else {
        const bool at_leader = fault.kind == FaultKind::kKillLeader ||
                               fault.kind == FaultKind::kStopLeader;
        ApplyToHost(at_leader ? *m_hosts[FindLeader().value_or(index)] : host,
                    fault);
      }
      return;
    case Place::kHostCallers:
      host.last_fault_at = end;
      host.disrupted_until = std::max(host.disrupted_until, end);
      ApplyToLink(*host.callers, fault);
      return;
    case Place::kHostTable:
      host.last_fault_at = end;
      host.disrupted_until = std::max(host.disrupted_until, end);
      ApplyToLink(*host.table, fault);
      return;
    case Place::kWorker:
      ApplyToWorker(*m_machines[fault.target % m_machines.size()], fault);
      return;
    case Place::kTable:
      if (fault.kind == FaultKind::kCompactHistory) {
        m_table->Model().CompactHistory();
        return;
      }
      m_table_disrupted_until = std::max(m_table_disrupted_until, end);
      m_table->Faults().refuses_calls = fault.kind == FaultKind::kRefuseCalls;
      m_table->Faults().loses_some_answers =
          fault.kind == FaultKind::kLoseAnswers;
      After(fault.active_for, [this] { m_table->Faults() = {}; });
      return;
    case Place::kOperators:
      if (fault.kind == FaultKind::kWave) {
        RequestWave();
      } else if (fault.kind == FaultKind::kEvacuate) {
        EvacuateZone(fault);
      } else if (m_config_version % 2 == 0) {
        WriteConfigWithGap();
      } else {
        WriteConfig();
      }
      return;
    case Place::kCallers:
      return;
  }
}

void Fleet::ApplyToHost(Host& host, const Fault& fault) {
  const base::TimePoint now = m_loop.GetClock().Now();
  switch (fault.kind) {
    case FaultKind::kKill:
    case FaultKind::kKillLeader:
      host.last_fault_at = now;
      host.disrupted_until = std::max(host.disrupted_until, now);
      host.was_killed = true;
      host.process.Signal(SIGKILL);
      return;
    case FaultKind::kStop:
    case FaultKind::kStopLeader:
      host.stopped_at = now;
      host.disrupted_until = std::max(host.disrupted_until, now);
      host.was_stopped = true;
      host.process.Signal(SIGTERM);
      return;
    default:
      ++host.reloads;
      WriteSettings(host);
      host.process.Signal(SIGHUP);
      return;
  }
}

void Fleet::Pause(std::size_t index, milliseconds time) {
  // Requests that are sent now find the process running, or stopped already.
  constexpr milliseconds kNotice{3};
  Host& host = *m_hosts[index];
  host.last_fault_at = m_loop.GetClock().Now() + kNotice + time;
  host.disrupted_until = std::max(host.disrupted_until, host.last_fault_at);
  if (m_notify_pause) {
    m_notify_pause(index, time);
  }
  After(kNotice, [this, &host, time] {
    host.paused = true;
    host.process.Signal(SIGSTOP);
    After(time, [&host] {
      host.paused = false;
      host.process.Signal(SIGCONT);
    });
  });
}

void Fleet::ApplyToLink(LoopbackProxy& proxy, const Fault& fault) {
  switch (fault.kind) {
    case FaultKind::kReset:
      proxy.ResetConnections();
      return;
    case FaultKind::kBlackhole:
      proxy.BlackholeConnections();
      return;
    default:
      proxy.Set({.delay = fault.kind == FaultKind::kDelay ? kLinkDelay
                                                          : milliseconds(0),
                 .cut_to_server = fault.kind == FaultKind::kCutToServer ||
                                  fault.kind == FaultKind::kCut,
                 .cut_from_server = fault.kind == FaultKind::kCutFromServer ||
                                    fault.kind == FaultKind::kCut});
      After(fault.active_for, [&proxy] { proxy.Set({}); });
      return;
  }
}

void Fleet::ApplyToWorker(Machine& machine, const Fault& fault) {
  const bool delays_orders = fault.kind == FaultKind::kDelayStarts;
  machine.late_until =
      std::max(machine.late_until,
               m_loop.GetClock().Now() + fault.active_for +
                   (delays_orders ? kMaxOrderDelay : kFaultEffectTime));
  if (fault.kind == FaultKind::kCrash || fault.kind == FaultKind::kRestart) {
    if (machine.state != host::MachineState::kUp ||
        machine.worker->CurrentIncarnation() == nullptr) {
      return;
    }
    if (fault.kind == FaultKind::kRestart) {
      Restart(machine, fault.active_for);
      return;
    }
    machine.reuses_id = fault.target % 2 == 0;
    EndIncarnation(machine, host::MachineState::kDown, fault.active_for);
  } else if (fault.kind == FaultKind::kDelayStarts) {
    machine.worker->Faults().delays_starts = true;
    After(fault.active_for,
          [&machine] { machine.worker->Faults().delays_starts = false; });
  } else {
    ApplyToLink(*machine.proxy, fault);
  }
}

void Fleet::ClearFaults() {
  EndEvacuations();
  m_table->Faults() = {};
  for (const auto& host : m_hosts) {
    host->callers->Set({});
    host->table->Set({});
    if (host->paused) {
      host->paused = false;
      host->process.Signal(SIGCONT);
    }
  }
  for (const auto& machine : m_machines) {
    machine->proxy->Set({});
    machine->worker->Faults() = {};
  }
}

void Fleet::Stop() {
  m_shutting_down = true;
  for (const auto& host : m_hosts) {
    host->was_stopped = true;
    host->process.Signal(SIGCONT);
    host->process.Signal(SIGTERM);
  }
}

bool Fleet::HasEnded() const {
  return std::ranges::none_of(
      m_hosts, [](const auto& host) { return host->process.IsRunning(); });
}

std::string Fleet::CallersEndpoint(std::size_t host) const {
  return "http://" + LoopbackEndpoint(m_hosts[host]->callers->Port());
}

HostPorts Fleet::PortsOf(std::size_t host) const {
  const Host& each = *m_hosts[host];
  return {each.client_port, each.ready_port, each.peer_port, each.metrics_port};
}

std::optional<std::size_t> Fleet::FindLeader() const {
  const host::Row* row = m_table->Model().Find(
      host::kLeaderTable, host::kLeaderPart, host::kLeaderKey);
  if (row == nullptr) {
    return std::nullopt;
  }
  const std::string name = host::DecodeLeaderRow(*row).record.host;
  for (std::size_t i = 0; i < m_hosts.size(); ++i) {
    if (m_hosts[i]->name == name) {
      return i;
    }
  }
  return std::nullopt;
}

bool Fleet::HasOnlyPlannedStops(std::size_t host) const {
  const base::TimePoint now = m_loop.GetClock().Now();
  const Host& each = *m_hosts[host];
  return now - each.stopped_at < kFaultEffectTime &&
         (each.last_fault_at == base::TimePoint{} ||
          now - each.last_fault_at > kFaultEffectTime);
}

}  // namespace cassiastile::soak
