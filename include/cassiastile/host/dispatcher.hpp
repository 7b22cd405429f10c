#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cassiastile/host/commit_queue.hpp"
#include "cassiastile/host/event_log.hpp"
#include "cassiastile/host/leader_load.hpp"
#include "cassiastile/host/leader_transactions.hpp"
#include "cassiastile/host/loop.hpp"
#include "cassiastile/host/machine_controller.hpp"
#include "cassiastile/host/odd_entries.hpp"
#include "cassiastile/host/peer_message.hpp"
#include "cassiastile/host/ports.hpp"
#include "cassiastile/host/relayed_workers.hpp"
#include "cassiastile/host/settings.hpp"
#include "cassiastile/host/term_confirmation.hpp"
#include "cassiastile/jobs/cancel_markers.hpp"
#include "cassiastile/jobs/scheduler.hpp"

namespace cassiastile::host {

// Called for a member of an operator's text that was not taken as it stands:
// its place and what was done with it.
using OnOddMember =
    std::function<void(const std::string& member, const std::string& reason)>;

// Interfaces, decoders and table names that the program supplies to a host.
struct HostDependencies {
  RowStore& store;
  WorkerPort& workers;
  MachinePort& machines;
  AdvicePort& advice;
  // Decoders of row values and job specifications in the platform's format.
  std::function<base::Result<jobs::FleetConfig>(const std::string& text,
                                                const OnOddMember& on_odd)>
      decode_config;
  std::function<base::Result<jobs::WorkerEntry>(const std::string& id,
                                                const std::string& text)>
      decode_worker;
  std::function<base::Result<jobs::JobSpec>(const std::string&)> decode_job;
  std::function<base::Result<WaveRequest>(const std::string& text,
                                          const OnOddMember& on_odd)>
      decode_wave;
  std::function<std::string(std::uint64_t wave, bool done)> encode_wave_state;
  std::string worker_table;
  std::string operator_table;
  std::string status_table;
  // Key of the configuration in the operators' table.
  std::string config_key;
  // Keys of waves start with it, in the operators' and in the status table.
  std::string wave_prefix;
  // Keys of requests to evacuate a zone, in the operators' table, are this and
  // the zone's name.
  std::string evacuation_prefix;
};

// Does the leader's work during one term: stores the scheduler's rows, extends
// worker leases, sends start and stop orders, and answers job requests.
class Dispatcher {
 public:
  // `transactions` must have acquired leadership; the references must outlive
  // the dispatcher. `on_leadership_lost` runs when a commit finds that another
  // host has taken the leadership.
  Dispatcher(HostDependencies& dependencies,
             PeerPort& peers,
             Loop& loop,
             EventLog& log,
             const HostSettings& settings,
             std::unique_ptr<LeaderTransactions> transactions,
             std::function<void()> on_leadership_lost);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  // Reads the state that the previous leader stored, then starts to serve.
  void Begin();
  void ApplyConfig(std::shared_ptr<const jobs::FleetConfig> config);
  void ApplyWaves(const std::map<std::uint64_t, WaveRequest>& waves);
  // Takes the zones to evacuate; see jobs::ZoneEvacuations::Update.
  void ApplyEvacuations(const std::set<std::string>& zones,
                        base::TimePoint as_of);
  // Answers a job request. `respond` runs once; with kNotLeader before the
  // state is read, after resigning, and for a submission to a queue that the
  // configuration doesn't have yet. A submission or cancellation is answered
  // once its row is stored, or with kOutcomeUnknown if the dispatcher is
  // destroyed first. Other answers are final states that are stored, or wait
  // until the store has confirmed the term; see docs/design/answers.md.
  void Answer(const JobRequest& request,
              const std::function<void(JobAnswer)>& respond);
  // Stops giving orders and resigns the leadership, once a commit in flight is
  // applied. `done` runs when the resignation is stored or has failed; if that
  // commit finds that leadership is lost, `on_leadership_lost` runs instead.
  void Resign(std::function<void()> done);

  // Tells which live hosts may relay calls to workers, and the outcomes of
  // calls that they carried out.
  void OfferRelays(const std::vector<RelayCandidate>& candidates);
  void HandleRelayResults(RelayResults results);

  // Whether commits have been failing for more than 400 ms.
  bool IsStoreUnavailable() const;
  // Whether the commit in flight has had no answer for so long that what is
  // not in it should not wait for the next one.
  bool IsCommitOverdue() const;
  // Whether the previous leader's state has been read.
  bool IsServing() const { return m_serving; }
  std::uint64_t FencingToken() const { return m_transactions->FencingToken(); }
  const jobs::Scheduler& GetScheduler() const { return m_scheduler; }

