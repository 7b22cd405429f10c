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

// Send the request to the runner and report how that ended.
struct SendTry {
  TryId try_id = 0;
  RequestId request_id = 0;
  std::string runner;
  std::string address;
  base::Duration timeout{};  // The runner is told that it must stop then.
  bool fresh_connection = false;
};

// Ask the runner for its health and report it.
struct SendProbe {
  std::string runner;
  std::string address;
};

// Answer the caller. There is exactly one for each request.
struct FinishRequest {
  RequestTicket ticket;
  Outcome outcome;
};

using RequestAction = std::variant<SendTry, SendProbe, FinishRequest>;
using RequestActions = std::vector<RequestAction>;

struct DispatcherOptions {
  RoutingOptions routing;
  AdmissionOptions admission;
  std::uint32_t max_tries = 3;
  double retries_per_answer = 0.1;  // Retries earned by an answer.
  double retry_burst = 10;
  // After the time that a runner was told to stop by, a slot whose request was
  // lost is held for this long.
  std::chrono::milliseconds stop_margin{200};
  // A process that stood still for longer may have lost its slots to others.
  std::chrono::seconds longest_pause{5};
  // How long no kept connection to a runner is used after a request to it went
  // without an answer for too long.
  std::chrono::seconds fresh_connection_period{15};
};

// A runner as it is listed.
struct ListedRunner {
  std::string name;
  std::string address;
  std::string zone;
  std::uint64_t incarnation = 0;
  bool leaving = false;
};

// The most that was wanted at once since it was last asked for.
struct Demand {
  std::uint32_t requests = 0;                    // Running and waiting.
  std::map<std::string, std::uint32_t> by_team;  // Likewise.
};

// Decides on all requests for one service at one entry host: which may wait,
// which goes to which runner, which is sent again, and how each ends. Pure:
// what happens comes in with the time, and what is to be done goes out.
class RequestDispatcher {
 public:
  RequestDispatcher(DispatcherOptions options, std::uint64_t seed);

  RequestActions Arrive(const RequestTicket& ticket, base::TimePoint now);
  RequestActions EndTry(TryId try_id, TryResult result, base::TimePoint now);
  RequestActions EndProbe(const std::string& runner,
                          bool healthy,
                          base::TimePoint now);
  // To be called every few tens of milliseconds.
  RequestActions Tick(base::TimePoint now);

  // Takes in the list. Runners that are no longer listed get nothing new.
  RequestActions SetRunners(const std::vector<ListedRunner>& listed,
                            base::TimePoint now);
  // Sets the slots granted to this host, by runner, as they were read from a
  // time on. They are used from the next event. After a pause of this process
  // nothing is sent until slots were read anew.
  void SetSlots(const std::map<std::string, std::uint32_t>& granted,
                base::TimePoint read_at);
  void SetQuota(const std::map<std::string, TeamQuota>& terms);
  // Refuses what waits under a key that is none of these.
  RequestActions RefuseInvalidKeys(const std::set<std::string>& valid_keys,
                                   RefusalReason reason);

  // How a request arriving now would be refused, or nothing.
  std::optional<NotRun> Preview(const RequestTicket& ticket,
                                base::TimePoint now);

  const Runners& AllRunners() const { return m_runners; }
  std::uint32_t TeamRunning(const std::string& team) const {
    return m_queue.CountOf(team).running;
  }
  std::size_t Waiting() const { return m_queue.Size() + m_retries.size(); }
  std::size_t Unfinished() const { return m_queue.Size() + m_flights.size(); }
  Demand TakeDemand();
  bool Paused() const { return m_paused; }

 private:
  struct Try {
    RequestId request_id = 0;
    std::string team;
    std::string runner;
    base::TimePoint sent{};
    base::TimePoint stop{};  // When the runner must have stopped.
    bool hedged = false;     // Another try was started for it.
  };

  // A request that was taken from the queue and is not answered yet.
  struct Flight {
    RequestTicket ticket;
    std::vector<std::string> tried;
    std::uint32_t active = 0;  // Tries under way.
    bool waiting = false;      // For a slot to be tried again.
    bool maybe_ran = false;
    UnknownReason doubt = UnknownReason::kBroken;
  };

  // A slot whose request may still be running at the runner.
  struct HeldSlot {
    std::string runner;
    std::string team;
    base::TimePoint until{};
  };

  using Flights = std::map<RequestId, Flight>;

  Runner* FindRunner(const std::string& name);
  ServiceRate Rate() const;
  bool HasFreeSlot() const;
  void Dispatch(base::TimePoint now, RequestActions& actions);
  void DispatchRetries(base::TimePoint now, RequestActions& actions);
  bool HasUntried(const Flight& flight) const;
  void Send(Flight& flight,
            std::size_t runner,
            base::TimePoint now,
            RequestActions& actions);
  void TakeAnswer(const Try& ended,
                  TryAnswered answer,
                  base::TimePoint now,
                  RequestActions& actions);
  void TakeNotSent(const Try& ended,
                   base::TimePoint now,
                   RequestActions& actions);
  void TakeLoss(const Try& ended,
                const TryLost& loss,
                base::TimePoint now,
                RequestActions& actions);
  bool MayTryAgain(const Flight& flight, base::TimePoint now);
  void Retry(Flight& flight);
  void Finish(Flights::iterator flight,
              Outcome outcome,
              RequestActions& actions);
  void FinishFailed(Flights::iterator flight, RequestActions& actions);
  void FinishOverdue(base::TimePoint now, RequestActions& actions);
  void Hedge(base::TimePoint now);
  void ReleaseHeld(base::TimePoint now);
  void ReleaseSlot(const std::string& runner,
                   const std::string& team,
                   double cost);
  void RecordFailureAt(const std::string& runner, base::TimePoint now);
  void NoteDemand(const std::string& team);
  void NoteTime(base::TimePoint now);
  static void Refuse(std::vector<Refusal> refusals, RequestActions& actions);

  DispatcherOptions m_options;
  base::Random m_random;
  Runners m_runners;
  AdmissionQueue m_queue;
  RetryBudget m_budget;
  Flights m_flights;
  std::map<TryId, Try> m_tries;
  std::deque<RequestId> m_retries;
  std::vector<HeldSlot> m_held;
  base::Duration m_service_time;
  TryId m_next_try = 1;
  base::TimePoint m_last_seen{};  // When anything last came in.
  bool m_paused = false;          // Slots may have been taken away since.
  base::TimePoint m_paused_at{};  // When that was noticed.
  Demand m_demand;
};

}  // namespace cassiastile::work
