// The plays of review/6 to review/10.
#include <algorithm>

#include "play.hpp"

namespace review {

namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

constexpr int kOk = 200;
constexpr char kKey[] = "key-of-tenant";
constexpr char kService[] = "workshop";
constexpr milliseconds kReadyTime{15000};
// Machines are in touch after contact_ms; a leader has been found by then.
constexpr milliseconds kContact{3000};
// finish_s of the deployment.
constexpr milliseconds kFinish{14000};
constexpr milliseconds kAnswerTime{3000};

Json Config(std::uint64_t version, Json routes) {
  return {
      {"version", version},
      {"routes", std::move(routes)},
      {"services",
       {{{"name", kService}, {"admission_control", true}, {"standby", false}}}},
      {"tenants",
       {{{"name", "tenant"},
         {"weight", 100.0},
         {"max_count", {{"cpu", 0}, {"mem_mb", 0}, {"gpus", 0}}},
         {"api_keys", {kKey}}}}},
      {"limits", Json::object()}};
}

std::string RunnerName(std::size_t number) {
  return std::string(number < 10 ? "runner-0" : "runner-") +
         std::to_string(number);
}

void AddRunners(World& world, std::size_t count) {
  for (std::size_t i = 1; i <= count; ++i) {
    RunnerSettings settings;
    settings.id = RunnerName(i);
    settings.machine = "m-" + settings.id;
    settings.service = kService;
    settings.rack = "r" + std::to_string(1 + i / 4);
    world.runners.Add(std::move(settings));
  }
}

JobPlan MakeJob(const std::string& prefix, std::vector<StepPlan> steps) {
  JobPlan job;
  job.prefix = prefix;
  job.key = kKey;
  job.steps = std::move(steps);
  return job;
}

// Hands in a job now and then until the time is over.
awaitable<void> SendJobs(World& world,
                         std::string prefix,
                         std::vector<StepPlan> steps,
                         milliseconds interval,
                         std::int64_t until) {
  while (Now() < until) {
    const JobPlan& job = world.NewJob(MakeJob(prefix, steps));
    asio::co_spawn(world.context, world.Submit(job.id), asio::detached);
    co_await Sleep(interval);
  }
}

// A runner crashes and is lost for good.
awaitable<void> LoseRunner(World& world, std::string id) {
  world.runners.Find(id)->Crash();
  // Its entry is removed after three heartbeats of silence.
  co_await Sleep(milliseconds(4500));
  world.runners.Delist(id);
}

// The end of a day: jobs are asked for, and those that stand still are counted.
awaitable<int> JudgeLost(World& world) {
  co_await Sleep(kFinish);
  int unknown = 0;
  std::size_t accepted = 0;
  std::size_t done = 0;
  std::vector<std::string> ids;
  for (const auto& [id, job] : world.ledger.jobs) {
    if (job.is_accepted && !job.is_cancelled) {
      ids.push_back(id);
    }
  }
  // The last ones were handed in last; what came before is the same.
  constexpr std::size_t kAsked = 40;
  accepted = ids.size();
  for (const std::string& id : ids) {
    done += world.IsDone(world.ledger.jobs.at(id)) ? 1 : 0;
  }
  const auto stalled = co_await world.FindStalledJobs();
  std::ranges::sort(ids);
  std::vector<std::string> asked(
      ids.end() - static_cast<std::ptrdiff_t>(std::min(kAsked, ids.size())),
      ids.end());
  for (const std::string& id : stalled) {
    if (std::ranges::find(asked, id) == asked.end()) {
      asked.push_back(id);
    }
  }
  auto left = std::make_shared<std::size_t>(asked.size());
  auto missing = std::make_shared<int>(0);
  for (const std::string& id : asked) {
    asio::co_spawn(
        world.context,
        [](World& play, std::string job, std::shared_ptr<std::size_t> count,
           std::shared_ptr<int> lost) -> awaitable<void> {
          const std::string state = co_await play.Ask(job, kAnswerTime);
          *lost += state.empty() || state == "410" ? 1 : 0;
          --*count;
        }(world, id, left, missing),
        asio::detached);
  }
  while (*left > 0) {
    co_await Sleep(milliseconds(50));
  }
  unknown = *missing;
  for (const std::string& id : stalled) {
    world.record.Line("LOST: job " + id +
                      " had nothing running for 3 s while a task's turn had "
                      "come");
  }
  world.record.Line(
      "accepted " + std::to_string(accepted) +
      ", of which all tasks are done " + std::to_string(done) +
      "; without an answer or gone " + std::to_string(unknown) +
      "; standing still " + std::to_string(stalled.size()) + "; largest row " +
      std::to_string(world.store.LargestRow()) +
      " bytes; transactions that the store refused as too large " +
      std::to_string(world.store.RefusedAsTooLarge()));
  for (const HostProcess& host : world.Hosts()) {
    if (host.ends > 0) {
      world.record.Line(host.name + " has ended by itself " +
                        std::to_string(host.ends) + " times");
    }
  }
  co_return unknown > 0 || !stalled.empty() ? kBroken : kHeld;
}

}  // namespace

