// Stand-ins of the platform's store, its runners, its advisor and its list of
// machines. They follow the users' protocol and inject no faults by themselves.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include <nlohmann/json.hpp>

#include "http.hpp"

namespace review {

using Json = nlohmann::json;

// Milliseconds since the program's start, by the steady clock.
std::int64_t Now();
// Milliseconds since 1970.
std::int64_t WallNow();
std::string EncodeBase64(const std::string& bytes);

// Lines of what was sent, answered and run, with their times.
class Record {
 public:
  static std::unique_ptr<Record> Open(const std::string& path);
  void Line(const std::string& text);

 private:
  explicit Record(std::FILE* file) : m_file(file, &std::fclose) {}

  std::unique_ptr<std::FILE, int (*)(std::FILE*)> m_file;
};

// One step of a job as the runners carry it out.
struct StepPlan {
  std::uint32_t count = 1;
  std::int64_t cpu = 500;
  std::int64_t memory_mb = 256;
  std::int64_t work_ms = 500;
  bool checkpointing = false;
  bool gang = false;
};

// A job of a client and what became of it.
struct JobPlan {
  std::string id;
  std::string prefix;  // Of its queue.
  std::string key;     // Of its tenant; empty where the queue is public.
  std::vector<StepPlan> steps;
  std::uint32_t repeats = 0;
  std::int64_t start_at_ms = 0;
  std::int64_t interval_ms = 0;
  // Its runners leave the first order to start one of its tasks unanswered and
  // carry it out after this time; 0 if they answer.
  std::int64_t first_start_late_ms = 0;
  bool is_accepted = false;
  bool is_cancelled = false;

  std::string Body() const;
  std::string Spec() const { return "work of " + id; }
};

// One start of a task on a runner.
struct RunRecord {
  std::string task;
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t run = 0;
  std::string runner;
  std::int64_t began_ms = 0;
  std::int64_t ended_ms = 0;  // 0 while it runs.
  std::string how;
  bool is_noted = false;  // Its end was acknowledged.
};

// All jobs and runs of the play.
struct Ledger {
  std::map<std::string, JobPlan> jobs;
  std::vector<std::unique_ptr<RunRecord>> runs;
  std::vector<RunRecord*> live;
  Record* record = nullptr;
};

// The platform's store of rows.
class Store {
 public:
  struct Limits {
    std::size_t row_bytes = 65536;
    std::size_t entries = 100;
    std::size_t call_bytes = 1000000;
  };

  Store(asio::io_context& context, Record& record);

  std::uint16_t Port() const { return m_server.Port(); }
  // Writes of the operator and of the runners.
  void Put(const std::string& table,
           const std::string& key,
           const std::string& value);
  void Drop(const std::string& table, const std::string& key);
  std::uint64_t RefusedAsTooLarge() const { return m_too_large; }
  std::size_t LargestRow() const { return m_largest_row; }

 private:
  using Key = std::tuple<std::string, std::string, std::string>;
  struct Value {
    std::string bytes;  // Base64.
    std::uint64_t version = 0;
  };
  struct Change {
    Key key;
    std::uint64_t version = 0;
    bool is_dropped = false;
  };

  awaitable<HttpResponse> Handle(HttpRequest request);
  HttpResponse Commit(const std::string& body);
  HttpResponse Read(const HttpRequest& request) const;
  awaitable<HttpResponse> Feed(HttpRequest request);
  HttpResponse Refuse(const std::string& why);
  Json RowOf(const Key& key) const;
  std::string Rows(Json rows, bool has_more) const;

  Record& m_record;
  Limits m_limits;
  std::map<Key, Value> m_rows;
  std::deque<Change> m_history;
  std::uint64_t m_version = 0;
  std::uint64_t m_too_large = 0;
  std::size_t m_largest_row = 0;
  HttpServer m_server;
};

// The service that says which runners a queue's policy allows.
class Advisor {
 public:
  struct Times {
    std::int64_t decision_ms = 20;
    std::int64_t period_ms = 1;
    std::int64_t validity_ms = 3000;
  };
  using Policy = std::function<bool(const std::string& runner)>;

  Advisor(asio::io_context& context, Record& record, Policy policy);
  Advisor(asio::io_context& context,
          Record& record,
          Policy policy,
          Times times);

  std::uint16_t Port() const { return m_server.Port(); }
  const Times& GetTimes() const { return m_times; }
  // Whether the ticket lets tasks of the step start on the runner now.
  bool IsValid(const std::string& ticket,
               const std::string& step,
               const std::string& runner) const;

 private:
  struct Ticket {
    std::string step;
    std::string runner;
    std::int64_t until_ms = 0;
  };

  awaitable<HttpResponse> Handle(HttpRequest request);

