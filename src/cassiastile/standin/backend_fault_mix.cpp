#include "cassiastile/standin/backend_fault_mix.hpp"

#include <array>
#include <map>
#include <ostream>
#include <random>
#include <string>
#include <vector>

namespace cassiastile::standin {

namespace {

constexpr std::uint32_t kRequests = 300;
// The requests arrive within this time.
constexpr std::chrono::seconds kArrivalTime{6};
// The crash and the restart fall into the time of the arrivals.
constexpr std::chrono::seconds kCrashAfter{2};
constexpr std::chrono::seconds kRestartAfter{3};
constexpr std::chrono::seconds kBlackholeTime{4};
// All deadlines have passed by then: requests arrive within 6 s and have
// timeouts of up to 4 s.
constexpr std::chrono::seconds kRunLength{20};
// Of each fault; all eleven add up to at most 0.66, so that some requests run
// without a fault.
constexpr double kMaxFaultProbability = 0.06;

std::map<BackendFault, double> DrawFaults(base::Random& random) {
  constexpr std::array kAll{BackendFault::kRefuse,  BackendFault::kStall,
                            BackendFault::kDie,     BackendFault::kLate,
                            BackendFault::kShort,   BackendFault::kOverLong,
                            BackendFault::kCrossed, BackendFault::kChunkCut,
                            BackendFault::kReset,   BackendFault::kHeaderOnly,
                            BackendFault::kUnframed};
  std::uniform_real_distribution<double> probability(0, kMaxFaultProbability);
  std::map<BackendFault, double> faults;
  for (const BackendFault fault : kAll) {
    faults[fault] = random() % 2 == 0 ? probability(random) : 0;
  }
  return faults;
}

std::vector<SimulatedRequest> DrawRequests(base::TimePoint from,
                                           std::uint32_t hosts,
                                           base::Random& random) {
  constexpr int kTeams = 4;
  constexpr int kOneUrgentIn = 8;
  constexpr int kShortestTimeoutMs = 200;
  constexpr int kLongestTimeoutMs = 4000;
  std::uniform_real_distribution<double> when(0, kArrivalTime.count());
  std::uniform_int_distribution<int> timeout(kShortestTimeoutMs,
                                             kLongestTimeoutMs);
  std::vector<SimulatedRequest> requests;
  for (std::uint64_t id = 1; id <= kRequests; ++id) {
    SimulatedRequest request;
    request.id = id;
    request.host = static_cast<std::uint32_t>(random() % hosts);
    request.team = "t" + std::to_string(random() % kTeams);
    request.idempotent = random() % 2 == 0;
    request.urgent = random() % kOneUrgentIn == 0;
    request.at = from + std::chrono::duration_cast<base::Duration>(
                            std::chrono::duration<double>(when(random)));
    request.timeout = std::chrono::milliseconds(timeout(random));
    requests.push_back(request);
  }
  return requests;
}

void InjectFaults(RequestSimulation& simulation,
                  const SimulationOptions& options,
                  base::Random& random) {
  constexpr int kOneStalledIn = 10;
  constexpr int kOneBlackholedIn = 4;
  constexpr double kLostAnswerProbability = 0.1;
  constexpr double kDelayedWriteProbability = 0.05;
  constexpr double kFailedCallProbability = 0.1;
  for (std::uint32_t i = 0; i < options.runners; ++i) {
    ModelRunnerOptions& runner =
        simulation.Backends().RunnerOptions(RequestSimulation::RunnerName(i));
    runner.faults = DrawFaults(random);
    runner.stalled = random() % kOneStalledIn == 0;
    if (random() % kOneBlackholedIn == 0) {
      runner.blackhole_until = simulation.Now() + kBlackholeTime;
    }
  }
  platform::MemoryFaults faults;
  faults.lose_answer = kLostAnswerProbability;
  faults.delay_apply = kDelayedWriteProbability;
  faults.fail_before = kFailedCallProbability;
  simulation.Table().SetFaults(faults);
}

void ClassifyRequest(const SimulatedRequest& request,
                     const SimulatedAnswer& answer,
                     int run_count,
                     FaultMixResult& result) {
  using wire::Execution;
  FaultMixViolations& found = result.violations;
  const bool not_run = answer.execution == Execution::kNotRun;
  const bool unknown = answer.execution == Execution::kUnknown;
  found.ran_twice += !request.idempotent && run_count > 1 ? 1 : 0;
  found.answered_twice += answer.answers > 1 ? 1 : 0;
  found.not_run_but_ran += not_run && run_count > 0 ? 1 : 0;
  found.wrong_answers += !not_run && !unknown && !answer.correct ? 1 : 0;
  result.tally.correct += answer.correct ? 1 : 0;
  result.tally.not_run += not_run ? 1 : 0;
  result.tally.unknown += unknown ? 1 : 0;
}

FaultMixResult CollectResult(const std::vector<SimulatedRequest>& requests,
                             const RequestSimulation& simulation,
                             std::uint32_t crashed_host) {
  std::map<std::string, int> runs;
  for (const Execution& execution : simulation.Backends().Log()) {
    ++runs[execution.request];
  }
  FaultMixResult result;
  result.violations.arrivals_over_slots =
      simulation.Backends().ArrivalsOverSlots();
  for (const SimulatedRequest& request : requests) {
    const int run_count = runs[std::to_string(request.id)];
    const auto answer = simulation.Answers().find(request.id);
    if (answer != simulation.Answers().end()) {
      ClassifyRequest(request, answer->second, run_count, result);
      continue;
    }
    const bool host_died = request.host == crashed_host;
    result.violations.without_answer += host_died ? 0 : 1;
    result.violations.ran_twice += !request.idempotent && run_count > 1 ? 1 : 0;
  }
  return result;
}

}  // namespace

void PrintTo(const FaultMixViolations& found, std::ostream* out) {
  *out << "ran twice " << found.ran_twice << ", not run but ran "
       << found.not_run_but_ran << ", wrong answers " << found.wrong_answers
       << ", without answer " << found.without_answer << ", answered twice "
       << found.answered_twice << ", over slots " << found.arrivals_over_slots;
}

FaultMixResult RunFaultMix(std::uint64_t seed, SimulatedPolicy policy) {
  constexpr int kShortestMeanServiceMs = 50;
  constexpr int kMeanServiceSpreadMs = 800;
  base::Random random(seed);
  SimulationOptions options;
  options.policy = policy;
  options.hosts = 3;
  options.runners = 4;
  options.seed = seed;
  options.mean_service = std::chrono::milliseconds(
      kShortestMeanServiceMs + random() % kMeanServiceSpreadMs);
  RequestSimulation simulation(options);
  InjectFaults(simulation, options, random);
  const auto requests = DrawRequests(simulation.Now(), options.hosts, random);
  for (const SimulatedRequest& request : requests) {
    simulation.Submit(request);
  }
  const base::TimePoint start = simulation.Now();
  const auto crashed = static_cast<std::uint32_t>(random() % options.hosts);
  simulation.RunUntil(start + kCrashAfter);
  simulation.Crash(crashed);
  simulation.SetLeaving(0, true);
  simulation.RunUntil(start + kRestartAfter);
  simulation.Restart(crashed);
  simulation.RunUntil(start + kRunLength);
  return CollectResult(requests, simulation, crashed);
}

}  // namespace cassiastile::standin
