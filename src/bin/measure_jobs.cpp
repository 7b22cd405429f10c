// measure-jobs: measures the real time of the scheduler's decisions under
// overload, when a queue's demand exceeds its pool's capacity. Real times are
// not deterministic, so tools/measure leaves them out unless asked for. The
// counts of work beside them are: compare those between versions and machines.
#include <chrono>
#include <cstdint>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/random.hpp"
#include "cassiastile/jobs/scheduler.hpp"

namespace {

using cassiastile::base::ManualClock;
using cassiastile::base::Random;
using cassiastile::jobs::Batch;
using cassiastile::jobs::FleetConfig;
using cassiastile::jobs::JobSpec;
using cassiastile::jobs::ListedEnd;
using cassiastile::jobs::Scheduler;
using cassiastile::jobs::StartOrder;
using cassiastile::jobs::StartResult;
using cassiastile::jobs::WorkerEntry;
using cassiastile::jobs::WorkerReport;
using std::chrono::milliseconds;

constexpr std::uint64_t kSeed = 1;
constexpr std::size_t kMaxRows = 80;
constexpr milliseconds kRound{10};
constexpr int kRounds = 500;

// Sums the real time spent in one kind of call, and prints the mean per call.
class Timer {
 public:
  explicit Timer(std::string name) : m_name(std::move(name)) {}

  template <typename Call>
  auto Measure(Call call) {
    const auto began = std::chrono::steady_clock::now();
    struct Stop {
      Timer& timer;
      std::chrono::steady_clock::time_point began;
      ~Stop() {
        timer.m_spent += std::chrono::steady_clock::now() - began;
        ++timer.m_calls;
      }
    } const stop{*this, began};
    return call();
  }

  void Print() const {
    const auto micros =
        std::chrono::duration<double, std::micro>(m_spent).count();
    std::cout << nlohmann::json{{"name", "jobs." + m_name + "_time"},
                                {"value", micros / std::max(1, m_calls)},
                                {"unit", "microseconds"},
                                {"better", "less"},
                                {"calls", m_calls},
                                {"seed", kSeed}}
                     .dump()
              << "\n";
  }

 private:
  std::string m_name;
  std::chrono::steady_clock::duration m_spent{};
  int m_calls = 0;
};

void PrintCount(const std::string& name,
                double value,
                const std::string& unit,
                const std::string& better) {
  std::cout << nlohmann::json{{"name", "jobs." + name},
                              {"value", value},
                              {"unit", unit},
                              {"better", better},
                              {"seed", kSeed}}
                   .dump()
            << "\n";
}

// A run on a simulated worker, and when it ends.
struct SimulatedRun {
  StartOrder order;
  cassiastile::base::TimePoint ends;
};

// A simulated worker: its runs, and the ends that are not yet acknowledged.
struct SimulatedWorker {
  std::string id;
  std::vector<SimulatedRun> running;
  std::vector<ListedEnd> ended;
  std::uint64_t last_end = 0;
};

std::shared_ptr<FleetConfig> MakeConfig() {
  auto config = std::make_shared<FleetConfig>();
  config->version = 1;
  config->queues.push_back({.name = "queue",
                            .host = "host",
                            .path_prefix = "/queue/",
                            .service = "service",
                            .max_attempts = 3,
                            .stretch = 1.6,
                            .slack = milliseconds(600),
                            .advice = {}});
  config->services.push_back({.name = "service"});
  config->customers.push_back(
      {.name = "customer", .weight = 100000, .limit = {}, .keys = {}});
  config->BuildIndex();
  return config;
}

JobSpec MakeJob() {
  JobSpec spec;
  for (int i = 0; i < 2; ++i) {
    auto& step = spec.steps.emplace_back();
    step.count = 8;
    step.need = {1500, 5700, 0};
    step.estimate = milliseconds(800);
  }
  spec.steps.back().after = {0};
  return spec;
}

// Drives the scheduler with submissions and with the reports of simulated
// workers, in virtual time.
class Load {
 public:
  Load(std::size_t workers, std::size_t max_reserved_starts)
      : m_scheduler({.max_reserved_starts = max_reserved_starts}),
        m_random(kSeed) {
    m_config = MakeConfig();
    m_scheduler.ApplyConfig(m_config);
    std::vector<WorkerEntry> entries;
    for (std::size_t i = 0; i < workers; ++i) {
      WorkerEntry& entry = entries.emplace_back();
      entry.id = {"worker-" + std::to_string(i), 1};
      entry.service = "service";
      entry.machine = "machine-" + std::to_string(i);
      entry.endpoint = "10.0.0.1:1";
      entry.capacity = {16000, 65536, 0};
      m_workers.push_back({entry.id.id, {}, {}, 0});
    }
    m_scheduler.WorkersListed(entries, m_clock.Now());
    for (SimulatedWorker& worker : m_workers) {
      Report(worker);
    }
  }

