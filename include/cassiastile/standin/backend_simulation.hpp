#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/entry/credit_account.hpp"
#include "cassiastile/entry/holder_watch.hpp"
#include "cassiastile/entry/service_shard.hpp"
#include "cassiastile/platform/memory_platform.hpp"
#include "cassiastile/standin/backend_model.hpp"
#include "cassiastile/work/request.hpp"

namespace cassiastile::standin {

// How requests are dispatched in a simulation.
enum class SimulatedPolicy : std::uint8_t {
  kCassiastile,
  // The baseline: round robin over the runners, a FIFO queue at each runner,
  // and retries even where the request may have run.
  kRoundRobin,
};

struct SimulationOptions {
  SimulatedPolicy policy = SimulatedPolicy::kCassiastile;
  std::uint32_t hosts = 6;
  std::uint32_t zones = 3;
  std::uint32_t runners = 10;
  std::uint32_t slots = 8;  // Of each runner.
  std::chrono::milliseconds mean_service{50};
  std::uint64_t seed = 1;
};

struct SimulatedRequest {
  std::uint64_t id = 0;
  std::uint32_t host = 0;
  std::string team;
  bool idempotent = true;
  bool urgent = false;
  base::TimePoint at{};
  base::Duration timeout{};
};

// What the caller of a request saw.
struct SimulatedAnswer {
  wire::Execution execution = wire::Execution::kUnknown;
  bool correct = false;  // The complete response to this request.
  base::TimePoint at{};
  std::uint32_t answers = 0;     // More than one is a fault.
  base::Duration retry_after{};  // Zero when none was given.
};

// Simulates entry hosts with their callers, runners (backend servers) and table
// in virtual time.
// Decisions are made by the code of the daemons; only the network and the time
// are simulated.
class RequestSimulation {
 public:
  explicit RequestSimulation(SimulationOptions options);
  ~RequestSimulation();
  RequestSimulation(const RequestSimulation&) = delete;
  RequestSimulation& operator=(const RequestSimulation&) = delete;

  base::TimePoint Now() const { return m_now; }
  BackendModel& Backends() { return m_backends; }
  const BackendModel& Backends() const { return m_backends; }
  platform::MemoryTable& Table() { return m_table; }
  static std::string RunnerName(std::uint32_t index);

  void Submit(const SimulatedRequest& request);
  // Advances to a time. Requests submitted for an earlier time arrive in their
  // order.
  void RunUntil(base::TimePoint until);

  // Kills a host's process at once. Its callers get no answer.
  void Crash(std::uint32_t host);
  // Starts a crashed host under a new incarnation.
  void Restart(std::uint32_t host);
  // Lists a runner as leaving, or as live again.
  void SetLeaving(std::uint32_t runner, bool leaving);

  // The answers by request id.
  const std::map<std::uint64_t, SimulatedAnswer>& Answers() const {
    return m_answers;
  }
  // The sum of all grants of a runner's slots in the table.
  std::uint32_t GrantedInTable(std::uint32_t runner);

 private:
  struct Host {
    std::uint64_t incarnation = 1;
    std::unique_ptr<entry::ServiceShard> shard;
    std::unique_ptr<entry::CreditAccount> account;
    std::unique_ptr<entry::HolderWatch> watch;
    base::TimePoint next_credit_sync{};
    // Grows with each crash and each restart. Completions of calls sent in an
    // earlier generation are dropped.
    std::uint64_t generation = 0;
  };

  struct BaselineRequest {
    SimulatedRequest request;
    std::uint32_t tries = 0;
  };

  struct SentCall {
    std::uint32_t host = 0;
    std::uint64_t generation = 0;
    work::TryId try_id = 0;
    std::string request_id;
    std::string probed;  // The runner, if the call is a health check.
    std::uint64_t request = 0;
  };

  void StartHost(std::uint32_t index);
  entry::ServiceShardHooks MakeHooks(std::uint32_t index);
  void Send(std::uint32_t host, const work::SendTry& send);
  void Probe(std::uint32_t host, const work::SendProbe& probe);
  void Finish(const work::FinishRequest& finish);
  void ListRunners(Host& host);
  void ListHosts();
  void Arrive(const SimulatedRequest& request);
  void Complete(const ModelCompletion& completion);
  void TickHosts();
  void SyncCredits(std::uint32_t index);
  base::TimePoint NextEvent() const;

  void SendBaseline(std::uint64_t request);
  void CompleteBaseline(std::uint64_t request,
                        const wire::HttpOutcome& outcome);

  SimulationOptions m_options;
  base::Random m_random;
  base::TimePoint m_now;  // Starts above zero, which stands for "never".
  BackendModel m_backends;
  platform::MemoryTable m_table;
  std::vector<Host> m_hosts;
  std::vector<bool> m_leaving;
  std::multimap<base::TimePoint, SimulatedRequest> m_arrivals;
  std::map<std::uint64_t, SentCall> m_sent;
  std::map<std::uint64_t, BaselineRequest> m_baseline;
  std::map<std::uint64_t, SimulatedAnswer> m_answers;
  std::multimap<base::TimePoint, ModelCompletion> m_completions;
  base::TimePoint m_next_tick;
  base::TimePoint m_next_listing;
  std::uint64_t m_next_call = 1;
  std::uint32_t m_next_runner = 0;
};

}  // namespace cassiastile::standin
