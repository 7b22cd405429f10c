#include <malloc.h>

#include <algorithm>
#include <cstdint>
#include <ctime>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cassiastile/member/shard_lease_manager.hpp"
#include "cassiastile/member/virtual_fleet.hpp"
#include "cassiastile/platform/memory_platform.hpp"

namespace {

using namespace cassiastile;
using namespace cassiastile::member;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 11;
constexpr NetworkFaults kLossy{0.1, 0.02, milliseconds(1), milliseconds(30)};
constexpr seconds kWarmUp{14};
constexpr seconds kLongestWait{10};
// How often a process of the polling baseline reads the table.
constexpr milliseconds kPollPeriod{5000};
constexpr int kEdits = 30;
constexpr int kCuts = 4;
// A heartbeat of the full-mesh baseline is 110 bytes: the headers, a name and a
// version. Two a second leave room to lose one within the freshness period.
constexpr double kMeshHeartbeatBytes = 110;
constexpr double kMeshHeartbeatsPerSecond = 2;

void Print(const std::string& name,
           double value,
           const std::string& unit,
           const nlohmann::json& baseline) {
  const nlohmann::json line{{"name", name},  {"value", value},
                            {"unit", unit},  {"better", "less"},
                            {"seed", kSeed}, {"baseline", baseline}};
  std::cout << line.dump() << '\n';
}

double Seconds(base::Duration duration) {
  return static_cast<double>(base::Milliseconds(duration)) / 1000;
}

double Percentile(std::vector<double> values, double quantile) {
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(quantile * last)];
}

VirtualFleetShape ShapeOf(std::uint32_t hosts) {
  return {hosts, hosts >= 18 ? 18U : 3U, 2};
}

// Runs a fleet until its members know each other and version 1 is in force.
void WarmUp(VirtualNetwork& network, VirtualFleetShape shape) {
  AddFleet(network, shape);
  CommitVersion(network, 1);
  network.Run(kWarmUp);
}

// Commits a version of the configuration, which the proposer broadcasts.
void CommitFrom(VirtualNetwork& network,
                const std::string& proposer,
                std::uint64_t version) {
  CommitVersion(network, version);
  network.At(proposer).ObserveHead(network.Store().head, network.Now());
  network.At(proposer).BroadcastHead();
}

// Draws a random time, in seconds, until all processes have read a new version
// if they only poll the table.
double SlowestPoll(std::uint32_t processes, base::Random& random) {
  std::uniform_real_distribution<double> phase(0, Seconds(kPollPeriod));
  double latest = 0;
  for (std::uint32_t i = 0; i < processes; ++i) {
    latest = std::max(latest, phase(random));
  }
  return latest;
}

void MeasureInForce(std::uint32_t hosts) {
  VirtualNetwork network(kSeed, kLossy);
  WarmUp(network, ShapeOf(hosts));
  base::Random random(kSeed);
  std::vector<double> times;
  std::vector<double> polling;
  for (int i = 0; i < kEdits; ++i) {
    const std::uint64_t version = network.Store().head.version + 1;
    const base::TimePoint start = network.Now();
    CommitFrom(network, VirtualName(0, 1), version);
    network.RunUntil(kLongestWait,
                     [&] { return IsInForceEverywhere(network, version); });
    times.push_back(Seconds(network.Now() - start));
    polling.push_back(SlowestPoll(2 * hosts, random));
    network.Run(seconds(1));
  }
  for (const double quantile : {0.5, 0.99}) {
    Print(fmt::format("member.in_force_everywhere_p{:.0f}_{}_hosts",
                      quantile * 100, hosts),
          Percentile(times, quantile), "s", Percentile(polling, quantile));
  }
}

// Whether any member has an older version in force and still considers it
// fresh.
bool AnyUsesOldVersion(VirtualNetwork& network, std::uint64_t version) {
  const std::vector<std::string> names = network.Names();
  return std::any_of(names.begin(), names.end(), [&](const std::string& name) {
    const Membership& member = network.At(name);
    return member.InForce() < version && member.IsFresh(network.Now());
  });
}

