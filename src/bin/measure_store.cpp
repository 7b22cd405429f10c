#include <cstdint>
#include <iostream>
#include <string>

#include <nlohmann/json.hpp>

#include "cassiastile/platform/memory_platform.hpp"
#include "cassiastile/platform/store_guard.hpp"

namespace {

using namespace cassiastile;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 11;
constexpr int kHosts = 7;
constexpr seconds kOutage{60};
constexpr seconds kAfterOutage{10};
constexpr milliseconds kCallEvery{50};
constexpr int kBlindRetries = 20;

// Calls that reached the store while it was down, and in the ten seconds after.
struct OutageCounts {
  std::uint64_t during = 0;
  std::uint64_t after = 0;
  std::uint64_t failed_after = 0;  // Calls of hosts that failed then.
};

void Print(const std::string& name,
           double value,
           const std::string& unit,
           double baseline) {
  const nlohmann::json line{{"name", name},  {"value", value},
                            {"unit", unit},  {"better", "less"},
                            {"seed", kSeed}, {"baseline", baseline}};
  std::cout << line.dump() << '\n';
}

// Counts the calls to a table that is down for a minute, and in the ten seconds
// after. `run` makes calls for a length of time and returns how many failed.
template <typename Run>
OutageCounts MeasureOutage(platform::MemoryTable& table, const Run& run) {
  OutageCounts counts;
  table.SetFaults({.down = true});
  run(kOutage);
  counts.during = table.Counts().reads;
  table.SetFaults({});
  counts.failed_after = run(kAfterOutage);
  counts.after = table.Counts().reads - counts.during;
  return counts;
}

// Each host makes a call every 50 ms of virtual time through its own guard.
OutageCounts MeasureGuarded() {
  platform::MemoryTable table(kSeed);
  base::ManualClock clock;
  std::vector<std::unique_ptr<platform::StoreGuard>> guards;
  guards.reserve(kHosts);
  for (int host = 0; host < kHosts; ++host) {
    guards.push_back(std::make_unique<platform::StoreGuard>(
        table, clock, [](base::Duration) {}, kSeed + host));
  }
  return MeasureOutage(table, [&](base::Duration time) {
    std::uint64_t failed = 0;
    for (base::Duration spent{}; spent < time; spent += kCallEvery) {
      for (auto& guard : guards) {
        failed += guard->Get("config/head") ? 0 : 1;
      }
      clock.Advance(kCallEvery);
    }
    return failed;
  });
}

// Makes a call with up to twenty immediate retries; returns whether it was
// answered.
bool CallBlindly(platform::MemoryTable& table) {
  for (int retry = 0; retry <= kBlindRetries; ++retry) {
    if (table.Get("config/head")) {
      return true;
    }
  }
  return false;
}

// The baseline: the same calls, each retried at once.
OutageCounts MeasureBlindRetry() {
  platform::MemoryTable table(kSeed);
  return MeasureOutage(table, [&table](base::Duration time) {
    std::uint64_t failed = 0;
    for (base::Duration spent{}; spent < time; spent += kCallEvery) {
      for (int host = 0; host < kHosts; ++host) {
        failed += CallBlindly(table) ? 0 : 1;
      }
    }
    return failed;
  });
}

}  // namespace

// measure-store: prints how many calls of seven hosts reach the store during
// and after an outage of a minute, through the store guard and with blind
// retries.
int main() {
  const OutageCounts guarded = MeasureGuarded();
  const OutageCounts blind = MeasureBlindRetry();
  Print("store_calls_during_outage", static_cast<double>(guarded.during),
        "calls", static_cast<double>(blind.during));
  Print("store_calls_in_10_s_after_outage", static_cast<double>(guarded.after),
        "calls", static_cast<double>(blind.after));
  Print("store_calls_failed_after_outage",
        static_cast<double>(guarded.failed_after), "calls",
        static_cast<double>(blind.failed_after));
  return 0;
}
