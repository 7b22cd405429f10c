#include <map>
#include <ostream>
#include <random>

#include <gtest/gtest.h>

#include "cassiastile/standin/backend_simulation.hpp"

namespace cassiastile::standin {
namespace {

constexpr std::uint64_t kSeeds = 1000;
constexpr std::uint32_t kRequests = 300;
constexpr std::chrono::seconds kArrivalTime{6};
constexpr std::chrono::seconds kLongEnough{40};

// The broken promises of one run, found from what the runners logged and what
// the callers were told.
struct Violations {
  int ran_twice = 0;
  int not_run_but_ran = 0;
  int foreign_answers = 0;
  int without_answer = 0;
  int answered_twice = 0;
  std::uint64_t over_slots = 0;

  bool operator==(const Violations&) const = default;
};

void PrintTo(const Violations& found, std::ostream* out) {
  *out << "ran twice " << found.ran_twice << ", not run but ran "
       << found.not_run_but_ran << ", foreign " << found.foreign_answers
       << ", without answer " << found.without_answer << ", answered twice "
       << found.answered_twice << ", over slots " << found.over_slots;
}

std::map<BackendFault, double> DrawFaults(base::Random& random) {
  constexpr std::array kAll{BackendFault::kRefuse,  BackendFault::kStall,
                            BackendFault::kDie,     BackendFault::kLate,
                            BackendFault::kShort,   BackendFault::kOverLong,
                            BackendFault::kCrossed, BackendFault::kChunkCut,
                            BackendFault::kReset,   BackendFault::kHeaderOnly,
                            BackendFault::kUnframed};
  std::uniform_real_distribution<double> part(0, 0.06);
  std::map<BackendFault, double> faults;
  for (const BackendFault fault : kAll) {
    faults[fault] = random() % 2 == 0 ? part(random) : 0;
  }
  return faults;
}

std::vector<SimulatedRequest> DrawRequests(base::TimePoint from,
                                           std::uint32_t hosts,
                                           base::Random& random) {
  std::uniform_real_distribution<double> when(0, kArrivalTime.count());
  std::uniform_int_distribution<int> timeout(200, 4000);
  std::vector<SimulatedRequest> requests;
  for (std::uint64_t id = 1; id <= kRequests; ++id) {
    SimulatedRequest request;
    request.id = id;
    request.host = static_cast<std::uint32_t>(random() % hosts);
    request.team = "t" + std::to_string(random() % 4);
    request.idempotent = random() % 2 == 0;
    request.urgent = random() % 8 == 0;
    request.at = from + std::chrono::duration_cast<base::Duration>(
                            std::chrono::duration<double>(when(random)));
    request.timeout = std::chrono::milliseconds(timeout(random));
    requests.push_back(request);
  }
  return requests;
}

void BreakThings(RequestSimulation& simulation,
                 const SimulationOptions& options,
                 base::Random& random) {
  for (std::uint32_t i = 0; i < options.runners; ++i) {
    ModelRunnerOptions& runner =
        simulation.Backends().RunnerOptions(RequestSimulation::RunnerName(i));
    runner.faults = DrawFaults(random);
    runner.stalled = random() % 10 == 0;
    if (random() % 4 == 0) {
      runner.kept_silent_until = simulation.Now() + std::chrono::seconds(4);
    }
  }
  platform::MemoryFaults faults;
  faults.lose_answer = 0.1;
  faults.delay_apply = 0.05;
  faults.fail_before = 0.1;
  simulation.Table().SetFaults(faults);
}

Violations Judge(const std::vector<SimulatedRequest>& requests,
                 RequestSimulation& simulation,
                 std::uint32_t crashed_host) {
  std::map<std::string, int> runs;
  for (const Execution& execution : simulation.Backends().Log()) {
    ++runs[execution.request];
  }
  Violations found;
  found.over_slots = simulation.Backends().OverLimit();
  for (const SimulatedRequest& request : requests) {
    const int ran = runs[std::to_string(request.id)];
    found.ran_twice += !request.idempotent && ran > 1 ? 1 : 0;
    const auto answer = simulation.Answers().find(request.id);
    if (answer == simulation.Answers().end()) {
      found.without_answer += request.host == crashed_host ? 0 : 1;
      continue;
    }
    const SimulatedAnswer& seen = answer->second;
    found.answered_twice += seen.answers > 1 ? 1 : 0;
    found.not_run_but_ran +=
        seen.execution == wire::Execution::kNotRun && ran > 0 ? 1 : 0;
    found.foreign_answers +=
        seen.execution == wire::Execution::kRan && !seen.whole ? 1 : 0;
  }
  return found;
}

// How the callers of all runs were answered.
struct Tally {
  int whole = 0;
  int not_run = 0;
  int unknown = 0;
};

void Count(const RequestSimulation& simulation, Tally& tally) {
  for (const auto& [id, answer] : simulation.Answers()) {
    tally.whole += answer.whole ? 1 : 0;
    tally.not_run += answer.execution == wire::Execution::kNotRun ? 1 : 0;
    tally.unknown += answer.execution == wire::Execution::kUnknown ? 1 : 0;
  }
}

Violations RunFaultMix(std::uint64_t seed, Tally& tally) {
  base::Random random(seed);
  SimulationOptions options;
  options.mean_service = std::chrono::milliseconds(50 + random() % 800);
  options.hosts = 3;
  options.runners = 4;
  options.seed = seed;
  RequestSimulation simulation(options);
  BreakThings(simulation, options, random);
  const auto requests = DrawRequests(simulation.Now(), options.hosts, random);
  for (const SimulatedRequest& request : requests) {
    simulation.Submit(request);
  }
  const base::TimePoint start = simulation.Now();
  const auto crashed = static_cast<std::uint32_t>(random() % options.hosts);
  simulation.RunUntil(start + std::chrono::seconds(2));
  simulation.Crash(crashed);
  simulation.SetLeaving(0, true);
  simulation.RunUntil(start + std::chrono::seconds(3));
  simulation.Restart(crashed);
  simulation.RunUntil(start + kLongEnough);
  Count(simulation, tally);
  return Judge(requests, simulation, crashed);
}

TEST(RequestFaultsTest, PromisesHoldInThousandFaultMixes) {
  Tally tally;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ASSERT_EQ(RunFaultMix(seed, tally), Violations{}) << "seed " << seed;
  }
  // The mixes reach every kind of end, each many times.
  constexpr int kMany = 10000;
  EXPECT_GT(tally.whole, kMany);
  EXPECT_GT(tally.not_run, kMany);
  EXPECT_GT(tally.unknown, kMany);
}

}  // namespace
}  // namespace cassiastile::standin
