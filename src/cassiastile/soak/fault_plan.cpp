#include "cassiastile/soak/fault_plan.hpp"

#include <algorithm>
#include <functional>
#include <random>
#include <sstream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cassiastile/base/random.hpp"

namespace cassiastile::soak {

namespace {

using std::chrono::milliseconds;

// A kind of fault that a plan may draw, with its relative frequency.
struct FaultChoice {
  FaultKind kind;
  Place place;
  int weight;
  milliseconds max_duration;  // Zero for a fault without a duration.
};

constexpr milliseconds kLongestCut{4000};
constexpr milliseconds kLongestPause{6000};

constexpr std::array<FaultChoice, 25> kFaultChoices{{
    {FaultKind::kKill, Place::kHost, 5, {}},
    {FaultKind::kStop, Place::kHost, 4, {}},
    {FaultKind::kPause, Place::kHost, 4, kLongestPause},
    {FaultKind::kReload, Place::kHost, 1, {}},
    {FaultKind::kDelay, Place::kHostCallers, 1, kLongestCut},
    {FaultKind::kReset, Place::kHostCallers, 1, {}},
    {FaultKind::kCutToServer, Place::kHostCallers, 1, kLongestCut},
    {FaultKind::kCutFromServer, Place::kHostCallers, 1, kLongestCut},
    {FaultKind::kBlackhole, Place::kHostCallers, 1, {}},
    {FaultKind::kDelay, Place::kHostTable, 1, kLongestCut},
    {FaultKind::kReset, Place::kHostTable, 1, {}},
    {FaultKind::kCutToServer, Place::kHostTable, 2, kLongestCut},
    {FaultKind::kCutFromServer, Place::kHostTable, 2, kLongestCut},
    {FaultKind::kBlackhole, Place::kHostTable, 1, {}},
    {FaultKind::kDelay, Place::kWorker, 1, kLongestCut},
    {FaultKind::kReset, Place::kWorker, 1, {}},
    {FaultKind::kCutToServer, Place::kWorker, 2, kLongestCut},
    {FaultKind::kCutFromServer, Place::kWorker, 2, kLongestCut},
    {FaultKind::kBlackhole, Place::kWorker, 1, {}},
    {FaultKind::kCrash, Place::kWorker, 3, kLongestCut},
    {FaultKind::kDelayStarts, Place::kWorker, 2, kLongestCut},
    {FaultKind::kRefuseCalls, Place::kTable, 2, kLongestCut},
    {FaultKind::kLoseAnswers, Place::kTable, 2, kLongestCut},
    {FaultKind::kCompactHistory, Place::kTable, 1, {}},
    {FaultKind::kConfigure, Place::kOperators, 2, {}},
}};

std::size_t TargetCount(Place place, const PlanOptions& options) {
  switch (place) {
    case Place::kHost:
    case Place::kHostCallers:
    case Place::kHostTable:
      return options.hosts;
    case Place::kWorker:
      return options.workers;
    case Place::kTable:
    case Place::kOperators:
    case Place::kCallers:
      return 1;
  }
  return 1;
}

// Draws from [0, bound).
using Draw = std::function<std::int64_t(std::int64_t bound)>;

// Adds one series: workers restart while jobs are handed in, the leader
// changes, more jobs come and the same workers are cut off.
void AddRestarts(FaultPlan& plan,
                 milliseconds at,
                 const PlanOptions& options,
                 const Draw& below) {
  constexpr milliseconds kShortestSilence{300};
  constexpr milliseconds kBurstGap{150};
  constexpr milliseconds kSecondRestart{800};
  constexpr milliseconds kSecondKill{900};
  constexpr milliseconds kLeaderPause{3500};
  // Until another host leads after a leader that stands still; it takes over
  // sooner from one that is gone.
  constexpr milliseconds kPauseNoticed{1200};
  constexpr milliseconds kKillNoticed{400};
  constexpr milliseconds kLongTask{12000};
  constexpr milliseconds kShortTask{300};
  constexpr milliseconds kShortestLongCut{8000};
  const auto add = [&plan](milliseconds when, FaultKind kind, Place place,
                           milliseconds active_for, std::size_t target = 0) {
    plan.push_back({when, kind, place, target, active_for});
  };
  std::vector<std::size_t> workers;
  for (std::size_t i = 0; i < options.workers; ++i) {
    if (below(5) < 2) {
      workers.push_back(i);
    }
  }
  const milliseconds silence = kShortestSilence + milliseconds(below(900));
  const bool twice = below(6) == 0;
  for (const std::size_t worker : workers) {
    add(at, FaultKind::kRestart, Place::kWorker, silence, worker);
    if (twice) {
      add(at + silence + kSecondRestart / 4, FaultKind::kRestart,
          Place::kWorker, kSecondRestart, worker);
    }
  }
  for (milliseconds burst{0}; burst < silence; burst += kBurstGap) {
    add(at + burst, FaultKind::kBurst, Place::kCallers, kShortTask);
  }
  milliseconds change = at + silence + milliseconds(below(3000));
  milliseconds noticed = kKillNoticed;
  switch (below(8)) {
    case 0:
    case 1:
    case 2:
      add(change, FaultKind::kKillLeader, Place::kHost, {});
      break;
    case 3:
    case 4:
      add(change, FaultKind::kStopLeader, Place::kHost, {});
      break;
    case 5:
      add(change, FaultKind::kPauseLeader, Place::kHost, kLeaderPause);
      noticed = kPauseNoticed;
      break;
    case 6:
      add(change, FaultKind::kKillLeader, Place::kHost, {});
      change += kSecondKill;
      add(change, FaultKind::kKillLeader, Place::kHost, {});
      break;
    default:
      break;
  }
  const milliseconds cut = change + noticed + milliseconds(200 + below(800));
  for (milliseconds burst = change + noticed - kBurstGap; burst < cut;
       burst += 2 * kBurstGap) {
    add(burst, FaultKind::kBurst, Place::kCallers, kLongTask);
  }
  const milliseconds length = kShortestLongCut + milliseconds(below(4000));
  for (const std::size_t worker : workers) {
    add(cut, FaultKind::kCut, Place::kWorker, length, worker);
  }
}

}  // namespace

FaultPlan MakePlan(std::uint64_t seed, const PlanOptions& options) {
  base::Random random(seed);
  const auto below = [&random](std::int64_t bound) {
    return std::uniform_int_distribution<std::int64_t>(0, bound - 1)(random);
  };
  std::vector<double> weights;
  weights.reserve(kFaultChoices.size());
  for (const FaultChoice& choice : kFaultChoices) {
    weights.push_back(choice.weight);
  }
  std::discrete_distribution<std::size_t> choose(weights.begin(),
                                                 weights.end());
  FaultPlan plan;
  constexpr int kWaveOneIn = 3;
  if (below(kWaveOneIn) == 0) {
    plan.push_back({milliseconds(below(options.duration.count())),
                    FaultKind::kWave,
                    Place::kOperators,
                    0,
                    {}});
  }
  constexpr int kRarer = 6;
  const milliseconds mean_gap =
      options.mean_gap * (options.restarts ? kRarer : 1);
  milliseconds at(below(mean_gap.count()));
  while (at < options.duration) {
    const FaultChoice& choice = kFaultChoices.at(choose(random));
    constexpr std::int64_t kMaxSeries = 4;
    const std::int64_t series = 1 + below(kMaxSeries) * below(2);
    for (std::int64_t i = 0; i < series; ++i) {
      Fault fault;
      fault.at = at + milliseconds(below(mean_gap.count()));
      fault.kind = choice.kind;
      fault.place = choice.place;
      fault.target = static_cast<std::size_t>(
          below(static_cast<std::int64_t>(TargetCount(choice.place, options))));
      if (choice.max_duration.count() > 0) {
        constexpr std::int64_t kMinDuration = 100;
        fault.active_for =
            milliseconds(kMinDuration + below(choice.max_duration.count()));
      }
      plan.push_back(fault);
    }
    at += milliseconds(1 + below(2 * mean_gap.count()));
  }
  // Drawn last, so that the rest of a seed's plan is what it was without it.
  constexpr int kEvacuationOneIn = 3;
  constexpr std::int64_t kShortestEvacuation = 5500;
  if (below(kEvacuationOneIn) == 0) {
    plan.push_back(
        {milliseconds(below(options.duration.count())), FaultKind::kEvacuate,
         Place::kOperators, static_cast<std::size_t>(below(2)),
         milliseconds(kShortestEvacuation + below(kLongestCut.count()))});
  }
  // Long enough that another host takes over.
  constexpr std::int64_t kShortestLeaderPause = 2000;
  constexpr std::int64_t kLeaderPauseSpread = 2000;
  constexpr milliseconds kTimePerLeaderPause{6000};
  const std::int64_t leader_pauses = 1 + options.duration / kTimePerLeaderPause;
  for (std::int64_t i = 0; i < leader_pauses && !options.restarts; ++i) {
    plan.push_back(
        {milliseconds(below(options.duration.count())), FaultKind::kPauseLeader,
         Place::kHost, 0,
         milliseconds(kShortestLeaderPause + below(kLeaderPauseSpread))});
  }
  // Old enough that a lease by the clock of before reaches far in the next
  // incarnation.
  constexpr milliseconds kOldEnough{5000};
  // The tasks of a series are over by the next one.
  constexpr milliseconds kTimePerRestarts{30000};
  for (milliseconds from = kOldEnough;
       options.restarts && from < options.duration; from += kTimePerRestarts) {
    AddRestarts(plan, from + milliseconds(below(1000)), options, below);
  }
  std::ranges::stable_sort(plan, {}, &Fault::at);
  return plan;
}

std::string EncodePlan(const FaultPlan& plan) {
  std::string text;
  for (const Fault& fault : plan) {
    nlohmann::json line{{"at_ms", fault.at.count()},
                        {"fault", base::FindName(kFaultNames, fault.kind)},
                        {"place", base::FindName(kPlaceNames, fault.place)},
                        {"target", fault.target}};
    if (fault.active_for.count() > 0) {
      line["for_ms"] = fault.active_for.count();
    }
    text += line.dump() + "\n";
  }
  return text;
}

base::Result<FaultPlan> DecodePlan(const std::string& text) {
  FaultPlan plan;
  std::istringstream lines(text);
  int number = 0;
  for (std::string line; std::getline(lines, line);) {
    ++number;
    if (line.empty() || line.front() == '#') {
      continue;
    }
    try {
      const auto json = nlohmann::json::parse(line);
      const auto kind =
          base::FindValue(kFaultNames, json.at("fault").get<std::string>());
      const auto place =
          base::FindValue(kPlaceNames, json.at("place").get<std::string>());
      if (!kind || !place) {
        throw std::invalid_argument("unknown fault or place");
      }
      plan.push_back({milliseconds(json.at("at_ms").get<std::int64_t>()), *kind,
                      *place, json.value("target", std::size_t{0}),
                      milliseconds(json.value("for_ms", std::int64_t{0}))});
    } catch (const std::exception& error) {
      return base::Fail(base::ErrorCode::kInvalid,
                        fmt::format("line {}: {}", number, error.what()));
    }
  }
  return plan;
}

}  // namespace cassiastile::soak