 private:
  // The calls to one worker.
  struct Link {
    WorkerAddress address;
    // Fencing token of the calls to this incarnation, newer than that of any
    // call to a former one; 0 until the leader has such a token.
    std::uint64_t fence = 0;
    bool fence_sent = false;  // With an extension.
    // The newest token of calls to former incarnations; 0 if there were none.
    std::uint64_t former_fence = 0;
    bool polling = false;  // A lease extension with a long poll is in flight.
    bool probing = false;  // An extension without waiting is in flight.
    bool silent = false;   // Was logged as silent.
    std::uint32_t failures = 0;  // Consecutive, of extensions with a long poll.
    base::TimePoint next_poll_at{};
    // When the newest report of this incarnation was requested, and when a call
    // last failed. After a failure the incarnation may be over, and the next
    // one numbers its ends anew.
    base::TimePoint heard_at{};
    base::TimePoint failed_at{};
    // When the newest call was sent that any incarnation has answered.
    base::TimePoint answered_call_at{};
    // The worker's clock, and our time when it was received.
    bool clock_known = false;
    std::chrono::milliseconds clock{0};
    // The newest end of this incarnation that is known to be acknowledged.
    std::uint64_t acknowledged_end = 0;
    base::TimePoint clock_at{};
  };
  // A job's encoded rows as read from the table.
  struct StoredJob {
    std::string record;
    std::string progress;
    jobs::StoredSegments segments;
  };
  using Responder = std::function<void(JobAnswer)>;

  // The store accepts 100 entries per transaction; the leader's record and the
  // rows of waves come on top of these.
  static constexpr std::size_t kMaxJobRows = 80;
  // Of the machine controller and of learnt durations.
  static constexpr std::size_t kMaxOtherRows = 10;

  // dispatcher.cpp
  // Reads all rows of a part, retrying until the store answers.
  void ReadUntilAnswered(const std::string& table,
                         const std::string& part,
                         const std::function<void(RowPage)>& on_rows);
  void ReadJobs();
  void ReadSegments();
  void ReadWorkers();
  void FeedWorkers();
  void ApplyWorkerRows(const std::vector<Row>& rows);
  // Hands the scheduler the entries of the workers that are followed: those
  // whose service a configuration or an unfinished job names, and those that
  // hold runs.
  void ListWorkers();
  bool HoldsRuns(const std::string& worker) const;
  std::vector<jobs::Job> DecodeRecovered();
  void StartServing();
  void RequestPlan();
  void Plan();
  void Tick();
  void ReadMachineRows();
  void ReadDurations();
  void ReadCancelMarkers();
  void ReadIncarnations();
  void StoreDurations();
  void CommitPending();
  void HandleCommitted(const jobs::Batch& batch);
  // Sets the jobs aside of which the store has refused a row, and returns the
  // keys of other rows that it has refused.
  std::set<std::string> HandleRefusedRows(jobs::Batch& batch);
  // Answers the callers whose cancels are stored as markers.
  void HandleMarkersStored(const jobs::CancelMarkers::Batch& batch);
  // Logs a commit of rows taken at `taken_at` if it was slow or others wait.
  void LogSlowCommit(std::size_t rows, base::TimePoint taken_at);
  void LogStalledTasks();
  // Logs once a second what the leader has done since the last line.
  void LogLoad();
  void LogAccepted(const std::string& id);
  void LogFinished(const std::string& id, jobs::JobPhase phase);
  void LoseLeadership();
  // The leader's record shows another leader.
  void HandleOtherLeader();
  // Whether the term was confirmed recently enough to extend worker leases and
  // to send orders.
  bool MayGiveOrders() const;

  // dispatcher_jobs.cpp
  void Submit(const JobRequest& request, const Responder& respond);
  void Cancel(const JobRequest& request, const Responder& respond);
  // Remembers the cancel of a job whose submission may be on its way, and
  // answers once that is stored.
  void MarkCancelled(const JobRequest& request,
                     const JobAnswer& answer,
                     const Responder& respond);
  // Answers the callers of submitted jobs that were in no commit, which are
  // removed.
  void RefuseUnstored(const JobAnswer& answer);
  static JobAnswer RefuseForOutage();
  // Whether a job that is submitted now would wait for its commit for so long
  // that it is better refused.
  bool IsTooBusyFor(const JobRequest& request) const;
  void State(const JobRequest& request, const Responder& respond);
  JobAnswer StateNow(const JobRequest& request);
  // Responds with `answer`, which rests on what this leader knows, once the
  // store has shown that no other host had taken over when the request arrived.
  void AnswerWhenConfirmed(std::function<JobAnswer()> answer,
                           const Responder& respond);
  void AnswerWhenConfirmed(const JobAnswer& answer, const Responder& respond);
  void QueueLength(const std::string& queue, const Responder& respond);
  // Refuses a submission once the term is confirmed, and not if another attempt
  // was taken before that.
  void RefuseSubmission(const std::string& job,
                        const JobAnswer& refusal,
                        const Responder& respond);
  // Logs a request about a job that the leader doesn't know.
  void LogUnknownJob(const JobRequest& request);

