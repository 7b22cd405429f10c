#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "cassiastile/base/random.hpp"
#include "cassiastile/host/host_node.hpp"
#include "cassiastile/sim/advisor_model.hpp"
#include "cassiastile/sim/invariant_checker.hpp"
#include "cassiastile/sim/table_model.hpp"
#include "cassiastile/sim/worker_timer.hpp"

// Simulates hosts, a table, workers and machines in one process and in virtual
// time, reproducibly from one seed. The hosts run the production code;
// everything around them is a fake that injects faults and checks the
// scheduler's invariants.
namespace cassiastile::host {

// Event loop in virtual time; events at the same time run in the order in which
// they were added.
class VirtualLoop final : public Loop {
 public:
  const base::Clock& GetClock() const override { return m_clock; }
  void After(base::Duration delay, std::function<void()> callback) override;
  void RunFor(base::Duration time);
  base::TimePoint Now() const { return m_clock.Now(); }

 private:
  struct Event {
    base::TimePoint at;
    std::uint64_t number;
    std::function<void()> callback;
    bool operator>(const Event& other) const {
      return std::tie(at, number) > std::tie(other.at, other.number);
    }
  };
  base::ManualClock m_clock;
  std::uint64_t m_number = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
};

// Faults to inject; chances are probabilities from 0 to 1.
struct WorldFaults {
  // Commits and reads fail at once, feeds at the end of their wait.
  bool store_down = false;
  // Calls get no answer: they fail at their timeout, feeds at the end of their
  // wait.
  bool store_silent = false;
  // Delays a feed's answer by this time multiplied by the last digit of the
  // host's name, since hosts' links differ in speed.
  std::chrono::milliseconds feed_delay{0};
  // Commits applied without an answer.
  double lost_answer_chance = 0;
  // Time that each commit takes longer than usual.
  std::chrono::milliseconds commit_delay{0};
  // The store refuses a transaction for good if a row of a job is larger.
  std::size_t max_job_row_bytes = SIZE_MAX;
  // Time that each read takes longer than usual.
  std::chrono::milliseconds read_delay{0};
  // Commits applied 2 to 12 s later, without an answer.
  double late_commit_chance = 0;
  // Calls to workers that are carried out 2 to 12 s later, without an answer,
  // by whichever incarnation of the worker runs then.
  double late_start_chance = 0;
  double late_stop_chance = 0;
  double late_extension_chance = 0;
  // Calls to workers that are answered, but arrive up to 0.7 s later.
  double slow_call_chance = 0;
  // Other calls to workers that are carried out at once, but whose answers
  // arrive up to 0.7 s later, perhaps after those of later calls.
  double slow_answer_chance = 0;
  // Delay of every such call; no answer if it is 0.8 s or more.
  std::chrono::milliseconds start_delay{0};
  std::chrono::milliseconds stop_delay{0};
  std::chrono::milliseconds extension_delay{0};
  // Time that each order for a machine takes longer than usual.
  std::chrono::milliseconds machine_order_delay{0};
  // The next leader that records an order for a machine stands still for this
  // long, from when the record is stored and its answer is on its way.
  std::chrono::milliseconds freeze_at_order{0};
  // The same for the next leader that stores the progress of an accepted job.
  std::chrono::milliseconds freeze_at_progress{0};
  std::set<std::string> hosts_without_peers;  // No gossip either way.
  std::set<std::string> hosts_without_store;  // For them the store is down.
  std::set<std::string> silent_workers;       // Unreachable, but running.
  // The silent workers reach the table no more either: they write no entries,
  // and theirs expire.
  bool silent_workers_expire = false;
  // Calls to a worker that is down reach its next incarnation, as connections
  // that are opened to a silent address do, unless they time out before; its
  // long polls hang. Otherwise they are refused and the polls break.
  bool restarting_workers_are_silent = false;
  // Heartbeats that are written up to 1.5 s later, perhaps after those of the
  // next incarnation.
  double late_heartbeat_chance = 0;
  // Restarts of a worker after which its clock is behind, so that it has a
  // lower start time than before.
  double clock_set_back_chance = 0;
  // The placement advisor takes no calls: they get no answer, or are turned
  // away.
  bool advisor_silent = false;
  bool advisor_refuses = false;
  // Answers of the advisor that are lost.
  double lost_advice_chance = 0;
  // Machines that are missing from this many further lists.
  std::map<std::string, int> unlisted_machines;
};

// Size and seed of a simulated fleet.
struct WorldOptions {
  std::uint64_t seed = 1;
  std::size_t hosts = 6;
  // How many of the hosts, from the first on, have a larger processor share.
  std::size_t strong_hosts = 0;
  std::size_t services = 2;
  std::size_t workers_per_service = 4;
  std::int64_t tasks_per_worker = 16;
  std::size_t spare_machines = 2;
  // Machines and hosts are spread over the zones in turn.
  std::size_t zones = 1;
  // Zero: the hosts expect no evacuations.
  std::chrono::milliseconds evacuation_time{0};
  // From how many workers on other hosts relay the leader's calls.
  std::size_t min_relayed_workers = 100;
  // The queues of so many services, from the first on, have placement advice.
  // Of each four workers one may not run their steps.
  std::size_t advised_services = 0;
  jobs::AdviceConfig advice{.decision = std::chrono::milliseconds(100),
                            .period = std::chrono::milliseconds(5),
                            .validity = std::chrono::milliseconds(3000)};
  double worker_clock_rate = 1.0;  // Speed of the workers' own clocks.
  // How often each worker writes its entry; zero: only when it starts.
  std::chrono::milliseconds heartbeat{0};
  bool keep_log = false;
};

// A caller's request and what became of it.
struct CallerRequest {
  std::string method;
  std::size_t service = 0;
  std::string job;  // Empty for the length of a queue.
  // Whether the customer is the one whose job it is.
  bool is_owner = true;
  base::TimePoint sent_at{};
  int status = 0;         // 0 while there is no answer.
  bool not_sent = false;  // There was no host to connect to.
  std::string body;
};

// Whether an answer to DELETE says that the job doesn't run.
bool IsCancelAcknowledged(const CallerRequest& request);

// The simulated fleet.
class VirtualWorld {
 public:
  explicit VirtualWorld(WorldOptions options = {});
  ~VirtualWorld();

