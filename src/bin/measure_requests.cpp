#include <algorithm>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cassiastile/standin/backend_fault_mix.hpp"
#include "cassiastile/standin/backend_simulation.hpp"

namespace {

using namespace cassiastile;  // NOLINT(google-build-using-namespace)
using standin::RequestSimulation;
using standin::SimulatedPolicy;
using standin::SimulatedRequest;
using Seconds = std::chrono::duration<double>;

constexpr std::uint64_t kSeed = 4;
constexpr std::uint64_t kMixes = 1000;
constexpr std::uint64_t kBaselineMixes = 50;
// The mean load as a fraction of the capacity, at 1x.
constexpr double kMeanLoad = 0.4;
constexpr Seconds kWarmUp{3};
constexpr Seconds kMeasured{6};
constexpr Seconds kSettling{3};
constexpr std::chrono::milliseconds kTimeout{1000};
constexpr std::chrono::milliseconds kSlow{500};
// Short enough that the service time alone never makes a request slow.
constexpr std::chrono::milliseconds kShortService{20};

// The load and the faults of one simulation.
struct Scenario {
  double load = 1;  // As a multiple of the mean load.
  bool one_stalled = false;
  bool silent_link = false;
  std::chrono::milliseconds mean_service{50};
};

struct Figures {
  // Good answers as a fraction of the requests or, if less, of the capacity.
  double goodput = 0;
  double p99_ms = 0;          // Time to a complete answer.
  double refused_p99_ms = 0;  // Time until a caller was told "not run".
  // The fraction of the answered requests that got no good answer within kSlow.
  double slow_fraction = 0;
  // Time from the fault to the end of the last slow or failed request.
  double recovery_s = 0;
  // Requests that reached a backend server while all its slots were in use,
  // those of the warm-up included.
  std::uint64_t arrivals_over_slots = 0;
};

base::Duration ToDuration(Seconds seconds) {
  return std::chrono::duration_cast<base::Duration>(seconds);
}

// Submits requests as a Poisson process of `rate` requests a second.
void Submit(RequestSimulation& simulation,
            std::vector<SimulatedRequest>& requests,
            base::TimePoint from,
            Seconds length,
            double rate,
            base::Random& random) {
  constexpr std::uint32_t kHosts = 6;
  constexpr std::uint32_t kTeams = 6;
  std::exponential_distribution<double> gap(rate);
  double at = gap(random);
  while (at < length.count()) {
    SimulatedRequest request;
    request.id = requests.size() + 1;
    request.host = static_cast<std::uint32_t>(random() % kHosts);
    request.team = "t" + std::to_string(random() % kTeams);
    request.idempotent = random() % 2 == 0;
    request.at = from + ToDuration(Seconds(at));
    request.timeout = kTimeout;
    simulation.Submit(request);
    requests.push_back(request);
    at += gap(random);
  }
}

double Percentile99(std::vector<double> values) {
  constexpr double kQuantile = 0.99;
  if (values.empty()) {
    return 0;
  }
  const auto index = static_cast<std::ptrdiff_t>(
      kQuantile * static_cast<double>(values.size()));
  std::nth_element(values.begin(), values.begin() + index, values.end());
  return values[static_cast<std::size_t>(index)];
}

double MillisBetween(base::TimePoint from, base::TimePoint to) {
  return std::chrono::duration<double, std::milli>(to - from).count();
}

// Computes the figures of the requests submitted since `from`. `expected` is
// the number of requests that the capacity allows for.
Figures ComputeFigures(const RequestSimulation& simulation,
                       const std::vector<SimulatedRequest>& requests,
                       base::TimePoint from,
                       double expected) {
  Figures figures;
  std::vector<double> answered;
  std::vector<double> refused;
  double total = 0;
  double late = 0;
  for (const SimulatedRequest& request : requests) {
    const auto found = simulation.Answers().find(request.id);
    if (request.at < from || found == simulation.Answers().end()) {
      continue;
    }
    const double took = MillisBetween(request.at, found->second.at);
    const bool good =
        found->second.correct && took <= static_cast<double>(kTimeout.count());
    if (good) {
      answered.push_back(took);
    } else if (found->second.execution == wire::Execution::kNotRun) {
      refused.push_back(took);
    }
    total += 1;
    if (!good || took > static_cast<double>(kSlow.count())) {
      late += 1;
      figures.recovery_s = std::max(figures.recovery_s,
                                    Seconds(found->second.at - from).count());
    }
  }
  figures.goodput =
      static_cast<double>(answered.size()) / std::min(total, expected);
  figures.slow_fraction = late / std::max(1.0, total);
  figures.p99_ms = Percentile99(answered);
  figures.refused_p99_ms = Percentile99(refused);
  figures.arrivals_over_slots = simulation.Backends().ArrivalsOverSlots();
  return figures;
}

// Simulates a warm-up at the mean load, then the scenario, and returns the
// figures of the requests since its start.
Figures Run(const Scenario& scenario, SimulatedPolicy policy) {
  standin::SimulationOptions options;
  options.policy = policy;
  options.seed = kSeed;
  options.mean_service = scenario.mean_service;
  RequestSimulation simulation(options);
  base::Random random(kSeed);
  const double capacity =
      options.runners * options.slots / Seconds(options.mean_service).count();
  const base::TimePoint start = simulation.Now();
  const base::TimePoint from = start + ToDuration(kWarmUp);
  std::vector<SimulatedRequest> requests;
  Submit(simulation, requests, start, kWarmUp, capacity * kMeanLoad, random);
  Submit(simulation, requests, from, kMeasured,
         capacity * kMeanLoad * scenario.load, random);
  simulation.RunUntil(from);
  auto& runner =
      simulation.Backends().RunnerOptions(RequestSimulation::RunnerName(0));
  runner.stalled = scenario.one_stalled;
  if (scenario.silent_link) {
    runner.blackhole_until = from + ToDuration(2 * kMeasured);
  }
  simulation.RunUntil(from + ToDuration(kMeasured + kSettling));
  return ComputeFigures(simulation, requests, from,
                        capacity * kMeasured.count());
}

void Print(const std::string& name,
           double value,
           const std::string& unit,
           const std::string& better,
           double baseline) {
  const nlohmann::ordered_json line{
      {"name", "requests." + name}, {"value", value}, {"unit", unit},
      {"better", better},           {"seed", kSeed},  {"baseline", baseline}};
  std::puts(line.dump().c_str());
}

void MeasureScenario(const std::string& name, const Scenario& scenario) {
  const Figures ours = Run(scenario, SimulatedPolicy::kCassiastile);
  const Figures baseline = Run(scenario, SimulatedPolicy::kRoundRobin);
  Print("goodput." + name, ours.goodput, "ratio", "higher", baseline.goodput);
  Print("p99." + name, ours.p99_ms, "ms", "lower", baseline.p99_ms);
  Print("refusal_p99." + name, ours.refused_p99_ms, "ms", "lower",
        baseline.refused_p99_ms);
  Print("slow_or_failed." + name, ours.slow_fraction, "ratio", "lower",
        baseline.slow_fraction);
  Print("over_slots." + name, static_cast<double>(ours.arrivals_over_slots),
        "starts", "lower", static_cast<double>(baseline.arrivals_over_slots));
  if (scenario.silent_link) {
    Print("recovery." + name, ours.recovery_s, "s", "lower",
          baseline.recovery_s);
  }
}

standin::FaultMixViolations SumMixes(std::uint64_t mixes,
                                     SimulatedPolicy policy) {
  standin::FaultMixViolations sum;
  for (std::uint64_t seed = 1; seed <= mixes; ++seed) {
    const auto found = standin::RunFaultMix(seed, policy).violations;
    sum.ran_twice += found.ran_twice;
    sum.not_run_but_ran += found.not_run_but_ran;
    sum.wrong_answers += found.wrong_answers;
    sum.arrivals_over_slots += found.arrivals_over_slots;
  }
  return sum;
}

// The baseline runs fewer fault mixes; its counts are scaled up to kMixes.
void MeasureMixes() {
  const auto ours = SumMixes(kMixes, SimulatedPolicy::kCassiastile);
  const auto baseline = SumMixes(kBaselineMixes, SimulatedPolicy::kRoundRobin);
  const auto print = [](const std::string& name, std::uint64_t value,
                        std::uint64_t of_baseline) {
    const std::uint64_t scaled = of_baseline * kMixes / kBaselineMixes;
    Print(name, static_cast<double>(value), "violations in 1000 mixes", "lower",
          static_cast<double>(scaled));
  };
  print("at_most_once_violations", ours.ran_twice, baseline.ran_twice);
  print("not_run_violations", ours.not_run_but_ran, baseline.not_run_but_ran);
  print("whole_answer_violations", ours.wrong_answers, baseline.wrong_answers);
  print("slot_violations", ours.arrivals_over_slots,
        baseline.arrivals_over_slots);
}

}  // namespace

// measure-requests: prints the figures of request handling as JSON lines, each
// compared with plain round robin, first-come-first-served queues and blind
// retries.
int main() {
  MeasureScenario("1x", {});
  MeasureScenario("5x", {.load = 5});
  MeasureScenario("one_stalled", {.one_stalled = true});
  MeasureScenario("silent_link",
                  {.silent_link = true, .mean_service = kShortService});
  MeasureMixes();
  return 0;
}
