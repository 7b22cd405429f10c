#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>

#include "../cassiastile/fleet/fake_race.hpp"
#include "cassiastile/fleet/buffer.hpp"
#include "cassiastile/fleet/demand.hpp"
#include "cassiastile/fleet/wave_plan.hpp"

// measure-fleet: measures waves, budgets, host moves between pools and pool
// buffers in virtual time, and prints the figures as JSON lines. `--chart FILE`
// measures nothing and writes the availability of a pool during a wave as SVG.
namespace {

namespace fleet = cassiastile::fleet;
namespace base = cassiastile::base;
namespace config = cassiastile::config;
namespace fake = cassiastile::fleet::fake;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261203;

// One figure; `baseline` is the value under the policy compared with.
struct Figure {
  std::string_view name;
  double value = 0;
  std::string_view unit;
  std::string_view better;
  double baseline = 0;
};

void Print(const Figure& figure) {
  fmt::print(
      "{{\"name\":\"{}\",\"value\":{:.4g},\"unit\":\"{}\",\"better\":\"{}\","
      "\"seed\":{},\"baseline\":{:.4g}}}\n",
      figure.name, figure.value, figure.unit, figure.better, kSeed,
      figure.baseline);
}

// Keeps every host that is not draining busy with tasks of 1 to 600 seconds,
// one after another.
class TaskLoad {
 public:
  TaskLoad(fake::World& world, std::uint64_t seed)
      : m_world(world), m_random(seed) {}

  void Advance() {
    const base::TimePoint now = m_world.clock.Now();
    for (const config::Pool& pool : m_world.document->fleet.pools) {
      for (const config::Host& host : pool.hosts) {
        AdvanceHost(host.name, now);
      }
    }
  }

 private:
  void AdvanceHost(const std::string& host, base::TimePoint now) {
    constexpr int kLongestTaskSeconds = 600;
    base::TimePoint& end = m_ends[host];
    const bool takes_work = !m_world.machines.Status(host)->draining;
    if (end <= now && takes_work) {
      end = now + seconds(std::uniform_int_distribution<int>(
                      1, kLongestTaskSeconds)(m_random));
    }
    fleet::HostWork& work = m_world.work.work[host];
    work.running = end > now ? 1 : 0;
    work.longest_remaining = end > now ? end - now : base::Duration{};
  }

  fake::World& m_world;
  base::Random m_random;
  std::map<std::string, base::TimePoint> m_ends;
};

constexpr std::uint32_t kWaveHosts = 60;
constexpr std::uint32_t kWaveBudget = 4;
constexpr seconds kReboot(300);

std::shared_ptr<config::AcceptedFleet> MakeWaveDocument(
    std::uint32_t parallel) {
  auto document = fake::MakeDocument({.pools = 2,
                                      .hosts = kWaveHosts,
                                      .max_out = kWaveBudget,
                                      .parallel = parallel,
                                      .spare = true});
  auto& spare = document->fleet.pools.back().hosts;
  constexpr std::size_t kSpareHosts = 6;
  spare.resize(kSpareHosts);
  return document;
}

// A measured wave: how many hosts of one rack never return from maintenance,
// and how long the operator takes to resume a halted wave.
struct WaveCase {
  std::uint32_t parallel = kWaveBudget;
  std::uint32_t stuck = 0;
  seconds resume_after{120};
};

// The availability of the wave's pool in one second, in hosts.
struct WaveSample {
  std::size_t in_service = 0;
  std::size_t out = 0;
};

// Runs one wave in virtual time, in steps of a second.
class WaveRun {
 public:
  explicit WaveRun(const WaveCase& wave_case)
      : m_case(wave_case),
        m_world(MakeWaveDocument(wave_case.parallel), kSeed, kReboot),
        m_load(m_world, kSeed),
        m_reconciler(m_world.MakeReconciler("control-1", kSeed)) {
    // The first hosts share a rack, so their failures are correlated.
    for (std::uint32_t i = 0; i < m_case.stuck; ++i) {
      m_world.machines.stuck.insert(fmt::format("p0-h{}", i));
    }
  }

