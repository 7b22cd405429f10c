// A configuration that lacks a queue, a customer or a service for a moment:
// nothing final follows from that, whether the leader has seen an earlier one
// or has just started.
#include <functional>
#include <ostream>
#include <string>

#include <gtest/gtest.h>

#include "scheduler_bench.hpp"

namespace cassiastile::jobs {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kMaxAttempts = 4;

// What a version lacks.
struct Gap {
  std::string name;
  std::function<void(FleetConfig&)> make;
  // A new leader takes over in the gap, on a host that knows only the version
  // with the gap.
  bool new_leader = false;
};

void PrintTo(const Gap& gap, std::ostream* out) {
  *out << gap.name;
}

std::vector<Gap> Gaps() {
  const std::vector<std::pair<std::string, std::function<void(FleetConfig&)>>>
      kinds{
          {"Queue", [](FleetConfig& config) { config.queues.clear(); }},
          {"Customer", [](FleetConfig& config) { config.customers.clear(); }},
          {"Service", [](FleetConfig& config) { config.services.clear(); }},
          {"All",
           [](FleetConfig& config) {
             config.queues.clear();
             config.customers.clear();
             config.services.clear();
           }},
      };
  std::vector<Gap> gaps;
  for (const auto& [name, make] : kinds) {
    gaps.push_back({name, make, false});
    gaps.push_back({name + "AndANewLeader", make, true});
  }
  return gaps;
}

class MissingConfigTest : public testing::TestWithParam<Gap> {
 protected:
  MissingConfigTest() : m_bench(kMaxAttempts) {
    m_bench.Configure([this](FleetConfig& config) {
      config.customers.front().limit = {2000, 0, 0};
      m_whole = config;
    });
    for (const char* id : {"w1", "w2", "w3"}) {
      m_bench.AddWorker(id);
    }
  }

  // Puts the version with the gap in force.
  void Open() {
    m_bench.Configure(GetParam().make);
    if (GetParam().new_leader) {
      auto config = std::make_shared<FleetConfig>(m_whole);
      config->version += 1;
      GetParam().make(*config);
      config->BuildIndex();
      m_bench = m_bench.Successor(milliseconds(10000), config);
      for (const char* id : {"w1", "w2", "w3"}) {
        m_bench.Report(id, m_bench.Listing(id));
      }
    }
  }

  void Close() {
    m_bench.Configure([this](FleetConfig& config) {
      config.queues = m_whole.queues;
      config.customers = m_whole.customers;
      config.services = m_whole.services;
    });
  }

  JobPhase Phase(const std::string& job) {
    return m_bench.GetScheduler().FindJob(job)->phase;
  }

