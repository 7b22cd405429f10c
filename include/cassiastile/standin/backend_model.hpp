#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/random.hpp"
#include "cassiastile/standin/backend_fault.hpp"
#include "cassiastile/wire/http_client.hpp"

namespace cassiastile::standin {

// One execution of a request, as a runner (a backend server) logs it.
struct Execution {
  std::string request;  // The caller's identifier of the request.
  std::string runner;
  base::TimePoint started{};
};

// The capacity and the faults of a simulated runner.
struct ModelRunnerOptions {
  std::uint32_t slots = 8;
  // Service times are exponentially distributed with this mean.
  std::chrono::milliseconds mean_service{50};
  bool stalled = false;  // Accepts requests and answers none.
  // Until this time, kept connections deliver nothing and are not closed; new
  // connections work.
  base::TimePoint blackhole_until{};
  bool refuses = false;
  // The probability of each fault, from 0 to 1.
  std::map<BackendFault, double> faults;
};

struct ModelCall {
  std::uint64_t id = 0;  // Identifies the call in its completion.
  std::string runner;
  std::string request;        // The caller's identifier of the request.
  std::string request_id;     // The X-Request-Id of this call.
  base::TimePoint timeout{};  // When the client gives up.
  bool sends_timeout = true;  // The runner learns the timeout and stops then.
  bool fresh_connection = false;
};

struct ModelCompletion {
  std::uint64_t id = 0;
  base::TimePoint at{};  // When the client gets the outcome.
  wire::HttpOutcome outcome;
};

// Simulates runners and the network to them in virtual time. Calls complete
// when the model is advanced. The log of executions is the runners' own,
// independent of what callers were told.
class BackendModel {
 public:
  explicit BackendModel(std::uint64_t seed);

  ModelRunnerOptions& RunnerOptions(const std::string& runner);
  void Call(const ModelCall& call, base::TimePoint now);

  // The time of the next event, or TimePoint::max() if there is none.
  base::TimePoint NextEvent() const;
  // Advances to a time and returns the calls that completed by then. Their
  // outcomes may reach the client later, by the network's delay.
  std::vector<ModelCompletion> Advance(base::TimePoint until);

  const std::vector<Execution>& Log() const { return m_log; }
  // Requests that arrived while all slots of the runner were in use.
  std::uint64_t ArrivalsOverSlots() const { return m_arrivals_over_slots; }

 private:
  enum class EventKind : std::uint8_t { kArrive, kBreak, kEnd, kTimeout };

  struct Event {
    base::TimePoint at{};
    std::uint64_t order = 0;
    EventKind kind = EventKind::kArrive;
    std::uint64_t id = 0;
  };

  struct Later {
    bool operator()(const Event& left, const Event& right) const {
      return left.at != right.at ? left.at > right.at
                                 : left.order > right.order;
    }
  };

  struct ActiveCall {
    ModelCall call;
    BackendFault fault = BackendFault::kNone;
    bool answered = false;  // The client has received the outcome.
    bool working = false;
    bool queued = false;
  };

  struct RunnerState {
    ModelRunnerOptions options;
    std::uint32_t working = 0;
    std::deque<std::uint64_t> queue;
  };

  void Schedule(base::TimePoint at, EventKind kind, std::uint64_t id);
  void HandleEvent(const Event& event,
                   std::vector<ModelCompletion>& completions);
  void Arrive(std::uint64_t id,
              base::TimePoint now,
              std::vector<ModelCompletion>& completions);
  void StartWork(std::uint64_t id, base::TimePoint now);
  void BreakConnection(std::uint64_t id,
                       base::TimePoint now,
                       std::vector<ModelCompletion>& completions);
  void EndWork(std::uint64_t id,
               base::TimePoint now,
               std::vector<ModelCompletion>& completions);
  void TimeOut(std::uint64_t id,
               base::TimePoint now,
               std::vector<ModelCompletion>& completions);
  void FreeSlot(RunnerState& runner, base::TimePoint now);
  BackendFault DrawFault(const ModelRunnerOptions& options);
  void RemoveCall(std::uint64_t id);

  base::Random m_random;
  std::map<std::string, RunnerState> m_runners;
  std::map<std::uint64_t, ActiveCall> m_calls;
  std::priority_queue<Event, std::vector<Event>, Later> m_events;
  std::vector<Execution> m_log;
  std::uint64_t m_next_order = 0;  // Orders events at the same time.
  std::uint64_t m_arrivals_over_slots = 0;
};

}  // namespace cassiastile::standin
