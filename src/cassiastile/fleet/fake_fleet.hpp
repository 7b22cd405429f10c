#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/decision.hpp"
#include "cassiastile/fleet/budget.hpp"
#include "cassiastile/fleet/reconciler.hpp"
#include "cassiastile/platform/memory_platform.hpp"

// Fakes of a reconciler's dependencies, for tests and measurements in virtual
// time.
namespace cassiastile::fleet::fake {

// A document of pools `p0`, `p1`... with hosts `p0-h0`..., two to a rack over
// three zones. With `spare`, the last pool is the spare pool. One wave, `wave`,
// covers all pools but the spare pool.
struct DocumentOptions {
  std::uint32_t pools = 1;
  std::uint32_t hosts = 6;
  std::uint32_t max_out = 2;
  std::uint32_t parallel = 2;
  bool spare = false;
};

inline std::shared_ptr<config::AcceptedFleet> MakeDocument(
    const DocumentOptions& options,
    std::uint64_t version = 1) {
  constexpr std::uint32_t kZones = 3;
  auto document = std::make_shared<config::AcceptedFleet>();
  document->version = version;
  config::Wave wave;
  wave.name = "wave";
  wave.parallel = options.parallel;
  wave.per_rack = options.max_out;
  for (std::uint32_t p = 0; p < options.pools; ++p) {
    config::Pool pool;
    pool.name = fmt::format("p{}", p);
    pool.spare = options.spare && p + 1 == options.pools;
    pool.budget.max_out = options.max_out;
    for (std::uint32_t h = 0; h < options.hosts; ++h) {
      config::Host host;
      host.name = fmt::format("p{}-h{}", p, h);
      host.zone = fmt::format("z{}", h % kZones);
      host.rack = fmt::format("p{}-r{}", p, h / (2 * kZones));
      pool.hosts.push_back(host);
    }
    if (!pool.spare) {
      wave.pools.push_back(pool.name);
    }
    document->fleet.pools.push_back(std::move(pool));
  }
  document->fleet.waves.push_back(std::move(wave));
  return document;
}

// A table that loses answers and delays transactions, and checks the invariants
// at every commit, including those whose callers get no answer.
class CheckedTable final : public platform::Table {
 public:
  explicit CheckedTable(std::uint64_t seed) : m_random(seed) {}

  // Accepts a document as the member module does.
  void Accept(std::shared_ptr<const config::AcceptedFleet> document) {
    m_document = std::move(document);
    const std::string head =
        fmt::format("{{\"version\":{}}}", m_document->version);
    static_cast<void>(m_table.Apply(
        {fmt::format("accept-{}", ++m_accepts), {}, {{"config/head", head}}}));
  }

  base::Result<std::optional<platform::Row>> Get(
      const std::string& key) override {
    if (down) {
      return Unavailable();
    }
    ApplyDelayed();
    return m_table.Get(key);
  }

  base::Result<std::vector<platform::Row>> Scan(const std::string& prefix,
                                                const std::string& after,
                                                std::size_t limit) override {
    if (down) {
      return Unavailable();
    }
    ApplyDelayed();
    return m_table.Scan(prefix, after, limit);
  }

  base::Result<platform::Commit> Apply(
      const platform::Transaction& transaction) override {
    if (down) {
      return Unavailable();
    }
    if (InjectFault(delay_apply)) {
      m_delayed.push_back(transaction);
      return base::Fail(base::ErrorCode::kUnknown, "lost");
    }
    auto commit = ApplyAndCheck(transaction);
    if (InjectFault(lose_answer)) {
      return base::Fail(base::ErrorCode::kUnknown, "lost");
    }
    return commit;
  }

  base::Result<std::optional<platform::Commit>> FindNonce(
      const std::string& nonce) override {
    return m_table.FindNonce(nonce);
  }

  FleetState State() {
    FleetState state;
    static_cast<void>(StateReader(m_table).Read(state));
    return state;
  }
  platform::MemoryTable& Rows() { return m_table; }

  bool down = false;       // Get, Scan and Apply fail with kUnavailable.
  double lose_answer = 0;  // Probability that a commit's answer is lost.
  // Probability that a transaction is applied only at the next read, and its
  // answer is lost.
  double delay_apply = 0;
  std::uint64_t budget_violations = 0;
  std::uint64_t pool_violations = 0;
  std::uint64_t planned_drains = 0;
  std::string first_violation;