  // Runs the wave to its end and returns its duration in seconds, 200000 at
  // most.
  double Run() {
    constexpr int kMaxSeconds = 200000;
    m_load.Advance();
    m_world.Start(m_reconciler);
    int second = 0;
    for (; second < kMaxSeconds; ++second) {
      m_load.Advance();
      m_world.Round(m_reconciler);
      const fleet::FleetState& state = m_reconciler.State();
      Sample(state);
      const fleet::WaveRecord& wave = state.waves.at("wave").record;
      if (wave.state == fleet::WaveState::kFinished) {
        break;
      }
      ResumeIfHalted(wave);
      m_world.clock.Advance(seconds(1));
    }
    return second;
  }

  const std::vector<WaveSample>& Samples() const { return m_samples; }
  std::uint64_t Violations() const {
    return m_world.table.budget_violations + m_world.table.pool_violations;
  }

 private:
  void Sample(const fleet::FleetState& state) {
    WaveSample sample;
    for (const auto& [host, stored] : state.hosts) {
      if (stored.record.pool == "p0") {
        const bool in_service =
            stored.record.state == fleet::HostState::kInService;
        sample.in_service += in_service ? 1 : 0;
        sample.out += in_service ? 0 : 1;
      }
    }
    m_samples.push_back(sample);
  }

  void ResumeIfHalted(const fleet::WaveRecord& wave) {
    m_halted = wave.state == fleet::WaveState::kHalted ? m_halted + seconds(1)
                                                       : seconds(0);
    if (m_halted > m_case.resume_after) {
      static_cast<void>(m_reconciler.ApplyWaveAction(
          "wave", "anna", fleet::WaveAction::kResume, {}));
    }
  }

  WaveCase m_case;
  fake::World m_world;
  TaskLoad m_load;
  fleet::Reconciler m_reconciler;
  std::vector<WaveSample> m_samples;
  seconds m_halted{0};
};

void MeasureRollOut() {
  const double service =
      std::chrono::duration<double>(kReboot).count() +
      std::chrono::duration<double>(fleet::ProgressOptions().probe_time)
          .count();
  const double bound = kWaveHosts * service / kWaveBudget;
  const double one_by_one = WaveRun({.parallel = 1}).Run() / bound;
  Print({"rollout_over_bound", WaveRun({}).Run() / bound, "ratio", "lower",
         one_by_one});
  constexpr std::uint32_t kStuck = kWaveHosts / 20;  // 5 %.
  Print({"rollout_over_bound_5pct_correlated",
         WaveRun({.stuck = kStuck}).Run() / bound, "ratio", "lower",
         WaveRun({.parallel = 1, .stuck = kStuck}).Run() / bound});
}

void MeasureViolations() {
  constexpr std::uint64_t kSeeds = 1000;
  constexpr int kSteps = 60;
  std::uint64_t budget = 0;
  std::uint64_t pools = 0;
  std::uint64_t takes = 0;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    base::Random random(kSeed + seed);
    constexpr double kLostAnswers = 0.15;
    fake::Race race(seed, kLostAnswers);
    for (int step = 0; step < kSteps; ++step) {
      const auto event = static_cast<int>(random() % fake::kEvents);
      race.ApplyStep({event, static_cast<std::uint32_t>(random())});
      if (step % 3 == 0) {
        race.ApplyStep({static_cast<int>(fake::Event::kBothRound), 0});
      }
    }
    budget += race.Table().budget_violations;
    pools += race.Table().pool_violations;
    takes += race.Table().planned_drains;
  }
  Print({"budget_violations_1000_seeds", static_cast<double>(budget), "count",
         "lower", 0});
  Print({"two_pool_moments_1000_seeds", static_cast<double>(pools), "count",
         "lower", 0});
  Print({"planned_takes_1000_seeds", static_cast<double>(takes), "count",
         "higher", 0});
}