  void RunFor(std::chrono::milliseconds time) { m_loop.RunFor(time); }
  base::TimePoint Now() const { return m_loop.Now(); }
  // Submits a job to a random live host and returns its id. It has `steps`
  // steps, one after the other, with `tasks` parallel tasks each; a task takes
  // `task_duration`.
  std::string Submit(std::size_t service,
                     std::size_t steps,
                     std::uint32_t tasks,
                     std::chrono::milliseconds task_duration);
  // Makes a job up that nobody has submitted yet, for a customer's key; empty
  // for callers without one.
  std::string MakeJob(std::size_t service,
                      std::size_t steps,
                      std::uint32_t tasks,
                      std::chrono::milliseconds task_duration,
                      const std::string& key = "");
  std::string MakeLongRunningJob(std::size_t service, std::uint32_t tasks);
  // A job of one task whose specification has a payload of this many bytes.
  std::string MakeLargeJob(std::size_t service, std::size_t payload_bytes);
  // Sends a caller's request about a job to a host, which it reaches `delay`
  // later than usual. While the host is paused, it waits there. The result is
  // filled in when the answer arrives, however long that takes.
  std::shared_ptr<const CallerRequest> Send(
      std::size_t host,
      const std::string& method,
      const std::string& job,
      std::chrono::milliseconds delay = {});
  // The same by the customer with this key.
  std::shared_ptr<const CallerRequest> SendAs(
      const std::string& key,
      std::size_t host,
      const std::string& method,
      const std::string& job,
      std::chrono::milliseconds delay = {});
  // Sends a request that is about no job.
  std::shared_ptr<const CallerRequest> SendPath(std::size_t host,
                                                const std::string& method,
                                                const std::string& path);
  // Asks a host for the length of a service's queue.
  std::shared_ptr<const CallerRequest> AskQueueLength(
      std::size_t host,
      std::size_t service,
      std::chrono::milliseconds delay = {});
  // Submits the same job again and returns the HTTP status, or 0 if there was
  // no answer. Advances the time by 1.6 s; see Call.
  int SubmitAgain(const std::string& job);
  // Submits a job of one step with `tasks` long-running tasks, which run until
  // they are stopped, and returns its id.
  std::string SubmitLongRunning(std::size_t service, std::uint32_t tasks);
  // Cancels a job and returns the HTTP status, or 0 if there was no answer.
  // Advances the time by 1.6 s; see Call.
  int Cancel(const std::string& job);