 private:
  static tl::unexpected<base::Error> Unavailable() {
    return base::Fail(base::ErrorCode::kUnavailable, "down");
  }

  bool InjectFault(double probability) {
    return probability > 0 &&
           std::bernoulli_distribution(probability)(m_random);
  }

  void ApplyDelayed() {
    while (!m_delayed.empty()) {
      static_cast<void>(ApplyAndCheck(m_delayed.front()));
      m_delayed.pop_front();
    }
  }

  base::Result<platform::Commit> ApplyAndCheck(
      const platform::Transaction& transaction) {
    auto commit = m_table.Apply(transaction);
    if (!commit) {
      return commit;
    }
    for (const platform::Write& write : transaction.writes) {
      if (write.value && write.key.starts_with("pool/")) {
        CheckPool(*ParsePoolRecord(*write.value));
      } else if (write.value && write.key.starts_with("host/")) {
        CheckHost(*ParseHostRecord(*write.value));
      }
    }
    return commit;
  }

  // When a pool's row newly names a host that is out for any reason but a
  // failure, the pool must be within its budget.
  void CheckPool(const PoolRecord& now) {
    PoolRecord& before = m_pools[now.pool];
    bool drained = false;
    for (const auto& [host, entry] : now.out) {
      drained = drained || (!before.out.contains(host) &&
                            entry.reason != OutReason::kFailed);
    }
    const config::Pool* pool = config::FindPool(m_document->fleet, now.pool);
    const BudgetCount count = CountBudget(pool, now, {});
    if (drained) {
      ++planned_drains;
      if (count.Excess() > 0) {
        ++budget_violations;
        RecordViolation(now.pool + " has " + Describe(count));
      }
    }
    for (const auto& [host, entry] : now.out) {
      const auto row = m_table.Get(HostKey(host));
      if (!*row || ParseHostRecord((*row)->value)->pool != now.pool) {
        ++pool_violations;
        RecordViolation(host + " is out of service in the row of " + now.pool +
                        " but is not one of its hosts");
      }
    }
    before = now;
  }

  // A host's own row and its pool's row must agree on whether the host is out
  // of service.
  void CheckHost(const HostRecord& host) {
    const auto row = m_table.Get(PoolKey(host.pool));
    const bool out =
        *row && ParsePoolRecord((*row)->value)->out.contains(host.host);
    if (out != (host.state != HostState::kInService)) {
      ++pool_violations;
      RecordViolation(host.host + " disagrees with the row of " + host.pool);
    }
  }

  void RecordViolation(const std::string& what) {
    if (first_violation.empty()) {
      first_violation = what;
    }
  }

  platform::MemoryTable m_table;
  base::Random m_random;
  std::shared_ptr<const config::AcceptedFleet> m_document;
  std::map<std::string, PoolRecord> m_pools;
  std::deque<platform::Transaction> m_delayed;
  std::uint64_t m_accepts = 0;
};

// Machines whose reboots take `reboot_time` of virtual time.
class FakeMachines final : public platform::Machines {
 public:
  FakeMachines(const base::Clock& clock, base::Duration reboot_time)
      : m_clock(clock), m_reboot_time(reboot_time) {}

  base::Result<void> SetDraining(const std::string& host,
                                 bool draining) override {
    if (down) {
      return base::Fail(base::ErrorCode::kUnavailable, "down");
    }
    m_machines[host].status.draining = draining;
    return {};
  }

  base::Result<void> Reboot(const std::string& host,
                            std::uint64_t boots) override {
    Machine& machine = m_machines[host];
    if (machine.status.boots != boots) {
      return base::Fail(base::ErrorCode::kConflict, "has booted since");
    }
    if (machine.status.state == platform::MachineState::kUp) {
      ++reboots[host];
      machine.status.state = stuck.contains(host)
                                 ? platform::MachineState::kDown
                                 : platform::MachineState::kRebooting;
      machine.back = m_clock.Now() + m_reboot_time;
    }
    return {};
  }

  base::Result<platform::MachineStatus> Status(
      const std::string& host) override {
    if (down || silent.contains(host)) {
      return base::Fail(base::ErrorCode::kUnavailable, "down");
    }
    Machine& machine = m_machines[host];
    if (machine.status.state == platform::MachineState::kRebooting &&
        m_clock.Now() >= machine.back) {
      machine.status.state = platform::MachineState::kUp;
      ++machine.status.boots;
    }
    return machine.status;
  }