  // dispatcher_workers.cpp
  std::chrono::milliseconds PollPause() const;
  void PollWorkers();
  // Turns the link to the worker's current incarnation, of which nothing is
  // known yet.
  void UpdateAddress(Link& link, const jobs::WorkerEntry& entry);
  // Gives the link a fencing token if it has none, and returns whether it has
  // one now. A worker knows no token when it starts, so calls that were meant
  // for its former incarnation and arrive late would be carried out; it refuses
  // them once it has been called with a newer token. Without one, nothing may
  // be sent to the worker; a commit is requested, which brings one.
  bool EnsureFence(Link& link);
  // Extends a worker's lease and asks for its report; with `probe` the worker
  // answers at once instead of waiting for a run to end.
  void Extend(Link& link, bool probe);
  void HandleReport(const std::string& worker,
                    bool probe,
                    base::TimePoint asked_at,
                    std::uint64_t fence,
                    tl::expected<jobs::WorkerReport, WorkerCallFailure> result);
  // A call to the worker that acknowledged ends up to `end` was answered.
  void HandleAcknowledged(const jobs::WorkerId& worker,
                          std::uint64_t end,
                          base::TimePoint sent_at,
                          std::int64_t answered_by);
  void SendOrders(const jobs::Orders& orders);
  void SendStart(const jobs::StartOrder& order);
  // An answer to a start says how long the lease in it lasts by the worker's
  // clock.
  void NoteLease(const jobs::WorkerId& worker, std::chrono::milliseconds lease);
  void SendStop(const jobs::StopOrder& order);
  // Notes that a call to a worker failed or that its outcome is unknown.
  void CallFailed(const std::string& worker);
  // Whether the worker's clock was read recently enough to give a lease by it.
  bool IsClockKnown(const Link& link) const;
  std::chrono::milliseconds WorkerClock(const Link& link) const;

  HostDependencies& m_dependencies;
  Loop& m_loop;
  EventLog& m_log;
  const HostSettings& m_settings;
  std::unique_ptr<LeaderTransactions> m_transactions;
  std::function<void()> m_on_leadership_lost;
  std::shared_ptr<const jobs::FleetConfig> m_config;
  OddEntries m_odd_workers;
  jobs::Scheduler m_scheduler;
  RelayedWorkers m_workers;
  MachineController m_machine_controller;
  TermConfirmation m_term_confirmation;
  bool m_serving = false;
  bool m_term_over = false;
  bool m_plan_requested = false;
  // Rows of the job table by job, from reading them until serving starts.
  std::map<std::string, StoredJob> m_recovered;
  std::uint64_t m_stored_durations_revision = 0;
  base::TimePoint m_durations_stored_at{};
  std::map<std::string, jobs::WorkerEntry> m_worker_entries;
  base::TimePoint m_workers_listed_at{};
  std::uint64_t m_worker_feed_version = 0;
  std::map<std::string, Link> m_links;
  base::TimePoint m_links_pruned_at{};
  // The newest fencing token of calls to workers whose links were removed.
  std::uint64_t m_pruned_fence = 0;
  // Callers to answer once the acceptance or the cancellation is stored, by
  // job.
  std::map<std::string, std::vector<Responder>> m_await_accept;
  std::map<std::string, std::vector<Responder>> m_await_cancel;
  jobs::CancelMarkers m_cancel_markers;
  // Callers to answer once the markers of their cancels are stored.
  std::map<jobs::CancelMarkers::Key, std::vector<Responder>> m_await_marker;
  CommitQueue m_commit_queue;  // Submitted jobs.
  base::TimePoint m_planned_at{};
  base::TimePoint m_last_commit_at{};
  // When a commit last left no row to write.
  base::TimePoint m_last_full_commit_at{};
  base::TimePoint m_slow_commit_logged_at{};
  base::TimePoint m_stalls_logged_at{};
  LeaderLoad m_load;  // Since m_load_logged_at.
  base::TimePoint m_load_logged_at{};
  base::Duration m_logged_processor_time{};
  std::uint64_t m_logged_resends = 0;
  std::uint64_t m_logged_confirmation_waits = 0;
  std::uint64_t m_logged_confirmation_reads = 0;
  base::TimePoint m_tick_due_at{};
  // Rows of the machine controller and of learnt durations for the next commit,
  // with callbacks that run once they are stored.
  std::vector<std::pair<Row, std::function<void()>>> m_pending_rows;
  // A resignation that waits for the commit in flight.
  std::function<void()> m_after_commit;
  Lifetime m_lifetime;
};

}  // namespace cassiastile::host
