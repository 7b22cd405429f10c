#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

#include "cassiastile/host/asio_loop.hpp"
#include "cassiastile/sim/invariant_checker.hpp"
#include "cassiastile/soak/host_process.hpp"
#include "cassiastile/soak/loopback_proxy.hpp"
#include "cassiastile/soak/soak.hpp"
#include "standin/servers.hpp"

namespace cassiastile::soak {

inline constexpr std::size_t kServices = 2;
// A host is in touch again so long after it, its links or the table were
// disrupted.
inline constexpr std::chrono::milliseconds kContact{3000};

// The ports that a host listens on, without a proxy between.
struct HostPorts {
  std::uint16_t callers = 0;
  std::uint16_t readiness = 0;
  std::uint16_t peers = 0;
  std::uint16_t metrics = 0;
};

std::string ServiceName(std::size_t index);

// The host processes, and the stand-in platform services around them: the
// table, the machines and the workers. Must be used on the thread that runs
// `context`.
class Fleet {
 public:
  // `context`, `loop` and `options` must outlive the fleet. Fails if a server
  // or a proxy can't be started.
  static base::Result<std::unique_ptr<Fleet>> Start(asio::io_context& context,
                                                    host::Loop& loop,
                                                    const SoakOptions& options);
  ~Fleet();

  // Injects a fault, or carries out an action of the operators.
  void Apply(const Fault& fault);
  // Ends all faults that have a duration. Hosts that are down restart as usual.
  void ClearFaults();
  // Asks all processes to exit; HasEnded tells when all have.
  void Stop();
  bool HasEnded() const;

  std::size_t HostCount() const { return m_hosts.size(); }
  std::string CallersEndpoint(std::size_t host) const;
  HostPorts PortsOf(std::size_t host) const;
  // The id of the host's process; zero while it is not running.
  pid_t ProcessIdOf(std::size_t host) const {
    return m_hosts[host]->process.Id();
  }
  // The index of the host that the table names as the leader, if there is one.
  std::optional<std::size_t> FindLeader() const;
  // When the host's process last ended; zero if it never has.
  base::TimePoint EndedAt(std::size_t host) const {
    return m_hosts[host]->ended_at;
  }
  // Whether the host had a planned stop (SIGTERM) and no other fault within the
  // last 4 s, for which a fault has effects.
  bool HasOnlyPlannedStops(std::size_t host) const;
  // Whether the host's process has run, and neither it, its links nor the table
  // have been disrupted, for kContact.
  bool IsInTouch(std::size_t host) const;
  // The last start of one of the job's tasks that a host in touch sent and that
  // nothing held up on its way; zero if there was none.
  base::TimePoint LastStartInTouch(const std::string& job) const;
  // Calls `notify` with the host and the duration just before a host is paused.
  void OnPause(
      std::function<void(std::size_t, std::chrono::milliseconds)> notify) {
    m_notify_pause = std::move(notify);
  }
  // Since when nothing has been disrupted; lies in the future while something
  // is.
  base::TimePoint CalmSince() const { return m_calm_since; }
  // The same for what may hold up a host's orders: a worker that ends and what
  // the operators ask for don't.
  base::TimePoint OrdersUndisturbedSince() const {
    return m_orders_undisturbed_since;
  }
  sim::InvariantChecker& Checker() { return m_checker; }
  // A job of this queue will be submitted.
  void NoteQueue(const std::string& job, std::size_t queue) {
    if (queue < m_options.advised_services) {
      m_advised_jobs.insert(job);
    }
  }
  std::size_t ProcessStarts() const { return m_process_starts; }