awaitable<int> PlayTimetable(World& world) {
  constexpr std::size_t kRunners = 8;
  constexpr milliseconds kTraffic{58000};
  AddRunners(world, kRunners);
  world.store.Put("op", "config", Config(7, {Route("plain", kService)}).dump());
  world.StartHosts(3, 0);
  asio::co_spawn(world.context, world.WatchHosts(), asio::detached);
  if (!co_await world.AwaitReady(kReadyTime)) {
    co_return kCouldNotRun;
  }
  co_await Sleep(kContact);
  const std::int64_t end = Now() + kTraffic.count();
  StepPlan four;
  four.count = 4;
  four.work_ms = 800;
  const std::vector<StepPlan> ordinary{four, four};
  asio::co_spawn(world.context,
                 SendJobs(world, "/plain/", ordinary, milliseconds(400), end),
                 asio::detached);
  co_await Sleep(milliseconds(2000));
  if (world.options.trouble) {
    StepPlan step;
    step.count = 24;
    step.cpu = 200;
    step.work_ms = 1200;
    step.checkpointing = true;
    JobPlan timetable = MakeJob("/plain/", {step, step});
    timetable.repeats = 140;
    timetable.start_at_ms = WallNow() + 500;
    timetable.interval_ms = 350;
    const std::string id = world.NewJob(std::move(timetable)).id;
    const int status = co_await world.Submit(id);
    if (status != kOk) {
      co_return kCouldNotRun;
    }
  }
  co_await Sleep(milliseconds(end - Now()));
  co_return co_await JudgeLost(world);
}

awaitable<int> PlayAdvisedGang(World& world) {
  constexpr std::size_t kRunners = 8;
  constexpr milliseconds kTraffic{30000};
  AddRunners(world, kRunners);
  Advisor advisor(world.context, world.record, [](const std::string& runner) {
    return runner >= RunnerName(5);
  });
  world.runners.SetAdvisor(&advisor, {"/advised/"});
  world.store.Put("op", "config", Config(7, {Route("plain", kService)}).dump());
  world.StartHosts(3, advisor.Port());
  asio::co_spawn(world.context, world.WatchHosts(), asio::detached);
  if (!co_await world.AwaitReady(kReadyTime)) {
    co_return kCouldNotRun;
  }
  co_await Sleep(kContact);
  const std::int64_t end = Now() + kTraffic.count();
  StepPlan member;
  member.count = 3;
  member.cpu = 6000;
  member.work_ms = 800;
  member.gang = true;
  const std::vector<StepPlan> gang{member};
  if (world.options.trouble) {
    Json route = Route("advised", kService);
    route["placement_advice"] = {
        {"decision_ms", advisor.GetTimes().decision_ms},
        {"period_ms", advisor.GetTimes().period_ms},
        {"validity_ms", advisor.GetTimes().validity_ms}};
    world.record.Line(
        "the configuration changes: a queue with advice is added");
    world.store.Put("op", "config",
                    Config(9, {Route("plain", kService), route}).dump());
    co_await Sleep(kContact);
  }
  co_await SendJobs(world, world.options.trouble ? "/advised/" : "/plain/",
                    gang, milliseconds(5000), end);
  co_return co_await JudgeLost(world);
}