  // Killing ends a host at once; stopping lets it resign.
  void KillHost(std::size_t index);
  void StartHost(std::size_t index);
  void StopHost(std::size_t index);
  // Runs no callbacks of a host for this time; others get no answer from it.
  // Calls that it sent before are carried out.
  void PauseHost(std::size_t index, std::chrono::milliseconds time);
  // Index of a host that is the leader, serves and isn't paused; empty if there
  // is none.
  std::optional<std::size_t> LeaderIndex() const;
  // Requires that there is a leader.
  const jobs::Scheduler& LeaderScheduler() const;
  // Kills a worker; a new one starts on its machine after `down`.
  void CrashWorker(const std::string& id, std::chrono::milliseconds down);
  // Kills a worker; it starts again under its id after `down`, without any
  // state, and its entry in the workers' table changes `listed_after` later.
  void RestartWorker(const std::string& id,
                     std::chrono::milliseconds down,
                     std::chrono::milliseconds listed_after);
  // Removes a worker's entry, as the table does after some missing heartbeats.
  void ExpireEntry(const std::string& id);
  // A worker says that it is about to leave. Any start that reaches it more
  // than 2 s later is a violation, unless its call is one of those that are
  // carried out late.
  void DrainWorker(const std::string& id);
  std::vector<std::string> WorkerIds() const;
  // When the lease of a running worker ends unless it is extended.
  base::TimePoint LeaseEndOf(const std::string& id) const;
  // Number of runs on a running worker now.
  std::size_t CountRunsOn(const std::string& id) const;
  // Writes a configuration whose version is 2 higher than the last one's; the
  // first has version 2.
  void PublishNextConfig();
  // The same with the first `services` only, and their queues.
  void PublishNextConfig(std::size_t services, bool has_spare_pool = true);
  // Writes a row as another program might.
  void WriteRow(Row row);
  // Hands a host a message as a peer might; the host must be running.
  void Gossip(std::size_t host, const GossipMessage& gossip);
  // Requests wave 1, with a time limit of 25 s. More than `max_down` machines
  // in maintenance at once are a violation.
  void RequestWave(const std::vector<std::string>& machines,
                   std::uint32_t max_down);
  std::vector<std::string> MachineNames() const;
  // Asks to evacuate a zone, and takes that back. A start there more than
  // `evacuation_time` after the request is a violation, unless its call is one
  // of those that are carried out late.
  void EvacuateZone(std::size_t zone);
  void EndEvacuation(std::size_t zone);
  // Number of runs on the zone's workers now.
  std::size_t CountRunsInZone(std::size_t zone) const;

  WorldFaults& Faults() { return m_faults; }
  base::Random& RandomSource() { return m_random; }

