// The hosts, the clients and the checks that all plays share.
#pragma once

#include <sys/types.h>

#include "platform.hpp"

namespace review {

struct PlayOptions {
  std::string name;     // Of the play.
  bool trouble = true;  // Whether the disruption happens.
  std::string program;  // cassia-host.
  std::string folder;   // For settings and logs.
};

// A process of the system.
struct HostProcess {
  std::string name;
  std::string settings_path;
  std::string log_path;
  std::uint16_t client_port = 0;
  std::uint16_t ready_port = 0;
  pid_t pid = 0;
  int ends = 0;  // How often it ended without being told to.
};

// One deployment: the platform, its runners, the hosts and the clients.
class World {
 public:
  World(asio::io_context& context, Record& record, const PlayOptions& options);
  ~World();

  // Writes the settings and starts the processes.
  void StartHosts(std::size_t count, std::uint16_t advice_port);
  // Waits until all hosts are ready; returns whether they are in time.
  awaitable<bool> AwaitReady(milliseconds time);
  void KillHosts();
  // Starts again what has ended, as the platform does.
  awaitable<void> WatchHosts();
  void Signal(std::size_t host, int signal);
  // The index of the host that was elected last, by the hosts' logs.
  std::optional<std::size_t> FindLeader() const;
  std::vector<HostProcess>& Hosts() { return m_hosts; }

  // Adds a job without sending it.
  JobPlan& NewJob(JobPlan job);
  // Hands the job in, with up to four retries at other hosts. Returns the last
  // status, 0 without an answer.
  awaitable<int> Submit(std::string job);
  // Asks for the job's state until there is an answer; "410" if it is gone,
  // empty if there was no answer in time.
  awaitable<std::string> Ask(std::string job, milliseconds time);
  awaitable<int> Send(std::string method,
                      std::string prefix,
                      std::string job,
                      std::string key);

  // Whether all tasks of the step before have ended `done`, the occurrence is
  // due, and a task of the step has not ended `done`.
  bool HasTurn(const JobPlan& job) const;
  bool IsDone(const JobPlan& job) const;
  bool HasLiveRun(const std::string& job) const;

  // Watches unfinished jobs for some seconds. Returns those that had nothing
  // running for 3 s while a task's turn had come and capacity was free.
  awaitable<std::vector<std::string>> FindStalledJobs();

  asio::io_context& context;
  Record& record;
  const PlayOptions& options;
  Ledger ledger;
  Store store;
  Runners runners;

 private:
  void Spawn(HostProcess& host);

  std::vector<HostProcess> m_hosts;
  std::size_t m_next_host = 0;
  bool m_stopping = false;
};

inline constexpr char kClientHost[] = "plays.example";

// A route of the configuration.
Json Route(const std::string& name, const std::string& service);

// The plays. Each returns the exit status: 0 if the rule held, 1 if it was
// broken, 2 if the play could not run.
awaitable<int> PlayTimetable(World& world);
awaitable<int> PlayAdvisedGang(World& world);
awaitable<int> PlayFarAdvice(World& world);
awaitable<int> PlayAdviceBurst(World& world);
awaitable<int> PlayRelease(World& world);
awaitable<int> PlayLateStart(World& world);

}  // namespace review