awaitable<int> PlayFarAdvice(World& world) {
  constexpr std::size_t kRunners = 40;
  constexpr milliseconds kTraffic{30000};
  AddRunners(world, kRunners);
  // The policy allows three of the runners.
  Advisor advisor(world.context, world.record, [](const std::string& runner) {
    return runner == RunnerName(3) || runner == RunnerName(37) ||
           runner == RunnerName(38);
  });
  world.runners.SetAdvisor(&advisor, {"/advised/"});
  Json route = Route("advised", kService);
  route["placement_advice"] = {{"decision_ms", advisor.GetTimes().decision_ms},
                               {"period_ms", advisor.GetTimes().period_ms},
                               {"validity_ms", advisor.GetTimes().validity_ms}};
  world.store.Put("op", "config", Config(7, {route}).dump());
  world.StartHosts(3, advisor.Port());
  asio::co_spawn(world.context, world.WatchHosts(), asio::detached);
  if (!co_await world.AwaitReady(kReadyTime)) {
    co_return kCouldNotRun;
  }
  co_await Sleep(kContact);
  const std::int64_t end = Now() + kTraffic.count();
  StepPlan two;
  two.count = 2;
  two.work_ms = 800;
  const std::vector<StepPlan> steps{two};
  asio::co_spawn(world.context,
                 SendJobs(world, "/advised/", steps, milliseconds(2000), end),
                 asio::detached);
  co_await Sleep(milliseconds(6000));
  if (world.options.trouble) {
    asio::co_spawn(world.context, LoseRunner(world, RunnerName(3)),
                   asio::detached);
  }
  co_await Sleep(milliseconds(end - Now()));
  co_return co_await JudgeLost(world);
}

awaitable<int> PlayRelease(World& world) {
  constexpr std::size_t kRunners = 9;
  // A release replaces 0.45 of the runners at most, a crash 0.14.
  constexpr int kReplaced = 4;
  // From the start of the task to the trouble of its runner.
  constexpr std::int64_t kUndisturbed = 1000;
  constexpr std::int64_t kAskInterval = 1000;
  constexpr milliseconds kLongest{60000};
  AddRunners(world, kRunners);
  world.store.Put("op", "config", Config(7, {Route("plain", kService)}).dump());
  world.StartHosts(3, 0);
  asio::co_spawn(world.context, world.WatchHosts(), asio::detached);
  const bool is_ready = co_await world.AwaitReady(kReadyTime);
  if (!is_ready) {
    co_return kCouldNotRun;
  }
  co_await Sleep(kContact);
  StepPlan step;
  step.work_ms = 7000;
  const std::string id = world.NewJob(MakeJob("/plain/", {step})).id;
  const int status = co_await world.Submit(id);
  if (status != kOk) {
    co_return kCouldNotRun;
  }
  const std::int64_t until = Now() + kLongest.count();
  int replaced = 0;
  bool has_crashed = false;
  std::int64_t asked_at = Now();
  std::string state;
  while (Now() < until && state != "done" && state != "failed") {
    co_await Sleep(milliseconds(50));
    if (Now() - asked_at >= kAskInterval) {
      asked_at = Now();
      state = co_await world.Ask(id, kAnswerTime);
    }
    const auto live = std::ranges::find(world.ledger.live, id, &RunRecord::job);
    if (!world.options.trouble || has_crashed ||
        live == world.ledger.live.end() ||
        Now() - (*live)->began_ms < kUndisturbed) {
      continue;
    }
    Runner& runner = *world.runners.Find((*live)->runner);
    if (runner.IsDraining()) {
      continue;
    }
    if (replaced < kReplaced) {
      ++replaced;
      RunnerSettings successor = runner.Settings();
      successor.id = RunnerName(kRunners + static_cast<std::size_t>(replaced));
      successor.machine = "m-" + successor.id;
      world.runners.Add(std::move(successor));
      runner.Drain();
    } else {
      has_crashed = true;
      asio::co_spawn(world.context, LoseRunner(world, runner.Settings().id),
                     asio::detached);
    }
  }
  world.record.Line("the job is shown as " + state + "; runners replaced " +
                    std::to_string(replaced) + ", crashed " +
                    std::to_string(has_crashed ? 1 : 0) + "; ends `failed`: 0");
  co_return state == "done" ? kHeld : kBroken;
}