// Returns how many seconds after a commit a member last acts on the old
// version. At the time of the commit, all hosts but the proposer's lose contact
// with the proposer and the store; they still have a majority.
double TimeToLastUse(std::uint32_t hosts, std::uint64_t seed) {
  VirtualNetwork network(seed, kLossy);
  WarmUp(network, ShapeOf(hosts));
  const std::string proposer = VirtualName(0, 1);
  network.At(proposer).Prepare(2, seed);
  network.RunUntil(seconds(2),
                   [&] { return network.At(proposer).IsPrepared(); });
  std::map<std::string, int> groups;
  for (std::uint32_t host = 1; host < hosts; ++host) {
    for (std::uint32_t i = 0; i < 2; ++i) {
      groups[VirtualName(host, i)] = 1;
      network.Store().cut_off.insert(VirtualName(host, i));
    }
  }
  network.Partition(groups);
  const base::TimePoint start = network.Now();
  CommitFrom(network, proposer, 2);
  base::TimePoint last = start;
  while (network.Now() - start < kLongestWait) {
    network.Run(milliseconds(20));
    last = AnyUsesOldVersion(network, 2) ? network.Now() : last;
  }
  return Seconds(last - start);
}

void MeasureLastUse(std::uint32_t hosts) {
  double worst = 0;
  for (int i = 0; i < kCuts; ++i) {
    worst = std::max(worst, TimeToLastUse(hosts, kSeed + i));
  }
  // A host that only polls uses a revoked key for as long as it is cut off.
  Print(fmt::format("member.withdrawn_key_last_use_{}_hosts", hosts), worst,
        "s", Seconds(kLongestWait));
}

double CpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  constexpr double kSecondsPerNanosecond = 1e-9;
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * kSecondsPerNanosecond;
}

// The cost of membership for one process.
struct Cost {
  double bytes_per_second = 0;
  double messages_per_second = 0;
  double cpu_per_message = 0;  // Seconds, including the simulated network.
  double heap_bytes = 0;
};

Cost MeasureCost(std::uint32_t processes) {
  constexpr double kSeconds = 10;
  const auto before = static_cast<double>(mallinfo2().uordblks);
  VirtualNetwork network(kSeed, {});
  const std::uint32_t zones = processes >= 18 ? 18 : 3;
  WarmUp(network, {processes, zones, 1});
  Cost cost;
  cost.heap_bytes =
      (static_cast<double>(mallinfo2().uordblks) - before) / processes;
  const auto sent = [&] {
    std::uint64_t bytes = 0;
    for (const std::string& name : network.Names()) {
      bytes += network.BytesSent(name);
    }
    return static_cast<double>(bytes);
  };
  const double bytes = sent();
  const auto messages = static_cast<double>(network.MessagesSent());
  const double cpu = CpuSeconds();
  network.Run(seconds(static_cast<int>(kSeconds)));
  const double more = static_cast<double>(network.MessagesSent()) - messages;
  cost.cpu_per_message = (CpuSeconds() - cpu) / more;
  cost.bytes_per_second = (sent() - bytes) / kSeconds / processes;
  cost.messages_per_second = more / kSeconds / processes;
  return cost;
}

void MeasureCosts() {
  constexpr double kSecondsPerMicrosecond = 1e-6;
  double small_cpu = 0;
  for (const std::uint32_t processes : {7U, 18U, 54U, 108U}) {
    const Cost cost = MeasureCost(processes);
    const double mesh =
        (processes - 1) * kMeshHeartbeatBytes * kMeshHeartbeatsPerSecond;
    const std::string size = fmt::format("_{}_processes", processes);
    Print("member.bytes_sent_per_second" + size, cost.bytes_per_second, "B/s",
          mesh);
    Print("member.messages_sent_per_second" + size, cost.messages_per_second,
          "1/s", (processes - 1) * kMeshHeartbeatsPerSecond);
    Print("member.heap_bytes" + size, cost.heap_bytes, "B", nullptr);
    Print("member.cpu_per_message" + size,
          cost.cpu_per_message / kSecondsPerMicrosecond, "us", nullptr);
    small_cpu = processes == 18 ? cost.cpu_per_message : small_cpu;
    if (processes == 108) {
      // The baseline is a cost that grows with the number of processes.
      Print("member.cpu_per_message_108_over_18",
            cost.cpu_per_message / small_cpu, "ratio", 6);
    }
  }
}

