#include <iostream>

#include "measure_tasks_faults.hpp"
#include "measure_tasks_growth.hpp"
#include "measure_tasks_run.hpp"

namespace {

using namespace measure;

void Print(const std::string& name,
           double value,
           const std::string& unit,
           double baseline,
           const std::string& better = "less") {
  const nlohmann::json line{{"name", name},  {"value", value},
                            {"unit", unit},  {"better", better},
                            {"seed", kSeed}, {"baseline", baseline}};
  std::cout << line.dump() << std::endl;
}

// A fleet of the present size: six teams, two of them large, on ten workers.
Scenario MakeToday() {
  Scenario scenario;
  const std::vector<std::uint32_t> weights{4, 4, 1, 1, 1, 1};
  const std::vector<double> factors{4, 0.25, 1, 4, 0.25, 2};
  const std::vector<double> demands{2, 2, 6, 2, 3, 2};
  for (std::size_t index = 0; index < weights.size(); ++index) {
    TeamLoad team;
    team.name = "team" + std::to_string(index);
    team.weight = weights[index];
    team.demand = demands[index];
    team.declared_factor = factors[index];
    team.cores = 1 + 0.5 * static_cast<double>(index % 3);
    team.memory_gb = index % 2 == 0 ? 2 : 8;
    team.seconds = 5 + 3 * static_cast<double>(index % 3);
    scenario.teams.push_back(team);
  }
  return scenario;
}

// 130 teams on 3200 workers.
Scenario MakeFull() {
  constexpr std::size_t kTeams = 130;
  Scenario scenario;
  scenario.hosts = 3200;
  scenario.length = seconds(120);
  scenario.warm_up = seconds(60);
  scenario.step = milliseconds(500);
  for (std::size_t index = 0; index < kTeams; ++index) {
    TeamLoad team;
    team.name = "team" + std::to_string(index);
    team.weight = index % 13 == 0 ? 8 : 1;
    team.demand = 1.3 + 0.2 * static_cast<double>(index % 3);
    team.declared_factor = index % 2 == 0 ? 4 : 0.25;
    team.cores = 2 + static_cast<double>(index % 4);
    team.memory_gb = index % 5 == 0 ? 20 : 4;
    team.seconds = 15 + static_cast<double>(index % 10);
    scenario.teams.push_back(team);
  }
  return scenario;
}

void MeasureShares(const std::string& name, const Scenario& scenario) {
  const ShareResult ours = RunShard(scenario);
  const ShareResult first_come = RunBaseline(scenario, Baseline::kFirstCome);
  const ShareResult partitioned =
      RunBaseline(scenario, Baseline::kStaticPartition);
  Print(name + ".share_error.against_fcfs", 100 * ours.error, "%",
        100 * first_come.error);
  Print(name + ".share_error.against_static", 100 * ours.error, "%",
        100 * partitioned.error);
  Print(name + ".share_error_while_learning", 100 * ours.error_in_warm_up, "%",
        100 * first_come.error_in_warm_up);
  Print(name + ".utilisation.against_fcfs", 100 * ours.utilisation, "%",
        100 * first_come.utilisation, "more");
  Print(name + ".utilisation.against_static", 100 * ours.utilisation, "%",
        100 * partitioned.utilisation, "more");
  // Without batching, each state change of a task costs a write.
  constexpr double kWritesUnbatched = 4;
  Print(name + ".store_writes_per_task", ours.writes_per_task, "writes",
        kWritesUnbatched);
  Print(name + ".store_reads_per_task", ours.reads_per_task, "reads", 1);
}

void MeasureUrgent() {
  for (const bool checkpointable : {true, false}) {
    const std::string name = checkpointable
                                 ? "urgent.sweeps_with_checkpoint"
                                 : "urgent.sweeps_without_checkpoint";
    const UrgentTimes ours = RunUrgentShard(checkpointable, true);
    const UrgentTimes fair_share_alone = RunUrgentShard(checkpointable, false);
    const double first_come = FirstComeWait(checkpointable);
    Print(name + ".start_p50", ours.p50, "s", first_come);
    Print(name + ".start_p99", ours.p99, "s", first_come);
    Print(name + ".start_p99.against_fair_share_alone", ours.p99, "s",
          fair_share_alone.p99);
    Print(name + ".buffer", ours.idle, "% of cores", fair_share_alone.idle);
  }
}

void MeasureLimits() {
  const LimitResult limits = RunLimits();
  Print("limit.overruns", limits.overruns, "runs",
        limits.overruns_if_forgotten);
  Print("limit.stranded_after_10s", limits.stranded, "% of limit",
        limits.stranded_static);
}

// The baseline owner loads all tasks before it accepts submissions.
void MeasureRecovery() {
  for (const std::size_t tasks : {1000, 20000}) {
    const RecoveryTimes open = RunRecovery(tasks, true);
    const RecoveryTimes closed = RunRecovery(tasks, false);
    const std::string name = "takeover." + std::to_string(tasks) + "_tasks";
    Print(name + ".first_accept", open.first_accept, "s", closed.first_accept);
    Print(name + ".refusals", open.refusals, "submissions", closed.refusals);
    Print(name + ".first_start", open.first_start, "s", closed.first_start);
  }
}

void MeasureGrowth() {
  const GrowthResult small = RunGrowth(10);
  const GrowthResult large = RunGrowth(3200);
  constexpr double kLinearGrowth = 320;
  Print("decision.placement_cost_growth_10_to_3200",
        large.seconds_per_placement / small.seconds_per_placement, "ratio",
        kLinearGrowth);
  Print("decision.poll_cost_growth_10_to_3200",
        large.seconds_per_poll / small.seconds_per_poll, "ratio",
        kLinearGrowth);
  Print("state.bytes_per_task", large.bytes_per_task, "bytes", 0);
  Print("state.bytes_per_worker", large.bytes_per_worker, "bytes", 0);
}

}  // namespace

// measure-tasks: prints the figures of task scheduling as JSON lines. Times are
// virtual; what depends on real time is printed as a ratio.
int main() {
  MeasureShares("share.today", MakeToday());
  MeasureUrgent();
  MeasureLimits();
  MeasureRecovery();
  MeasureGrowth();
  MeasureShares("share.130_teams_3200_workers", MakeFull());
  return 0;
}
