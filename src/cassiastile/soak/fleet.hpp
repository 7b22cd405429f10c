#pragma once

#include <map>
#include <memory>
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

std::string ServiceName(std::size_t index);

// The processes of the hosts, and what the platform runs around them.
class Fleet {
 public:
  static base::Result<std::unique_ptr<Fleet>> Start(asio::io_context& context,
                                                    host::Loop& loop,
                                                    const SoakOptions& options);
  ~Fleet();

  void Apply(const Fault& fault);
  // Ends all faults that last; hosts that are down start again.
  void Heal();
  // Asks all processes to end; returns whether all have.
  void Stop();
  bool HasEnded() const;

  std::size_t Hosts() const { return m_hosts.size(); }
  std::string CallersEndpoint(std::size_t host) const;
  // Whether a planned stop is all that a host has seen lately.
  bool HasOnlyPlannedStops(std::size_t host) const;
  sim::InvariantChecker& Checker() { return m_watch; }
  std::size_t Starts() const { return m_starts; }

 private:
  struct Host {
    std::string name;
    std::string settings_path;
    std::string log_path;
    std::uint16_t peer_port = 0;
    std::uint16_t metrics_port = 0;
    std::uint16_t client_port = 0;
    std::uint16_t ready_port = 0;
    std::unique_ptr<LoopbackProxy> callers;
    std::unique_ptr<LoopbackProxy> table;
    HostProcess process;
    bool end_expected = false;
    bool paused = false;
    int reloads = 0;
    base::TimePoint stopped_at{};
    base::TimePoint harmed_at{};  // By anything but a planned stop.
  };
  struct Machine {
    std::string name;
    std::string pool;
    host::MachineState state = host::MachineState::kUp;
    std::unique_ptr<adapter::WorkerServer> worker;
    std::unique_ptr<LoopbackProxy> proxy;
    std::uint64_t life = 0;
    bool keeps_id = false;  // The next life has the same id.
    std::string id;
    std::uint64_t upkeeps = 0;  // The last wave that it had.
  };

  Fleet(asio::io_context& context,
        host::Loop& loop,
        const SoakOptions& options);
  base::Result<void> StartPlatform();
  base::Result<void> StartHosts();
  void WriteSettings(const Host& host) const;
  void StartProcess(Host& host);
  void WatchProcesses();
  void WriteConfig();
  void RequestWave();
  void BeginIncarnation(Machine& machine);
  void EndIncarnation(Machine& machine,
                      host::MachineState state,
                      std::chrono::milliseconds down);
  host::MachineOrderResult Move(const std::string& name,
                                const std::string& pool);
  host::MachineOrderResult Maintain(const std::string& name,
                                    std::uint64_t wave);
  Machine* FindMachine(const std::string& name);
  void ApplyToHost(Host& host, const Fault& fault);
  void ApplyToLink(LoopbackProxy& proxy, const Fault& fault);
  void ApplyToWorker(Machine& machine, const Fault& fault);
  void After(std::chrono::milliseconds delay, std::function<void()> run);

  asio::io_context& m_context;
  host::Loop& m_loop;
  const SoakOptions& m_options;
  sim::InvariantChecker m_watch;
  std::unique_ptr<adapter::TableServer> m_table;
  std::unique_ptr<adapter::MachineServer> m_machine_server;
  std::vector<std::unique_ptr<Machine>> m_machines;
  std::vector<std::unique_ptr<Host>> m_hosts;
  std::uint64_t m_config_version = 0;
  std::uint64_t m_wave = 0;
  std::size_t m_starts = 0;
  bool m_ending = false;
  host::Lifetime m_lifetime;
};

}  // namespace cassiastile::soak
