#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/random.hpp"
#include "cassiastile/work/admission.hpp"
#include "cassiastile/work/request.hpp"
#include "cassiastile/work/request_try.hpp"
#include "cassiastile/work/routing.hpp"

namespace cassiastile::work {

using TryId = std::uint64_t;

// Send the request to the runner, then report the result with EndTry.
struct SendTry {
  TryId try_id = 0;
  RequestId request_id = 0;
  std::string runner;
  std::string address;
  base::Duration timeout{};       // The runner is told to stop after this time.
  bool fresh_connection = false;  // Must not reuse a kept connection.
};

// Send a health check to the runner, then report the result with EndProbe.
struct SendProbe {
  std::string runner;
  std::string address;
};

// Answer the caller. Issued exactly once for each request.
struct FinishRequest {
  RequestTicket ticket;
  Outcome outcome;
};

using RequestAction = std::variant<SendTry, SendProbe, FinishRequest>;
using RequestActions = std::vector<RequestAction>;

// Settings of a RequestDispatcher.
struct RequestDispatcherOptions {
  RoutingOptions routing;
  AdmissionOptions admission;
  std::uint32_t max_tries = 3;      // Per request, the first included.
  double retries_per_answer = 0.1;  // Retry tokens earned per answer.
  double retry_burst = 10;          // The most tokens; a retry costs one.
  // How long a lost request's slot stays occupied after the time at which its
  // runner was told to stop.
  std::chrono::milliseconds stop_margin{200};
  // After a longer pause of this process its slots may have been granted to
  // others.
  std::chrono::seconds longest_pause{5};
  // How long connections to a runner are not reused after a request to it
  // exceeded its silence limit.
  std::chrono::seconds fresh_connection_period{15};
};

// A runner as it appears in the list of runners.
struct ListedRunner {
  std::string name;
  std::string address;
  std::string zone;
  std::uint64_t incarnation = 0;
  bool leaving = false;
};

// The highest demand since the last call of TakeDemand.
struct PeakDemand {
  std::uint32_t requests = 0;                    // Running and queued.
  std::map<std::string, std::uint32_t> by_team;  // Running and queued, by team.
};

// Schedules all requests of one service on one entry host: which are queued,
// which runner each is sent to, which are retried, and how each ends. Does no
// I/O and reads no clock: events come in with the time, and actions go out. Not
// thread-safe.
class RequestDispatcher {
 public:
  RequestDispatcher(RequestDispatcherOptions options, std::uint64_t seed);

  RequestActions Arrive(const RequestTicket& ticket, base::TimePoint now);
  // Ignores tries that it does not know.
  RequestActions EndTry(TryId try_id, TryResult result, base::TimePoint now);
  RequestActions EndProbe(const std::string& runner,
                          bool healthy,
                          base::TimePoint now);
  // Handles timeouts, probes and hedging. Must be called every few tens of
  // milliseconds.
  RequestActions Tick(base::TimePoint now);

  // Updates the list of runners. Runners that are no longer listed get no new
  // requests.
  RequestActions SetRunners(const std::vector<ListedRunner>& listed,
                            base::TimePoint now);
  // Sets the slots granted to this host, by runner, as read at `read_at`. They
  // take effect with the next event. After a pause of this process nothing is
  // sent until slots were read again.
  void SetSlots(const std::map<std::string, std::uint32_t>& granted,
                base::TimePoint read_at);
  void SetQuota(const std::map<std::string, TeamQuota>& quota);
  // Refuses queued requests whose API key is not among the valid ones.
  RequestActions RefuseInvalidKeys(const std::set<std::string>& valid_keys,
                                   RefusalReason reason);

  // The refusal that a request arriving now would get, or nothing.
  std::optional<NotRun> Preview(const RequestTicket& ticket,
                                base::TimePoint now);

  const Runners& AllRunners() const { return m_runners; }
  std::uint32_t TeamRunning(const std::string& team) const {
    return m_queue.CountOf(team).running;
  }
  std::size_t Queued() const { return m_queue.Size() + m_retries.size(); }
  std::size_t Unfinished() const {
    return m_queue.Size() + m_open_requests.size();
  }
  PeakDemand TakeDemand();
  // Whether nothing is sent until slots are read again; see SetSlots.
  bool IsPaused() const { return m_paused; }

 private:
  // One try of a request at one runner.
  struct Try {
    RequestId request_id = 0;
    std::string team;
    std::string runner;
    base::TimePoint sent{};
    base::TimePoint stop{};  // The runner must have stopped by then.
    bool overdue = false;    // Exceeded the silence limit; Hedge handled it.
  };

  // A request that was dequeued and is not yet answered.
  struct OpenRequest {
    RequestTicket ticket;
    std::vector<std::string> tried;
    std::uint32_t active = 0;  // Tries in progress.
    bool waiting = false;      // Queued for a retry.
    bool maybe_ran = false;
    UnknownReason unknown_reason = UnknownReason::kBroken;
  };

  // A slot whose lost request may still be running on the runner.
  struct HeldSlot {
    std::string runner;
    std::string team;
    base::TimePoint until{};
  };

  using OpenRequests = std::map<RequestId, OpenRequest>;

  Runner* FindRunner(const std::string& name);
  ServiceRate CurrentRate() const;
  bool HasFreeSlot() const;
  void Dispatch(base::TimePoint now, RequestActions& actions);
  void DispatchRetries(base::TimePoint now, RequestActions& actions);
  bool HasUntriedRunner(const OpenRequest& open_request) const;
  void Send(OpenRequest& open_request,
            std::size_t runner,
            base::TimePoint now,
            RequestActions& actions);
  void HandleAnswer(const Try& ended,
                    TryAnswered answer,
                    base::TimePoint now,
                    RequestActions& actions);
  void HandleNotSent(const Try& ended,
                     base::TimePoint now,
                     RequestActions& actions);
  void HandleLost(const Try& ended,
                  const TryLost& loss,
                  base::TimePoint now,
                  RequestActions& actions);
  bool CanRetry(const OpenRequest& open_request, base::TimePoint now);
  void Retry(OpenRequest& open_request);
  void Finish(OpenRequests::iterator open_request,
              Outcome outcome,
              RequestActions& actions);
  void FinishFailed(OpenRequests::iterator open_request,
                    RequestActions& actions);
  void FinishOverdue(base::TimePoint now, RequestActions& actions);
  void Hedge(base::TimePoint now);
  void ReleaseHeldSlots(base::TimePoint now);
  void ReleaseSlot(const std::string& runner,
                   const std::string& team,
                   double cost);
  void RecordFailureAt(const std::string& runner, base::TimePoint now);
  void UpdatePeakDemand(const std::string& team);
  void DetectPause(base::TimePoint now);
  static void Refuse(std::vector<Refusal> refusals, RequestActions& actions);

  RequestDispatcherOptions m_options;
  base::Random m_random;
  Runners m_runners;
  AdmissionQueue m_queue;
  RetryBudget m_budget;
  OpenRequests m_open_requests;
  std::map<TryId, Try> m_tries;
  std::deque<RequestId> m_retries;
  std::vector<HeldSlot> m_held_slots;
  base::Duration m_service_time;
  TryId m_next_try = 1;
  base::TimePoint m_last_seen{};  // Time of the latest event.
  bool m_paused = false;          // Slots may have been revoked since.
  base::TimePoint m_paused_at{};  // When the pause was detected.
  PeakDemand m_demand;
};

}  // namespace cassiastile::work