// Draws the demand of one queue for each second, in hosts: bursts of about five
// times the mean that last 8 to 12 seconds, and a twentieth of the mean in
// between.
std::vector<double> MakeDemand(double mean, int length, base::Random& random) {
  constexpr double kBurstFactor = 5;
  constexpr double kBetweenFactor = 0.05;
  std::vector<double> demand;
  demand.reserve(static_cast<std::size_t>(length));
  std::uniform_int_distribution<int> burst_seconds(8, 12);
  std::uniform_int_distribution<int> between_seconds(38, 46);
  std::uniform_real_distribution<double> jitter(0.9, 1.1);
  while (demand.size() < static_cast<std::size_t>(length)) {
    const double high = mean * kBurstFactor * jitter(random);
    demand.insert(demand.end(), static_cast<std::size_t>(burst_seconds(random)),
                  high);
    demand.insert(demand.end(),
                  static_cast<std::size_t>(between_seconds(random)),
                  mean * kBetweenFactor);
  }
  demand.resize(static_cast<std::size_t>(length));
  return demand;
}

// Returns the fewest idle hosts, summed over the hours, that a policy with
// perfect foresight of each hour's demand needs to miss no more deadlines than
// `misses`.
double LeastBuffer(std::span<const double> demand,
                   std::size_t hour_seconds,
                   double mean,
                   double misses) {
  constexpr int kTargets = 200;
  constexpr double kLargestTarget = 0.05;
  const std::size_t hours = demand.size() / hour_seconds;
  double least = std::numeric_limits<double>::max();
  for (int step = 0; step <= kTargets; ++step) {
    fleet::BufferOptions options;
    options.miss_target = kLargestTarget * step / kTargets;
    double held = 0;
    double missed = 0;
    for (std::size_t i = 0; i < hours; ++i) {
      const auto next = demand.subspan(i * hour_seconds, hour_seconds);
      const std::uint32_t hosts = fleet::HostsForDemand(next, options);
      held += hosts - mean;
      missed += fleet::DeadlineMissRatio(next, hosts, options) /
                static_cast<double>(hours);
    }
    if (missed <= misses) {
      least = std::min(least, held);
    }
  }
  return least;
}

void MeasureBuffer() {
  constexpr int kHourSeconds = 3600;
  constexpr int kHours = 40;
  constexpr double kMeanHosts = 8;
  constexpr double kFixedSpareFactor = 1.2;
  base::Random random(kSeed);
  // The mean demand drifts by up to a sixth in a cycle of ten hours.
  constexpr double kDriftAmplitude = 1.0 / 6;
  constexpr double kRadiansPerHour = 0.63;
  std::vector<double> demand;
  for (int hour = 0; hour <= kHours; ++hour) {
    const double mean =
        kMeanHosts * (1 + kDriftAmplitude * std::sin(hour * kRadiansPerHour));
    const std::vector<double> next = MakeDemand(mean, kHourSeconds, random);
    demand.insert(demand.end(), next.begin(), next.end());
  }
  const std::span<const double> all(demand);
  const fleet::BufferOptions options;
  double held = 0;
  double held_misses = 0;
  double fixed_misses = 0;
  for (std::size_t hour = 1; hour <= kHours; ++hour) {
    const auto seen = all.subspan((hour - 1) * kHourSeconds, kHourSeconds);
    const auto next = all.subspan(hour * kHourSeconds, kHourSeconds);
    const fleet::BufferPlan plan = fleet::PlanBuffer(seen, options);
    held += plan.for_demand - kMeanHosts;
    held_misses +=
        fleet::DeadlineMissRatio(next, plan.for_demand, options) / kHours;
    fixed_misses += fleet::DeadlineMissRatio(
                        next, kMeanHosts * kFixedSpareFactor, options) /
                    kHours;
  }
  const double least = LeastBuffer(all.subspan(kHourSeconds), kHourSeconds,
                                   kMeanHosts, held_misses);
  Print({"buffer_over_least", held / least, "ratio", "lower",
         kMeanHosts * (kFixedSpareFactor - 1) * kHours / least});
  Print(
      {"buffer_deadline_misses", held_misses, "share", "lower", fixed_misses});
}