 private:
  struct Host {
    std::string name;
    std::string zone;
    std::string settings_path;
    std::string log_path;
    std::string error_path;
    std::uint16_t peer_port = 0;
    std::uint16_t metrics_port = 0;
    std::uint16_t client_port = 0;
    std::uint16_t ready_port = 0;
    std::unique_ptr<LoopbackProxy> callers;
    std::unique_ptr<LoopbackProxy> table;
    std::unique_ptr<adapter::AdvisorServer> advisor;
    HostProcess process;
    // What this program has done that may end the process.
    bool was_killed = false;
    bool was_stopped = false;
    bool paused = false;
    int reloads = 0;
    base::TimePoint stopped_at{};
    base::TimePoint ended_at{};
    // End of the last fault other than a planned stop; may lie in the future.
    base::TimePoint last_fault_at{};
    // End of the last disruption of any kind; may lie in the future.
    base::TimePoint disrupted_until{};
    base::TimePoint last_led_at{};  // When the table last named it the leader.
  };
  struct Machine {
    std::string name;
    std::string pool;
    host::MachineState state = host::MachineState::kUp;
    std::unique_ptr<adapter::WorkerServer> worker;
    std::unique_ptr<LoopbackProxy> proxy;
    std::uint64_t incarnation_number = 0;
    bool reuses_id = false;  // The next incarnation has the same worker id.
    bool restarting = false;
    std::string worker_id;
    std::uint64_t last_wave = 0;  // The last wave that maintained it.
    std::string zone;
    // Orders to its worker may arrive late until then.
    base::TimePoint late_until{};
  };

  Fleet(asio::io_context& context,
        host::Loop& loop,
        const SoakOptions& options);
  base::Result<void> StartPlatform();
  base::Result<void> StartHosts();
  void WriteSettings(const Host& host) const;
  // The start time of the worker that runs under this id, or nothing.
  std::optional<std::int64_t> IncarnationOf(const std::string& worker) const;
  bool HasTicket(const jobs::StartOrder& order) const;
  void StartProcess(Host& host);
  void WatchProcesses();
  // Adds a violation for an end of a process that this program didn't cause, or
  // that isn't what a planned stop looks like.
  void CheckEnd(const Host& host, int status);
  // A planned change of the configuration, which lacks a service and its queue
  // for a moment.
  void WriteConfigWithGap();
  // The version has the first `services` only, and their queues.
  void WriteConfig(std::size_t services = kServices);
  // Writes entries into the list of workers that name no worker to use, as
  // another writer might.
  void WriteOddEntries();
  void RequestWave();
  void EvacuateZone(const Fault& fault);
  void EndEvacuations();
  // Adds a violation for a start on a machine of an evacuated zone, unless its
  // order may have been held up on its way.
  void CheckEvacuation(const Machine& machine);
  void NoteStart(const Machine& machine, const std::string& job);
  // Whether every host that may have sent an order lately is in touch.
  bool AreSendersInTouch() const;
  void NoteLeader();
  void BeginIncarnation(Machine& machine);
  void EndIncarnation(Machine& machine,
                      host::MachineState state,
                      std::chrono::milliseconds down);
  // Restarts the worker under its id without a word; its machine stays up.
  void Restart(Machine& machine, std::chrono::milliseconds silence);
  host::MachineOrderResult Move(const std::string& name,
                                const std::string& pool);
  host::MachineOrderResult Maintain(const std::string& name,
                                    std::uint64_t wave);
  Machine* FindMachine(const std::string& name);
  void ApplyToHost(Host& host, const Fault& fault);
  void Pause(std::size_t index, std::chrono::milliseconds time);
  void ApplyToLink(LoopbackProxy& proxy, const Fault& fault);
  void ApplyToWorker(Machine& machine, const Fault& fault);
  void After(std::chrono::milliseconds delay, std::function<void()> run);

  asio::io_context& m_context;
  host::Loop& m_loop;
  const SoakOptions& m_options;
  sim::AdvisorModel m_advisor;
  std::set<std::string> m_advised_jobs;
  sim::InvariantChecker m_checker;
  std::unique_ptr<adapter::TableServer> m_table;
  std::unique_ptr<adapter::MachineServer> m_machine_server;
  std::vector<std::unique_ptr<Machine>> m_machines;
  std::vector<std::unique_ptr<Host>> m_hosts;
  base::TimePoint m_calm_since{};
  base::TimePoint m_table_disrupted_until{};
  std::map<std::string, base::TimePoint> m_last_starts_in_touch;  // By job.
  std::function<void(std::size_t, std::chrono::milliseconds)> m_notify_pause;
  base::TimePoint m_orders_undisturbed_since{};
  std::uint64_t m_config_version = 0;
  std::uint64_t m_wave = 0;
  std::map<std::string, base::TimePoint> m_evacuated_since;  // By zone.
  std::size_t m_process_starts = 0;
  bool m_shutting_down = false;
  host::Lifetime m_lifetime;
};

}  // namespace cassiastile::soak
