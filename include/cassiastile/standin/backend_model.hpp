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

// One run of a request's work, as a runner logs it.
struct Execution {
  std::string request;  // The caller's own name for the request.
  std::string runner;
  base::TimePoint started{};
};

// What a modelled runner does with the requests it gets.
struct ModelRunnerOptions {
  std::uint32_t slots = 8;
  std::chrono::milliseconds mean_service{50};
  bool stalled = false;  // Takes requests and answers none.
  // Kept connections swallow what is sent until then; new ones work.
  base::TimePoint blackhole_until{};
  bool refuses = false;
  // How often a request meets the fault, from 0 to 1.
  std::map<BackendFault, double> faults;
};

struct ModelCall {
  std::uint64_t id = 0;  // Names the call in its completion.
  std::string runner;
  std::string request;  // The caller's own name for the request.
  std::string request_id;
  base::TimePoint timeout{};  // When the client gives up.
  bool sends_timeout = true;  // Whether the runner knows and then stops.
  bool fresh_connection = false;
};

struct ModelCompletion {
  std::uint64_t id = 0;
  base::TimePoint at{};
  wire::HttpOutcome outcome;
};

// Runners and the network to them in virtual time: what is called completes
// when the model is advanced. What the runners did is logged by themselves.
class BackendModel {
 public:
  explicit BackendModel(std::uint64_t seed);

  ModelRunnerOptions& RunnerOptions(const std::string& runner);
  void Call(const ModelCall& call, base::TimePoint now);

  // When the next thing happens; the far future when nothing will.
  base::TimePoint NextEvent() const;
  // Takes the completions up to a time.
  std::vector<ModelCompletion> Advance(base::TimePoint until);

  const std::vector<Execution>& Log() const { return m_log; }
  // Starts of work that found all slots of the runner taken.
  std::uint64_t StartsOverSlots() const { return m_over_limit; }

 private:
  enum class EventKind : std::uint8_t { kArrive, kCut, kEnd, kTimeout };

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
    bool answered = false;  // The client has its outcome.
    bool working = false;
    bool queued = false;
  };

  struct RunnerState {
    ModelRunnerOptions options;
    std::uint32_t working = 0;
    std::deque<std::uint64_t> queue;
  };

  void Schedule(base::TimePoint at, EventKind kind, std::uint64_t id);
  void Handle(const Event& event, std::vector<ModelCompletion>& completions);
  void Arrive(std::uint64_t id,
              base::TimePoint now,
              std::vector<ModelCompletion>& completions);
  void StartWork(std::uint64_t id, base::TimePoint now);
  void Cut(std::uint64_t id,
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
  void Forget(std::uint64_t id);

  base::Random m_random;
  std::map<std::string, RunnerState> m_runners;
  std::map<std::uint64_t, ActiveCall> m_calls;
  std::priority_queue<Event, std::vector<Event>, Later> m_events;
  std::vector<Execution> m_log;
  std::uint64_t m_order = 0;
  std::uint64_t m_over_limit = 0;
};

}  // namespace cassiastile::standin