  SchedulerBench m_bench;
  FleetConfig m_whole;
};

// A job was failed after one failed run of four.
TEST_P(MissingConfigTest, AttemptsAreThoseOfTheLastConfigurationWithTheQueue) {
  m_bench.Submit("job", SchedulerBench::OneTask());
  auto starts = m_bench.StepAndStart();
  ASSERT_EQ(starts.size(), 1U);
  Open();
  for (std::uint32_t failed = 1; failed < kMaxAttempts; ++failed) {
    m_bench.End(starts.front(), RunEnd::kFailed, failed);
    ASSERT_EQ(Phase("job"), JobPhase::kRunning) << failed;
    m_bench.Advance(milliseconds(3000));
    for (const char* id : {"w1", "w2", "w3"}) {
      m_bench.Report(id, m_bench.Listing(id));
    }
    starts = m_bench.StepAndStart();
    ASSERT_EQ(starts.size(), 1U) << failed;
  }
  m_bench.End(starts.front(), RunEnd::kFailed, kMaxAttempts);
  EXPECT_EQ(Phase("job"), JobPhase::kFailed);
  Close();
  EXPECT_TRUE(m_bench.StepAndStart().empty());
}

// Without its customer, a job had no limit.
TEST_P(MissingConfigTest, LimitsAreThoseOfTheLastConfigurationWithTheCustomer) {
  JobSpec spec = SchedulerBench::OneTask();
  spec.steps.front().count = 6;
  m_bench.Submit("job", spec);
  ASSERT_EQ(m_bench.StepAndStart().size(), 2U);
  Open();
  EXPECT_EQ(m_bench.StepAndStart().size(), 0U);
  Close();
  EXPECT_EQ(m_bench.StepAndStart().size(), 0U);
}

// A queue that was lacking had the highest priority.
TEST_P(MissingConfigTest, JobsKeepTheirPriority) {
  m_bench.Configure([this](FleetConfig& config) {
    config.queues.front().priority = 5;
    config.queues.push_back(config.queues.front());
    config.queues.back().name = "urgent";
    config.queues.back().priority = 1;
    m_whole = config;
  });
  // These use up the limit of the customer.
  JobSpec two = SchedulerBench::OneTask();
  two.steps.front().count = 2;
  m_bench.Submit("first", two);
  const auto first = m_bench.StepAndStart();
  ASSERT_EQ(first.size(), 2U);
  m_bench.Submit("job", SchedulerBench::OneTask());
  m_bench.Submit("urgent job", SchedulerBench::OneTask(), "customer", 1);
  m_bench.Step();
  Open();
  m_bench.End(first.front(), RunEnd::kDone, 1);
  const auto starts = m_bench.StepAndStart();
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_EQ(starts.front().task.job, "urgent job");
}

// Without its queue, a task was started without the ticket that its worker asks
// for, and refused again and again.
TEST_P(MissingConfigTest, PlacementStillWaitsForAdvice) {
  m_bench.Configure([this](FleetConfig& config) {
    config.queues.front().advice = AdviceConfig{.validity = milliseconds(1000)};
    m_whole = config;
  });
  m_bench.Submit("job", SchedulerBench::OneTask());
  const Orders asked = m_bench.Step();
  ASSERT_EQ(asked.advice.size(), 1U);
  Open();
  // The advisor has not answered in time, so that it is asked again.
  m_bench.GetScheduler().AdviceFailed(asked.advice.front(), m_bench.Now());
  m_bench.Advance(milliseconds(2500));
  for (const char* id : {"w1", "w2", "w3"}) {
    m_bench.Report(id, m_bench.Listing(id));
  }
  const Orders orders = m_bench.Step();
  EXPECT_TRUE(orders.starts.empty());
  ASSERT_EQ(orders.advice.size(), 1U);
  EXPECT_EQ(orders.advice.front().validity, milliseconds(1000));
}

// Workers of a service that was lacking counted as ones that refuse what they
// have no room for, so that a start of theirs that may still arrive was not
// waited for.
TEST_P(MissingConfigTest, StartThatMayStillArriveIsWaitedFor) {
  m_bench.Configure([this](FleetConfig& config) {
    config.services.front().workers_guard_capacity = false;
    m_whole = config;
  });
  m_bench.Submit("job", SchedulerBench::OneTask());
  const auto starts = m_bench.Step().starts;
  ASSERT_EQ(starts.size(), 1U);
  m_bench.Withdraw(starts.front());
  m_bench.SetCapacity(starts.front().worker.id, {500, 65536, 0});
  m_bench.Step();
  Open();
  for (int i = 0; i < 10; ++i) {
    m_bench.Advance(milliseconds(200));
    for (const char* id : {"w1", "w2", "w3"}) {
      m_bench.Report(id, m_bench.Listing(id));
    }
    EXPECT_TRUE(m_bench.Step().starts.empty()) << i;
  }
}

// After a change of leader, a job of a queue that was lacking had no objective.
TEST_P(MissingConfigTest, JobsKeepTheirObjective) {
  m_bench.Submit("job", SchedulerBench::OneTask());
  m_bench.StepAndStart();
  const auto allowed = [this] {
    const Job& job = *m_bench.GetScheduler().FindJob("job");
    return job.objective - job.arrived_at;
  };
  const auto before = allowed();
  Open();
  EXPECT_EQ(allowed(), before);
}

INSTANTIATE_TEST_SUITE_P(Gaps,
                         MissingConfigTest,
                         testing::ValuesIn(Gaps()),
                         [](const auto& each) { return each.param.name; });

TEST(FormerEntriesTest, ServiceIsKnownFromTheVersionsThatHadIt) {
  for (const bool is_known_before : {true, false}) {
    FleetConfig before;
    before.version = 1;
    if (is_known_before) {
      before.services.push_back(
          {.name = "service", .workers_guard_capacity = false});
    }
    before.BuildIndex();
    FleetConfig config;
    config.version = 2;
    config.BuildIndex();
    config.InheritFrom(before);
    const ServiceConfig* last = config.LastService("service");
    ASSERT_EQ(last != nullptr, is_known_before);
    EXPECT_EQ(config.FindService("service"), nullptr);
    if (is_known_before) {
      EXPECT_FALSE(last->workers_guard_capacity);
      EXPECT_EQ(config.FormerServices().size(), 1U);
    }
  }
}

// Fewer attempts than a task has failed already: its next start would be one
// too many.
TEST(LoweredAttemptsTest, TaskThatHasFailedAsOftenIsNotStartedAgain) {
  SchedulerBench bench(kMaxAttempts);
  bench.AddWorker("w1");
  bench.Submit("job", SchedulerBench::OneTask());
  const auto starts = bench.StepAndStart();
  ASSERT_EQ(starts.size(), 1U);
  bench.End(starts.front(), RunEnd::kFailed, 1);
  bench.Configure(
      [](FleetConfig& config) { config.queues.front().max_attempts = 1; });
  EXPECT_TRUE(bench.StepAndStart().empty());
  EXPECT_EQ(bench.GetScheduler().FindJob("job")->phase, JobPhase::kFailed);
}

// The record of an older program has no terms. Whether the task has failed too
// often is decided when its queue is back.
TEST(MissingTermsTest, JobOfAnOlderProgramWaitsForItsQueue) {
  Job job;
  job.id = "job";
  job.queue = "queue";
  job.service = "service";
  job.spec = SchedulerBench::OneTask();
  const std::string older = EncodeRecord(job);
  job.terms =
      AcceptedTerms{.max_attempts = 7, .advice = AdviceConfig{}, .limit = {}};
  const std::string newer = EncodeRecord(job);
  EXPECT_EQ(newer.substr(0, older.size()), older);
  EXPECT_EQ(DecodeRecord("job", older)->terms, std::nullopt);
  EXPECT_EQ(DecodeRecord("job", newer)->terms, job.terms);

  Job stored = *DecodeRecord("job", older);
  BeginOccurrence(stored, 0).steps[0].tasks[0].failed_runs = {1};
  Scheduler scheduler(SchedulerOptions{});
  auto config = std::make_shared<FleetConfig>();
  config->version = 1;
  config->BuildIndex();
  scheduler.ApplyConfig(config);
  base::ManualClock clock;
  std::vector<Job> jobs;
  jobs.push_back(std::move(stored));
  scheduler.Recover(std::move(jobs), clock.Now(), clock.WallNow(), clock.Now());
  scheduler.Plan(clock.Now(), clock.WallNow());
  EXPECT_EQ(scheduler.FindJob("job")->phase, JobPhase::kQueued);
  auto next = std::make_shared<FleetConfig>();
  next->version = 2;
  next->queues.push_back({.name = "queue",
                          .host = "host",
                          .path_prefix = "/",
                          .service = "service",
                          .max_attempts = 1,
                          .advice = {}});
  next->BuildIndex();
  scheduler.ApplyConfig(next);
  scheduler.Plan(clock.Now(), clock.WallNow());
  EXPECT_EQ(scheduler.FindJob("job")->phase, JobPhase::kFailed);
}

// Many versions that each take an entry out take no more memory than that.
TEST(FormerEntriesTest, AreBounded) {
  FleetConfig config;
  config.version = 1;
  constexpr std::uint64_t kVersions = 3000;
  for (std::uint64_t version = 2; version < kVersions; ++version) {
    FleetConfig next;
    next.version = version;
    next.customers.push_back({.name = "customer-" + std::to_string(version),
                              .limit = {},
                              .keys = {"key-" + std::to_string(version)}});
    next.BuildIndex();
    next.InheritFrom(config);
    config = std::move(next);
  }
  EXPECT_EQ(config.LastCustomer("customer-2"), nullptr);
  const CustomerConfig* recent = config.LastCustomer("customer-2990");
  ASSERT_NE(recent, nullptr);
  EXPECT_TRUE(recent->keys.empty());
  EXPECT_EQ(config.CustomerOfKey("key-2990"), nullptr);
}

}  // namespace
}  // namespace cassiastile::jobs