  // Descriptions of violated invariants; empty if all held.
  const std::vector<std::string>& Violations() const {
    return m_checker.Violations();
  }
  // HTTP status of each job's first submission; 0 while it has no answer.
  const std::map<std::string, int>& SubmissionStatuses() const {
    return m_submission_statuses;
  }
  std::size_t CountDoneTasks(const std::string& job) const;
  // Number of the job's runs that are running now.
  std::size_t CountRuns(const std::string& job) const;
  // Asks a host for the job's phase and returns its name, or the HTTP status as
  // text if it is not 200. Advances the time by 1.6 s; see Call.
  std::string StateOf(const std::string& job);
  bool WaveIsDone(std::uint64_t wave) const;
  // Version that a host has in force; 0 if it is not running or has none.
  std::uint64_t ConfigVersionOf(std::size_t host) const;
  // The configuration that a running host has in force; null if it has none.
  std::shared_ptr<const jobs::FleetConfig> ConfigOf(std::size_t host) const;
  // Number of starts that workers refused for their fencing token.
  std::uint64_t FencedStarts() const { return m_fenced_starts; }
  std::uint64_t StoreCalls() const { return m_store_calls; }
  const sim::AdvisorModel& Advisor() const { return m_advisor; }
  // Number of batches of calls that hosts got for the leader.
  std::uint64_t RelayBatches() const { return m_relay_batches; }
  std::uint64_t StartsSent() const { return m_starts_sent; }
  // Number of starts and lease extensions with a deadline that an incarnation
  // other than the intended one got.
  std::uint64_t CallsToNextIncarnations() const {
    return m_calls_to_next_incarnations;
  }
  // Number of configurations that hosts got from peers.
  std::uint64_t ConfigsFromPeers() const { return m_configs_from_peers; }
  // The hosts' log lines, if `keep_log` is set.
  const std::string& Log();
  // Number of tasks of a submitted job.
  std::size_t TaskCountOf(const std::string& job) const {
    return m_task_counts.at(job);
  }

 private:
  friend class WorldStore;
  friend class WorldWorkers;
  friend class WorldMachines;
  friend class WorldPeers;
  friend class WorldAdvice;
  struct Host;
  struct Worker;
  struct Machine;

  // Runs `callback` once after a delay, whichever hosts are killed meanwhile;
  // callbacks of one host go through its HostLoop instead.
  void Post(std::chrono::microseconds delay, std::function<void()> callback);
  // Draws true with this probability.
  bool Chance(double probability);
  // When a call to a worker is carried out, and whether it is answered.
  struct Delivery {
    std::chrono::microseconds delay{0};
    bool answered = true;
    std::chrono::microseconds answer_delay{0};  // Besides the usual one.
  };
  Delivery DrawDelivery(double late_chance,
                        std::chrono::milliseconds fixed_delay);
  // Draws the delay of a late call or commit, from 2 to 12 s.
  std::chrono::milliseconds RandomLateDelay();

  // Runs `call` on the host with this endpoint once it isn't paused, or `fail`
  // with true if there is none.
  void CallHost(const std::string& endpoint,
                const std::function<void(HostNode&)>& call,
                const std::function<void(bool refused)>& fail);

  // The table.
  TransactionReply Apply(const RowTransaction& transaction);
  void WakeFeeds();