// The result of a policy over a demand trace: hosts moved and work that was
// late.
struct MoveCount {
  std::uint32_t moves = 0;
  double missed = 0;
};

// Sums the work that misses its deadline of 30 seconds, given the demand and
// the pool size of each second, both in hosts. The backlog is carried over
// between seconds.
class LateWork {
 public:
  void Add(double demand, double size) {
    constexpr double kDeadlineSeconds = 30;
    m_backlog = std::max(0.0, m_backlog + demand - size);
    m_missed += std::clamp(m_backlog - size * kDeadlineSeconds, 0.0, demand);
  }
  double Missed() const { return m_missed; }

 private:
  double m_backlog = 0;
  double m_missed = 0;
};

// Changes the pool size only for lasting shifts of the demand, as the fleet
// does.
MoveCount FollowLastingShifts(const std::vector<double>& demand,
                              std::uint32_t size) {
  MoveCount count;
  LateWork late;
  fleet::DemandHistory history;
  const fleet::DemandOptions options;
  base::TimePoint now{};
  for (const double sample : demand) {
    history = fleet::AddDemand(std::move(history), sample, now, options);
    const std::int32_t shift = fleet::PoolSizeChange(history, size, options);
    size = static_cast<std::uint32_t>(static_cast<std::int32_t>(size) + shift);
    count.moves += static_cast<std::uint32_t>(std::abs(shift));
    late.Add(sample, size);
    now += seconds(1);
  }
  count.missed = late.Missed();
  return count;
}

// The baseline: resizes the pool for every burst. A moved host serves after the
// 30 seconds that a move takes.
MoveCount FollowBursts(const std::vector<double>& demand, std::uint32_t size) {
  constexpr std::size_t kMoveSeconds = 30;
  constexpr std::uint32_t kMinHosts = 1;
  MoveCount count;
  LateWork late;
  std::vector<std::uint32_t> sizes(demand.size() + kMoveSeconds, size);
  std::uint32_t wanted = size;
  for (std::size_t second = 0; second < demand.size(); ++second) {
    const auto next = std::max(
        kMinHosts, static_cast<std::uint32_t>(std::ceil(demand[second])));
    count.moves += next > wanted ? next - wanted : wanted - next;
    wanted = next;
    sizes[second + kMoveSeconds] = wanted;
    late.Add(demand[second], sizes[second]);
  }
  count.missed = late.Missed();
  return count;
}

void MeasureMoves() {
  constexpr int kPhaseSeconds = 4 * 3600;
  constexpr double kMeanHosts = 6;
  constexpr double kShiftedMeanHosts = 12;
  constexpr std::uint32_t kPoolSize = 10;
  base::Random random(kSeed);
  std::vector<double> demand = MakeDemand(kMeanHosts, kPhaseSeconds, random);
  for (const double mean : {kShiftedMeanHosts, kMeanHosts}) {
    const std::vector<double> next = MakeDemand(mean, kPhaseSeconds, random);
    demand.insert(demand.end(), next.begin(), next.end());
  }
  const MoveCount lasting = FollowLastingShifts(demand, kPoolSize);
  const MoveCount chasing = FollowBursts(demand, kPoolSize);
  double total = 0;
  for (const double sample : demand) {
    total += sample;
  }
  Print({"moves", static_cast<double>(lasting.moves), "hosts", "lower",
         static_cast<double>(chasing.moves)});
  Print({"moves_deadline_misses", lasting.missed / total, "share", "lower",
         chasing.missed / total});
}

// Returns the mean time in seconds to plan one step of a wave over `hosts`
// hosts.
double TimePlan(std::uint32_t hosts) {
  constexpr int kRepeats = 200;
  const auto document = fake::MakeDocument({.hosts = hosts});
  fleet::WaveRecord record;
  record.wave = "wave";
  record.run = 1;
  record.state = fleet::WaveState::kRunning;
  fleet::WaveInput input;
  input.wave = &document->fleet.waves[0];
  input.record = &record;
  input.budget.max_out = 1;
  for (const config::Host& host : document->fleet.pools[0].hosts) {
    input.hosts.push_back({host, {}, {}, true});
  }
  const auto start = std::chrono::steady_clock::now();
  std::size_t taken = 0;
  for (int i = 0; i < kRepeats; ++i) {
    taken += fleet::PlanWaveStep(input).drain.size();
  }
  const std::chrono::duration<double> took =
      std::chrono::steady_clock::now() - start;
  return taken > 0 ? took.count() / kRepeats : 0;
}

