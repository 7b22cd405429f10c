#pragma once

#include <cmath>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/random.hpp"
#include "cassiastile/config/fleet.hpp"
#include "cassiastile/work/task.hpp"

namespace measure {

using cassiastile::base::ManualClock;
using cassiastile::base::Random;
using cassiastile::base::TimePoint;
namespace base = cassiastile::base;
namespace config = cassiastile::config;
namespace work = cassiastile::work;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 5;
constexpr double kHostCores = 16;
constexpr double kHostMemoryGb = 64;
constexpr std::size_t kHostsPerRack = 4;
constexpr std::size_t kZones = 3;
constexpr int kWindowSeconds = 60;

// A team whose demand always exceeds its share. The sizes that its tasks
// declare are wrong by up to a factor of four either way.
struct TeamLoad {
  std::string name;
  std::uint32_t weight = 1;
  double demand = 2;  // As a multiple of its entitlement.
  // The real means per task.
  double cores = 1;
  double memory_gb = 2;
  double seconds = 5;
  double declared_factor = 1;  // Declared size divided by the real one.
};

// A pool of workers and the teams that load it. Figures are taken after the
// warm-up.
struct Scenario {
  std::size_t hosts = 10;
  std::vector<TeamLoad> teams;
  seconds length{300};
  seconds warm_up{120};
  milliseconds step{100};
};

inline double TotalWeight(const Scenario& scenario) {
  double total = 0;
  for (const TeamLoad& team : scenario.teams) {
    total += team.weight;
  }
  return total;
}

inline work::Resources CapacityOf(const Scenario& scenario) {
  const auto hosts = static_cast<double>(scenario.hosts);
  return {hosts * kHostCores, hosts * kHostMemoryGb, 0};
}

inline config::AcceptedFleet MakeFleet(const Scenario& scenario) {
  config::AcceptedFleet accepted;
  accepted.version = 1;
  config::Pool pool;
  pool.name = "p";
  for (std::size_t index = 0; index < scenario.hosts; ++index) {
    config::Host host;
    host.name = "w" + std::to_string(index);
    host.zone = "z" + std::to_string(index % kZones);
    host.rack = "r" + std::to_string(index / kHostsPerRack);
    pool.hosts.push_back(host);
  }
  accepted.fleet.pools = {pool};
  for (const TeamLoad& team : scenario.teams) {
    accepted.fleet.shares.push_back({team.name, team.weight});
  }
  return accepted;
}

// The real usage and duration of a task.
struct RealSize {
  work::Resources usage;
  double seconds = 0;
};

inline RealSize RealSizeOf(const work::TaskSpec& spec) {
  const auto json = nlohmann::json::parse(spec.payload);
  return {{json.at("cores"), json.at("memory_gb"), 0}, json.at("seconds")};
}

// Draws the tasks that one team submits. Their real size is in the payload.
class TaskSource {
 public:
  TaskSource(const Scenario& scenario, const TeamLoad& team, std::uint64_t seed)
      : m_team(team), m_random(seed) {
    const work::Resources each{team.cores, team.memory_gb, 0};
    const double task_share = work::DominantShare(each, CapacityOf(scenario));
    m_tasks_per_second = team.demand * team.weight / TotalWeight(scenario) /
                         (task_share * team.seconds);
  }

  // Returns the tasks submitted in the next `span` of time.
  std::vector<work::TaskSpec> Next(base::Duration span) {
    m_due += m_tasks_per_second * std::chrono::duration<double>(span).count();
    std::vector<work::TaskSpec> specs;
    for (; m_due >= 1; m_due -= 1) {
      specs.push_back(Draw());
    }
    return specs;
  }

 private:
  work::TaskSpec Draw() {
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    const double cores = m_team.cores * spread(m_random);
    const double memory = m_team.memory_gb * spread(m_random);
    const double length = m_team.seconds * spread(m_random);
    work::TaskSpec spec;
    spec.id = m_team.name + "-" + std::to_string(m_drawn++);
    spec.queue = "q";
    spec.team = m_team.name;
    spec.kind = "k" + std::to_string(m_drawn % 2);
    spec.idempotent = true;
    spec.declared = {std::min(kHostCores, cores * m_team.declared_factor),
                     std::min(kHostMemoryGb, memory * m_team.declared_factor),
                     0};
    spec.seconds = length * m_team.declared_factor;
    spec.payload = nlohmann::json{
        {"cores", cores},
        {"memory_gb", memory},
        {"seconds",
         length}}.dump();
    return spec;
  }

  TeamLoad m_team;
  Random m_random;
  double m_tasks_per_second = 0;
  double m_due = 0;
  std::uint64_t m_drawn = 0;
};

// Sums each team's real usage in windows of a minute. A team's usage in a
// window counts as its dominant share: the largest of its shares of the single
// resources.
class UsageMeter {
 public:
  explicit UsageMeter(const Scenario& scenario) : m_scenario(scenario) {}

  // Adds usage from one time to another, in seconds since the start of the run.
  // Usage beyond the last whole window is ignored.
  void Add(const std::string& team,
           const work::Resources& usage,
           double from,
           double to) {
    while (from < to) {
      const int window = static_cast<int>(from) / kWindowSeconds;
      if ((window + 1) * kWindowSeconds > m_scenario.length.count()) {
        return;
      }
      const double end = std::min(to, (window + 1.0) * kWindowSeconds);
      work::Resources& used = m_used[window][team];
      used = used + usage * (end - from);
      from = end;
    }
  }

  // Returns the largest deviation of any team from its share in any whole
  // window after the warm-up, or during it, relative to the share.
  double LargestError(bool in_warm_up = false) const {
    double largest = 0;
    const double weights = TotalWeight(m_scenario);
    for (const auto& [window, used] : m_used) {
      if (IsMeasured(window) == in_warm_up) {
        continue;
      }
      double total = 0;
      for (const TeamLoad& team : m_scenario.teams) {
        total += DominantShareOf(used, team.name);
      }
      for (const TeamLoad& team : m_scenario.teams) {
        const double used_share = DominantShareOf(used, team.name) / total;
        const double share = team.weight / weights;
        largest = std::max(largest, std::abs(used_share / share - 1));
      }
    }
    return largest;
  }

  // Returns the used fraction of the pool's scarcest resource after the
  // warm-up.
  double Utilisation() const {
    work::Resources sum;
    double time = 0;
    for (const auto& [window, used] : m_used) {
      if (!IsMeasured(window)) {
        continue;
      }
      for (const auto& [team, amount] : used) {
        sum = sum + amount;
      }
      time += kWindowSeconds;
    }
    return work::DominantShare(sum, CapacityOf(m_scenario) * time);
  }

 private:
  using Used = std::map<std::string, work::Resources>;

  bool IsMeasured(int window) const {
    const int start = window * kWindowSeconds;
    return start >= m_scenario.warm_up.count();
  }

  double DominantShareOf(const Used& used, const std::string& team) const {
    const auto found = used.find(team);
    return found == used.end()
               ? 0
               : work::DominantShare(found->second, CapacityOf(m_scenario));
  }

  const Scenario& m_scenario;
  std::map<int, Used> m_used;
};

}  // namespace measure