  // Workers.
  void StartWorker(const std::string& machine);
  // Starts an incarnation of a worker; its entry must still be published.
  jobs::WorkerEntry StartIncarnation(Machine& machine, const std::string& id);
  // The worker that runs under the id, whichever its incarnation, or null.
  Worker* FindLiveWorker(const jobs::WorkerId& id);
  // Counts a call that has a deadline if `worker` is not its intended
  // incarnation.
  void CountDeadline(const Worker& worker, const jobs::WorkerId& intended);
  void TerminateWorker(Worker& worker);
  // Writes a worker's row to the workers' table.
  void PublishWorkerEntry(const jobs::WorkerEntry& entry);
  // Writes the rows of all workers that beat, and arms the next heartbeat.
  void Beat();
  // `in_touch` says whether the host that sent the start was in touch.
  jobs::StartResult StartRun(Worker& worker,
                             const jobs::StartOrder& order,
                             std::uint64_t fence,
                             std::chrono::milliseconds until,
                             bool is_late,
                             bool in_touch);
  // Checks that no two incarnations of a worker are called with one fencing
  // token: the later one would carry out what was meant for the other.
  void CheckFence(const WorkerAddress& address, std::uint64_t fence);
  bool StopRun(Worker& worker,
               const jobs::StopOrder& order,
               std::uint64_t fence);
  // Sets a timer to update a worker when its next run or its lease ends.
  void ArmWorkerTimer(Worker& worker);
  void AnswerPolls(Worker& worker);
  std::chrono::milliseconds StoreClock() const;
  void AddViolation(std::string what);
  static wire::HttpRequest MakeRequest(const std::string& method,
                                       const std::string& path,
                                       const std::string& key);
  wire::HttpRequest MakeRequest(const std::string& method,
                                const std::string& job) const;
  std::string MakeJobId();
  // Sends a request to the first live host and returns the HTTP status after
  // 1.6 s, or 0 if there was no answer by then. A host answers within 1.5 s.
  int Call(const std::string& method,
           const std::string& job,
           std::string* body = nullptr);
  // Tells the checker of a request, and of its answer.
  CallerRequest NoteSent(const std::string& method, const std::string& job);
  void NoteAnswer(const CallerRequest& request);
  void SendRequest(std::size_t host,
                   const wire::HttpRequest& http,
                   const std::shared_ptr<CallerRequest>& request,
                   std::chrono::milliseconds delay);
  void Deliver(std::size_t host,
               const wire::HttpRequest& http,
               const std::shared_ptr<CallerRequest>& request);
  std::string MakeJobOf(std::size_t service,
                        const std::string& text,
                        std::size_t tasks,
                        const std::string& key);
  // Submits a job that MakeJob returned to a random live host.
  std::string SubmitJob(std::string job);
  // Removes the entries of workers that have been silent for long.
  void ExpireSilentEntries();
  // The start time of the worker that runs under this id, or nothing.
  std::optional<std::int64_t> IncarnationOf(const std::string& id) const;
  // Whether the start has the ticket that it needs.
  bool HasValidTicket(const Worker& worker,
                      const jobs::StartOrder& order) const;
  // Notes disruptions and checks cancelled jobs, periodically.
  void Supervise();
  // Whether faults of the store are injected now, and of anything.
  bool IsCoreDisturbed() const;
  bool IsDisturbed() const;

  WorldOptions m_options;
  VirtualLoop m_loop;
  base::Random m_random;
  WorldFaults m_faults;
  std::vector<std::unique_ptr<Host>> m_hosts;
  std::vector<std::unique_ptr<Host>> m_dead_hosts;
  sim::TableModel m_table;
  sim::InvariantChecker m_checker;  // Uses the loop's clock.
  sim::AdvisorModel m_advisor;
  std::uint64_t m_store_calls = 0;
  std::uint64_t m_starts_sent = 0;
  std::uint64_t m_calls_to_next_incarnations = 0;
  std::uint64_t m_fenced_starts = 0;
  std::uint64_t m_relay_batches = 0;
  // Workers that lease extensions did not reach since one with the same or a
  // newer fencing token did, whichever host sent them, with their tokens.
  std::set<std::pair<std::string, std::uint64_t>> m_unreached;
  // The start time of the incarnation for which a fencing token was used, by
  // worker and token.
  std::map<std::pair<std::string, std::uint64_t>, std::int64_t> m_fenced_for;
  std::uint64_t m_configs_from_peers = 0;
  std::vector<std::function<bool()>> m_feeds;
  std::map<std::string, std::unique_ptr<Worker>> m_workers;
  std::map<std::string, Machine> m_machines;
  std::uint64_t m_started_workers = 0;
  std::uint32_t m_max_down = 0;  // Of the wave.
  // Since when workers have been silent, where their entries expire.
  std::map<std::string, base::TimePoint> m_silent_since;
  // When the evacuation of each zone was asked for.
  std::map<std::string, base::TimePoint> m_evacuated_since;
  std::map<std::string, std::size_t> m_job_service;
  std::map<std::string, std::string> m_job_key;
  // The last disruption of the store, and of anything.
  base::TimePoint m_core_disturbed_at{};
  base::TimePoint m_disturbed_at{};
  std::map<std::string, std::size_t> m_task_counts;
  std::map<std::string, int> m_submission_statuses;
  std::uint64_t m_config_version = 0;
  std::string m_log_text;
};

}  // namespace cassiastile::host
