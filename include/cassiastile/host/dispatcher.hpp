#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cassiastile/host/event_log.hpp"
#include "cassiastile/host/leader_transactions.hpp"
#include "cassiastile/host/loop.hpp"
#include "cassiastile/host/machine_controller.hpp"
#include "cassiastile/host/peer_message.hpp"
#include "cassiastile/host/ports.hpp"
#include "cassiastile/host/settings.hpp"
#include "cassiastile/jobs/scheduler.hpp"

namespace cassiastile::host {

// What the program composes a host from.
struct HostPorts {
  RowStore& store;
  WorkerPort& workers;
  MachinePort& machines;
  AdvicePort& advice;
  // Reads of the operators' and workers' tables, in the platform's format.
  std::function<base::Result<jobs::FleetConfig>(const std::string&)>
      decode_config;
  std::function<base::Result<jobs::WorkerEntry>(const std::string& id,
                                                const std::string& text)>
      decode_worker;
  std::function<base::Result<jobs::JobSpec>(const std::string&)> decode_job;
  std::function<base::Result<WaveRequest>(const std::string&)> decode_wave;
  std::function<std::string(std::uint64_t wave, bool done)> encode_wave_state;
  std::string worker_table;
  std::string operator_table;
  std::string status_table;
  std::string config_key;
  std::string wave_prefix;
};

// Carries out one term of office: keeps the scheduler's rows, talks to the
// workers, answers requests on jobs.
class Dispatcher {
 public:
  Dispatcher(HostPorts& ports,
             Loop& loop,
             EventLog& log,
             const HostSettings& settings,
             std::unique_ptr<LeaderTransactions> chain,
             std::function<void()> on_lost);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  // Reads what the predecessor left and begins to serve.
  void Begin();
  void ApplyConfig(std::shared_ptr<const jobs::FleetConfig> config);
  void ApplyWaves(const std::map<std::uint64_t, WaveRequest>& waves);
  void Answer(const JobRequest& request,
              const std::function<void(JobAnswer)>& respond);
  // Stops giving orders and passes the office on. `done` runs when that is
  // recorded or can't be.
  void Resign(std::function<void()> done);

  // Whether commits have failed for a while.
  bool IsStoreUnavailable() const;
  bool IsServing() const { return m_serving; }
  std::uint64_t FencingToken() const { return m_chain->FencingToken(); }
  const jobs::Scheduler& GetScheduler() const { return m_scheduler; }

 private:
  struct Link {
    WorkerAddress address;
    bool busy = false;     // A long poll is under way.
    bool looking = false;  // A short look is under way.
    bool silent = false;
    std::uint32_t failures = 0;
    base::TimePoint due{};
    // The worker's clock at a moment of ours.
    bool clock_known = false;
    std::chrono::milliseconds clock{0};
    base::TimePoint clock_at{};
  };
  // A job's rows as they were read.
  struct StoredJob {
    std::string record;
    std::string progress;
  };
  using Responder = std::function<void(JobAnswer)>;

  // dispatcher.cpp
  // Reads a part until the store answers; at a takeover and after a lost feed.
  void ReadUntilAnswered(const std::string& table,
                         const std::string& part,
                         const std::function<void(RowPage)>& take);
  void ReadJobs();
  void ReadWorkers();
  void FeedWorkers();
  void TakeWorkerRows(const std::vector<Row>& rows);
  std::vector<jobs::Job> DecodeRecovered();
  void Serve();
  void Kick();
  void Plan();
  void Tick();
  void ReadMachineRows();
  void ReadLearnt();
  void KeepLearnt();
  void Pump();
  void Committed(const jobs::Batch& batch);
  void LogAccepted(const std::string& id);
  void LogFinished(const std::string& id, jobs::JobPhase phase);
  void Lose();
  bool MayGiveOrders() const;

  // dispatcher_jobs.cpp
  void Submit(const JobRequest& request, const Responder& respond);
  void Cancel(const JobRequest& request, const Responder& respond);
  JobAnswer State(const JobRequest& request) const;

  // dispatcher_workers.cpp
  std::chrono::milliseconds PollPause() const;
  void ServeLinks();
  void Extend(Link& link, bool look);
  void Reported(const std::string& worker,
                bool look,
                base::TimePoint asked_at,
                tl::expected<jobs::WorkerReport, WorkerCallFailure> result);
  void CarryOut(const jobs::Orders& orders);
  void SendStart(const jobs::StartOrder& order);
  void SendStop(const jobs::StopOrder& order);
  std::chrono::milliseconds ClockOf(const Link& link) const;

  HostPorts& m_ports;
  Loop& m_loop;
  EventLog& m_log;
  const HostSettings& m_settings;
  std::unique_ptr<LeaderTransactions> m_chain;
  std::function<void()> m_on_lost;
  std::shared_ptr<const jobs::FleetConfig> m_config;
  jobs::Scheduler m_scheduler;
  MachineController m_machines;
  bool m_serving = false;
  bool m_resigned = false;
  bool m_plan_due = false;
  std::map<std::string, StoredJob> m_recovered;
  std::uint64_t m_kept_revision = 0;  // Of the learnt durations.
  base::TimePoint m_learnt_kept_at{};
  std::map<std::string, jobs::WorkerEntry> m_entries;
  std::uint64_t m_workers_version = 0;
  std::map<std::string, Link> m_links;
  std::map<std::string, std::vector<Responder>> m_await_accept;
  std::map<std::string, std::vector<Responder>> m_await_cancel;
  base::TimePoint m_committed_at{};
  // Rows of other parts of the office for the next commit.
  std::vector<std::pair<Row, std::function<void()>>> m_rows;
  std::function<void()> m_after_commit;
  Lifetime m_lifetime;
};

}  // namespace cassiastile::host