  Record& m_record;
  Policy m_policy;
  Times m_times;
  std::map<std::string, Ticket> m_tickets;
  // Calls are handled one at a time, in turn.
  std::size_t m_waiting = 0;
  std::uint64_t m_next_turn = 0;
  std::uint64_t m_turn = 0;
  std::uint64_t m_last_ticket = 0;
  HttpServer m_server;
};

struct RunnerSettings {
  std::string id;
  std::string machine;
  std::string service;
  std::string zone = "loopback";
  std::string rack = "r1";
  std::int64_t cpu = 16000;
  std::int64_t memory_mb = 65536;
};

struct RunnerBounds {
  std::int64_t max_hold_ms = 10000;
  std::int64_t stop_ms = 100;
  std::int64_t gang_wait_ms = 3000;
  std::int64_t checkpoint_ms = 1000;
  std::int64_t restore_ms = 600;
  std::int64_t heartbeat_ms = 1500;
  std::int64_t drain_ms = 2000;
};

class Runners;

// One life of a machine that runs tasks.
class Runner {
 public:
  Runner(asio::io_context& context, Runners& fleet, RunnerSettings settings);

  const RunnerSettings& Settings() const { return m_settings; }
  bool IsUp() const { return m_is_up; }
  bool IsDraining() const { return m_leaves_at != 0; }
  // It ends without a word, for good.
  void Crash();
  // It ends without a word and starts again under its id.
  awaitable<void> Restart(milliseconds down);
  // It reports that it drains, serves for some time and leaves.
  void Drain();
  void Beat();
  void Advance(std::int64_t now);
  // Capacity in use, of processors.
  std::int64_t UsedCpu() const;

 private:
  friend class Runners;
  struct Live {
    RunRecord* record = nullptr;
    std::string gang;  // Empty if it works alone.
    const StepPlan* plan = nullptr;
    std::int64_t works_since = 0;  // 0 while the gang is incomplete.
    std::int64_t saved_ms = 0;     // Work that the start carried.
    std::string checkpoint;
    std::int64_t stops_at = 0;
  };

  awaitable<HttpResponse> Handle(HttpRequest request);
  milliseconds LatenessOf(const Json& body) const;
  HttpResponse Start(const Json& body);
  HttpResponse Stop(const Json& body);
  awaitable<HttpResponse> Hold(Json body);
  HttpResponse Answer(int status, const std::string& reason = "") const;
  std::int64_t Clock() const { return Now() - m_born_at; }
  void Extend(const Json& body);
  void End(const std::string& task, const std::string& how);
  // Ends the process and all that runs on it.
  void Leave(const std::string& how);
  std::int64_t WorkDone(const Live& live, std::int64_t now) const;

  Runners& m_fleet;
  RunnerSettings m_settings;
  bool m_is_up = true;
  std::int64_t m_leaves_at = 0;  // 0 while it does not drain.
  std::int64_t m_born_at = 0;
  std::int64_t m_born_wall = 0;
  std::int64_t m_lease_until = 0;  // On its clock.
  std::uint64_t m_fence = 0;
  std::uint64_t m_beats = 0;
  std::uint64_t m_last_end = 0;
  std::map<std::string, Live> m_live;
  std::map<std::string, std::uint32_t> m_highest_ended;
  std::deque<std::pair<std::uint64_t, RunRecord*>> m_ends;
  HttpServer m_server;
};

// All runners, their gangs, and the machines' interface.
class Runners {
 public:
  Runners(asio::io_context& context, Store& store, Ledger& ledger);

  // Tells which queues' starts need a ticket, by the job's prefix.
  void SetAdvisor(const Advisor* advisor, std::set<std::string> prefixes);
  Runner& Add(RunnerSettings settings);
  Runner* Find(const std::string& id);
  // Removes the entry of a runner from the store.
  void Delist(const std::string& id);
  std::uint16_t MachinesPort() const { return m_server.Port(); }
  std::vector<std::unique_ptr<Runner>>& All() { return m_runners; }

 private:
  friend class Runner;
  struct Gang {
    std::uint32_t count = 0;
    std::map<std::string, Runner*> members;  // By task.
    std::int64_t first_ms = 0;
    bool works = false;
  };

  awaitable<HttpResponse> Handle(HttpRequest request);
  awaitable<void> Run();
  void JoinGang(const std::string& name,
                std::uint32_t count,
                const std::string& task,
                Runner& runner);
  void LeaveGang(const std::string& name,
                 const std::string& task,
                 const std::string& how);
  void AdvanceGangs(std::int64_t now);

  asio::io_context& m_context;
  Store& m_store;
  Ledger& m_ledger;
  RunnerBounds m_bounds;
  const Advisor* m_advisor = nullptr;
  std::set<std::string> m_advised_prefixes;
  std::vector<std::unique_ptr<Runner>> m_runners;
  std::map<std::string, Gang> m_gangs;
  HttpServer m_server;
};

}  // namespace review
