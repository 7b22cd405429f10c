// Steps on queues whose placement advisor allows only some workers.
#include <algorithm>
#include <set>
#include <string>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "scheduler_bench.hpp"

namespace cassiastile::jobs {
namespace {

using std::chrono::milliseconds;
using testing::IsEmpty;
using testing::SizeIs;

constexpr milliseconds kValidity{3000};
constexpr std::int64_t kWholeWorker = 16000;  // Its CPU.
constexpr char kJob[] = "5c0e7a21d94b36f8";

class AdvisedStepTest : public testing::Test {
 protected:
  AdvisedStepTest() { m_bench.RequireAdvice(kValidity); }

  // Workers with the ids w100, w101 and so on.
  void AddWorkers(int count) {
    for (int i = 0; i < count; ++i) {
      m_bench.AddWorker(Id(i));
    }
  }

  static std::string Id(int number) {
    return "w" + std::to_string(100 + number);
  }

  // One planning round; the advisor answers what it is asked. Starts are
  // refused without a ticket that is valid for the worker's incarnation.
  std::vector<StartOrder> Round() {
    const Orders orders = m_bench.Step();
    for (const AdviceRequest& request : orders.advice) {
      EXPECT_LE(request.workers.size(), 100U);
      ++m_calls;
      std::vector<std::pair<std::string, std::string>> allowed;
      for (const std::string& id : request.workers) {
        m_named[id] += 1;
        if (m_policy.contains(id)) {
          const WorkerId& worker =
              m_bench.GetScheduler().FindWorker(id)->entry.id;
          const std::string ticket = "ticket-" + std::to_string(++m_tickets);
          m_valid[ticket] = {worker, m_bench.Now() + kValidity};
          allowed.emplace_back(id, ticket);
        }
      }
      m_bench.GetScheduler().AdviceAnswered(request, allowed, kValidity,
                                            m_bench.Now());
    }
    Orders valid;
    for (const StartOrder& start : orders.starts) {
      const auto ticket = m_valid.find(start.ticket);
      const bool is_valid = ticket != m_valid.end() &&
                            ticket->second.first == start.worker &&
                            m_bench.Now() < ticket->second.second;
      if (is_valid || m_plain.contains(start.task.job)) {
        valid.starts.push_back(start);
        continue;
      }
      ++m_refused;
      m_bench.GetScheduler().StartAnswered(start.worker, start.task, start.run,
                                           StartResult::kNoTicket,
                                           m_bench.Now());
    }
    auto started = m_bench.Answer(valid);
    m_bench.Advance(milliseconds(20));
    return started;
  }

  // Rounds until something starts.
  std::vector<StartOrder> StartWithin(int rounds) {
    for (int round = 0; round < rounds; ++round) {
      auto started = Round();
      if (!started.empty()) {
        return started;
      }
    }
    return {};
  }

  // A worker crashes with all that its last report lists, and is back.
  void Restart(const std::string& id, std::int64_t incarnation_ms) {
    m_bench.Report(id, m_bench.Listing(id));
    m_bench.AddWorker(id, incarnation_ms);
    m_bench.Report(id, m_bench.Listing(id));
  }

