// A small deployment on loopback: the platform (store, list of machines,
// advice) and the runners as stand-ins, the project's own processes, and
// clients.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>
#include <nlohmann/json.hpp>

#include "http.hpp"

namespace review {

using Json = nlohmann::json;

// Milliseconds of a steady clock since the program began, and since 1970.
std::int64_t Now();
std::int64_t WallNow();
void Sleep(std::int64_t duration);

// What was sent, answered and run, a line each.
class Record {
 public:
  explicit Record(const std::string& path);
  void Write(const std::string& line);

 private:
  std::mutex m_mutex;
  std::ofstream m_file;
};

// The platform's store.
class Store {
 public:
  // The limits of a value and of a call, as the pages state them.
  static constexpr std::size_t kRowBytes = 65536;
  static constexpr std::size_t kCallBytes = 1U << 20U;
  static constexpr std::size_t kCallEntries = 100;
  static constexpr std::size_t kPageRows = 500;

  explicit Store(Record& record);

  std::uint16_t Port() const { return m_server->Port(); }
  void Put(const std::string& table,
           const std::string& key,
           const std::string& value);
  void Drop(const std::string& table, const std::string& key);
  std::size_t RefusedCalls() const { return m_refused; }
  void Close();

 private:
  struct Row {
    std::string value;  // Base64.
    std::uint64_t version = 0;
    bool deleted = false;
  };
  // Table, part, key.
  using Key = std::tuple<std::string, std::string, std::string>;

  Response Handle(const Request& request);
  Response Commit(const Request& request);
  Response Read(const Request& request);
  Response Feed(const Request& request);
  Json Describe(const Key& key, const Row& row) const;
  Json Answer(Json rows) const;
  std::string CheckCall(const Json& call, std::size_t size) const;
  void Change(const Key& key, Row row);

  Record& m_record;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<Key, Row> m_rows;
  std::map<std::uint64_t, std::vector<Key>> m_history;
  std::uint64_t m_version = 1;
  std::atomic<std::size_t> m_refused{0};
  std::atomic<bool> m_closing{false};
  std::unique_ptr<Server> m_server;
};

struct Resources {
  std::int64_t cpu = 0;
  std::int64_t mem_mb = 0;
};

// What a task does once it is started: ends after some time, or crashes its
// runner before the start is answered.
struct Behaviour {
  std::int64_t work_ms = 100;  // Negative: until it is stopped.
  std::string how = "done";
  bool crashes_runner = false;
  // If not 0, the start gets no answer and is carried out this much later.
  std::int64_t late_ms = 0;
};

struct TaskName {
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;
};

std::optional<TaskName> ParseTask(const std::string& text);

class World;

// The runners of one machine: each life of it is a runner with an id of its
// own, at the same address.
class Runner {
 public:
  Runner(World& world, std::string id, std::string machine, std::string rack);

  // Ends runs and leases that are due, and writes the heartbeat.
  void Advance();
  // Ends this life now; the next one begins some time later.
  void Restart();
  Json DescribeMachine();
  const std::string& Id() const { return m_id; }
  std::size_t Running();
  void Close();

 private:
  struct Run {
    std::int64_t number = 0;
    std::int64_t ends_at = 0;
    std::int64_t began = 0;
    std::string how;
    Resources need;
  };
  struct End {
    std::uint64_t sequence = 0;
    std::string task;
    std::int64_t run = 0;
    std::string how;
  };

  void Begin();
  // Ends this life; the next one begins after the time.
  void Crash(std::int64_t down_ms);
  Response Handle(const Request& request);
  Response Start(const Json& body, bool is_late);
  void StartLate(const Json& body, std::int64_t late_ms);
  Response Stop(const Json& body);
  Response Hold(const Json& body, std::unique_lock<std::mutex>& lock);
  Response Refuse(const std::string& reason);
  Response Confirm();
  bool Fenced(const Json& body);
  void TakeLease(const Json& body);
  void EndRun(std::string task, std::string how);
  std::int64_t Clock() const { return Now() - m_began; }
  bool HasRoom(const Resources& need) const;