void MeasurePlanning() {
  constexpr std::uint32_t kSmall = 50;
  constexpr std::uint32_t kFull = 3200;
  const double growth = TimePlan(kFull) / TimePlan(kSmall);
  Print({"planning_cost_growth_50_to_3200", growth, "ratio", "lower",
         static_cast<double>(kFull) / kSmall});
}

// Draws the pool's hosts in service during a wave with failures, and its
// budget.
int WriteChart(const std::string& path) {
  constexpr int kWidth = 800;
  constexpr int kHeight = 260;
  constexpr int kLeft = 60;
  constexpr int kTop = 20;
  constexpr double kVerticalAxisHosts = 12;
  WaveRun run({.stuck = 3});
  run.Run();
  const auto& samples = run.Samples();
  const auto x = [&](std::size_t second) {
    return kLeft + kWidth * static_cast<double>(second) /
                       static_cast<double>(samples.size());
  };
  const auto y = [&](double hosts) {
    return kTop + kHeight * (kWaveHosts + 2 - hosts) / kVerticalAxisHosts;
  };
  std::string points;
  for (std::size_t second = 0; second < samples.size(); ++second) {
    const bool changed = second == 0 || samples[second].in_service !=
                                            samples[second - 1].in_service;
    if (changed && second > 0) {
      points +=
          fmt::format("{:.1f},{:.1f} ", x(second),
                      y(static_cast<double>(samples[second - 1].in_service)));
    }
    if (changed || second + 1 == samples.size()) {
      points += fmt::format("{:.1f},{:.1f} ", x(second),
                            y(static_cast<double>(samples[second].in_service)));
    }
  }
  const double floor = y(kWaveHosts - kWaveBudget);
  const double declared = y(kWaveHosts);
  std::ofstream file(path);
  file << fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{}\" "
      "font-family=\"sans-serif\" font-size=\"12\">\n",
      kLeft + kWidth + kTop, kTop + kHeight + 2 * kTop);
  file << fmt::format(
      "<line x1=\"{0}\" x2=\"{1}\" y1=\"{2:.1f}\" y2=\"{2:.1f}\" "
      "stroke=\"#999\"/>\n<text x=\"4\" y=\"{2:.1f}\">{3} hosts</text>\n",
      kLeft, kLeft + kWidth, declared, kWaveHosts);
  file << fmt::format(
      "<line x1=\"{0}\" x2=\"{1}\" y1=\"{2:.1f}\" y2=\"{2:.1f}\" "
      "stroke=\"#c33\" stroke-dasharray=\"6 4\"/>\n"
      "<text x=\"4\" y=\"{2:.1f}\">budget {3}</text>\n",
      kLeft, kLeft + kWidth, floor, kWaveHosts - kWaveBudget);
  file << fmt::format(
      "<polyline fill=\"none\" stroke=\"#236\" stroke-width=\"1.5\" "
      "points=\"{}\"/>\n",
      points);
  file << fmt::format(
      "<text x=\"{}\" y=\"{}\">hosts in service over {} s; three hosts of "
      "one rack never return and the spare stands in</text>\n</svg>\n",
      kLeft, kTop + kHeight + kTop, samples.size());
  return file.good() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  if (arguments.size() == 2 && arguments[0] == "--chart") {
    return WriteChart(arguments[1]);
  }
  if (!arguments.empty()) {
    fmt::print(stderr, "usage: measure-fleet [--chart FILE]\n");
    return 2;
  }
  MeasureRollOut();
  MeasureViolations();
  MeasureBuffer();
  MeasureMoves();
  MeasurePlanning();
  return 0;
}