  // Runs one round of 10 ms: submissions, a plan, a commit, task starts, and
  // the reports of a tenth of the workers.
  void Round(int round, int submissions) {
    for (int i = 0; i < submissions; ++i) {
      const std::string id = "job-" + std::to_string(++m_job);
      m_submit.Measure([&] {
        m_scheduler.Submit(id, m_config->queues.front(), "customer", MakeJob(),
                           m_clock.Now(), m_clock.WallNow());
      });
    }
    m_scheduler.ListConfirmed(m_clock.Now());
    m_plan.Measure([&] { m_scheduler.Plan(m_clock.Now(), m_clock.WallNow()); });
    m_commit.Measure([&] {
      const Batch batch = m_scheduler.TakeBatch(kMaxRows, m_clock.Now());
      for (const auto& row : batch.rows) {
        m_row_bytes += row.bytes ? row.bytes->size() : 0;
      }
      m_scheduler.Confirm(batch, m_clock.Now());
    });
    for (const StartOrder& order : m_scheduler.TakeOrders().starts) {
      Start(order);
    }
    constexpr std::size_t kRoundsPerReport = 10;
    for (std::size_t i = static_cast<std::size_t>(round) % kRoundsPerReport;
         i < m_workers.size(); i += kRoundsPerReport) {
      m_report.Measure([&] { Report(m_workers[i]); });
    }
    if (round % static_cast<int>(kRoundsPerReport) == 0) {
      m_pool_loads.Measure([&] { m_scheduler.GetPoolLoads(m_clock.Now()); });
    }
    m_clock.Advance(kRound);
  }

  void Print() const {
    for (const Timer* timer :
         {&m_submit, &m_plan, &m_commit, &m_report, &m_pool_loads}) {
      timer->Print();
    }
    const cassiastile::jobs::PlanningWork& work = m_scheduler.GetPlanningWork();
    const auto placed =
        static_cast<double>(std::max<std::uint64_t>(1, work.placed));
    PrintCount(
        "placed_per_round",
        placed / static_cast<double>(std::max<std::uint64_t>(1, work.rounds)),
        "runs", "more");
    PrintCount("workers_examined_per_run",
               static_cast<double>(work.workers_examined) / placed, "workers",
               "less");
    PrintCount("predictions_per_run",
               static_cast<double>(work.predictions) / placed, "predictions",
               "less");
    PrintCount("backlog_sums_per_run",
               static_cast<double>(work.backlog_sums) / placed, "jobs", "less");
    PrintCount("end_visits_per_run",
               static_cast<double>(work.end_visits) / placed, "visits", "less");
    PrintCount("row_bytes_per_run", static_cast<double>(m_row_bytes) / placed,
               "bytes", "less");
  }

 private:
  void Start(const StartOrder& order) {
    m_scheduler.StartAnswered(order.worker, order.task, order.run,
                              StartResult::kRunning, m_clock.Now());
    for (SimulatedWorker& worker : m_workers) {
      if (worker.id == order.worker.id) {
        const milliseconds takes(400 + m_random() % 800);
        worker.running.push_back({order, m_clock.Now() + takes});
      }
    }
  }

  void Report(SimulatedWorker& worker) {
    std::erase_if(worker.running, [&](const SimulatedRun& run) {
      if (run.ends > m_clock.Now()) {
        return false;
      }
      worker.ended.push_back({++worker.last_end, run.order.task, run.order.run,
                              cassiastile::jobs::RunEnd::kDone, ""});
      return true;
    });
    WorkerReport report;
    report.incarnation_ms = 1;
    report.clock = milliseconds(1);
    for (const SimulatedRun& run : worker.running) {
      report.running.push_back({run.order.task, run.order.run, "", 50, 0});
    }
    report.ended = worker.ended;
    m_scheduler.LeaseSent(worker.id, m_clock.Now() + std::chrono::seconds(5),
                          m_clock.Now());
    m_scheduler.WorkerReported(worker.id, report, m_clock.Now(), m_clock.Now());
    const std::uint64_t acked = m_scheduler.FindWorker(worker.id)->acked_end;
    std::erase_if(worker.ended, [acked](const ListedEnd& end) {
      return end.sequence <= acked;
    });
  }

  ManualClock m_clock;
  Scheduler m_scheduler;
  Random m_random;
  std::shared_ptr<FleetConfig> m_config;
  std::vector<SimulatedWorker> m_workers;
  std::uint64_t m_job = 0;
  std::uint64_t m_row_bytes = 0;  // Of the rows in all batches.
  Timer m_submit{"submit"};
  Timer m_plan{"plan"};
  Timer m_commit{"commit"};
  Timer m_report{"report"};
  Timer m_pool_loads{"look_at_pools"};
};

}  // namespace

// usage: measure-jobs [WORKERS [MAX_RESERVED_STARTS]]
int main(int argc, char** argv) {
  const std::size_t workers = argc > 1 ? std::stoul(argv[1]) : 280;
  const std::size_t reserved = argc > 2 ? std::stoul(argv[2]) : 0;
  // For 280 workers 500 jobs a second, about twice their capacity.
  constexpr std::size_t kWorkersPerSubmission = 56;
  Load load(workers, reserved);
  for (int round = 0; round < kRounds; ++round) {
    load.Round(round, static_cast<int>(workers / kWorkersPerSubmission));
  }
  load.Print();
}