  SchedulerBench m_bench;
  std::set<std::string> m_plain;       // Jobs that need no advice.
  std::set<std::string> m_policy;      // The allowed workers.
  std::map<std::string, int> m_named;  // How often, by worker.
  std::map<std::string, std::pair<WorkerId, base::TimePoint>> m_valid;
  int m_calls = 0;
  int m_tickets = 0;
  int m_refused = 0;
};

// The pool of review/10: the allowed workers are behind the first 30.
TEST_F(AdvisedStepTest, LastWorkersOfALargePoolAreNamed) {
  AddWorkers(340);
  m_policy = {Id(337), Id(338)};
  m_bench.Submit(kJob, SchedulerBench::OneTask());
  const auto started = StartWithin(20);
  ASSERT_THAT(started, SizeIs(1));
  EXPECT_TRUE(m_policy.contains(started.front().worker.id));
  EXPECT_TRUE(std::ranges::all_of(
      m_named, [](const auto& named) { return named.second == 1; }));
}

// The only allowed worker of those asked first is lost.
TEST_F(AdvisedStepTest, OtherWorkersAreNamedOnceAnAllowedOneIsLost) {
  AddWorkers(40);
  m_policy = {Id(3), Id(37), Id(38)};
  m_bench.Submit(kJob, SchedulerBench::OneTask());
  const auto first = StartWithin(5);
  ASSERT_THAT(first, SizeIs(1));
  ASSERT_EQ(first.front().worker.id, Id(3));
  m_bench.GetScheduler().WorkerReplaced(first.front().worker, m_bench.Now());
  m_bench.RemoveWorker(Id(3));
  const auto again = StartWithin(10);
  ASSERT_THAT(again, SizeIs(1));
  EXPECT_TRUE(m_policy.contains(again.front().worker.id));
}

// A step that no worker may run yet starts on the first one that may.
TEST_F(AdvisedStepTest, NewWorkerIsNamed) {
  AddWorkers(85);
  m_bench.Submit(kJob, SchedulerBench::OneTask());
  EXPECT_THAT(StartWithin(20), IsEmpty());
  EXPECT_EQ(m_calls, 3);
  m_policy = {Id(85)};
  m_bench.AddWorker(Id(85));
  EXPECT_THAT(StartWithin(5), SizeIs(1));
  EXPECT_EQ(m_calls, 4);
}

// Only tickets expire, so only allowed workers are named again.
TEST_F(AdvisedStepTest, OnlyTicketsAreAskedForAgain) {
  AddWorkers(40);
  m_policy = {Id(35)};
  m_bench.Submit(kJob, SchedulerBench::LongRunning(1, 1));
  auto started = StartWithin(10);
  ASSERT_THAT(started, SizeIs(1));
  m_named.clear();
  for (int life = 2; life < 5; ++life) {
    m_bench.Advance(milliseconds(4000));
    Restart(Id(35), life);
    started = StartWithin(10);
    ASSERT_THAT(started, SizeIs(1)) << life;
  }
  EXPECT_THAT(m_named, testing::ElementsAre(testing::Pair(Id(35), 3)));
  EXPECT_EQ(m_refused, 0);
}

// A ticket belongs to one incarnation: with that of the former one, starts were
// refused.
TEST_F(AdvisedStepTest, RestartedWorkerNeedsATicketOfItsOwn) {
  AddWorkers(1);
  m_policy = {Id(0)};
  m_bench.Submit(kJob, SchedulerBench::LongRunning(2, 1));
  ASSERT_THAT(StartWithin(5), SizeIs(2));
  Restart(Id(0), 2);
  EXPECT_THAT(StartWithin(5), SizeIs(2));
  EXPECT_EQ(m_refused, 0);
}

// The commit of a placed start may take longer than its ticket is valid.
TEST_F(AdvisedStepTest, StartWhoseTicketHasExpiredIsNotOrdered) {
  AddWorkers(2);
  m_policy = {Id(0), Id(1)};
  m_bench.Submit(kJob, SchedulerBench::OneTask());
  Round();
  Scheduler& scheduler = m_bench.GetScheduler();
  scheduler.Plan(m_bench.Now(), {});
  const Batch batch = scheduler.TakeBatch(10, m_bench.Now());
  ASSERT_THAT(batch.starts, SizeIs(1));
  m_bench.Advance(kValidity);
  // The list of workers is current.
  for (const int worker : {0, 1}) {
    m_bench.AddWorker(Id(worker));
    m_bench.Report(Id(worker), m_bench.Listing(Id(worker)));
  }
  scheduler.Confirm(batch, m_bench.Now());
  EXPECT_THAT(scheduler.TakeOrders().starts, IsEmpty());
  EXPECT_THAT(StartWithin(10), SizeIs(1));
  EXPECT_EQ(m_refused, 0);
}

// Only one finite task may reserve capacity. It was the first, which could run
// nowhere, and the one behind it starved.
TEST_F(AdvisedStepTest, TaskWithoutAnAllowedWorkerLeavesReservationsToOthers) {
  m_bench.Configure([](FleetConfig& config) {
    QueueConfig plain = config.queues.front();
    plain.name = "plain";
    plain.path_prefix = "/plain/";
    plain.advice.reset();
    config.queues.push_back(plain);
  });
  AddWorkers(2);
  constexpr std::size_t kPlain = 1;
  const auto submit = [this](const std::string& job, JobSpec spec,
                             std::size_t queue) {
    spec.steps.front().need.cpu = kWholeWorker;
    m_bench.Submit(job, std::move(spec), "customer", queue);
  };
  m_plain = {"lasting", "finite", "behind it"};
  submit("lasting", SchedulerBench::LongRunning(1, 1), kPlain);
  const auto lasting = StartWithin(3);
  ASSERT_THAT(lasting, SizeIs(1));
  submit("finite", SchedulerBench::OneTask(), kPlain);
  const auto finite = StartWithin(3);
  ASSERT_THAT(finite, SizeIs(1));
  m_policy = {lasting.front().worker.id};
  submit("advised", SchedulerBench::OneTask(), 0);
  EXPECT_THAT(StartWithin(3), IsEmpty());
  submit("behind it", SchedulerBench::OneTask(), kPlain);
  EXPECT_THAT(StartWithin(3), IsEmpty());
  const auto& workers = m_bench.GetScheduler().Workers();
  EXPECT_EQ(workers.at(finite.front().worker.id).reserved.cpu, kWholeWorker);
  EXPECT_EQ(workers.at(lasting.front().worker.id).reserved, Resources{});
}

// Gangs were placed regardless of the advice, and their starts refused for want
// of a ticket again and again.
TEST_F(AdvisedStepTest, GangStartsOnAllowedWorkersOnly) {
  AddWorkers(85);
  m_policy = {Id(2), Id(50), Id(84)};
  JobSpec spec = SchedulerBench::OneTask(kWholeWorker);
  spec.steps.front().count = 3;
  spec.steps.front().gang = true;
  m_bench.Submit(kJob, spec);
  const auto started = StartWithin(20);
  ASSERT_THAT(started, SizeIs(3));
  std::set<std::string> used;
  for (const StartOrder& start : started) {
    used.insert(start.worker.id);
  }
  EXPECT_EQ(used, m_policy);
  EXPECT_EQ(m_refused, 0);
}

// Gangs of which no more than two members find an allowed worker don't start.
TEST_F(AdvisedStepTest, GangWithoutEnoughAllowedWorkersWaits) {
  AddWorkers(40);
  m_policy = {Id(2), Id(39)};
  JobSpec spec = SchedulerBench::OneTask(kWholeWorker);
  spec.steps.front().count = 3;
  spec.steps.front().gang = true;
  m_bench.Submit(kJob, spec);
  EXPECT_THAT(StartWithin(20), IsEmpty());
  m_policy.insert(Id(40));
  m_bench.AddWorker(Id(40));
  EXPECT_THAT(StartWithin(20), SizeIs(3));
  EXPECT_EQ(m_refused, 0);
}

// What was said of a job is forgotten with it.
TEST_F(AdvisedStepTest, LateAnswerAboutACancelledJobIsIgnored) {
  AddWorkers(1);
  m_bench.Submit(kJob, SchedulerBench::OneTask());
  const Orders orders = m_bench.Step();
  ASSERT_THAT(orders.advice, SizeIs(1));
  m_bench.GetScheduler().Cancel(kJob, m_bench.Now());
  m_bench.GetScheduler().AdviceAnswered(
      orders.advice.front(), {{Id(0), "ticket"}}, kValidity, m_bench.Now());
  EXPECT_THAT(m_bench.Step().starts, IsEmpty());
}

}  // namespace
}  // namespace cassiastile::jobs