  World& m_world;
  std::string m_prefix;
  std::string m_id;
  std::string m_machine;
  std::string m_rack;
  std::uint16_t m_port = 0;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::unique_ptr<Server> m_server;
  bool m_up = false;
  std::int64_t m_life = 0;
  std::int64_t m_back_at = 0;
  std::int64_t m_began = 0;
  std::int64_t m_born = 0;
  std::int64_t m_last_beat = -1000000;
  std::uint64_t m_beats = 0;
  std::uint64_t m_fence = 0;
  std::int64_t m_lease = 0;
  std::uint64_t m_last_end = 0;
  std::map<std::string, Run> m_runs;
  std::map<std::string, std::int64_t> m_highest;  // Stopped or ended, by task.
  std::vector<End> m_ends;
  // Former ids, and when their entries in the store lapse.
  std::vector<std::pair<std::string, std::int64_t>> m_gone;
};

struct Start {
  std::int64_t at = 0;
  std::string task;
  std::int64_t run = 0;
  std::string runner;
};

struct FinishedRun {
  std::int64_t at = 0;
  std::string task;
  std::int64_t run = 0;
  std::string how;
};

struct WorldOptions {
  std::size_t hosts = 6;
  std::size_t runners = 9;
  bool gives_advice = false;
  // Whether the lives of a machine's runner have the same id.
  bool keeps_ids = false;
  std::uint32_t max_attempts = 4;
};

// What the versions of the configuration differ in.
struct Configuration {
  bool has_route = true;  // The one that the clients use at first.
  bool has_second_key = true;
  // If not 0, there is one more route, with this objective.
  std::int64_t added_slo_ms = 0;
};

// The answers of one client to its attempts to hand a job in.
struct Submission {
  std::string id;
  bool accepted = false;
  bool rejected = false;  // All attempts were rejected.
  std::int64_t sent_at = 0;
  std::int64_t accepted_at = 0;
};

class World {
 public:
  static constexpr std::int64_t kRunnerCpu = 16000;
  static constexpr std::int64_t kRunnerMemory = 65536;
  static constexpr char kService[] = "huvo11a";
  static constexpr char kHost[] = "pule25.example";
  static constexpr char kPrefix[] = "/puxa400/";
  static constexpr char kAddedPrefix[] = "/tije37/";
  static constexpr char kKey[] = "sjnbanfqasnmgkcuyj8p";
  static constexpr char kSecondKey[] = "jbvk9m68k7b2ex5wa5xw";

  World(WorldOptions options, const std::string& record_path);
  ~World();

  // Starts the project's processes. Whether all are ready in time.
  bool StartHosts();

  // Writes the next version of the configuration.
  void WriteConfig(const Configuration& configuration);

  // Hands a job in as a client does: again after no answer, 502 or 504 and,
  // later, after a rejection. Blocks.
  Submission Submit(const std::string& id, const Json& job, int attempts = 5);
  // The state that one of the nodes gives, or "410"; empty without an answer.
  std::string State(const std::string& id);

  // One call of a client, at the next node.
  std::optional<Response> Call(const std::string& method,
                               const std::string& path,
                               const std::string& key,
                               const std::string& body);

  std::string NewId();
  Record& Log() { return m_record; }
  Store& GetStore() { return m_store; }
  std::vector<std::unique_ptr<Runner>>& Runners() { return m_runners; }
  const WorldOptions& Options() const { return m_options; }

  // Set by a case before the start.
  std::function<Behaviour(const TaskName&, std::int64_t run)> behave;
  std::function<bool(const std::string& step, const std::string& runner)>
      allows;

  // Starts the processes of the project that have ended by themselves again.
  void RestartEnded();
  // How often each of them has ended so.
  std::vector<std::size_t> EndsOfHosts() const;

  // Makes the job known to the runners, as one that a client may send.
  void Expect(const std::string& id, const Json& job);

  // Called by runners.
  std::optional<Json> StepOf(const TaskName& task);
  void Started(const std::string& task,
               std::int64_t run,
               const std::string& runner);
  void Ended(const std::string& task, std::int64_t run, const std::string& how);
  // An `ack_seq` has reached the end of the run.
  void Noted(const std::string& task, std::int64_t run);
  bool TakesTicket(const std::string& task,
                   const std::string& runner,
                   const std::string& ticket);

  // When the end of the run was taken note of, if it was.
  std::optional<std::int64_t> NotedAt(const std::string& task,
                                      std::int64_t run);
  std::vector<Start> Starts();
  std::vector<FinishedRun> Ends();
  // Share of the runners' processor capacity in use, 0 to 1.
  double Used();

 private:
  struct HostProcess {
    pid_t pid = -1;
    std::uint16_t front = 0;
    std::uint16_t ready = 0;
    std::string name;
    std::string settings;
    std::string log;
    std::size_t ends = 0;
  };

  void PrepareHost(std::size_t index);
  void StartProcess(std::size_t index);
  Response ListMachines();
  Response Advise(const Request& request);

  WorldOptions m_options;
  Record m_record;
  std::string m_folder;
  Store m_store;
  std::unique_ptr<Server> m_machines;
  std::unique_ptr<Server> m_advice;
  std::mutex m_advice_mutex;
  std::vector<std::unique_ptr<Runner>> m_runners;
  std::vector<HostProcess> m_hosts;
  std::mutex m_mutex;
  std::map<std::string, Json> m_jobs;
  std::vector<Start> m_starts;
  std::vector<FinishedRun> m_ends;
  std::map<std::pair<std::string, std::int64_t>, std::int64_t> m_noted;
  // By ticket: step, runner and the time until which it is valid.
  std::map<std::string, std::tuple<std::string, std::string, std::int64_t>>
      m_tickets;
  std::uint64_t m_next_ticket = 0;
  std::uint64_t m_version = 4;
  std::atomic<std::size_t> m_next_host{0};
  std::atomic<bool> m_ending{false};
  std::thread m_ticker;
};

}  // namespace review