// Crashes twelve owners in turn and returns, for each that held shards, the
// seconds until other owners hold leases on all of them.
std::vector<double> TakeoverTimes(milliseconds scan_period) {
  constexpr milliseconds kRound{50};
  constexpr int kCrashes = 12;
  base::ManualClock clock;
  platform::MemoryTable table(kSeed);
  std::set<std::string> crashed;
  std::map<std::string, std::unique_ptr<ShardLeaseManager>> managers;
  std::vector<std::string> shards;
  shards.reserve(25);
  for (int i = 0; i < 25; ++i) {
    shards.push_back(fmt::format("pool-{:02}", i));
  }
  std::vector<std::string> names;
  names.reserve(14);
  for (int i = 0; i < 14; ++i) {
    names.push_back(fmt::format("h{:02}#1", i));
  }
  for (const std::string& name : names) {
    ShardLeaseOptions options;
    options.owner = name;
    options.scan_period = scan_period;
    managers[name] = std::make_unique<ShardLeaseManager>(
        options, table, clock,
        ShardLeaseManager::Sources{[&] { return shards; },
                                   [&] { return names; }},
        kSeed + managers.size());
  }
  const auto run = [&](base::Duration time) {
    for (base::Duration spent{}; spent < time; spent += kRound) {
      for (auto& [name, manager] : managers) {
        if (!crashed.contains(name)) {
          manager->RunOnce();
        }
      }
      clock.Advance(kRound);
    }
  };
  run(seconds(10));
  std::vector<double> times;
  for (int i = 0; i < kCrashes; ++i) {
    const std::string victim = names[static_cast<std::size_t>(i)];
    const auto lost = managers[victim]->OwnedShards(clock.Now());
    crashed.insert(victim);
    // Takes three rounds, 150 ms, so `start` is the time of the crash.
    run(milliseconds(137));
    const base::TimePoint start = clock.Now() - milliseconds(150);
    const auto taken = [&](const std::string& shard) {
      return std::any_of(names.begin(), names.end(), [&](const auto& name) {
        return name != victim &&
               managers[name]->CurrentLease(shard, clock.Now()).has_value();
      });
    };
    while (!std::all_of(lost.begin(), lost.end(), taken)) {
      run(kRound);
    }
    if (!lost.empty()) {
      times.push_back(Seconds(clock.Now() - start));
    }
    crashed.erase(victim);
    run(seconds(8));
  }
  return times;
}

void MeasureTakeover() {
  const ShardLeaseOptions options;
  const std::vector<double> times = TakeoverTimes(milliseconds(300));
  // The baseline scans the table once per lease duration.
  const std::vector<double> baseline = TakeoverTimes(
      std::chrono::duration_cast<milliseconds>(options.lease_duration));
  for (const double quantile : {0.5, 1.0}) {
    Print(fmt::format("member.takeover_over_lease_p{:.0f}", quantile * 100),
          Percentile(times, quantile) - Seconds(options.lease_duration), "s",
          Percentile(baseline, quantile) - Seconds(options.lease_duration));
  }
}

}  // namespace

// measure-member: prints the figures of membership and shard leases as JSON
// lines. All but the processor times are in virtual time.
int main() {
  MeasureCosts();
  MeasureTakeover();
  for (const std::uint32_t hosts : {7U, 54U}) {
    MeasureInForce(hosts);
    MeasureLastUse(hosts);
  }
  return 0;
}