  void Fail(const std::string& host) {
    m_machines[host].status.state = platform::MachineState::kDown;
  }

  void Repair(const std::string& host) {
    Machine& machine = m_machines[host];
    if (machine.status.state == platform::MachineState::kDown) {
      machine.status.state = platform::MachineState::kUp;
      ++machine.status.boots;
    }
  }

  bool IsUp(const std::string& host) {
    return Status(host)->state == platform::MachineState::kUp;
  }

  bool down = false;
  std::set<std::string> silent;  // Hosts whose status is unavailable.
  std::set<std::string> stuck;   // Hosts that never come back from a reboot.
  std::map<std::string, std::uint32_t> reboots;  // Number, by host.

 private:
  struct Machine {
    platform::MachineStatus status;
    base::TimePoint back;
  };

  const base::Clock& m_clock;
  base::Duration m_reboot_time;
  std::map<std::string, Machine> m_machines;
};

class FakeWork final : public HostWorkSource {
 public:
  HostWork WorkOn(const std::string& host) const override {
    const auto found = work.find(host);
    return found == work.end() ? HostWork{} : found->second;
  }
  void RequestEvacuation(const std::string& host) override {
    evacuation_requests.insert(host);
  }

  std::map<std::string, HostWork> work;
  std::set<std::string> evacuation_requests;
};

class FakeDemand final : public DemandSource {
 public:
  std::optional<double> Demand(const std::string& pool) const override {
    const auto found = demand.find(pool);
    return found == demand.end() ? std::nullopt
                                 : std::optional<double>(found->second);
  }

  std::map<std::string, double> demand;
};

class FakeSink final : public base::DecisionSink {
 public:
  void Record(base::Decision decision) override {
    decisions.push_back(std::move(decision));
  }

  std::vector<base::Decision> decisions;
};

// A fleet in virtual time with any number of control processes.
class World {
 public:
  explicit World(std::shared_ptr<config::AcceptedFleet> first,
                 std::uint64_t seed = 1,
                 std::chrono::seconds reboot_time = std::chrono::seconds(60))
      : table(seed), machines(clock, reboot_time) {
    Accept(std::move(first));
  }

  void Accept(std::shared_ptr<config::AcceptedFleet> next) {
    document = std::move(next);
    table.Accept(document);
  }

  Reconciler MakeReconciler(const std::string& name, std::uint64_t seed) {
    ReconcilerDependencies dependencies{table,   machines, work,
                                        &demand, clock,    sink};
    return {name, dependencies, seed, options};
  }

  // One round over all pools without a fencing token: only the row versions
  // prevent two reconcilers from making conflicting changes.
  void Round(Reconciler& reconciler) {
    if (!reconciler.Refresh(document)) {
      return;
    }
    for (const config::Pool& pool : document->fleet.pools) {
      reconciler.Tick(pool.name, std::nullopt);
    }
  }

  // Runs rounds one second apart until the wave is finished or the limit is
  // reached; returns the time taken.
  std::chrono::seconds RunWave(Reconciler& reconciler,
                               std::chrono::seconds limit) {
    std::chrono::seconds time{0};
    for (; time < limit; ++time) {
      Round(reconciler);
      if (Wave().state == WaveState::kFinished) {
        break;
      }
      clock.Advance(std::chrono::seconds(1));
    }
    return time;
  }

  // Registers all hosts and starts the wave.
  void Start(Reconciler& reconciler) {
    Round(reconciler);
    static_cast<void>(reconciler.Refresh(document));
    static_cast<void>(
        reconciler.ApplyWaveAction("wave", "anna", WaveAction::kStart, {}));
  }

  WaveRecord Wave() { return FindWaveRecord(table.State(), "wave").record; }
  HostRecord Host(const std::string& host) {
    return table.State().hosts.at(host).record;
  }
  PoolRecord Pool(const std::string& pool) {
    return FindPoolRecord(table.State(), pool).record;
  }

  base::ManualClock clock;
  CheckedTable table;
  FakeMachines machines;
  FakeWork work;
  FakeDemand demand;
  FakeSink sink;
  ReconcilerOptions options;
  std::shared_ptr<config::AcceptedFleet> document;
};

}  // namespace cassiastile::fleet::fake