awaitable<int> PlayLateStart(World& world) {
  constexpr std::size_t kRunners = 8;
  constexpr std::int64_t kLate = 10000;
  constexpr milliseconds kDown{3000};
  constexpr milliseconds kWatched{16000};
  AddRunners(world, kRunners);
  world.store.Put("op", "config", Config(7, {Route("plain", kService)}).dump());
  world.StartHosts(3, 0);
  asio::co_spawn(world.context, world.WatchHosts(), asio::detached);
  const bool is_ready = co_await world.AwaitReady(kReadyTime);
  if (!is_ready) {
    co_return kCouldNotRun;
  }
  co_await Sleep(kContact);
  StepPlan step;
  step.work_ms = 1000;
  JobPlan plan = MakeJob("/plain/", {step});
  plan.first_start_late_ms = world.options.trouble ? kLate : 0;
  const std::string id = world.NewJob(std::move(plan)).id;
  const std::int64_t until = Now() + kWatched.count();
  const int status = co_await world.Submit(id);
  if (status != kOk) {
    co_return kCouldNotRun;
  }
  bool has_crashed = false;
  bool is_twice = false;
  while (Now() < until) {
    co_await Sleep(milliseconds(50));
    const RunRecord* done = nullptr;
    for (const auto& run : world.ledger.runs) {
      if (run->job != id) {
        continue;
      }
      if (done != nullptr && run->began_ms > done->ended_ms && !is_twice) {
        is_twice = true;
        world.record.Line("TWICE: " + run->task + " run " +
                          std::to_string(run->run) + " began after run " +
                          std::to_string(done->run) +
                          " had ended done, which was taken note of");
      }
      if (run->how == "done" && run->is_noted && done == nullptr) {
        done = run.get();
      }
    }
    if (world.options.trouble && done != nullptr && !has_crashed) {
      has_crashed = true;
      asio::co_spawn(world.context,
                     world.runners.Find(done->runner)->Restart(kDown),
                     asio::detached);
    }
  }
  const std::string state = co_await world.Ask(id, kAnswerTime);
  world.record.Line("the job is shown as " + state);
  co_return is_twice ? kBroken : kHeld;
}

awaitable<int> PlayAdviceBurst(World& world) {
  constexpr std::size_t kRunners = 12;
  constexpr milliseconds kTraffic{30000};
  constexpr milliseconds kInterval{250};
  constexpr milliseconds kBurst{4000};
  AddRunners(world, kRunners);
  Advisor::Times times;
  times.decision_ms = 100;
  times.period_ms = 5;
  Advisor advisor(
      world.context, world.record,
      [](const std::string& runner) { return runner >= RunnerName(5); }, times);
  world.runners.SetAdvisor(&advisor, {"/advised/"});
  Json route = Route("advised", kService);
  route["placement_advice"] = {{"decision_ms", advisor.GetTimes().decision_ms},
                               {"period_ms", advisor.GetTimes().period_ms},
                               {"validity_ms", advisor.GetTimes().validity_ms}};
  world.store.Put("op", "config", Config(7, {route}).dump());
  world.StartHosts(3, advisor.Port());
  asio::co_spawn(world.context, world.WatchHosts(), asio::detached);
  const bool is_ready = co_await world.AwaitReady(kReadyTime);
  if (!is_ready) {
    co_return kCouldNotRun;
  }
  co_await Sleep(kContact);
  const std::int64_t end = Now() + kTraffic.count();
  StepPlan step;
  step.count = 4;
  step.work_ms = 800;
  const std::vector<StepPlan> steps{step};
  asio::co_spawn(world.context,
                 SendJobs(world, "/advised/", steps, kInterval, end),
                 asio::detached);
  co_await Sleep(milliseconds(6000));
  if (world.options.trouble) {
    // 2.6 times the usual traffic.
    world.record.Line("a burst begins");
    co_await SendJobs(world, "/advised/", steps, kInterval * 10 / 16,
                      Now() + kBurst.count());
    world.record.Line("the burst ends");
  }
  co_await Sleep(milliseconds(end - Now()));
  co_return co_await JudgeLost(world);
}

}  // namespace review
